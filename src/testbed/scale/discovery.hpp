// The discovery of a scale run, a process of its own so that its processor time can be told apart.
//
// It answers GET /api/targets[?after=V&wait_ms=W]. With SIGUSR1 the measured time begins and the list
// changes; with SIGUSR2 it ends; with SIGTERM the totals are written and the process ends. In its folder it
// writes
//   discovery.ports   once it listens: the port for all stub routers and distributors, then one a real
//   router changes.tsv       version, CLOCK_MONOTONIC ns, digest of the list, kind: one line a version
//   real.records      `ForceRecord`s: a real router has a list in force by its next call
//   real.ready        once every real router has said a version
//   discovery.json    totals
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace poppyscale::testbed::scale {

struct SlowPeriod {
    Nanos at = 0;  // since the measured time began
    Nanos length = 0;
    Nanos delay = 0;  // of each answer
};

struct DiscoveryOptions {
    std::string folder;
    int caches = 1;
    int zones = 1;
    int realRouters = 0;
    double changesPerSecond = 0;
    std::uint64_t seed = 1;
    std::vector<std::string> slow;  // "AT:LENGTH:DELAY" in ms
    bool tellsOlder = false;        // a known mistake: now and then an older version, also of the whole list
};

// Runs until SIGTERM; returns the exit code.
int serveDiscovery(const DiscoveryOptions& options);

}  // namespace poppyscale::testbed::scale
