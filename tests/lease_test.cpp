// Tests of leases: acceptors and holders that exchange messages directly, the model checker over all orders
// of events, and a fleet in virtual time.
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

// Acceptors and some holders whose messages arrive at once, but for those of acceptors that are cut off.
struct LeaseGroup {
    explicit LeaseGroup(int holderCount, const LeaseSettings& leaseSettings = {}) : settings(leaseSettings) {
        for (int a = 0; a < settings.acceptorCount; ++a)
            acceptors.emplace_back(settings, a, now, GrantRecords{});
        for (int h = 0; h < holderCount; ++h)
            holders.emplace_back(settings, static_cast<MemberId>(h + 1), static_cast<std::uint32_t>(h + 1));
    }
    void exchangeMessages() {
        for (int round = 0; round < 6; ++round) {
            for (std::size_t h = 0; h < holders.size(); ++h) reconcileHolder(h);
            for (int a = 0; a < settings.acceptorCount; ++a)
                for (int repeat = 0; repeat < 2; ++repeat) reconcileAcceptor(a);
        }
    }
    void reconcileHolder(std::size_t h) {
        const auto actions = holders[h].reconcile(now);
        for (const auto& [a, request] : actions.requests)
            if (!cutOff.contains(a)) acceptor(a).onRequest(now, static_cast<MemberId>(h + 1), request);
        for (const auto& [to, lease] : actions.offers) holder(to).onTransferOffered(now, lease);
    }
    void reconcileAcceptor(int a) {
        const auto actions = acceptor(a).reconcile(now);
        for (const auto& [to, answer] : actions.answers)
            if (!cutOff.contains(a)) holder(to).onAnswer(now, a, answer);
        for (const auto& [to, recall] : actions.recalls)
            if (!cutOff.contains(to)) acceptor(to).onRequest(now, a, recall);
        for (const auto& [to, recalled] : actions.recallAnswers) acceptor(to).onRequest(now, a, recalled);
        if (actions.ticket) acceptor(a).onPersisted(now, actions.ticket);
    }
    void advance(Nanos time) {
        for (const Nanos until = now + time; now < until;) {
            now += 10 * ms;
            exchangeMessages();
        }
    }
    Acceptor& acceptor(int a) { return acceptors[static_cast<std::size_t>(a)]; }
    LeaseHolder& holder(MemberId member) { return holders[static_cast<std::size_t>(member - 1)]; }

    LeaseSettings settings;
    Nanos now = 1'000 * ms;
    std::vector<Acceptor> acceptors;
    std::vector<LeaseHolder> holders;
    std::set<int> cutOff;  // acceptors
};

}  // namespace

