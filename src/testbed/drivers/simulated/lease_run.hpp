// The leases of a whole fleet in virtual time: the real acceptors and lease holders with faults of the
// network, disks, clocks and processes, for hours per seed. An act is one use of a lease by a router that
// holds it. A run is deterministic: the same seed gives the same digest of all acts.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "lease/messages.hpp"

namespace poppyscale::testbed {

struct LeaseRunOptions {
    std::uint64_t seed = 1;
    int routers = 300, acceptors = 5, leases = 1000;
    int candidates = 3;    // number of candidate routers for each lease
    double seconds = 600;  // length of the run in seconds of virtual time
    // none
    // all: random faults, one after another
    // loss: a tenth of all messages is lost
    // flap: one acceptor is cut off for 2 s in every 4 s
    // restart: the acceptors are killed in turn; they keep their disks and transfer no leases
    // holders: routers that are not acceptors are killed
    std::string faults = "all";
    std::set<lease::Safeguard> disabledSafeguards;
};

struct LeaseRunResult {
    // Acts during another router's act on the same lease; acts with a fencing token below an earlier one.
    long overlaps = 0, fenceViolations = 0;
    long acts = 0, lateActsRejected = 0;
    long actorChanges = 0;   // acts by another router than the act before
    long killedHolders = 0;  // leases whose holder was killed
    double unheldShare = 0;  // share of the leases' time without a holder, from 2 s on
    // Time from the kill of a holder to the next act, in seconds.
    double takeoverP50 = 0, takeoverP99 = 0, maxTakeover = 0;
    // Frames sent per router; a frame carries all messages to one other router.
    double framesPerSecond = 0;
    double bytesPerFrame = 0;
    double cpuMicros = 0;  // CPU time of the process, per router and virtual second
    double seconds = 0, wallSeconds = 0;
    std::string digest;          // digest of all acts
    std::string firstViolation;  // description of the first violation
};

LeaseRunResult runSimulatedLeases(const LeaseRunOptions& options);

}  // namespace poppyscale::testbed
