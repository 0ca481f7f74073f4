// Tests of the endpoint list distributor's decisions: the list's state, and a distributor between scripted
// upstreams and readers; each guarantee of its header by itself, and all of them in a long random run.
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

std::string listText(Version version, bool isComplete, const std::vector<std::string>& entries) {
    std::string text =
        "{\"version\":" + std::to_string(version) + ",\"full\":" + (isComplete ? "true" : "false");
    text += ",\"servers\":[";
    for (const std::string& entry : entries) {
        if (text.back() != '[') text += ",";
        text += entry;
    }
    return text + "]}";
}

ListUpdate update(Version version, bool isComplete, const std::vector<std::string>& entries) {
    return readListUpdate(listText(version, isComplete, entries));
}

// A reader's list, by server id.
using Servers = std::map<std::string, std::string>;

void applyTo(Servers& servers, const ListUpdate& update) {
    if (update.isComplete) servers.clear();
    for (const ServerEntry& entry : update.entries) {
        if (entry.isRemoved)
            servers.erase(entry.id);
        else
            servers[entry.id] = entry.text;
    }
}

std::set<std::string> idsOf(const ListUpdate& update) {
    std::set<std::string> ids;
    for (const ServerEntry& entry : update.entries) ids.insert((entry.isRemoved ? "-" : "") + entry.id);
    return ids;
}

using Ids = std::set<std::string>;

// Records the distributor's actions. Readers take their responses at once, except the slow ones.
struct ScriptedHost : endpoint_distribution::DistributorHost {
    struct Response {
        ReaderId reader;
        ListResponse response;
        Nanos at;
    };
    struct Poll {
        std::size_t index;
        std::optional<Version> after;
        Nanos wait;
        Nanos at;
    };
    std::size_t sendResponse(ReaderId reader, const ListResponse& response) override {
        responses.push_back({reader, response, now});
        if (!slow.contains(reader)) return 0;
        unsent[reader] += response.body->size();
        return unsent[reader];
    }
    void pollUpstream(std::size_t index, std::optional<Version> after, Nanos wait) override {
        polls.push_back({index, after, wait, now});
    }
    void closeReader(ReaderId reader, CloseReason reason) override { closed[reader] = reason; }
    void scheduleWakeup(Nanos at) override { wakeupAt = at; }
    void log(std::string_view text) override { logs.emplace_back(text); }

    Nanos now = 0;
    std::vector<Response> responses;
    std::vector<Poll> polls;
    std::map<ReaderId, CloseReason> closed;
    std::set<ReaderId> slow;
    std::map<ReaderId, std::size_t> unsent;
    std::vector<std::string> logs;
    Nanos wakeupAt = kNever;
};

struct Fixture {
    explicit Fixture(const Options& options = {}) : distributor(options, host, 0) { reconcile(); }

    void reconcile() {
        host.now = now;
        distributor.reconcile(now);
    }
    // Advances to that time, with a reconcile at each wakeup.
    void advanceTo(Nanos at) {
        while (host.wakeupAt <= at) {
            now = std::max(now, host.wakeupAt);
            reconcile();
        }
        now = at;
        reconcile();
    }
    void advance(Nanos duration) { advanceTo(now + duration); }
    void upstreamResponds(ListUpdate update, Nanos age = 0) {
        host.now = now;
        distributor.onUpstreamResponse(now, std::move(update), age);
        reconcile();
    }
    void upstreamFails(Distributor::Failure failure = Distributor::Failure::unreachable) {
        distributor.onUpstreamFailed(now, failure, "scripted");
        reconcile();
    }
    void poll(ReaderId reader, std::optional<Version> after, Nanos wait = 10 * kSecond) {
        const bool isNew = connected.insert(reader).second;
        if (isNew) distributor.onReaderConnected(now, reader);
        distributor.onReaderPoll(now, reader, {after, wait});
        reconcile();
    }
    // The last response to that reader since the call before, if there was one.
    std::optional<ListResponse> take(ReaderId reader) {
        std::optional<ListResponse> last;
        for (const auto& sent : host.responses)
            if (sent.reader == reader) last = sent.response;
        std::erase_if(host.responses, [reader](const auto& sent) { return sent.reader == reader; });
        return last;
    }
    ListUpdate takeList(ReaderId reader) {
        const auto response = take(reader);
        REQUIRE(response);
        REQUIRE(response->status == 200);
        return readListUpdate(*response->body);
    }
    const ScriptedHost::Poll& lastPoll() const { return host.polls.back(); }

