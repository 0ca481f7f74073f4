// Leases of a whole fleet in virtual time: the real acceptors and holders over links, disks and clocks that
// fail, hours for each seed. The same seed plays the same, and ends with the same digest of all that
// happened.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "lease/messages.hpp"

namespace poppyscale::testbed {

struct LeaseRunOptions {
    std::uint64_t seed = 1;
    int routers = 300, acceptors = 5, leases = 1000;
    int candidates = 3;    // of each lease
    double seconds = 600;  // virtual
    // none, all (drawn, one after another), loss (a tenth of all messages), flap (one acceptor's links, 2 s
    // in 4), restart (the acceptors one after another, with their disks, handing nothing on), holders
    // (killed)
    std::string faults = "all";
    std::set<lease::Safeguard> disabledSafeguard;
};

struct LeaseRunResult {
    long overlaps = 0, violations = 0;  // acts of two at once; acts by a fence under one that was seen
    long acts = 0, lateRefused = 0;
    long changes = 0;  // an act by another than the one before
    long kills = 0;    // of a router that held something
    double without =
        0;  // share of the leases' time in which nobody held them, after the first second of each
    double p50 = 0, p99 = 0, most = 0;  // s, from the death of a holder to the next act
    double framesPerSecond = 0;         // of one router, sent; a frame is all for one other router
    double bytesPerFrame = 0;
    double cpuMicros = 0;  // of deciding, a router and second
    double seconds = 0, wall = 0;
    std::string digest;  // of every act
    std::string first;   // the first break, in words
};

LeaseRunResult runSimulatedLeases(const LeaseRunOptions& play);

}  // namespace poppyscale::testbed