TEST_CASE(
    "a majority suffices to hold a lease, and another member acquires it within its duration and a second") {
    LeaseGroup group(2);
    group.cutOff = {2};
    group.holders[0].acquire(group.now, 1);
    group.exchangeMessages();
    CHECK(group.holders[0].isHolding(group.now, 1));
    const auto first = group.holders[0].enterCriticalSection(group.now, 1, 200 * ms);
    REQUIRE(first);
    CHECK_FALSE(group.holders[0].enterCriticalSection(
        group.now, 1, group.settings.holdDuration()));  // the lease would not outlast that
    group.holders[1].acquire(group.now, 1);
    group.advance(20'000 * ms);
    CHECK(group.holders[0].isHolding(group.now, 1));  // it renews
    CHECK(group.holders[0].fence(1) == first->fence);
    CHECK_FALSE(group.holders[1].enterCriticalSection(group.now, 1, 1));
    CHECK(group.holders[0].acquisitionCount() == 1);
    // Without a majority: unknown counts as no.
    group.cutOff = {1, 2};
    group.advance(group.settings.duration);
    CHECK_FALSE(group.holders[0].enterCriticalSection(group.now, 1, 1));
    group.cutOff = {};
    group.advance(5'000 * ms);
    CHECK(group.holders[0].isHolding(group.now, 1) != group.holders[1].isHolding(group.now, 1));
    // A holder that ends without a release.
    LeaseGroup other(2);
    other.holders[0].acquire(other.now, 1);
    other.exchangeMessages();
    other.holders[1].acquire(other.now, 1);
    other.advance(3'000 * ms);
    const Fence before = other.holders[0].fence(1);
    other.holders[0] = LeaseHolder(other.settings, 1, 99);
    other.advance(other.settings.duration + 1'000 * ms);
    REQUIRE(other.holders[1].enterCriticalSection(other.now, 1, 100 * ms));
    CHECK(other.holders[1].enterCriticalSection(other.now, 1, 100 * ms)->fence > before);
}

TEST_CASE("a released lease is acquired at once, and a transferred one by the member it was transferred to") {
    LeaseGroup group(3);
    for (auto& holder : group.holders)
        holder.acquire(group.now, 1, static_cast<int>(&holder - group.holders.data()));
    group.advance(3'000 * ms);
    REQUIRE(group.holders[0].isHolding(group.now, 1));
    group.holders[0].transfer(group.now, 1, 3);
    group.exchangeMessages();
    CHECK(group.holders[2].isHolding(group.now, 1));
    CHECK(group.holders[2].fence(1) > group.holders[0].fence(1));
    group.holders[2].release(group.now, 1);
    CHECK_FALSE(group.holders[2].enterCriticalSection(group.now, 1, 1));
    group.advance(300 * ms);
    CHECK(group.holders[0].isHolding(group.now, 1) != group.holders[1].isHolding(group.now, 1));
}

TEST_CASE(
    "an acceptor answers nothing that is not durable, and nothing without its state until its grants are "
    "over") {
    const LeaseSettings settings;
    Nanos now = 1;
    Acceptor acceptor(settings, 0, now, GrantRecords{});
    const LeaseRequest request{LeaseRequest::Kind::acquire, 1, fenceAfter(0, 5), 1, 7, 0};
    acceptor.onRequest(now, 5, request);
    auto actions = acceptor.reconcile(now);
    CHECK(actions.answers.empty());
    CHECK(actions.recordsToPersist.at(1).highest == request.fence);
    acceptor.onPersisted(now, actions.ticket);
    actions = acceptor.reconcile(now);
    REQUIRE(actions.answers.size() == 1);
    CHECK(actions.answers[0].answer.granted);
    // With its records it knows of the grant, but not since when: nobody else is granted it for a whole
    // duration.
    Acceptor restarted(settings, 0, now, GrantRecords{{1, {request.fence, 1, false}}});
    const LeaseRequest otherRequest{LeaseRequest::Kind::acquire, 1, fenceAfter(request.fence, 6), 1, 7, 0};
    restarted.onRequest(now + settings.duration - 1, 6, otherRequest);
    CHECK_FALSE(restarted.reconcile(now).answers.at(0).answer.granted);
    // Without its records it stays silent and asks the others: two that have state are enough, after the
    // quarantine.
    Acceptor recovering(settings, 0, now, std::nullopt);
    CHECK(recovering.reconcile(now).recalls.size() == 2);
    recovering.onRequest(now, 1, RecallAnswer{true, {{1, {request.fence, 1, false}}}});
    recovering.onRequest(now, 2, RecallAnswer{true, {}});
    recovering.onRequest(now + settings.duration - 1, 6, otherRequest);
    actions = recovering.reconcile(now + settings.duration - 1);
    CHECK(actions.answers.empty());
    recovering.reconcile(now + settings.duration);
    CHECK(recovering.state() == Acceptor::State::voting);
    CHECK_FALSE(recovering.mayHaveLostState());
    recovering.onRequest(
        now + settings.duration, 6,
        LeaseRequest{LeaseRequest::Kind::acquire, 1, request.fence, 1, 7, 0});  // not greater than before
    actions = recovering.reconcile(now + settings.duration);
    recovering.onPersisted(now + settings.duration, actions.ticket ? actions.ticket : 1);
    for (const auto& [to, answer] : recovering.reconcile(now + settings.duration).answers)
        CHECK_FALSE(answer.granted);
}

TEST_CASE("settings that break the guarantee are reported, each by its key") {
    const auto keys = [](const LeaseSettings& settings, Nanos criticalSection) {
        std::string all;
        for (const auto& [key, problem] : findProblems(settings, criticalSection)) all += key + ";";
        return all;
    };
    LeaseSettings settings;
    CHECK(keys(settings, 200 * ms).empty());
    settings.acceptorCount = 4;
    CHECK(keys(settings, 200 * ms) == "voters;");
    settings.acceptorCount = 3;
    settings.rate = 0.2;
    CHECK(keys(settings, 200 * ms) == "rate;");
    settings.rate = 0.01;
    CHECK(keys(settings, 3'000 * ms) == "length_ms;");
    CHECK_THROWS_WITH(parseSafeguard("luck"), doctest::Contains("'luck' is none of quarantine, rate"));
}

TEST_CASE(
    "no order of events that is explored breaks the guarantee, and each disabled safeguard is detected") {
    const auto explore = [](std::set<Safeguard> without, double seconds) {
        testbed::LeaseModelOptions options;
        options.without = std::move(without);
        options.clocks = 0b00111;
        testbed::ExplorationOptions exploration;
        exploration.seconds = seconds;
        exploration.mostStates = 2'000;  // long runs find them soonest
        return testbed::StateExplorer(testbed::LeaseModel(options), exploration).explore();
    };
    const auto complete = explore({}, 3);
    CHECK_MESSAGE(complete.broken.empty(), complete.broken);
    CHECK(complete.steps > 10'000);
    for (const auto& [name, safeguard] : safeguards()) {
        CAPTURE(name);
        const auto result = explore({safeguard}, 20);
        CHECK(!result.broken.empty());
        // The run that it prints breaks the guarantee again.
        testbed::LeaseModelOptions options;
        options.without = {safeguard};
        options.clocks = 0b00111;
        testbed::LeaseModel repeated(options);
        for (const auto& action : result.run) repeated.apply(action);
        if (result.healed) repeated.heal();
        CHECK(repeated.broken() == result.broken);
    }
}

TEST_CASE(
    "a fleet in virtual time with all faults: no overlap, no lower fence, and the same run for the same "
    "seed") {
    testbed::LeaseRunOptions options;
    options.seconds = 40;
    options.seed = 5;
    options.routers = 100;
    options.leases = 300;
    const auto first = testbed::runSimulatedLeases(options);
    const auto second = testbed::runSimulatedLeases(options);
    CHECK_MESSAGE(first.overlaps + first.violations == 0, first.first);
    CHECK(first.changes > 300);
    CHECK(first.digest == second.digest);
    options.faults = "none";
    const auto faultless = testbed::runSimulatedLeases(options);
    CHECK(faultless.changes == 300);  // each is acquired once and stays
    options.disabledSafeguard = {Safeguard::fence};
    CHECK(testbed::runSimulatedLeases(options).violations ==
          0);  // no lease changes its holder, so no fence is lower
    options.faults = "all";
    CHECK(testbed::runSimulatedLeases(options).violations > 0);
}