    ScriptedHost host;
    Nanos now = 0;
    Distributor distributor;
    std::set<ReaderId> connected;
};

Options optionsOf(std::size_t upstreams, std::set<Safeguard> disabled = {}) {
    Options options;
    options.upstreams = upstreams;
    options.disabledSafeguards = std::move(disabled);
    return options;
}

}  // namespace

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

TEST_CASE("before there is a list readers get a Retry-After, then the complete list or the changes") {
    Fixture fixture;
    CHECK_FALSE(fixture.lastPoll().after);
    fixture.poll(1, std::nullopt);
    auto response = fixture.take(1);
    REQUIRE(response);
    CHECK(response->status == 503);
    CHECK(response->retryAfterSeconds == 1);
    fixture.upstreamResponds(update(5, true, {entryText("a")}));
    CHECK(*fixture.lastPoll().after == 5);
    fixture.poll(2, std::nullopt);
    CHECK(fixture.takeList(2).isComplete);
    fixture.poll(2, 5);
    CHECK_FALSE(fixture.take(2));
    fixture.advance(100 * ms);
    fixture.upstreamResponds(update(6, false, {entryText("a", 2)}));
    const auto received = fixture.takeList(2);
    CHECK(received.version == 6);
    CHECK_FALSE(received.isComplete);
    CHECK(idsOf(received) == Ids{"a"});
    // At the end of its wait: nothing has changed.
    fixture.poll(2, 6, 300 * ms);
    fixture.advance(299 * ms);
    CHECK_FALSE(fixture.take(2));
    fixture.advance(1 * ms);
    CHECK(fixture.takeList(2).version == 6);
}

TEST_CASE("a reader that is ahead is parked until the list is past it, and never gets a lower version") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Fixture fixture(optionsOf(1, std::move(disabled)));
        fixture.upstreamResponds(update(5, true, {entryText("a")}));
        fixture.poll(1, 7, 2 * kSecond);
        fixture.advance(2 * kSecond);
        const auto first = fixture.takeList(1);
        fixture.poll(1, 7, 2 * kSecond);
        fixture.advance(100 * ms);
        fixture.upstreamResponds(update(6, false, {entryText("a", 2)}));
        fixture.advance(100 * ms);
        const bool isEarly = fixture.take(1).has_value();
        fixture.upstreamResponds(update(8, false, {entryText("a", 3)}));
        fixture.advance(100 * ms);
        const auto last = fixture.take(1);
        const bool isLater = last && readListUpdate(*last->body).version == 8;
        return first.version == 7 && !first.isComplete && first.entries.empty() && !isEarly && isLater;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::versionGuard}));
}

TEST_CASE("an older list is rejected while any upstream has not sent an older one") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Fixture fixture(optionsOf(2, std::move(disabled)));
        fixture.upstreamResponds(update(9, true, {entryText("a")}));
        fixture.poll(1, 9);
        fixture.upstreamResponds(update(4, false, {}));
        fixture.advance(200 * ms);
        // The complete list shows whether the upstream has lost its versions.
        const bool requestedComplete = !fixture.lastPoll().after && fixture.lastPoll().index == 0;
        fixture.upstreamResponds(update(4, true, {}));
        fixture.advance(200 * ms);
        const bool polledNext = !fixture.lastPoll().after && fixture.lastPoll().index == 1;
        const bool isUnchanged = fixture.distributor.version() == 9;
        fixture.upstreamResponds(update(9, true, {entryText("a")}));
        fixture.advance(2 * kSecond);
        return requestedComplete && polledNext && isUnchanged && !fixture.take(1) &&
               fixture.distributor.status(fixture.now).epochs == 0;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::olderList}));
}

