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
    explicit Circle(int count, const Terms& t = {}) : terms(t) {
        for (int v = 0; v < terms.voters; ++v) voters.emplace_back(terms, v, now, Records{});
        for (int h = 0; h < count; ++h)
            holders.emplace_back(terms, static_cast<MemberId>(h + 1), static_cast<std::uint32_t>(h + 1));
    }
    void settle() {
        for (int round = 0; round < 6; ++round) {
            for (std::size_t h = 0; h < holders.size(); ++h) {
                const auto wanted = holders[h].settle(now);
                for (const auto& [v, ask] : wanted.asks)
                    if (!cut.contains(v))
                        voters[static_cast<std::size_t>(v)].heard(now, static_cast<MemberId>(h + 1), ask);
                for (const auto& [to, lease] : wanted.offers)
                    holders[static_cast<std::size_t>(to - 1)].offered(now, lease);
            }
            for (int v = 0; v < terms.voters; ++v) {
                auto& voter = voters[static_cast<std::size_t>(v)];
                for (int more = 0; more < 2; ++more) {
                    const auto wanted = voter.settle(now);
                    for (const auto& [to, answer] : wanted.answers)
                        if (!cut.contains(v)) holders[static_cast<std::size_t>(to - 1)].heard(now, v, answer);
                    for (const auto& [to, recall] : wanted.recalls)
                        if (!cut.contains(to)) voters[static_cast<std::size_t>(to)].heard(now, v, recall);
                    for (const auto& [to, recalled] : wanted.recalled)
                        voters[static_cast<std::size_t>(to)].heard(now, v, recalled);
                    if (wanted.ticket) voter.kept(now, wanted.ticket);
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
    Terms terms;
    Nanos now = 1'000 * ms;
    std::vector<Voter> voters;
    std::vector<Holder> holders;
    std::set<int> cut;
};

}  // namespace

TEST_CASE("one holds, by a majority alone, and another one follows within the lease and a second") {
    Circle g(2);
    g.cut = {2};
    g.holders[0].want(g.now, 1);
    g.settle();
    CHECK(g.holders[0].holds(g.now, 1));
    const auto first = g.holders[0].act(g.now, 1, 200 * ms);
    REQUIRE(first);
    CHECK_FALSE(g.holders[0].act(g.now, 1, g.terms.held()));  // it would not outlast that
    g.holders[1].want(g.now, 1);
    g.pass(20'000 * ms);
    CHECK(g.holders[0].holds(g.now, 1));  // it renews
    CHECK(g.holders[0].fence(1) == first->fence);
    CHECK_FALSE(g.holders[1].act(g.now, 1, 1));
    CHECK(g.holders[0].taken() == 1);
    // No majority is left: unknown is no.
    g.cut = {1, 2};
    g.pass(g.terms.length);
    CHECK_FALSE(g.holders[0].act(g.now, 1, 1));
    g.cut = {};
    g.pass(5'000 * ms);
    CHECK(g.holders[0].holds(g.now, 1) != g.holders[1].holds(g.now, 1));
    // A holder that goes without a word.
    Circle h(2);
    h.holders[0].want(h.now, 1);
    h.settle();
    h.holders[1].want(h.now, 1);
    h.pass(3'000 * ms);
    const Fence before = h.holders[0].fence(1);
    h.holders[0] = Holder(h.terms, 1, 99);
    h.pass(h.terms.length + 1'000 * ms);
    REQUIRE(h.holders[1].act(h.now, 1, 100 * ms));
    CHECK(h.holders[1].act(h.now, 1, 100 * ms)->fence > before);
}

TEST_CASE("what is let go or handed on is taken at once, by the one it was handed to") {
    Circle g(3);
    for (auto& h : g.holders) h.want(g.now, 1, static_cast<int>(&h - g.holders.data()));
    g.pass(3'000 * ms);
    REQUIRE(g.holders[0].holds(g.now, 1));
    g.holders[0].handOn(g.now, 1, 3);
    g.settle();
    CHECK(g.holders[2].holds(g.now, 1));
    CHECK(g.holders[2].fence(1) > g.holders[0].fence(1));
    g.holders[2].letGo(g.now, 1);
    CHECK_FALSE(g.holders[2].act(g.now, 1, 1));
    g.pass(300 * ms);
    CHECK(g.holders[0].holds(g.now, 1) != g.holders[1].holds(g.now, 1));
}

TEST_CASE(
    "a voter says nothing before it is kept, and one that forgot says nothing until all it granted is over") {
    const Terms terms;
    Nanos now = 1;
    Voter voter(terms, 0, now, Records{});
    const Ask ask{Ask::Kind::grant, 1, fenceAfter(0, 5), 1, 7, 0};
    voter.heard(now, 5, ask);
    auto wanted = voter.settle(now);
    CHECK(wanted.answers.empty());
    CHECK(wanted.keep.at(1).highest == ask.fence);
    voter.kept(now, wanted.ticket);
    wanted = voter.settle(now);
    REQUIRE(wanted.answers.size() == 1);
    CHECK(wanted.answers[0].second.granted);
    // With its disk it knows, though not since when: nobody else is granted anything for a whole length.
    Voter kept(terms, 0, now, Records{{1, {ask.fence, 1, false}}});
    const Ask other{Ask::Kind::grant, 1, fenceAfter(ask.fence, 6), 1, 7, 0};
    kept.heard(now + terms.length - 1, 6, other);
    CHECK_FALSE(kept.settle(now).answers.at(0).second.granted);
    // Without: silence, and a question to the others; two of them that remember are enough, after the
    // quarantine.
    Voter forgot(terms, 0, now, std::nullopt);
    CHECK(forgot.settle(now).recalls.size() == 2);
    forgot.heard(now, 1, Recalled{true, {{1, {ask.fence, 1, false}}}});
    forgot.heard(now, 2, Recalled{true, {}});
    forgot.heard(now + terms.length - 1, 6, other);
    wanted = forgot.settle(now + terms.length - 1);
    CHECK(wanted.answers.empty());
    forgot.settle(now + terms.length);
    CHECK(forgot.state() == Voter::State::voting);
    CHECK_FALSE(forgot.mayHaveFallen());
    forgot.heard(now + terms.length, 6, Ask{Ask::Kind::grant, 1, ask.fence, 1, 7, 0});  // not over what was
    wanted = forgot.settle(now + terms.length);
    forgot.kept(now + terms.length, wanted.ticket ? wanted.ticket : 1);
    for (const auto& [to, answer] : forgot.settle(now + terms.length).answers) CHECK_FALSE(answer.granted);
}

TEST_CASE("terms that can't keep the promise are told, each by its key") {
    const auto keys = [](const Terms& t, Nanos act) {
        std::string all;
        for (const auto& [key, what] : problemsOf(t, act)) all += key + ";";
        return all;
    };
    Terms t;
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
    const auto explored = [](std::set<Guard> without, double seconds) {
        testbed::LeasesWanted wanted;
        wanted.without = std::move(without);
        wanted.clocks = 0b00111;
        testbed::ExploreWanted how;
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
        testbed::LeasesWanted wanted;
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
    testbed::LeasePlay play;
    play.seconds = 40;
    play.seed = 5;
    play.routers = 100;
    play.leases = 300;
    const auto one = testbed::playLeases(play), two = testbed::playLeases(play);
    CHECK_MESSAGE(one.overlaps + one.fell == 0, one.first);
    CHECK(one.changes > 300);
    CHECK(one.digest == two.digest);
    play.faults = "none";
    const auto calm = testbed::playLeases(play);
    CHECK(calm.changes == 300);  // each is taken once and stays
    play.without = {Guard::fence};
    CHECK(testbed::playLeases(play).fell == 0);  // nobody changes, so none falls
    play.faults = "all";
    CHECK(testbed::playLeases(play).fell > 0);
}
