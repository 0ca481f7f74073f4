// What keeps a distributor's guarantees, each by its name. One can be disabled to prove that a test finds its
// absence.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace poppyscale::endpoint_distribution {

enum class Safeguard : std::uint8_t {
    versionGuard,     // a reader never gets a lower version than it has
    olderList,        // an upstream's older list is rejected
    tombstones,       // readers with an earlier version are notified of removed servers
    gaps,             // no changes are given since a version that was never here
    failOver,         // after a failure the next upstream is polled
    backoffJitter,    // distributors do not return to an upstream all at once
    batching,         // changes within `batch` are sent together
    slowReaderBound,  // a reader that does not take its responses is closed
    patience,         // where no upstream responds in time, the timeout grows
    staleUpstream,    // an upstream whose own list is stale is left
    aheadCheck        // readers with a version that no upstream has any more are detected
};

struct NamedSafeguard {
    std::string_view name;
    Safeguard safeguard;
};

const std::vector<NamedSafeguard>& safeguards();
// Throws std::runtime_error that lists the names.
Safeguard safeguardNamed(std::string_view name);

}  // namespace poppyscale::endpoint_distribution