TEST_CASE("when every upstream has lost its versions a new epoch begins, and readers get the complete list") {
    Fixture fixture(optionsOf(2));
    fixture.upstreamResponds(update(9, true, {entryText("a"), entryText("b")}));
    fixture.poll(1, 9, 20 * kSecond);
    fixture.poll(2, 2, 20 * kSecond);
    fixture.take(2);
    fixture.upstreamResponds(update(4, true, {entryText("c")}));
    for (const Version version : {3, 4}) {
        fixture.advance(300 * ms);
        CHECK_FALSE(fixture.lastPoll().after);
        CHECK(fixture.distributor.version() == 9);
        fixture.upstreamResponds(update(version, true, {entryText("c")}));
    }
    CHECK(fixture.distributor.version() == 4);
    CHECK(fixture.distributor.status(fixture.now).epochs == 1);
    CHECK(fixture.distributor.status(fixture.now).versionFallsRefused == 3);
    CHECK_FALSE(fixture.take(1));  // another distributor may be ahead
    fixture.advance(kEpochGrace);
    const auto received = fixture.takeList(1);
    CHECK(received.version == 4);
    CHECK(received.isComplete);
    CHECK(idsOf(received) == Ids{"c"});
    // A reader of the old epoch, whatever its version, gets the complete list.
    fixture.poll(2, 3);
    CHECK(fixture.takeList(2).isComplete);
}

TEST_CASE("a version that no upstream has any more is detected, though the distributor never had it") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Options options = optionsOf(2, std::move(disabled));
        options.upstreamWait = 1 * kSecond;
        Fixture fixture(options);
        fixture.upstreamResponds(update(5, true, {entryText("a")}));
        Nanos detectedAt = 0;
        for (int request = 0; request < 8 && !detectedAt; ++request) {
            fixture.poll(1, 100'000, 1 * kSecond);
            for (int step = 0; step < 10; ++step) {
                fixture.advance(100 * ms);
                const bool callIsOver = fixture.now - fixture.lastPoll().at >= fixture.lastPoll().wait;
                if (callIsOver) fixture.upstreamResponds(update(5, false, {}));
            }
            const auto response = fixture.takeList(1);
            if (response.isComplete) detectedAt = fixture.now;
            CHECK((response.isComplete || response.version == 100'000));
        }
        return detectedAt > options.upstreamWait + kAheadPatience;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::aheadCheck}));
}

TEST_CASE(
    "while one upstream is unreachable, no version counts as lost, and the others are not polled without "
    "end") {
    Options options = optionsOf(2);
    options.upstreamWait = 1 * kSecond;
    Fixture fixture(options);
    fixture.upstreamResponds(update(5, true, {entryText("a")}));
    const std::size_t pollsBefore = fixture.host.polls.size();
    for (int step = 0; step < 300; ++step) {
        if (step % 10 == 0) fixture.poll(1, 100'000, 900 * ms);
        const bool callIsOver = fixture.now - fixture.lastPoll().at >= fixture.lastPoll().wait;
        if (fixture.lastPoll().index == 1)
            fixture.upstreamFails();
        else if (callIsOver)
            fixture.upstreamResponds(update(5, false, {}));
        fixture.advance(100 * ms);
        if (const auto response = fixture.take(1)) CHECK(readListUpdate(*response->body).version == 100'000);
    }
    CHECK(fixture.host.polls.size() - pollsBefore <
          120);  // over 30 s: a wait of half a second to one, and a check each two
}

TEST_CASE("after a failure the next upstream is polled, from the version that is here") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Fixture fixture(optionsOf(2, std::move(disabled)));
        fixture.upstreamResponds(update(5, true, {entryText("a")}));
        fixture.upstreamFails();
        fixture.advance(kMinBackoff);
        const auto lastPoll = fixture.lastPoll();
        CHECK(lastPoll.after == std::optional<Version>(5));
        CHECK(lastPoll.wait == 0);
        CHECK(fixture.distributor.status(fixture.now).lastFailure == "scripted");
        fixture.upstreamResponds(update(5, false, {}));
        CHECK(fixture.distributor.status(fixture.now).lastFailure.empty());
        CHECK(fixture.lastPoll().wait >= 5 * kSecond);
        return lastPoll.index == 1;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::failOver}));
}

