// The mechanisms that uphold a distributor's guarantees. Each can be disabled by name, to prove
// that a test notices when it is missing.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace poppyscale::endpoint_distribution {

enum class Safeguard : std::uint8_t {
    versionGuard,     // a reader never gets a lower version than its own
    olderList,        // an upstream's older list is rejected
    tombstones,       // changes since an earlier version include removed servers
    gaps,             // changes since a version inside a gap (see ListState) are not sent
    failOver,         // after a failure the next upstream is polled
    backoffJitter,    // distributors do not all poll an upstream again at the same moment
    batching,         // changes within `batchInterval` are sent together
    slowReaderBound,  // a reader that does not receive its responses is closed
    growingTimeout,   // the response timeout grows while no upstream responds in time
    staleUpstream,    // the next upstream is polled when an upstream's own list is stale
    aheadCheck        // readers' versions that no upstream has any more are detected
};

struct NamedSafeguard {
    std::string_view name;
    Safeguard safeguard;
};

const std::vector<NamedSafeguard>& safeguards();
// Throws std::runtime_error with all known names if the name is unknown.
Safeguard safeguardNamed(std::string_view name);

}  // namespace poppyscale::endpoint_distribution
