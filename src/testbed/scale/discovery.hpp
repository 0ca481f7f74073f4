// The discovery service of a scale run. It is a separate process so that its processor time can be
// measured.
//
// It answers GET /api/targets[?after=V&wait_ms=W]. SIGUSR1 starts the measured time and the changes
// of the list, SIGUSR2 ends both, SIGTERM writes the totals and ends the process. Files written to
// its folder:
//   discovery.ports   once listening: the port for stub routers and distributors, then one port per
//                     real router
//   changes.tsv       per version: version, CLOCK_MONOTONIC ns, digest of the list, kind of change
//   real.records      `PropagationRecord`s of real routers, whose next poll carries their version
//   real.ready        once every real router has polled with a version
//   discovery.json    totals
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace poppyscale::testbed::scale {

struct SlowPeriod {
    Nanos at = 0;  // start, counted from the start of the measured time
    Nanos length = 0;
    Nanos delay = 0;  // added to each response
};

struct DiscoveryOptions {
    std::string folder;
    int caches = 1;
    int zones = 1;
    int realRouters = 0;
    double changesPerSecond = 0;
    std::uint64_t seed = 1;
    std::vector<std::string> slow;    // "AT:LENGTH:DELAY" in ms
    bool sendsOlderVersions = false;  // defective variant: some responses carry an older version
};

// Runs until SIGTERM; returns the exit code.
int serveDiscovery(const DiscoveryOptions& options);

}  // namespace poppyscale::testbed::scale
