// The state of an emulated server; included by the sources of `EmulatedDeployment` alone.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "testbed/emulator/emulated_deployment.hpp"

namespace poppyscale::testbed {

// A server's process and the faults that affect it.
struct EmulatedDeployment::ServerState {
    ServerState(const ServerModel::Shape& shape, std::size_t maxKeys, Nanos overloadWindow)
        : model(shape), contents(maxKeys), recentWork(overloadWindow) {}
    ServerModel model;
    CacheContents contents;
    WorkWindow recentWork;
    ServerCondition condition = ServerCondition::up;
    bool isLeaving = false;   // listed as draining, and will stop
    bool isDraining = false;  // answers requests with busy
    bool refusesConnects = false, dropsConnects = false;
    bool dropsReplies = false;
    double slowdown = 1;
    double errorShare = 0;  // share of requests that fail at once because of a fault
    double resetShare = 0;
    double slowReplyShare = 0, stoppedReplyShare = 0;
    Nanos readDelay = 0;
    int openConnections = 0;
    std::uint64_t incarnation = 0;  // events that were scheduled for an earlier process are ignored
};

}  // namespace poppyscale::testbed
