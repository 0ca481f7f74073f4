// Tests of the list distributor's decisions: the state of the list, and a distributor between scripted
// upstreams and readers, each promise of its header by itself and all of them in a long random run.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "endpoint_distribution/distributor.hpp"
#include "endpoint_distribution/list_state.hpp"
#include "endpoint_distribution/list_update.hpp"
#include "protocol/endpoint_list.hpp"

using poppyscale::kMillisecond;
using poppyscale::kNever;
using poppyscale::Nanos;
namespace protocol = poppyscale::protocol;
namespace endpoint_distribution = poppyscale::endpoint_distribution;
using namespace poppyscale::endpoint_distribution;

namespace {

constexpr Nanos ms = kMillisecond;

std::string entryText(const std::string& id, int weight = 1, const std::string& state = "Ready") {
    return R"({"id":")" + id + R"(","addr":"127.0.0.1:1","zone":"a","kind":"m","cell":0,"state":")" + state +
           R"(","weight":)" + std::to_string(weight) + R"(,"started_ms":0})";
}

std::string listText(Version version, bool full, const std::vector<std::string>& entries) {
    std::string text = "{\"version\":" + std::to_string(version) + ",\"full\":" + (full ? "true" : "false");
    text += ",\"servers\":[";
    for (const std::string& entry : entries) {
        if (text.back() != '[') text += ",";
        text += entry;
    }
    return text + "]}";
}

ListUpdate update(Version version, bool full, const std::vector<std::string>& entries) {
    return readListUpdate(listText(version, full, entries));
}

// What a reader makes of the answers that it is given.
using Servers = std::map<std::string, std::string>;

void applyTo(Servers& servers, const ListUpdate& told) {
    if (told.isComplete) servers.clear();
    for (const ServerEntry& entry : told.entries) {
        if (entry.isRemoved)
            servers.erase(entry.id);
        else
            servers[entry.id] = entry.text;
    }
}

std::set<std::string> idsOf(const ListUpdate& told) {
    std::set<std::string> ids;
    for (const ServerEntry& entry : told.entries) ids.insert((entry.isRemoved ? "-" : "") + entry.id);
    return ids;
}

using Ids = std::set<std::string>;

// Writes down what it is asked for. Readers take their answers at once, unless they are made slow.
struct ScriptedHost : endpoint_distribution::DistributorHost {
    struct Told {
        ReaderId reader;
        ListResponse answer;
        Nanos at;
    };
    struct Asked {
        std::size_t index;
        std::optional<Version> after;
        Nanos wait;
        Nanos at;
    };
    std::size_t sendResponse(ReaderId reader, const ListResponse& answer) override {
        told.push_back({reader, answer, now});
        if (!slow.contains(reader)) return 0;
        unsent[reader] += answer.body->size();
        return unsent[reader];
    }
    void pollUpstream(std::size_t index, std::optional<Version> after, Nanos wait) override {
        asked.push_back({index, after, wait, now});
    }
    void closeReader(ReaderId reader, CloseReason reason) override { closed[reader] = reason; }
    void scheduleWakeup(Nanos at) override { wake = at; }
    void log(std::string_view text) override { logs.emplace_back(text); }

    Nanos now = 0;
    std::vector<Told> told;
    std::vector<Asked> asked;
    std::map<ReaderId, CloseReason> closed;
    std::set<ReaderId> slow;
    std::map<ReaderId, std::size_t> unsent;
    std::vector<std::string> logs;
    Nanos wake = kNever;
};

struct Stage {
    explicit Stage(const Options& options = {}) : distributor(options, host, 0) { reconcile(); }

    void reconcile() {
        host.now = now;
        distributor.reconcile(now);
    }
    // To that time, by way of each moment at which the distributor wants to be woken.
    void goTo(Nanos at) {
        while (host.wake <= at) {
            now = std::max(now, host.wake);
            reconcile();
        }
        now = at;
        reconcile();
    }
    void pass(Nanos duration) { goTo(now + duration); }
    void upstreamTells(ListUpdate told, Nanos age = 0) {
        host.now = now;
        distributor.onUpstreamResponse(now, std::move(told), age);
        reconcile();
    }
    void upstreamFails(Distributor::Failure failure = Distributor::Failure::unreachable) {
        distributor.onUpstreamFailed(now, failure, "scripted");
        reconcile();
    }
    void ask(ReaderId reader, std::optional<Version> after, Nanos wait = 10 * kSecond) {
        if (known.insert(reader).second) distributor.onReaderConnected(now, reader);
        distributor.onReaderPoll(now, reader, {after, wait});
        reconcile();
    }
    // The last answer to that reader; none if there has been none since the last call.
    std::optional<ListResponse> take(ReaderId reader) {
        std::optional<ListResponse> last;
        for (const auto& told : host.told)
            if (told.reader == reader) last = told.answer;
        std::erase_if(host.told, [reader](const auto& told) { return told.reader == reader; });
        return last;
    }
    ListUpdate takeList(ReaderId reader) {
        const auto answer = take(reader);
        REQUIRE(answer);
        REQUIRE(answer->status == 200);
        return readListUpdate(*answer->body);
    }
    const ScriptedHost::Asked& lastAsked() const { return host.asked.back(); }

