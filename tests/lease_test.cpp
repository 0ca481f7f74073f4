// Stories of leases: a voter and a holder against words alone, the explorer's finds, and a fleet in virtual
// time.
#include <doctest/doctest.h>

#include "lease/acceptor.hpp"
#include "lease/lease_holder.hpp"
#include "testbed/drivers/simulated/lease_run.hpp"
#include "testbed/model_checker/lease_model.hpp"
#include "testbed/model_checker/state_explorer.hpp"

namespace testbed = poppyscale::testbed;
using poppyscale::Nanos;
using namespace poppyscale::lease;

namespace {

constexpr Nanos ms = poppyscale::kMillisecond;

// Three voters and some holders whose words come at once, unless a story says otherwise.
struct Circle {
    explicit Circle(int count, const LeaseSettings& t = {}) : terms(t) {
        for (int v = 0; v < terms.voters; ++v) voters.emplace_back(terms, v, now, GrantRecords{});
        for (int h = 0; h < count; ++h)
            holders.emplace_back(terms, static_cast<MemberId>(h + 1), static_cast<std::uint32_t>(h + 1));
    }
    void settle() {
        for (int round = 0; round < 6; ++round) {
            for (std::size_t h = 0; h < holders.size(); ++h) {
                const auto wanted = holders[h].reconcile(now);
                for (const auto& [v, ask] : wanted.requests)
                    if (!cut.contains(v))
                        voters[static_cast<std::size_t>(v)].onRequest(now, static_cast<MemberId>(h + 1), ask);
                for (const auto& [to, lease] : wanted.offers)
                    holders[static_cast<std::size_t>(to - 1)].onTransferOffered(now, lease);
            }
            for (int v = 0; v < terms.voters; ++v) {
                auto& voter = voters[static_cast<std::size_t>(v)];
                for (int more = 0; more < 2; ++more) {
                    const auto wanted = voter.reconcile(now);
                    for (const auto& [to, answer] : wanted.answers)
                        if (!cut.contains(v))
                            holders[static_cast<std::size_t>(to - 1)].onAnswer(now, v, answer);
                    for (const auto& [to, recall] : wanted.recalls)
                        if (!cut.contains(to)) voters[static_cast<std::size_t>(to)].onRequest(now, v, recall);
                    for (const auto& [to, recalled] : wanted.recalled)
                        voters[static_cast<std::size_t>(to)].onRequest(now, v, recalled);
                    if (wanted.ticket) voter.onPersisted(now, wanted.ticket);
                }
            }
        }
    }
    void pass(Nanos time) {
        for (const Nanos until = now + time; now < until;) {
            now += 10 * ms;
            settle();
        }
    }
    LeaseSettings terms;
    Nanos now = 1'000 * ms;
    std::vector<Acceptor> voters;
    std::vector<LeaseHolder> holders;
    std::set<int> cut;
};

}  // namespace

