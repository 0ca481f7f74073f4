// Settings that acceptors and holders of leases have in common.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace poppyscale::lease {

// Mechanisms on which the guarantee of leases (lease_holder.hpp) depends. One can be disabled to
// prove that a check detects its absence.
enum class Safeguard : std::uint8_t {
    quarantine,  // an acceptor without its state answers no lease request until its possible grants expire
    rate,        // holders allow for clocks that run fast or slow
    sentTime,    // holders count a grant from when the request was sent, not from the answer
    majority,    // more than half of the acceptors have to grant
    fence,       // each new holder's fencing token is greater than all earlier ones
    margin,      // a critical section begins only if the lease outlasts it
    sync         // an acceptor answers only after its records are durable
};
struct NamedSafeguard {
    std::string_view name;  // name on the testbed's command line, which disables the safeguard
    Safeguard safeguard;
};
const std::vector<NamedSafeguard>& safeguards();
// Throws std::runtime_error that lists the names.
Safeguard parseSafeguard(std::string_view name);

// The same for all acceptors and holders of a set of leases. Times are in nanoseconds.
struct LeaseSettings {
    int acceptorCount = 3;                  // acceptors; odd, 3 or more
    Nanos duration = 4'000 * kMillisecond;  // duration of a grant, on the acceptor's clock
    // A clock may run fast or slow by this fraction, 0 to 0.1.
    double rate = 0.01;
    // Time by which a lease has to outlast a critical section.
    Nanos margin = 100 * kMillisecond;
    Nanos answerTimeout = 400 * kMillisecond;    // time after which a round of requests is given up
    Nanos renewInterval = 1'200 * kMillisecond;  // time between the renewals of a held lease
    // Pause before the next round; doubled with each failed round.
    Nanos minBackoff = 50 * kMillisecond;
    Nanos maxBackoff = 1'000 * kMillisecond;
    std::set<Safeguard> disabledSafeguards;  // empty except in tests of the checks

    bool has(Safeguard safeguard) const { return !disabledSafeguards.contains(safeguard); }
    // Acceptors that have to grant a lease to its holder.
    int majority() const { return has(Safeguard::majority) ? acceptorCount / 2 + 1 : acceptorCount / 2; }
    // How long a holder may rely on a grant, on its own clock, from when it sent the request.
    Nanos holdDuration() const {
        return has(Safeguard::rate)
                   ? static_cast<Nanos>(static_cast<double>(duration) * (1 - rate) / (1 + rate))
                   : duration;
    }
};

// A setting that can't be used.
struct SettingsProblem {
    std::string key;  // key of the setting in a configuration file
    std::string problem;
};
// Checks the settings for critical sections of at most that duration; empty if they can be used.
std::vector<SettingsProblem> findProblems(const LeaseSettings& settings, Nanos maxCriticalSection);

}  // namespace poppyscale::lease