TEST_CASE("a silent upstream is left in time; a response after that is ignored") {
    Fixture fixture(optionsOf(2));
    fixture.upstreamResponds(update(5, true, {entryText("a")}));
    const Nanos due = fixture.lastPoll().wait + kResponseTimeout;
    fixture.advance(due - 1);
    CHECK(fixture.distributor.status(fixture.now).lastFailure.empty());
    fixture.advance(1);
    CHECK(fixture.distributor.status(fixture.now).lastFailure == "no answer in time");
    fixture.upstreamResponds(update(6, false, {entryText("a", 2)}));
    CHECK(fixture.distributor.version() == 5);
}

TEST_CASE("a slow discovery gets a longer timeout, and a quick one the short timeout again") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Options options = optionsOf(1, std::move(disabled));
        options.upstreamWait = 1 * kSecond;
        Fixture fixture(options);
        fixture.upstreamResponds(update(1, true, {entryText("a")}));
        Version version = 1;
        Nanos respondedAt = 0;
        Nanos longest = 0;
        std::size_t answered = 0;
        for (int step = 0; step < 1'200; ++step) {
            fixture.advance(50 * ms);
            // Each response comes 2.5 s late.
            const auto lastPoll = fixture.lastPoll();
            const bool isDue = fixture.now - lastPoll.at >= lastPoll.wait + 2'500 * ms;
            if (!isDue || answered == fixture.host.polls.size()) continue;
            answered = fixture.host.polls.size();
            ++version;
            fixture.upstreamResponds(update(version, false, {entryText("a", static_cast<int>(version))}));
            longest = std::max(longest, fixture.now - respondedAt);
            respondedAt = fixture.now;
        }
        return fixture.now - respondedAt < 10 * kSecond && longest < 12 * kSecond;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::patience}));
    Options options = optionsOf(1);
    options.upstreamWait = 1 * kSecond;
    Fixture fixture(options);
    fixture.upstreamResponds(update(1, true, {entryText("a")}));
    fixture.advance(10 * kSecond);  // more than one silence
    const auto answerInTime = [&](Nanos duration) {
        for (const Nanos until = fixture.now + duration; fixture.now < until; fixture.advance(100 * ms))
            if (fixture.now - fixture.lastPoll().at >= fixture.lastPoll().wait)
                fixture.upstreamResponds(update(1, false, {}));
    };
    const auto isLeftAfter = [&](Nanos time) {
        fixture.upstreamResponds(update(1, false, {}));
        fixture.advance(fixture.lastPoll().wait + time);
        return !fixture.distributor.status(fixture.now).lastFailure.empty();
    };
    answerInTime(kResponseTimeoutRetention / 2);
    CHECK_FALSE(isLeftAfter(kMaxResponseTimeout - 1));
    answerInTime(2 * kResponseTimeoutRetention);
    CHECK(isLeftAfter(kResponseTimeout));
}

