// Tests of ListState and readListUpdate: updates as JSON, changes since a version, tombstones,
// gaps.
#include <doctest/doctest.h>

#include "endpoint_distribution_fixture.hpp"
#include "protocol/endpoint_list.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

// The scanner that cuts entries out of the JSON must not be misled by brackets and quotes in
// strings, by other keys named "servers" or by unusual white space.
TEST_CASE("Passes an entry's text on unchanged, whatever it contains and what surrounds it") {
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

// A list that is malformed for routers would otherwise be passed on to all of them.
TEST_CASE("Rejects a list that a router would reject") {
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

// Readers would keep a removed server, or miss a change, if one were left out of the changes.
TEST_CASE("Changes since a version contain each changed server once, and removed servers") {
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
    // A complete list that does not name a server removes it; a later update adds it again.
    state.apply(update(9, true, {entryText("c"), entryText("d")}));
    CHECK(idsOf(readListUpdate(*state.changesSince(8))) == Ids{"-a"});
    state.apply(update(10, false, {entryText("a", 4)}));
    CHECK(idsOf(readListUpdate(*state.changesSince(8))) == Ids{"a"});
    CHECK(state.tombstones() == 1);
}

// Serializing the same response for each reader would cost time and memory proportional to the
// readers. A cached response must not outlive its version.
TEST_CASE("Serializes the same response once for all readers") {
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

// A reader would keep a removed server if its tombstone were dropped and the reader still got
// changes only.
TEST_CASE("Bounds tombstones and gives readers older than a dropped one the complete list") {
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

// A reader that got an intermediate version from another distributor would keep an outdated entry
// if an entry that equals the one held here were left out of the changes.
TEST_CASE("An entry in an update counts as changed even if it equals the present one") {
    ListState state(10);
    state.apply(update(10, true, {entryText("a", 1), entryText("b", 1)}));
    state.apply(update(11, false, {entryText("b", 1, "Gone")}));
    // In version 12, which is unknown here, a had weight 2 and b was in the list.
    state.apply(update(13, false, {entryText("a", 1), entryText("b", 1, "Gone")}));
    CHECK(idsOf(readListUpdate(*state.changesSince(12))) == Ids{"a", "-b"});
}

// Changes made and undone between the versions 10 and 14 are unknown here, so a reader with version
// 12 would miss them if it got changes.
TEST_CASE("Gives the complete list to a reader whose version was skipped by a complete list") {
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
