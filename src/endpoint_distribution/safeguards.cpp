#include "endpoint_distribution/safeguards.hpp"

#include <stdexcept>
#include <string>

namespace poppyscale::endpoint_distribution {

const std::vector<NamedSafeguard>& safeguards() {
    static const std::vector<NamedSafeguard> all{
        {"version-guard", Safeguard::versionGuard}, {"older-list", Safeguard::olderList},
        {"tombstones", Safeguard::tombstones},      {"gaps", Safeguard::gaps},
        {"fail-over", Safeguard::failOver},         {"backoff-jitter", Safeguard::backoffJitter},
        {"batching", Safeguard::batching},          {"slow-reader-bound", Safeguard::slowReaderBound},
        {"patience", Safeguard::patience},          {"stale-upstream", Safeguard::staleUpstream},
        {"ahead-check", Safeguard::aheadCheck}};
    return all;
}

Safeguard safeguardNamed(std::string_view name) {
    std::string known;
    for (const NamedSafeguard& named : safeguards()) {
        if (named.name == name) return named.safeguard;
        if (!known.empty()) known += ", ";
        known += named.name;
    }
    throw std::runtime_error("'" + std::string(name) + "' is none of " + known);
}

}  // namespace poppyscale::endpoint_distribution