TEST_CASE("after malformed changes the complete list is requested") {
    Fixture fixture(optionsOf(1));
    fixture.upstreamResponds(update(5, true, {entryText("a")}));
    fixture.upstreamFails(Distributor::Failure::malformed);
    fixture.advance(kMinBackoff);
    CHECK_FALSE(fixture.lastPoll().after);
    // Where there is no list, changes are malformed too.
    Fixture fresh(optionsOf(1));
    fresh.upstreamResponds(update(5, false, {entryText("a")}));
    CHECK_FALSE(fresh.distributor.status(fresh.now).lastFailure.empty());
    CHECK(fresh.distributor.version() == 0);
}

TEST_CASE(
    "pauses grow from 100 ms to a second, are divided by the upstreams, and differ between distributors") {
    const auto pausesOf = [](std::size_t upstreams, std::uint64_t seed, std::set<Safeguard> disabled) {
        Options options = optionsOf(upstreams, std::move(disabled));
        options.seed = seed;
        Fixture fixture(options);
        std::vector<Nanos> pauses;
        for (int failed = 0; failed < 8; ++failed) {
            const Nanos from = fixture.now;
            const auto count = fixture.host.polls.size();
            fixture.upstreamFails();
            fixture.advanceTo(fixture.host.wakeupAt);
            CHECK(fixture.host.polls.size() == count + 1);
            pauses.push_back(fixture.now - from);
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
    // Without jitter all distributors return at the same moments.
    CHECK(pausesOf(1, 1, {Safeguard::backoffJitter}) == pausesOf(1, 2, {Safeguard::backoffJitter}));
}

TEST_CASE("readers are answered while no upstream is reachable, and the list's age is reported") {
    Fixture fixture(optionsOf(1));
    fixture.upstreamResponds(update(5, true, {entryText("a")}), 300 * ms);
    fixture.upstreamFails();
    for (int failed = 0; failed < 40; ++failed) {
        fixture.advance(1 * kSecond);
        fixture.upstreamFails();
    }
    fixture.poll(1, std::nullopt);
    const auto response = fixture.take(1);
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->listAgeMs == 40'300);
    CHECK(fixture.distributor.status(fixture.now).age == 40'300 * ms);
}

TEST_CASE("an upstream whose own list is stale is left, and its list is taken") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Fixture fixture(optionsOf(2, std::move(disabled)));
        fixture.upstreamResponds(update(5, true, {entryText("a")}));
        fixture.upstreamResponds(update(6, false, {entryText("b")}), 13 * kSecond);
        CHECK(fixture.distributor.version() == 6);
        fixture.advance(kMinBackoff);
        return fixture.lastPoll().index == 1;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::staleUpstream}));
}

TEST_CASE("changes within a batch are sent together, and a reader gets one response in a batch at most") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Options options = optionsOf(1, std::move(disabled));
        options.batch = 50 * ms;
        Fixture fixture(options);
        fixture.upstreamResponds(update(1, true, {entryText("a")}));
        fixture.advance(1 * kSecond);
        Version version = 1;
        Version known = 1;
        int answers = 0;
        Nanos worst = 0;
        Nanos changedAt = 0;
        fixture.poll(1, known);
        for (int step = 0; step < 1'000; ++step) {  // a change each 10 ms
            if (!changedAt) changedAt = fixture.now;
            ++version;
            fixture.upstreamResponds(update(version, false, {entryText("a", static_cast<int>(version))}));
            for (int i = 0; i < 10; ++i) {
                if (const auto response = fixture.take(1)) {
                    ++answers;
                    worst = std::max(worst, fixture.now - changedAt);
                    changedAt = 0;
                    known = readListUpdate(*response->body).version;
                    CHECK(known >= version - 1);  // sent at the end of a step, just before this change
                    fixture.poll(1, known);
                }
                fixture.advance(1 * ms);
            }
        }
        CHECK(worst <= options.batch + 1 * ms);
        return answers <= 201;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::batching}));
}

