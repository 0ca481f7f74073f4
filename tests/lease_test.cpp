// Tests of leases: with acceptors and holders that exchange messages directly, with the model
// checker over orders of events, and with a fleet in virtual time.
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

// Acceptors and holders whose messages arrive at once, except those to and from acceptors that are
// cut off.
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
    void reconcileHolder(std::size_t index) {
        const auto actions = holders[index].reconcile(now);
        for (const auto& [to, request] : actions.requests)
            if (!cutOff.contains(to)) acceptor(to).onRequest(now, static_cast<MemberId>(index + 1), request);
        for (const auto& [to, lease] : actions.offers) holder(to).onTransferOffered(now, lease);
    }
    void reconcileAcceptor(int index) {
        const auto actions = acceptor(index).reconcile(now);
        for (const auto& [to, answer] : actions.answers)
            if (!cutOff.contains(index)) holder(to).onAnswer(now, index, answer);
        for (const auto& [to, recall] : actions.recalls)
            if (!cutOff.contains(to)) acceptor(to).onRequest(now, index, recall);
        for (const auto& [to, recalled] : actions.recallAnswers)
            acceptor(to).onRecallAnswer(now, index, recalled);
        if (actions.ticket) acceptor(index).onPersisted(now, actions.ticket);
    }
    void advance(Nanos time) {
        for (const Nanos until = now + time; now < until;) {
            now += 10 * ms;
            exchangeMessages();
        }
    }
    Acceptor& acceptor(int index) { return acceptors[static_cast<std::size_t>(index)]; }
    LeaseHolder& holder(MemberId member) { return holders[static_cast<std::size_t>(member - 1)]; }

    LeaseSettings settings;
    Nanos now = 1'000 * ms;
    std::vector<Acceptor> acceptors;
    std::vector<LeaseHolder> holders;
    std::set<int> cutOff;  // acceptors, by number
};

}  // namespace

