// Tests of the endpoint list's state in a distributor: updates as JSON, changes since a version, tombstones.
#include <doctest/doctest.h>

#include "endpoint_distribution_fixture.hpp"
#include "protocol/endpoint_list.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

TEST_CASE("an entry's text is passed on unchanged, whatever surrounds it and is in it") {
    const std::string odd = R"({ "id" : "a}\"]{[", "state":"Ready",)"
                            "\n"
                            R"("weight":1.50, "zone":"\\", "more":[{"x":1}] })";
    const std::string text =
        R"({"x":{"servers":[{"id":"no"}]},"servers":["no"],"full":true,"note":"servers", "servers" : [ )" +
        odd + " , " + entryText("b") + R"(],"version":3,"y":[[]]})";
    const auto read = readListUpdate(text);
    CHECK(read.version == 3);
    CHECK(read.isComplete);
    REQUIRE(read.entries.size() == 2);
    CHECK(read.entries[0].id == "a}\"]{[");
    CHECK(read.entries[0].text == odd);
    CHECK(read.entries[1].text == entryText("b"));
    ListState state(10);
    state.apply(read);
    CHECK(state.completeList()->find(odd) != std::string::npos);
    CHECK(readListUpdate(*state.completeList()).entries.size() == 2);
}

TEST_CASE("a list that a router would reject is rejected") {
    for (const char* malformed :
         {"", "{", "[]", "{}", R"({"version":1,"full":true})", R"({"version":"1","full":true,"servers":[]})",
          R"({"version":1,"full":true,"servers":[1]})",
          R"({"version":1,"full":true,"servers":[{"id":"a","state":"Odd"}]})",
          R"({"version":1,"full":true,"servers":[{"id":"","state":"Ready"}]})",
          R"({"version":1,"full":true,"\u0073ervers":[{"id":"a","state":"Ready"}]})"}) {
        CAPTURE(malformed);
        CHECK_THROWS_AS(readListUpdate(malformed), protocol::ParseError);
    }
}

TEST_CASE("changes since a version name each changed server once, and removed ones") {
    ListState state(10);
    state.apply(update(5, true, {entryText("a"), entryText("b"), entryText("c")}));
    state.apply(update(6, false, {entryText("a", 2)}));
    state.apply(update(7, false, {entryText("a", 3), entryText("d")}));
    state.apply(update(8, false, {entryText("b", 1, "Gone")}));
    CHECK(idsOf(readListUpdate(*state.changesSince(5))) == Ids{"a", "d", "-b"});
    CHECK(idsOf(readListUpdate(*state.changesSince(6))) == Ids{"a", "d", "-b"});
    CHECK(idsOf(readListUpdate(*state.changesSince(7))) == Ids{"-b"});
    CHECK(idsOf(readListUpdate(*state.changesSince(8))).empty());
    CHECK(readListUpdate(*state.changesSince(4)).isComplete);
    CHECK(idsOf(readListUpdate(*state.completeList())) == Ids{"a", "c", "d"});
    // Removed by a complete list that does not name it, and added again.
    state.apply(update(9, true, {entryText("c"), entryText("d")}));
    CHECK(idsOf(readListUpdate(*state.changesSince(8))) == Ids{"-a"});
    state.apply(update(10, false, {entryText("a", 4)}));
    CHECK(idsOf(readListUpdate(*state.changesSince(8))) == Ids{"a"});
    CHECK(state.tombstones() == 1);
}

TEST_CASE("the same response is serialized once for all readers") {
    ListState state(10);
    state.apply(update(5, true, {entryText("a")}));
    state.apply(update(6, false, {entryText("a", 2)}));
    CHECK(state.changesSince(5) == state.changesSince(5));
    CHECK(state.completeList() == state.completeList());
    const auto before = state.changesSince(5);
    state.apply(update(7, false, {entryText("a", 3)}));
    CHECK(state.changesSince(5) != before);
    CHECK(readListUpdate(*before).version == 6);
}

TEST_CASE(
    "tombstones are bounded, and a reader with a version before the dropped ones gets the complete list") {
    ListState state(2);
    state.apply(update(1, true, {entryText("a"), entryText("b"), entryText("c"), entryText("d")}));
    state.apply(update(2, false, {entryText("a", 1, "Gone")}));
    state.apply(update(3, false, {entryText("b", 1, "Gone")}));
    CHECK(idsOf(readListUpdate(*state.changesSince(1))) == Ids{"-a", "-b"});
    state.apply(update(4, false, {entryText("c", 1, "Gone")}));
    CHECK(state.tombstones() == 2);
    CHECK(readListUpdate(*state.changesSince(1)).isComplete);
    CHECK(idsOf(readListUpdate(*state.changesSince(2))) == Ids{"-b", "-c"});
}

TEST_CASE("an equal entry in an update counts as changed, as readers may have seen another one in between") {
    ListState state(10);
    state.apply(update(10, true, {entryText("a", 1), entryText("b", 1)}));
    state.apply(update(11, false, {entryText("b", 1, "Gone")}));
    // In version 12, a had weight 2 and b was in the list.
    state.apply(update(13, false, {entryText("a", 1), entryText("b", 1, "Gone")}));
    CHECK(idsOf(readListUpdate(*state.changesSince(12))) == Ids{"a", "-b"});
}

TEST_CASE("no changes are given since a version that a complete list skipped") {
    const auto givesCompleteList = [](bool respectsGaps) {
        ListState state(10, {respectsGaps, true});
        state.apply(update(10, true, {entryText("a")}));
        state.apply(update(14, true, {entryText("a"), entryText("b")}));
        CHECK(idsOf(readListUpdate(*state.changesSince(10))) == Ids{"b"});
        CHECK(idsOf(readListUpdate(*state.changesSince(14))).empty());
        return readListUpdate(*state.changesSince(12)).isComplete;
    };
    CHECK(givesCompleteList(true));
    CHECK_FALSE(givesCompleteList(false));
}