TEST_CASE("a reader that repeats its request gets one response in a batch") {
    Fixture fixture;
    fixture.upstreamResponds(update(1, true, {entryText("a")}));
    fixture.upstreamResponds(update(2, false, {entryText("a", 2)}));
    fixture.advance(1 * kSecond);
    int answers = 0;
    for (int step = 0; step < 1'000; ++step) {
        if (step % 2 == 0)
            fixture.poll(1, 1);
        else
            fixture.poll(1, std::nullopt);
        if (fixture.take(1)) ++answers;
        fixture.advance(1 * ms);
    }
    CHECK(answers <= 21);
}

TEST_CASE("a reader that does not take its response gets no further one, and is closed in bounded time") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Options options = optionsOf(1, std::move(disabled));
        options.maxUnsent = 1'000;
        Fixture fixture(options);
        std::vector<std::string> entries;
        for (int i = 0; i < 100; ++i) entries.push_back(entryText("s" + std::to_string(i)));
        fixture.upstreamResponds(update(1, true, entries));
        fixture.host.slow = {1, 2};
        fixture.poll(1, std::nullopt);  // far over the bound
        fixture.poll(2, 0 + 1, 10 * ms);
        for (Version version = 2; version < 100; ++version) {
            fixture.upstreamResponds(update(version, false, {entryText("s1", static_cast<int>(version))}));
            fixture.advance(100 * ms);
            fixture.poll(1, version - 1);
            fixture.poll(2, version - 1);
            fixture.poll(3, version - 1);
            CHECK(fixture.take(3).has_value());  // the others go on
        }
        const bool bounded = fixture.host.unsent[1] < 20'000 && fixture.host.unsent[2] < 1'000;
        const bool closed = fixture.host.closed.contains(1) && fixture.host.closed.contains(2);
        return bounded && closed && fixture.distributor.status(fixture.now).slowReadersClosed == 2;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::slowReaderBound}));
}

TEST_CASE("a reader that takes its response late is answered again after that") {
    Fixture fixture;
    fixture.upstreamResponds(update(1, true, {entryText("a")}));
    fixture.host.slow = {1};
    fixture.poll(1, std::nullopt);
    fixture.take(1);
    fixture.poll(1, 1, 200 * ms);
    fixture.advance(3 * kSecond);
    CHECK_FALSE(fixture.take(1));
    fixture.distributor.onReaderBytesSent(fixture.now, 1, 0);
    fixture.host.slow.clear();
    fixture.advance(200 * ms);
    CHECK(fixture.takeList(1).version == 1);
    CHECK(fixture.host.closed.empty());
    fixture.advance(kIdleTimeout);
    CHECK(fixture.host.closed.at(1) == CloseReason::idle);
}

TEST_CASE("over the bound readers are rejected, until an admitted one disconnects") {
    Options options;
    options.maxReaders = 2;
    Fixture fixture(options);
    fixture.upstreamResponds(update(1, true, {entryText("a")}));
    fixture.poll(1, 1);
    fixture.poll(2, 1);
    fixture.poll(3, 1);
    const auto refused = fixture.take(3);
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(refused->retryAfterSeconds == 1);
    CHECK(refused->close);
    CHECK(fixture.distributor.status(fixture.now).readers == 2);
    fixture.distributor.onReaderClosed(fixture.now, 3);
    fixture.distributor.onReaderClosed(fixture.now, 1);
    fixture.poll(4, std::nullopt);
    CHECK(fixture.takeList(4).isComplete);
}

TEST_CASE("at shutdown all waiting readers are answered, none with a lower version") {
    Fixture fixture;
    fixture.upstreamResponds(update(5, true, {entryText("a")}));
    fixture.poll(1, 5);
    fixture.poll(2, 8);
    fixture.distributor.shutDown(fixture.now);
    fixture.reconcile();
    const auto first = fixture.take(1);
    REQUIRE(first);
    CHECK(first->close);
    CHECK(readListUpdate(*first->body).version == 5);
    CHECK(fixture.takeList(2).version == 8);
}