TEST_CASE("one holds, by a majority alone, and another one follows within the lease and a second") {
    Circle g(2);
    g.cut = {2};
    g.holders[0].acquire(g.now, 1);
    g.settle();
    CHECK(g.holders[0].isHolding(g.now, 1));
    const auto first = g.holders[0].enterCriticalSection(g.now, 1, 200 * ms);
    REQUIRE(first);
    CHECK_FALSE(g.holders[0].enterCriticalSection(g.now, 1, g.terms.held()));  // it would not outlast that
    g.holders[1].acquire(g.now, 1);
    g.pass(20'000 * ms);
    CHECK(g.holders[0].isHolding(g.now, 1));  // it renews
    CHECK(g.holders[0].fence(1) == first->fence);
    CHECK_FALSE(g.holders[1].enterCriticalSection(g.now, 1, 1));
    CHECK(g.holders[0].acquisitionCount() == 1);
    // No majority is left: unknown is no.
    g.cut = {1, 2};
    g.pass(g.terms.duration);
    CHECK_FALSE(g.holders[0].enterCriticalSection(g.now, 1, 1));
    g.cut = {};
    g.pass(5'000 * ms);
    CHECK(g.holders[0].isHolding(g.now, 1) != g.holders[1].isHolding(g.now, 1));
    // A holder that goes without a word.
    Circle h(2);
    h.holders[0].acquire(h.now, 1);
    h.settle();
    h.holders[1].acquire(h.now, 1);
    h.pass(3'000 * ms);
    const Fence before = h.holders[0].fence(1);
    h.holders[0] = LeaseHolder(h.terms, 1, 99);
    h.pass(h.terms.duration + 1'000 * ms);
    REQUIRE(h.holders[1].enterCriticalSection(h.now, 1, 100 * ms));
    CHECK(h.holders[1].enterCriticalSection(h.now, 1, 100 * ms)->fence > before);
}

TEST_CASE("what is let go or handed on is taken at once, by the one it was handed to") {
    Circle g(3);
    for (auto& h : g.holders) h.acquire(g.now, 1, static_cast<int>(&h - g.holders.data()));
    g.pass(3'000 * ms);
    REQUIRE(g.holders[0].isHolding(g.now, 1));
    g.holders[0].transfer(g.now, 1, 3);
    g.settle();
    CHECK(g.holders[2].isHolding(g.now, 1));
    CHECK(g.holders[2].fence(1) > g.holders[0].fence(1));
    g.holders[2].release(g.now, 1);
    CHECK_FALSE(g.holders[2].enterCriticalSection(g.now, 1, 1));
    g.pass(300 * ms);
    CHECK(g.holders[0].isHolding(g.now, 1) != g.holders[1].isHolding(g.now, 1));
}

TEST_CASE(
    "a voter says nothing before it is kept, and one that forgot says nothing until all it granted is over") {
    const LeaseSettings terms;
    Nanos now = 1;
    Acceptor voter(terms, 0, now, GrantRecords{});
    const LeaseRequest ask{LeaseRequest::Kind::acquire, 1, fenceAfter(0, 5), 1, 7, 0};
    voter.onRequest(now, 5, ask);
    auto wanted = voter.reconcile(now);
    CHECK(wanted.answers.empty());
    CHECK(wanted.keep.at(1).highest == ask.fence);
    voter.onPersisted(now, wanted.ticket);
    wanted = voter.reconcile(now);
    REQUIRE(wanted.answers.size() == 1);
    CHECK(wanted.answers[0].second.granted);
    // With its disk it knows, though not since when: nobody else is granted anything for a whole length.
    Acceptor kept(terms, 0, now, GrantRecords{{1, {ask.fence, 1, false}}});
    const LeaseRequest other{LeaseRequest::Kind::acquire, 1, fenceAfter(ask.fence, 6), 1, 7, 0};
    kept.onRequest(now + terms.duration - 1, 6, other);
    CHECK_FALSE(kept.reconcile(now).answers.at(0).second.granted);
    // Without: silence, and a question to the others; two of them that remember are enough, after the
    // quarantine.
    Acceptor forgot(terms, 0, now, std::nullopt);
    CHECK(forgot.reconcile(now).recalls.size() == 2);
    forgot.onRequest(now, 1, RecallAnswer{true, {{1, {ask.fence, 1, false}}}});
    forgot.onRequest(now, 2, RecallAnswer{true, {}});
    forgot.onRequest(now + terms.duration - 1, 6, other);
    wanted = forgot.reconcile(now + terms.duration - 1);
    CHECK(wanted.answers.empty());
    forgot.reconcile(now + terms.duration);
    CHECK(forgot.state() == Acceptor::State::voting);
    CHECK_FALSE(forgot.mayHaveLostState());
    forgot.onRequest(now + terms.duration, 6,
                     LeaseRequest{LeaseRequest::Kind::acquire, 1, ask.fence, 1, 7, 0});  // not over what was
    wanted = forgot.reconcile(now + terms.duration);
    forgot.onPersisted(now + terms.duration, wanted.ticket ? wanted.ticket : 1);
    for (const auto& [to, answer] : forgot.reconcile(now + terms.duration).answers)
        CHECK_FALSE(answer.granted);
}

TEST_CASE("terms that can't keep the promise are told, each by its key") {
    const auto keys = [](const LeaseSettings& t, Nanos act) {
        std::string all;
        for (const auto& [key, what] : problemsOf(t, act)) all += key + ";";
        return all;
    };
    LeaseSettings t;
    CHECK(keys(t, 200 * ms).empty());
    t.voters = 4;
    CHECK(keys(t, 200 * ms) == "voters;");
    t.voters = 3;
    t.rate = 0.2;
    CHECK(keys(t, 200 * ms) == "rate;");
    t.rate = 0.01;
    CHECK(keys(t, 3'000 * ms) == "length_ms;");
    CHECK_THROWS_WITH(guardNamed("luck"), doctest::Contains("'luck' is none of quarantine, rate"));
}

TEST_CASE(
    "in every order of events looked at nobody acts beside another, and each guard is missed when left out") {
    const auto explored = [](std::set<Safeguard> without, double seconds) {
        testbed::LeaseModelOptions wanted;
        wanted.without = std::move(without);
        wanted.clocks = 0b00111;
        testbed::ExplorationOptions how;
        how.seconds = seconds;
        how.mostStates = 2'000;  // the long runs are what finds them soon
        return testbed::Explorer(testbed::LeaseModel(wanted), how).explore();
    };
    const auto whole = explored({}, 3);
    CHECK_MESSAGE(whole.broken.empty(), whole.broken);
    CHECK(whole.steps > 10'000);
    for (const auto& [name, guard] : guards()) {
        CAPTURE(name);
        const auto found = explored({guard}, 20);
        CHECK(!found.broken.empty());
        // What it prints is what breaks it.
        testbed::LeaseModelOptions wanted;
        wanted.without = {guard};
        wanted.clocks = 0b00111;
        testbed::LeaseModel again(wanted);
        for (const auto& action : found.run) again.apply(action);
        if (found.healed) again.heal();
        CHECK(again.broken() == found.broken);
    }
}

TEST_CASE(
    "a fleet in virtual time, all faults: no overlap, no fence falls, and the same seed plays the same") {
    testbed::LeaseRunOptions play;
    play.seconds = 40;
    play.seed = 5;
    play.routers = 100;
    play.leases = 300;
    const auto one = testbed::runSimulatedLeases(play), two = testbed::runSimulatedLeases(play);
    CHECK_MESSAGE(one.overlaps + one.fell == 0, one.first);
    CHECK(one.changes > 300);
    CHECK(one.digest == two.digest);
    play.faults = "none";
    const auto calm = testbed::runSimulatedLeases(play);
    CHECK(calm.changes == 300);  // each is taken once and stays
    play.without = {Safeguard::fence};
    CHECK(testbed::runSimulatedLeases(play).fell == 0);  // nobody changes, so none falls
    play.faults = "all";
    CHECK(testbed::runSimulatedLeases(play).fell > 0);
}