    ScriptedHost host;
    Nanos now = 0;
    Distributor distributor;
    std::set<ReaderId> known;
};

Options optionsOf(std::size_t upstreams, std::set<Safeguard> without = {}) {
    Options options;
    options.upstreams = upstreams;
    options.disabledSafeguards = std::move(without);
    return options;
}

}  // namespace

TEST_CASE("an entry's text is passed on as it came, whatever stands around and within it") {
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

TEST_CASE("what a router would refuse as a list is refused") {
    for (const char* spoilt :
         {"", "{", "[]", "{}", R"({"version":1,"full":true})", R"({"version":"1","full":true,"servers":[]})",
          R"({"version":1,"full":true,"servers":[1]})",
          R"({"version":1,"full":true,"servers":[{"id":"a","state":"Odd"}]})",
          R"({"version":1,"full":true,"servers":[{"id":"","state":"Ready"}]})",
          R"({"version":1,"full":true,"\u0073ervers":[{"id":"a","state":"Ready"}]})"}) {
        CAPTURE(spoilt);
        CHECK_THROWS_AS(readListUpdate(spoilt), protocol::ParseError);
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
    // Removed by a whole list that does not name it, and back again.
    state.apply(update(9, true, {entryText("c"), entryText("d")}));
    CHECK(idsOf(readListUpdate(*state.changesSince(8))) == Ids{"-a"});
    state.apply(update(10, false, {entryText("a", 4)}));
    CHECK(idsOf(readListUpdate(*state.changesSince(8))) == Ids{"a"});
    CHECK(state.tombstones() == 1);
}

TEST_CASE("the same answer is serialized once for all who ask it") {
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

TEST_CASE("tombstones are bounded, and a reader of before the dropped ones gets the whole list") {
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

TEST_CASE("a server that is told again as it is here has changed all the same for who saw it in between") {
    ListState state(10);
    state.apply(update(10, true, {entryText("a", 1), entryText("b", 1)}));
    state.apply(update(11, false, {entryText("b", 1, "Gone")}));
    // Weight 2 in version 12, back in 13; there in 12, gone again in 13.
    state.apply(update(13, false, {entryText("a", 1), entryText("b", 1, "Gone")}));
    CHECK(idsOf(readListUpdate(*state.changesSince(12))) == Ids{"a", "-b"});
}

TEST_CASE("nothing is told as changes since a version that a whole list leapt over") {
    const auto play = [](bool mindsGaps) {
        ListState state(10, {mindsGaps, true});
        state.apply(update(10, true, {entryText("a")}));
        state.apply(update(14, true, {entryText("a"), entryText("b")}));
        CHECK(idsOf(readListUpdate(*state.changesSince(10))) == Ids{"b"});
        CHECK(idsOf(readListUpdate(*state.changesSince(14))).empty());
        return readListUpdate(*state.changesSince(12)).isComplete;
    };
    CHECK(play(true));
    CHECK_FALSE(play(false));
}

TEST_CASE(
    "before there is a list readers are sent away for a while, then they get it whole or what has changed") {
    Stage stage;
    CHECK_FALSE(stage.lastAsked().after);
    stage.ask(1, std::nullopt);
    auto answer = stage.take(1);
    REQUIRE(answer);
    CHECK(answer->status == 503);
    CHECK(answer->retryAfterSeconds == 1);
    stage.upstreamTells(update(5, true, {entryText("a")}));
    CHECK(*stage.lastAsked().after == 5);
    stage.ask(2, std::nullopt);
    CHECK(stage.takeList(2).isComplete);
    stage.ask(2, 5);
    CHECK_FALSE(stage.take(2));
    stage.pass(100 * ms);
    stage.upstreamTells(update(6, false, {entryText("a", 2)}));
    const auto told = stage.takeList(2);
    CHECK(told.version == 6);
    CHECK_FALSE(told.isComplete);
    CHECK(idsOf(told) == Ids{"a"});
    // At the end of its wait: nothing has changed.
    stage.ask(2, 6, 300 * ms);
    stage.pass(299 * ms);
    CHECK_FALSE(stage.take(2));
    stage.pass(1 * ms);
    CHECK(stage.takeList(2).version == 6);
}

TEST_CASE("a reader that is ahead is parked until the list is past it, and is never told a lower version") {
    const auto play = [](std::set<Safeguard> without) {
        Stage stage(optionsOf(1, std::move(without)));
        stage.upstreamTells(update(5, true, {entryText("a")}));
        stage.ask(1, 7, 2 * kSecond);
        stage.pass(2 * kSecond);
        const auto first = stage.takeList(1);
        stage.ask(1, 7, 2 * kSecond);
        stage.pass(100 * ms);
        stage.upstreamTells(update(6, false, {entryText("a", 2)}));
        stage.pass(100 * ms);
        const bool toldEarly = stage.take(1).has_value();
        stage.upstreamTells(update(8, false, {entryText("a", 3)}));
        stage.pass(100 * ms);
        const auto last = stage.take(1);
        const bool toldLater = last && readListUpdate(*last->body).version == 8;
        return first.version == 7 && !first.isComplete && first.entries.empty() && !toldEarly && toldLater;
    };
    CHECK(play({}));
    CHECK_FALSE(play({Safeguard::versionGuard}));
}

TEST_CASE("an older list is refused while any upstream has not told an older one") {
    const auto play = [](std::set<Safeguard> without) {
        Stage stage(optionsOf(2, std::move(without)));
        stage.upstreamTells(update(9, true, {entryText("a")}));
        stage.ask(1, 9);
        stage.upstreamTells(update(4, false, {}));
        stage.pass(200 * ms);
        // Its whole list shows whether it has lost what it knew.
        const bool askedWhole = !stage.lastAsked().after && stage.lastAsked().index == 0;
        stage.upstreamTells(update(4, true, {}));
        stage.pass(200 * ms);
        const bool askedNext = !stage.lastAsked().after && stage.lastAsked().index == 1;
        const bool kept = stage.distributor.version() == 9;
        stage.upstreamTells(update(9, true, {entryText("a")}));
        stage.pass(2 * kSecond);
        return askedWhole && askedNext && kept && !stage.take(1) &&
               stage.distributor.status(stage.now).epochs == 0;
    };
    CHECK(play({}));
    CHECK_FALSE(play({Safeguard::olderList}));
}

TEST_CASE("when every upstream has lost what it knew a new epoch begins, and readers get the whole list") {
    Stage stage(optionsOf(2));
    stage.upstreamTells(update(9, true, {entryText("a"), entryText("b")}));
    stage.ask(1, 9, 20 * kSecond);
    stage.ask(2, 2, 20 * kSecond);
    stage.take(2);
    stage.upstreamTells(update(4, true, {entryText("c")}));
    for (const Version version : {3, 4}) {
        stage.pass(300 * ms);
        CHECK_FALSE(stage.lastAsked().after);
        CHECK(stage.distributor.version() == 9);
        stage.upstreamTells(update(version, true, {entryText("c")}));
    }
    CHECK(stage.distributor.version() == 4);
    CHECK(stage.distributor.status(stage.now).epochs == 1);
    CHECK(stage.distributor.status(stage.now).versionFallsRefused == 3);
    CHECK_FALSE(stage.take(1));  // it may be another distributor's haste
    stage.pass(kEpochGrace);
    const auto told = stage.takeList(1);
    CHECK(told.version == 4);
    CHECK(told.isComplete);
    CHECK(idsOf(told) == Ids{"c"});
    // One of before the epoch, whatever its version, gets the whole list.
    stage.ask(2, 3);
    CHECK(stage.takeList(2).isComplete);
}

TEST_CASE("a version that no upstream knows any more is found out, though the distributor never had it") {
    const auto play = [](std::set<Safeguard> without) {
        Options options = optionsOf(2, std::move(without));
        options.upstreamWait = 1 * kSecond;
        Stage stage(options);
        stage.upstreamTells(update(5, true, {entryText("a")}));
        Nanos told = 0;
        for (int asked = 0; asked < 8 && !told; ++asked) {
            stage.ask(1, 100'000, 1 * kSecond);
            for (int step = 0; step < 10; ++step) {
                stage.pass(100 * ms);
                const bool callIsOver = stage.now - stage.lastAsked().at >= stage.lastAsked().wait;
                if (callIsOver) stage.upstreamTells(update(5, false, {}));
            }
            const auto answer = stage.takeList(1);
            if (answer.isComplete) told = stage.now;
            CHECK((answer.isComplete || answer.version == 100'000));
        }
        return told > options.upstreamWait + kAheadPatience;
    };
    CHECK(play({}));
    CHECK_FALSE(play({Safeguard::aheadCheck}));
}

TEST_CASE(
    "while one upstream can't be asked, no version passes for lost, and the others are not asked without "
    "end") {
    Options options = optionsOf(2);
    options.upstreamWait = 1 * kSecond;
    Stage stage(options);
    stage.upstreamTells(update(5, true, {entryText("a")}));
    const std::size_t askedBefore = stage.host.asked.size();
    for (int step = 0; step < 300; ++step) {
        if (step % 10 == 0) stage.ask(1, 100'000, 900 * ms);
        const bool callIsOver = stage.now - stage.lastAsked().at >= stage.lastAsked().wait;
        if (stage.lastAsked().index == 1)
            stage.upstreamFails();
        else if (callIsOver)
            stage.upstreamTells(update(5, false, {}));
        stage.pass(100 * ms);
        if (const auto answer = stage.take(1)) CHECK(readListUpdate(*answer->body).version == 100'000);
    }
    CHECK(stage.host.asked.size() - askedBefore <
          120);  // over 30 s: a wait of half a second to one, and a check each two
}

TEST_CASE("a failure moves to the next upstream and goes on from the version that is here") {
    const auto play = [](std::set<Safeguard> without) {
        Stage stage(optionsOf(2, std::move(without)));
        stage.upstreamTells(update(5, true, {entryText("a")}));
        stage.upstreamFails();
        stage.pass(kMinBackoff);
        const auto asked = stage.lastAsked();
        CHECK(asked.after == std::optional<Version>(5));
        CHECK(asked.wait == 0);
        CHECK(stage.distributor.status(stage.now).lastFailure == "scripted");
        stage.upstreamTells(update(5, false, {}));
        CHECK(stage.distributor.status(stage.now).lastFailure.empty());
        CHECK(stage.lastAsked().wait >= 5 * kSecond);
        return asked.index == 1;
    };
    CHECK(play({}));
    CHECK_FALSE(play({Safeguard::failOver}));
}

TEST_CASE("an upstream that says nothing is left in time; what it says after that is not heard") {
    Stage stage(optionsOf(2));
    stage.upstreamTells(update(5, true, {entryText("a")}));
    const Nanos due = stage.lastAsked().wait + kResponseTimeout;
    stage.pass(due - 1);
    CHECK(stage.distributor.status(stage.now).lastFailure.empty());
    stage.pass(1);
    CHECK(stage.distributor.status(stage.now).lastFailure == "no answer in time");
    stage.upstreamTells(update(6, false, {entryText("a", 2)}));
    CHECK(stage.distributor.version() == 5);
}

TEST_CASE("a discovery that is slow to answer is given the time it needs, and less again when it is quick") {
    const auto play = [](std::set<Safeguard> without) {
        Options options = optionsOf(1, std::move(without));
        options.upstreamWait = 1 * kSecond;
        Stage stage(options);
        stage.upstreamTells(update(1, true, {entryText("a")}));
        Version version = 1;
        Nanos toldAt = 0, longest = 0;
        std::size_t answered = 0;
        for (int step = 0; step < 1'200; ++step) {
            stage.pass(50 * ms);
            // Each answer comes 2.5 s late.
            const auto asked = stage.lastAsked();
            const bool isDue = stage.now - asked.at >= asked.wait + 2'500 * ms;
            if (!isDue || answered == stage.host.asked.size()) continue;
            answered = stage.host.asked.size();
            stage.upstreamTells(update(++version, false, {entryText("a", static_cast<int>(version))}));
            longest = std::max(longest, stage.now - toldAt);
            toldAt = stage.now;
        }
        return stage.now - toldAt < 10 * kSecond && longest < 12 * kSecond;
    };
    CHECK(play({}));
    CHECK_FALSE(play({Safeguard::patience}));
    Options options = optionsOf(1);
    options.upstreamWait = 1 * kSecond;
    Stage stage(options);
    stage.upstreamTells(update(1, true, {entryText("a")}));
    stage.pass(10 * kSecond);  // more than one silence
    const auto answerInTime = [&](Nanos duration) {
        for (const Nanos until = stage.now + duration; stage.now < until; stage.pass(100 * ms))
            if (stage.now - stage.lastAsked().at >= stage.lastAsked().wait)
                stage.upstreamTells(update(1, false, {}));
    };
    const auto isLeftAfter = [&](Nanos time) {
        stage.upstreamTells(update(1, false, {}));
        stage.pass(stage.lastAsked().wait + time);
        return !stage.distributor.status(stage.now).lastFailure.empty();
    };
    answerInTime(kResponseTimeoutRetention / 2);
    CHECK_FALSE(isLeftAfter(kMaxResponseTimeout - 1));
    answerInTime(2 * kResponseTimeoutRetention);
    CHECK(isLeftAfter(kResponseTimeout));
}

TEST_CASE("spoilt changes are not asked for again: the whole list is") {
    Stage stage(optionsOf(1));
    stage.upstreamTells(update(5, true, {entryText("a")}));
    stage.upstreamFails(Distributor::Failure::malformed);
    stage.pass(kMinBackoff);
    CHECK_FALSE(stage.lastAsked().after);
    // Where there is no list, changes are spoilt too.
    Stage fresh(optionsOf(1));
    fresh.upstreamTells(update(5, false, {entryText("a")}));
    CHECK_FALSE(fresh.distributor.status(fresh.now).lastFailure.empty());
    CHECK(fresh.distributor.version() == 0);
}

TEST_CASE(
    "pauses grow from 100 ms to a second, are cut among the upstreams, and differ between distributors") {
    const auto pausesOf = [](std::size_t upstreams, std::uint64_t seed, std::set<Safeguard> without) {
        Options options = optionsOf(upstreams, std::move(without));
        options.seed = seed;
        Stage stage(options);
        std::vector<Nanos> pauses;
        for (int failed = 0; failed < 8; ++failed) {
            const Nanos from = stage.now;
            const auto count = stage.host.asked.size();
            stage.upstreamFails();
            stage.goTo(stage.host.wake);
            CHECK(stage.host.asked.size() == count + 1);
            pauses.push_back(stage.now - from);
        }
        return pauses;
    };
    const auto one = pausesOf(1, 1, {});
    for (std::size_t i = 0; i < one.size(); ++i) {
        const Nanos most = std::min(kMinBackoff << i, kMaxBackoff);
        CHECK(one[i] <= most);
        CHECK(one[i] >= most / 2);
    }
    CHECK(pausesOf(4, 1, {}).back() <= kMaxBackoff / 4);
    CHECK(pausesOf(1, 1, {}) != pausesOf(1, 2, {}));
    // Known mistake: all distributors come back at the same moments.
    CHECK(pausesOf(1, 1, {Safeguard::backoffJitter}) == pausesOf(1, 2, {Safeguard::backoffJitter}));
}

TEST_CASE("readers are answered while no upstream can be reached, and the list's age is told") {
    Stage stage(optionsOf(1));
    stage.upstreamTells(update(5, true, {entryText("a")}), 300 * ms);
    stage.upstreamFails();
    for (int failed = 0; failed < 40; ++failed) {
        stage.pass(1 * kSecond);
        stage.upstreamFails();
    }
    stage.ask(1, std::nullopt);
    const auto answer = stage.take(1);
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->listAgeMs == 40'300);
    CHECK(stage.distributor.status(stage.now).age == 40'300 * ms);
}

TEST_CASE("an upstream whose own list is old is left, and what it tells is taken") {
    const auto play = [](std::set<Safeguard> without) {
        Stage stage(optionsOf(2, std::move(without)));
        stage.upstreamTells(update(5, true, {entryText("a")}));
        stage.upstreamTells(update(6, false, {entryText("b")}), 13 * kSecond);
        CHECK(stage.distributor.version() == 6);
        stage.pass(kMinBackoff);
        return stage.lastAsked().index == 1;
    };
    CHECK(play({}));
    CHECK_FALSE(play({Safeguard::staleUpstream}));
}

TEST_CASE("changes within a batch are told together, and a reader is answered once in a batch at most") {
    const auto play = [](std::set<Safeguard> without) {
        Options options = optionsOf(1, std::move(without));
        options.batch = 50 * ms;
        Stage stage(options);
        stage.upstreamTells(update(1, true, {entryText("a")}));
        stage.pass(1 * kSecond);
        Version version = 1, known = 1;
        int answers = 0;
        Nanos worst = 0, changedAt = 0;
        stage.ask(1, known);
        for (int step = 0; step < 1'000; ++step) {  // a change each 10 ms
            if (!changedAt) changedAt = stage.now;
            stage.upstreamTells(update(++version, false, {entryText("a", static_cast<int>(version))}));
            for (int i = 0; i < 10; ++i) {
                if (const auto answer = stage.take(1)) {
                    ++answers;
                    worst = std::max(worst, stage.now - changedAt);
                    changedAt = 0;
                    known = readListUpdate(*answer->body).version;
                    CHECK(known >=
                          version - 1);  // told at the end of a step, and this change came just after
                    stage.ask(1, known);
                }
                stage.pass(1 * ms);
            }
        }
        CHECK(worst <= options.batch + 1 * ms);
        return answers <= 201;
    };
    CHECK(play({}));
    CHECK_FALSE(play({Safeguard::batching}));
}

TEST_CASE("a reader that asks the same again and again is answered once in a batch") {
    Stage stage;
    stage.upstreamTells(update(1, true, {entryText("a")}));
    stage.upstreamTells(update(2, false, {entryText("a", 2)}));
    stage.pass(1 * kSecond);
    int answers = 0;
    for (int step = 0; step < 1'000; ++step) {
        if (step % 2 == 0)
            stage.ask(1, 1);
        else
            stage.ask(1, std::nullopt);
        answers += stage.take(1).has_value();
        stage.pass(1 * ms);
    }
    CHECK(answers <= 21);
}

TEST_CASE("a reader that does not take its answer is answered no more, and is closed in bounded time") {
    const auto play = [](std::set<Safeguard> without) {
        Options options = optionsOf(1, std::move(without));
        options.maxUnsent = 1'000;
        Stage stage(options);
        std::vector<std::string> entries;
        for (int i = 0; i < 100; ++i) entries.push_back(entryText("s" + std::to_string(i)));
        stage.upstreamTells(update(1, true, entries));
        stage.host.slow = {1, 2};
        stage.ask(1, std::nullopt);  // far over the bound
        stage.ask(2, 0 + 1, 10 * ms);
        for (Version version = 2; version < 100; ++version) {
            stage.upstreamTells(update(version, false, {entryText("s1", static_cast<int>(version))}));
            stage.pass(100 * ms);
            stage.ask(1, version - 1);
            stage.ask(2, version - 1);
            stage.ask(3, version - 1);
            CHECK(stage.take(3).has_value());  // the others go on
        }
        const bool bounded = stage.host.unsent[1] < 20'000 && stage.host.unsent[2] < 1'000;
        const bool closed = stage.host.closed.contains(1) && stage.host.closed.contains(2);
        return bounded && closed && stage.distributor.status(stage.now).slowReadersClosed == 2;
    };
    CHECK(play({}));
    CHECK_FALSE(play({Safeguard::slowReaderBound}));
}

TEST_CASE("a reader that takes its answer late is answered again after that") {
    Stage stage;
    stage.upstreamTells(update(1, true, {entryText("a")}));
    stage.host.slow = {1};
    stage.ask(1, std::nullopt);
    stage.take(1);
    stage.ask(1, 1, 200 * ms);
    stage.pass(3 * kSecond);
    CHECK_FALSE(stage.take(1));
    stage.distributor.onReaderBytesSent(stage.now, 1, 0);
    stage.host.slow.clear();
    stage.pass(200 * ms);
    CHECK(stage.takeList(1).version == 1);
    CHECK(stage.host.closed.empty());
    stage.pass(kIdleTimeout);
    CHECK(stage.host.closed.at(1) == CloseReason::idle);
}

TEST_CASE("over the bound readers are sent away, and a place is free again when one leaves") {
    Options options;
    options.maxReaders = 2;
    Stage stage(options);
    stage.upstreamTells(update(1, true, {entryText("a")}));
    stage.ask(1, 1);
    stage.ask(2, 1);
    stage.ask(3, 1);
    const auto refused = stage.take(3);
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(refused->retryAfterSeconds == 1);
    CHECK(refused->close);
    CHECK(stage.distributor.status(stage.now).readers == 2);
    stage.distributor.onReaderClosed(stage.now, 3);
    stage.distributor.onReaderClosed(stage.now, 1);
    stage.ask(4, std::nullopt);
    CHECK(stage.takeList(4).isComplete);
}

TEST_CASE("at the end all who wait are answered, none with a lower version") {
    Stage stage;
    stage.upstreamTells(update(5, true, {entryText("a")}));
    stage.ask(1, 5);
    stage.ask(2, 8);
    stage.distributor.shutDown(stage.now);
    stage.reconcile();
    const auto first = stage.take(1);
    REQUIRE(first);
    CHECK(first->close);
    CHECK(readListUpdate(*first->body).version == 5);
    CHECK(stage.takeList(2).version == 8);
}

TEST_CASE("guards have names") {
    CHECK(guardNamed("version-guard") == Safeguard::versionGuard);
    CHECK_THROWS_WITH(guardNamed("none"), doctest::Contains("tombstones"));
}

namespace {

// A discovery of which every state is known, so that what a reader has can be held against it.
class Discovery {
  public:
    Discovery() { change("s0", 1, false); }

    void change(const std::string& id, int weight, bool gone) {
        ++version_;
        if (gone)
            servers_.erase(id);
        else
            servers_[id] = entryText(id, weight);
        history_.push_back(gone ? entryText(id, 1, "Gone") : servers_[id]);
        states_.push_back(servers_);
    }
    Version version() const { return version_; }
    const Servers& at(Version version) const { return states_[static_cast<std::size_t>(version - 1)]; }
    // As of an earlier version where it lags behind.
    ListUpdate answer(std::optional<Version> after, Version newest) const {
        std::vector<std::string> entries;
        if (!after) {
            for (const auto& [id, text] : at(newest)) entries.push_back(text);
            return update(newest, true, entries);
        }
        for (Version v = *after + 1; v <= newest; ++v)
            entries.push_back(history_[static_cast<std::size_t>(v - 1)]);
        return update(newest, false, entries);
    }

  private:
    Version version_ = 0;
    Servers servers_;
    std::vector<std::string> history_;
    std::vector<Servers> states_;
};

struct RandomResult {
    std::uint64_t delivered = 0;  // pairs of a reader and a change
    std::uint64_t falls = 0;      // of a version at a reader
    std::uint64_t wrong = 0;      // answers after which a reader's list was not discovery's of that version
    std::size_t behind = 0;       // readers that did not come to the newest version
    std::uint64_t ownFalls = 0;   // of a distributor's own version
    std::uint64_t epochs = 0, refusedFalls = 0, answers = 0;
};

// Two distributors, each with two upstreams that lag, fall back, fail, tell spoilt or whole lists; readers
// that go from one distributor to the other, lose what they know, or leave. Then all heals.
class RandomRun {
  public:
    RandomRun(std::uint64_t seed, std::size_t readers, int steps, const std::set<Safeguard>& without)
        : random_(seed), steps_(steps), readers_(readers) {
        for (std::size_t i = 0; i < 2; ++i) {
            Options options = optionsOf(2, without);
            options.upstreamWait = 1 * kSecond;
            options.maxTombstones = 5;
            options.seed = seed * 2 + i;
            stages_.push_back(std::make_unique<Stage>(options));
        }
        for (std::size_t r = 0; r < readers_.size(); ++r) readers_[r].stage = r % 2;
    }

    RandomResult play() {
        for (int step = 0; step < steps_; ++step) turn(step < steps_ * 9 / 10);
        for (const Reader& reader : readers_) result_.behind += reader.version != discovery_.version();
        for (const auto& stage : stages_) {
            const DistributorStatus status = stage->distributor.status(stage->now);
            result_.epochs += status.epochs;
            result_.refusedFalls += status.versionFallsRefused;
        }
        return result_;
    }

  private:
    struct Reader {
        std::size_t stage = 0;
        ReaderId connection = 0;
        Version version = 0;
        bool knows = false;
    };

    struct Outcome {
        SharedBytes body;  // kept, so that no other has its address
        Version version = 0;
        bool isRight = false;
    };

    bool chance(int oneIn) { return random_() % static_cast<std::uint64_t>(oneIn) == 0; }

    void turn(bool troubled) {
        const bool changes = troubled && !chance(3);
        if (changes)
            discovery_.change("s" + std::to_string(random_() % 30), static_cast<int>(random_() % 5),
                              chance(3));
        for (std::size_t i = 0; i < stages_.size(); ++i) {
            const Version before = stages_[i]->distributor.version();
            playUpstream(*stages_[i], troubled);
            result_.ownFalls += stages_[i]->distributor.version() < before;
            stages_[i]->pass(25 * ms);
            deliver(i);
        }
        for (std::size_t r = 0; r < readers_.size(); ++r) {
            Reader& reader = readers_[r];
            if (!reader.connection) connect(r);
            if (troubled && chance(50)) move(r);
        }
    }

    void playUpstream(Stage& stage, bool troubled) {
        const auto& asked = stage.lastAsked();
        if (stage.host.asked.size() == heard_[&stage]) return;  // it has been answered
        Version newest = discovery_.version();
        // The first upstream of each lags at times, which makes it tell older versions; the second never
        // does, so that there is no new epoch.
        if (troubled && asked.index == 0 && chance(4))
            newest = std::max<Version>(1, newest - 1 - random_() % 10);
        const bool isParked =
            asked.after && *asked.after >= newest && stage.now - asked.at < asked.wait && !chance(10);
        if (isParked) return;
        heard_[&stage] = stage.host.asked.size();
        if (troubled && chance(15))
            return stage.upstreamFails(chance(2) ? Distributor::Failure::unreachable
                                                 : Distributor::Failure::malformed);
        const bool tellsWhole = !asked.after || *asked.after > newest || chance(20);
        stage.upstreamTells(discovery_.answer(tellsWhole ? std::nullopt : asked.after, newest));
    }

    void connect(std::size_t r) {
        Reader& reader = readers_[r];
        reader.connection = ++lastConnection_;
        owners_[reader.connection] = r;
        ask(reader);
    }
    void ask(Reader& reader) {
        stages_[reader.stage]->ask(reader.connection,
                                   reader.knows ? std::optional(reader.version) : std::nullopt, 500 * ms);
    }
    void move(std::size_t r) {
        Reader& reader = readers_[r];
        Stage& stage = *stages_[reader.stage];
        stage.distributor.onReaderClosed(stage.now, reader.connection);
        owners_.erase(reader.connection);
        reader.connection = 0;
        reader.stage = random_() % stages_.size();
        if (!chance(20)) return;
        reader.knows = false;  // it starts anew
        reader.version = 0;
    }

    void deliver(std::size_t index) {
        auto told = std::move(stages_[index]->host.told);
        stages_[index]->host.told.clear();
        for (const auto& one : told) {
            const auto owner = owners_.find(one.reader);
            if (owner == owners_.end()) continue;
            Reader& reader = readers_[owner->second];
            ++result_.answers;
            if (one.answer.status == 200) take(reader, one.answer.body);
            ask(reader);
        }
    }
    void take(Reader& reader, const SharedBytes& body) {
        const Version before = reader.knows ? reader.version : 0;
        const Outcome& outcome = outcomeOf(before, body);
        if (outcome.version < before) ++result_.falls;
        if (reader.knows && outcome.version > before)
            result_.delivered += static_cast<std::uint64_t>(outcome.version - before);
        if (!outcome.isRight) ++result_.wrong;
        reader.version = outcome.version;
        reader.knows = true;
    }
    // What an answer makes of discovery's list of a version (0: of none), which is what a reader with that
    // version has as long as nothing was wrong. Looked at once for all readers that are given it.
    const Outcome& outcomeOf(Version before, const SharedBytes& body) {
        if (outcomes_.size() > 2'000) outcomes_.clear();
        Outcome& outcome = outcomes_[{before, body.get()}];
        if (outcome.body) return outcome;
        outcome.body = body;
        const ListUpdate told = readListUpdate(*body);
        outcome.version = told.version;
        Servers servers = before > 0 ? discovery_.at(before) : Servers{};
        applyTo(servers, told);
        outcome.isRight = servers == discovery_.at(told.version);
        return outcome;
    }

    std::mt19937_64 random_;
    int steps_;
    std::vector<Reader> readers_;
    Discovery discovery_;
    std::vector<std::unique_ptr<Stage>> stages_;
    std::map<const Stage*, std::size_t> heard_;
    std::map<ReaderId, std::size_t> owners_;
    std::map<std::pair<Version, const std::string*>, Outcome> outcomes_;
    ReaderId lastConnection_ = 0;
    RandomResult result_;
};

}  // namespace

TEST_CASE(
    "a million changes through falling, lagging and failing upstreams: no version falls, every list is "
    "right") {
    const RandomResult result = RandomRun(7, 400, 4'700, {}).play();
    MESSAGE("delivered ", result.delivered, " answers ", result.answers, " refused falls ",
            result.refusedFalls);
    CHECK(result.delivered >= 1'000'000);
    CHECK(result.refusedFalls > 100);
    CHECK(result.epochs == 0);
    CHECK(result.falls == 0);
    CHECK(result.ownFalls == 0);
    CHECK(result.wrong == 0);
    CHECK(result.behind == 0);
}

TEST_CASE("the random run finds what is left out of what keeps versions and lists") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        const RandomResult result = RandomRun(seed, 40, 1'000, {}).play();
        CHECK(result.falls == 0);
        CHECK(result.ownFalls == 0);
        CHECK(result.wrong == 0);
        CHECK(result.behind == 0);
    }
    for (const Safeguard guard :
         {Safeguard::versionGuard, Safeguard::olderList, Safeguard::tombstones, Safeguard::gaps}) {
        CAPTURE(static_cast<int>(guard));
        bool found = false;
        std::uint64_t seed = 0;
        while (!found && seed < 20) {
            ++seed;
            const RandomResult result = RandomRun(seed, 40, 1'000, {guard}).play();
            found = result.falls + result.wrong + result.behind + result.ownFalls > 0;
        }
        MESSAGE("guard ", static_cast<int>(guard), " left out: found in run ", seed);
        CHECK(found);
    }
}