TEST_CASE("safeguards have names") {
    CHECK(safeguardNamed("version-guard") == Safeguard::versionGuard);
    CHECK_THROWS_WITH(safeguardNamed("none"), doctest::Contains("tombstones"));
}

namespace {

// A discovery whose states are all recorded, so that a reader's list can be compared with them.
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
    // With an earlier `newest` version where it lags behind.
    ListUpdate respond(std::optional<Version> after, Version newest) const {
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
    std::uint64_t wrong = 0;      // responses after which a reader's list was not discovery's of that version
    std::size_t behind = 0;       // readers that did not reach the newest version
    std::uint64_t ownFalls = 0;   // of a distributor's own version
    std::uint64_t epochs = 0;
    std::uint64_t rejectedFalls = 0;
    std::uint64_t responses = 0;
};

// Two distributors, each with two upstreams that lag, fail, and send malformed or complete lists; readers
// that move from one distributor to the other, restart, or disconnect. Then all faults end.
class RandomRun {
  public:
    RandomRun(std::uint64_t seed, std::size_t readers, int steps, const std::set<Safeguard>& disabled)
        : random_(seed), steps_(steps), readers_(readers) {
        for (std::size_t i = 0; i < 2; ++i) {
            Options options = optionsOf(2, disabled);
            options.upstreamWait = 1 * kSecond;
            options.maxTombstones = 5;
            options.seed = seed * 2 + i;
            fixtures_.push_back(std::make_unique<Fixture>(options));
        }
        for (std::size_t r = 0; r < readers_.size(); ++r) readers_[r].fixture = r % 2;
    }

    RandomResult run() {
        for (int i = 0; i < steps_; ++i) step(i < steps_ * 9 / 10);
        for (const Reader& reader : readers_)
            if (reader.version != discovery_.version()) ++result_.behind;
        for (const auto& fixture : fixtures_) {
            const DistributorStatus status = fixture->distributor.status(fixture->now);
            result_.epochs += status.epochs;
            result_.rejectedFalls += status.versionFallsRefused;
        }
        return result_;
    }

  private:
    struct Reader {
        std::size_t fixture = 0;
        ReaderId connection = 0;
        Version version = 0;
        bool knows = false;
    };

    struct Outcome {
        SharedBytes body;  // retained, so that its address stays unique
        Version version = 0;
        bool isRight = false;
    };

    bool happens(int oneIn) { return random_() % static_cast<std::uint64_t>(oneIn) == 0; }

    void step(bool hasFaults) {
        const bool changes = hasFaults && !happens(3);
        if (changes)
            discovery_.change("s" + std::to_string(random_() % 30), static_cast<int>(random_() % 5),
                              happens(3));
        for (std::size_t i = 0; i < fixtures_.size(); ++i) {
            const Version before = fixtures_[i]->distributor.version();
            runUpstream(*fixtures_[i], hasFaults);
            if (fixtures_[i]->distributor.version() < before) ++result_.ownFalls;
            fixtures_[i]->advance(25 * ms);
            deliver(i);
        }
        for (std::size_t r = 0; r < readers_.size(); ++r) {
            Reader& reader = readers_[r];
            if (!reader.connection) connect(r);
            if (hasFaults && happens(50)) move(r);
        }
    }

    void runUpstream(Fixture& fixture, bool hasFaults) {
        const auto& lastPoll = fixture.lastPoll();
        if (fixture.host.polls.size() == answeredPolls_[&fixture]) return;  // it has responded
        Version newest = discovery_.version();
        // Only the first upstream lags at times and sends older versions, so that no new epoch begins.
        if (hasFaults && lastPoll.index == 0 && happens(4))
            newest = std::max<Version>(1, newest - 1 - random_() % 10);
        const bool isParked = lastPoll.after && *lastPoll.after >= newest &&
                              fixture.now - lastPoll.at < lastPoll.wait && !happens(10);
        if (isParked) return;
        answeredPolls_[&fixture] = fixture.host.polls.size();
        if (hasFaults && happens(15))
            return fixture.upstreamFails(happens(2) ? Distributor::Failure::unreachable
                                                    : Distributor::Failure::malformed);
        const bool sendsCompleteList = !lastPoll.after || *lastPoll.after > newest || happens(20);
        fixture.upstreamResponds(
            discovery_.respond(sendsCompleteList ? std::nullopt : lastPoll.after, newest));
    }