// A lost acceptor must not cost the lease, a member without a majority must not act on it, and a
// lease whose holder is gone must become available.
TEST_CASE("A majority suffices to hold a lease, and another member acquires it once its holder is gone") {
    LeaseGroup group(2);
    group.cutOff = {2};
    group.holders[0].acquire(group.now, 1);
    group.exchangeMessages();
    CHECK(group.holders[0].isHolding(group.now, 1));
    const auto first = group.holders[0].enterCriticalSection(group.now, 1, 200 * ms);
    REQUIRE(first);
    CHECK_FALSE(group.holders[0].enterCriticalSection(
        group.now, 1, group.settings.holdDuration()));  // the lease would expire before its end
    group.holders[1].acquire(group.now, 1);
    group.advance(20'000 * ms);
    CHECK(group.holders[0].isHolding(group.now, 1));  // renewals have kept the lease
    CHECK(group.holders[0].fence(1) == first->fence);
    CHECK_FALSE(group.holders[1].enterCriticalSection(group.now, 1, 1));
    CHECK(group.holders[0].acquisitionCount() == 1);
    // Without a majority, the lease is not known to be held and counts as not held.
    group.cutOff = {1, 2};
    group.advance(group.settings.duration);
    CHECK_FALSE(group.holders[0].enterCriticalSection(group.now, 1, 1));
    group.cutOff = {};
    group.advance(5'000 * ms);
    CHECK(group.holders[0].isHolding(group.now, 1) != group.holders[1].isHolding(group.now, 1));
    // A holder's process ends without a release: the next member acquires the lease within the
    // lease's duration and a second.
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

// If waiting members were not notified of a release, or could take a transferred lease first, each
// planned change of the holder would cost the lease's duration or go to the wrong member.
TEST_CASE("A released lease is acquired at once, a transferred one by the member it was transferred to") {
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

// An acceptor that forgets a grant in a crash, or votes without its state, could grant the same
// lease to two members.
TEST_CASE("An acceptor answers only durable grants, and votes without its state only after quarantine") {
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
    // With its records, the acceptor knows of the grant but not of its time: no other member is
    // granted the lease for a whole duration.
    Acceptor restarted(settings, 0, now, GrantRecords{{1, {request.fence, 1, false}}});
    const LeaseRequest otherRequest{LeaseRequest::Kind::acquire, 1, fenceAfter(request.fence, 6), 1, 7, 0};
    restarted.onRequest(now + settings.duration - 1, 6, otherRequest);
    CHECK_FALSE(restarted.reconcile(now).answers.at(0).answer.granted);
    // Without its records, the acceptor answers no lease request and asks the others. Two that have
    // state are enough, after the quarantine.
    Acceptor recovering(settings, 0, now, std::nullopt);
    CHECK(recovering.reconcile(now).recalls.size() == 2);
    recovering.onRecallAnswer(now, 1, RecallAnswer{true, {{1, {request.fence, 1, false}}}});
    recovering.onRecallAnswer(now, 2, RecallAnswer{true, {}});
    recovering.onRequest(now + settings.duration - 1, 6, otherRequest);
    actions = recovering.reconcile(now + settings.duration - 1);
    CHECK(actions.answers.empty());
    recovering.reconcile(now + settings.duration);
    CHECK(recovering.state() == Acceptor::State::voting);
    CHECK_FALSE(recovering.mayHaveLostState());
    // The fencing token is not greater than the recorded one.
    recovering.onRequest(now + settings.duration, 6,
                         LeaseRequest{LeaseRequest::Kind::acquire, 1, request.fence, 1, 7, 0});
    actions = recovering.reconcile(now + settings.duration);
    recovering.onPersisted(now + settings.duration, actions.ticket ? actions.ticket : 1);
    for (const auto& [to, answer] : recovering.reconcile(now + settings.duration).answers)
        CHECK_FALSE(answer.granted);
}

// With settings such as an even number of acceptors or too short a lease, the guarantee of leases
// fails or no critical section can begin.
TEST_CASE("Reports settings that break the guarantee of leases, each by its key") {
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
    CHECK_THROWS_WITH(parseSafeguard("luck"),
                      doctest::Contains("unknown safeguard 'luck', expected one of quarantine, rate"));
}

// The model checker looks for orders of events in which two members hold a lease. To show that it
// would find one, each safeguard is disabled in turn: the guarantee must then break, reproducibly.
TEST_CASE("No explored order of events breaks the guarantee, and each disabled safeguard is detected") {
    const auto explore = [](std::set<Safeguard> without, double seconds) {
        testbed::LeaseModelOptions options;
        options.disabledSafeguards = std::move(without);
        options.clocks = 0b00111;
        testbed::ExplorationOptions exploration;
        exploration.seconds = seconds;
        // Ends the breadth-first search early: the long runs of the random walks find violations soonest.
        exploration.maxStatesPerDepth = 2'000;
        return testbed::StateExplorer(testbed::LeaseModel(options), exploration).explore();
    };
    const auto complete = explore({}, 3);
    CHECK_MESSAGE(complete.violation.empty(), complete.violation);
    CHECK(complete.steps > 10'000);
    for (const auto& [name, safeguard] : safeguards()) {
        CAPTURE(name);
        const auto result = explore({safeguard}, 20);
        CHECK(!result.violation.empty());
        // Repeating the run that was found breaks the guarantee again.
        testbed::LeaseModelOptions options;
        options.disabledSafeguards = {safeguard};
        options.clocks = 0b00111;
        testbed::LeaseModel repeated(options);
        for (const auto& action : result.violatingSteps) repeated.apply(action);
        if (result.isFoundAfterFaults) repeated.endFaults();
        CHECK(repeated.violation() == result.violation);
    }
}

// Faults of clocks, networks, disks and processes at the scale of a fleet must not let two holders
// overlap or a fencing token fall. A run that differs for the same seed could not be investigated.
TEST_CASE("A fleet in virtual time with all faults keeps the guarantee and repeats for the same seed") {
    testbed::LeaseRunOptions options;
    options.seconds = 40;
    options.seed = 5;
    options.routers = 100;
    options.leases = 300;
    const auto first = testbed::runSimulatedLeases(options);
    const auto second = testbed::runSimulatedLeases(options);
    CHECK_MESSAGE(first.overlaps + first.fenceViolations == 0, first.firstViolation);
    CHECK(first.actorChanges > 300);
    CHECK(first.digest == second.digest);
    options.faults = "none";
    const auto faultless = testbed::runSimulatedLeases(options);
    CHECK(faultless.actorChanges == 300);  // each lease is acquired once and stays with its holder
    options.disabledSafeguards = {Safeguard::fence};
    // No lease changes its holder, so no fencing token can fall.
    CHECK(testbed::runSimulatedLeases(options).fenceViolations == 0);
    options.faults = "all";
    CHECK(testbed::runSimulatedLeases(options).fenceViolations > 0);
}
