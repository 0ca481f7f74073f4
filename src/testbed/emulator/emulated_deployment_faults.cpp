// The faults of a scenario: what they do to the emulated deployment, and their ends.
#include <fmt/format.h>

#include <algorithm>

#include "testbed/emulator/emulated_deployment.hpp"
#include "testbed/emulator/server_state.hpp"

namespace poppyscale::testbed {
namespace {

// The earliest SIGKILL after SIGTERM, beyond the longest timeout of the deployment.
constexpr Nanos kEarliestKill = 700 * kMillisecond;
// SIGHUPs that a router gets beside SIGTERM, and the time over which they are spread.
constexpr int kMaxReloads = 3;
constexpr int kReloadSpreadMs = 400;

std::size_t toIndex(int index) { return static_cast<std::size_t>(index); }

// The text of a `fault` event, after its first word.
std::string describe(const FaultPlan& fault) {
    if (fault.kind != FaultKind::callsFail) return fmt::format("{} {}", nameOf(fault.kind), fault.zone);
    return fmt::format("{} {} {}", nameOf(fault.kind), fault.call, fault.effect);
}

}  // namespace

// A service manager reloads, then stops the processes, and kills them at the earliest time that the routers'
// documentation states.
void EmulatedDeployment::terminateRouters(Nanos now, int count) {
    std::vector<int> drawn;
    for (int router = 0; router < scenario_.routers.count; ++router)
        if (routers_[toIndex(router)].isUp && !routers_[toIndex(router)].isEnding) drawn.push_back(router);
    std::shuffle(drawn.begin(), drawn.end(), faultRandom_.engine());
    if (std::ssize(drawn) > count) drawn.resize(toIndex(count));
    for (const int router : drawn) {
        RouterState& state = routers_[toIndex(router)];
        state.isEnding = true;
        log(now, EventKind::stopping, 0, router, -1, 0, 0);
        reloadRepeatedly(now, router);
        transport_.terminateRouter(router);
        const auto isSameProcess = [&state, incarnation = state.incarnation] {
            return state.incarnation == incarnation;
        };
        events_.schedule(now + kTerminationDetectionDelay, [&state, isSameProcess](Nanos) {
            if (isSameProcess()) state.isAssumedUp = false;
        });
        events_.schedule(now + scenario_.longestTimeout() + kEarliestKill,
                         [this, router, isSameProcess](Nanos) {
                             if (isSameProcess()) transport_.killRouter(router);
                         });
    }
}

void EmulatedDeployment::reloadRepeatedly(Nanos now, int router) {
    transport_.reloadRouter(router);
    const int more = faultRandom_.integerBelow(kMaxReloads);
    for (int i = 0; i < more; ++i) {
        const Nanos after = faultRandom_.integerBelow(kReloadSpreadMs) * kMillisecond;
        const std::uint64_t incarnation = routers_[toIndex(router)].incarnation;
        events_.schedule(now + after, [this, router, incarnation](Nanos) {
            if (routers_[toIndex(router)].incarnation == incarnation) transport_.reloadRouter(router);
        });
    }
}

void EmulatedDeployment::scheduleFaults(const FaultPlan& fault) {
    for (int i = 0; i < fault.repetitions; ++i) {
        FaultPlan repetition = fault;
        repetition.at = beganAt_ + fault.at + fault.length * i / fault.repetitions;
        if (fault.repetitions > 1) repetition.length = fault.length / fault.repetitions / 2;
        events_.schedule(repetition.at, [this, repetition](Nanos t) { injectFault(t, repetition); });
    }
}

std::vector<int> EmulatedDeployment::drawCaches(int count) {
    std::vector<int> candidates;
    for (std::size_t i = 1; i < servers_.size(); ++i)
        if (serverStates_[i]->condition == ServerCondition::up && !serverStates_[i]->isDraining)
            candidates.push_back(static_cast<int>(i));
    std::shuffle(candidates.begin(), candidates.end(), faultRandom_.engine());
    if (std::ssize(candidates) > count) candidates.resize(toIndex(count));
    std::sort(candidates.begin(), candidates.end());
    return candidates;
}

void EmulatedDeployment::injectFault(Nanos now, const FaultPlan& fault) {
    log(now, EventKind::fault, 0, -1, -1, 0, 0, "begins " + describe(fault));
    std::vector<int> affected;
    const auto forDrawnCaches = [&](auto action) {
        affected = drawCaches(fault.count);
        for (const int server : affected) action(server, *serverStates_[toIndex(server)]);
    };
    using K = FaultKind;
    switch (fault.kind) {
        case K::crash:
            forDrawnCaches([&](int server, ServerState&) {
                stopServer(now, server);
                changeEndpoint(now, server, EndpointState::removed, scenario_.discovery.removalDelay);
            });
            break;
        case K::hang:
            forDrawnCaches([&](int server, ServerState& serverState) {
                serverState.condition = ServerCondition::hung;
                changeEndpoint(now, server, EndpointState::removed, scenario_.discovery.removalDelay);
            });
            break;
        case K::slow:
            forDrawnCaches([&](int, ServerState& serverState) {
                serverState.slowdown = std::max(fault.magnitude, 0.01);
            });
            break;
        case K::errors:
            forDrawnCaches([&](int, ServerState& serverState) { serverState.errorShare = fault.magnitude; });
            break;
        case K::replace:
            forDrawnCaches([&](int server, ServerState& serverState) {
                stopServer(now, server);
                serverState.condition = ServerCondition::gone;
                changeEndpoint(now, server, EndpointState::removed, scenario_.discovery.removalDelay);
                EmulatedServer replacement = servers_[toIndex(server)];
                replacement.name = fmt::format("{}-new{}", replacement.plan->name, ++lastReplacement_);
                const auto index = static_cast<int>(servers_.size());
                serverAtAddress_[toIndex(replacement.addressIndex)] = index;
                addServer(std::move(replacement), now, true);
                log(now, EventKind::started, 0, -1, index, 0, now);
                updateAddressStates(now);
                changeEndpoint(now, index, EndpointState::ready, scenario_.discovery.returnDelay);
            });
            break;
        case K::drain:
            forDrawnCaches([&](int server, ServerState& serverState) {
                changeEndpoint(now, server, EndpointState::draining, 0);
                // The server no longer leaves once another fault has stopped it or this fault has
                // ended.
                serverState.isLeaving = true;
                const auto isStillLeaving = [&serverState, incarnation = serverState.incarnation] {
                    return serverState.isLeaving && serverState.incarnation == incarnation;
                };
                events_.schedule(now + scenario_.drainGrace, [&serverState, isStillLeaving](Nanos) {
                    serverState.isDraining = isStillLeaving();
                });
                events_.schedule(now + 2 * scenario_.drainGrace + scenario_.longestTimeout(),
                                 [this, server, isStillLeaving](Nanos t) {
                                     if (!isStillLeaving()) return;
                                     stopServer(t, server);
                                     changeEndpoint(t, server, EndpointState::removed, 0);
                                 });
            });
            break;
        case K::zonePartition:
            activeFaults_.cutZone = fault.zone;
            updateAddressStates(now);
            break;
        case K::refuse:
            forDrawnCaches([&](int, ServerState& serverState) { serverState.refusesConnects = true; });
            updateAddressStates(now);
            break;
        case K::connectsDropped:
            forDrawnCaches([&](int, ServerState& serverState) { serverState.dropsConnects = true; });
            updateAddressStates(now);
            break;
        case K::clientsLeave: {
            std::vector<RequestId> waiting;
            for (const auto& [id, request] : openRequests_) waiting.push_back(id);
            std::sort(waiting.begin(), waiting.end());  // makes the order depend only on the seed
            for (const RequestId id : waiting)
                if (faultRandom_.chance(fault.magnitude)) abandonRequest(now, id);
            break;
        }
        case K::reset:
            forDrawnCaches([&](int, ServerState& serverState) { serverState.resetShare = fault.magnitude; });
            break;
        case K::slowReader:
            forDrawnCaches([&](int, ServerState& serverState) {
                serverState.readDelay = static_cast<Nanos>(fault.magnitude * kMillisecond);
            });
            break;
        case K::unresponsive:
            forDrawnCaches([&](int, ServerState& serverState) { serverState.dropsReplies = true; });
            break;
        case K::malformedResponses:
            activeFaults_.malformedShare = fault.magnitude;
            break;
        case K::slowReplies:
            forDrawnCaches(
                [&](int, ServerState& serverState) { serverState.slowReplyShare = fault.magnitude; });
            affected.push_back(0);
            serverStates_[0]->slowReplyShare = fault.magnitude;
            break;
        case K::stoppedReplies:
            forDrawnCaches(
                [&](int, ServerState& serverState) { serverState.stoppedReplyShare = fault.magnitude; });
            affected.push_back(0);
            serverStates_[0]->stoppedReplyShare = fault.magnitude;
            break;
        case K::routerTerminate:
            terminateRouters(now, fault.count);
            break;
        case K::crowd:
            transport_.setCrowd(static_cast<int>(fault.magnitude));
            break;
        case K::originStop:
            stopServer(now, 0);
            break;
        case K::originSlow:
            serverStates_[0]->slowdown = fault.magnitude;
            break;
        case K::discoveryDown:
            discoveryDown_ = true;
            failPolls();
            break;
        case K::discoverySilent:
            discoverySilent_ = true;
            break;
        case K::discoverySlow:
            activeFaults_.pollDelay = static_cast<Nanos>(fault.magnitude * kMillisecond);
            break;
        case K::discoveryRefuse:
            activeFaults_.refusedPollShare = fault.magnitude;
            break;
        case K::discoveryMove:
            transport_.moveDiscovery(++discoveryAddress_);
            break;
        case K::hotKey:
            activeFaults_.hotKeyShare = fault.magnitude;
            break;
        case K::heavy:
            activeFaults_.heavyShare = fault.magnitude;
            break;
        case K::scan:
            activeFaults_.scanShare = fault.magnitude;
            break;
        case K::load:
            activeFaults_.loadFactor = fault.magnitude;
            break;
        case K::routerKill: {
            std::vector<int> all;
            for (int router = 0; router < scenario_.routers.count; ++router)
                if (routers_[toIndex(router)].isUp && !routers_[toIndex(router)].isEnding)
                    all.push_back(router);
            std::shuffle(all.begin(), all.end(), faultRandom_.engine());
            for (std::size_t i = 0; i < std::min(all.size(), toIndex(fault.count)); ++i) {
                routers_[toIndex(all[i])].isEnding = true;
                log(now, EventKind::killed, 0, all[i], -1, 0, 0, "asked");
                transport_.killRouter(all[i]);
            }
            break;
        }
        case K::routerRestart:
            for (int router = 0; router < scenario_.routers.count; ++router)
                events_.schedule(
                    now + fault.length * router / scenario_.routers.count, [this, router](Nanos t) {
                        RouterState& state = routers_[toIndex(router)];
                        // A second SIGTERM ends a router at once.
                        if (!state.isUp || state.isEnding) return;
                        state.isEnding = true;
                        log(t, EventKind::stopping, 0, router, -1, 0, 0);
                        transport_.terminateRouter(router);
                        events_.schedule(t + kTerminationDetectionDelay,
                                         [this, router, incarnation = state.incarnation](Nanos) {
                                             if (routers_[toIndex(router)].incarnation == incarnation)
                                                 routers_[toIndex(router)].isAssumedUp = false;
                                         });
                    });
            break;
        case K::routerUpgrade:
            for (int router = 0; router < scenario_.routers.count; ++router)
                events_.schedule(now + fault.length * router / scenario_.routers.count,
                                 [this, router](Nanos) {
                                     if (routers_[toIndex(router)].isUp) transport_.upgradeRouter(router);
                                 });
            break;
        case K::reload:
            for (int router = 0; router < scenario_.routers.count; ++router)
                if (routers_[toIndex(router)].isUp) transport_.reloadRouter(router);
            break;
        case K::wallClockOffset:
            wallClockOffset_ = static_cast<Nanos>(fault.magnitude * kMillisecond);
            transport_.injectProcessFault(fault, true);
            break;
        case K::eventLoopDelay:
            activeFaults_.loopDelay = static_cast<Nanos>(fault.magnitude * kMillisecond);
            transport_.injectProcessFault(fault, true);
            break;
        case K::callsFail:
            transport_.injectProcessFault(fault, true);
            break;
        default: {  // faults of machines
            const int drawn = faultRandom_.integerBelow(std::max(scenario_.machines.count, 1));
            affected = {fault.machine >= 0 ? fault.machine : drawn};
            transport_.injectMachineFault(fault, affected[0], true);
            break;
        }
    }
    if (fault.length > 0)
        events_.schedule(now + fault.length,
                         [this, fault, affected](Nanos t) { clearFault(t, fault, affected); });
}

void EmulatedDeployment::clearFault(Nanos now, const FaultPlan& fault, const std::vector<int>& affected) {
    log(now, EventKind::fault, 0, -1, -1, 0, 0, "ends " + describe(fault));
    if (fault.kind == FaultKind::wallClockOffset) wallClockOffset_ = 0;
    if (fault.kind == FaultKind::eventLoopDelay) {
        lastLoopDelay_ = activeFaults_.loopDelay;
        loopDelayEndedAt_ = now;
        activeFaults_.loopDelay = 0;
    }
    if (fault.kind >= FaultKind::callsFail && fault.kind <= FaultKind::eventLoopDelay)
        return transport_.injectProcessFault(fault, false);
    if (fault.kind >= FaultKind::machineKill)
        return transport_.injectMachineFault(fault, affected.at(0), false);
    for (const int server : affected) {
        ServerState& serverState = *serverStates_[toIndex(server)];
        switch (fault.kind) {
            case FaultKind::crash:
            case FaultKind::drain:
                if (serverState.condition != ServerCondition::down && !serverState.isLeaving) break;
                if (serverState.condition != ServerCondition::down) stopServer(now, server);
                restartServer(now, server);
                break;
            case FaultKind::hang:
                // A hung process is restarted.
                if (serverState.condition != ServerCondition::hung) break;
                stopServer(now, server);
                restartServer(now, server);
                break;
            default:
                serverState.slowdown = 1;
                serverState.errorShare = serverState.resetShare = 0;
                serverState.slowReplyShare = serverState.stoppedReplyShare = 0;
                serverState.refusesConnects = serverState.dropsConnects = serverState.dropsReplies = false;
                serverState.readDelay = 0;
        }
    }
    using K = FaultKind;
    if (fault.kind == K::zonePartition) {
        std::vector<ConnectionId> across;
        for (const auto& [id, conn] : connections_)
            if (!isReachable(conn.router, conn.server)) across.push_back(id);
        std::sort(across.begin(), across.end());
        activeFaults_.cutZone.clear();
        for (const ConnectionId id : across) breakConnection(now, id);
    }
    if (fault.kind == K::zonePartition || fault.kind == K::refuse || fault.kind == K::connectsDropped)
        updateAddressStates(now);
    if (fault.kind == K::crowd) transport_.setCrowd(0);
    if (fault.kind == K::malformedResponses) activeFaults_.malformedShare = 0;
    if (fault.kind == K::originStop) restartServer(now, 0);
    if (fault.kind == K::originSlow) serverStates_[0]->slowdown = 1;
    if (fault.kind == K::discoveryDown) discoveryDown_ = false;
    if (fault.kind == K::discoverySilent) discoverySilent_ = false;
    if (fault.kind == K::discoveryDown || fault.kind == K::discoverySilent) discoveryReachableSince_ = now;
    if (fault.kind == K::discoverySlow) activeFaults_.pollDelay = 0;
    if (fault.kind == K::discoveryRefuse) activeFaults_.refusedPollShare = 0;
    if (fault.kind == K::hotKey) activeFaults_.hotKeyShare = 0;
    if (fault.kind == K::heavy) activeFaults_.heavyShare = 0;
    if (fault.kind == K::scan) activeFaults_.scanShare = 0;
    if (fault.kind == K::load) activeFaults_.loadFactor = 1;
}

}  // namespace poppyscale::testbed