    void connect(std::size_t r) {
        Reader& reader = readers_[r];
        reader.connection = ++lastConnection_;
        owners_[reader.connection] = r;
        poll(reader);
    }
    void poll(Reader& reader) {
        fixtures_[reader.fixture]->poll(
            reader.connection, reader.knows ? std::optional(reader.version) : std::nullopt, 500 * ms);
    }
    void move(std::size_t r) {
        Reader& reader = readers_[r];
        Fixture& fixture = *fixtures_[reader.fixture];
        fixture.distributor.onReaderClosed(fixture.now, reader.connection);
        owners_.erase(reader.connection);
        reader.connection = 0;
        reader.fixture = random_() % fixtures_.size();
        if (!happens(20)) return;
        reader.knows = false;  // it restarts
        reader.version = 0;
    }

    void deliver(std::size_t index) {
        auto sent = std::move(fixtures_[index]->host.responses);
        fixtures_[index]->host.responses.clear();
        for (const auto& one : sent) {
            const auto owner = owners_.find(one.reader);
            if (owner == owners_.end()) continue;
            Reader& reader = readers_[owner->second];
            ++result_.responses;
            if (one.response.status == 200) take(reader, one.response.body);
            poll(reader);
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
    // What a response makes of discovery's list at `before` (0: no list), which is the list of a reader with
    // that version as long as nothing was wrong. Cached for all readers that get the response.
    const Outcome& outcomeOf(Version before, const SharedBytes& body) {
        if (outcomes_.size() > 2'000) outcomes_.clear();
        Outcome& outcome = outcomes_[{before, body.get()}];
        if (outcome.body) return outcome;
        outcome.body = body;
        const ListUpdate update = readListUpdate(*body);
        outcome.version = update.version;
        Servers servers = before > 0 ? discovery_.at(before) : Servers{};
        applyTo(servers, update);
        outcome.isRight = servers == discovery_.at(update.version);
        return outcome;
    }

    std::mt19937_64 random_;
    int steps_;
    std::vector<Reader> readers_;
    Discovery discovery_;
    std::vector<std::unique_ptr<Fixture>> fixtures_;
    std::map<const Fixture*, std::size_t> answeredPolls_;
    std::map<ReaderId, std::size_t> owners_;
    std::map<std::pair<Version, const std::string*>, Outcome> outcomes_;
    ReaderId lastConnection_ = 0;
    RandomResult result_;
};

}  // namespace

TEST_CASE(
    "a million changes through falling, lagging and failing upstreams: no version falls, every list is "
    "right") {
    const RandomResult result = RandomRun(7, 400, 4'700, {}).run();
    MESSAGE("delivered ", result.delivered, " answers ", result.responses, " refused falls ",
            result.rejectedFalls);
    CHECK(result.delivered >= 1'000'000);
    CHECK(result.rejectedFalls > 100);
    CHECK(result.epochs == 0);
    CHECK(result.falls == 0);
    CHECK(result.ownFalls == 0);
    CHECK(result.wrong == 0);
    CHECK(result.behind == 0);
}

TEST_CASE("the random run finds each disabled safeguard of versions and lists") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        const RandomResult result = RandomRun(seed, 40, 1'000, {}).run();
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
            const RandomResult result = RandomRun(seed, 40, 1'000, {guard}).run();
            found = result.falls + result.wrong + result.behind + result.ownFalls > 0;
        }
        MESSAGE("guard ", static_cast<int>(guard), " left out: found in run ", seed);
        CHECK(found);
    }
}
