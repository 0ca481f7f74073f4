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
        {"patience", Safeguard::growingTimeout},    {"stale-upstream", Safeguard::staleUpstream},
        {"ahead-check", Safeguard::aheadCheck}};
    return all;
}

Safeguard safeguardNamed(std::string_view name) {
    std::string knownNames;
    for (const NamedSafeguard& named : safeguards()) {
        if (named.name == name) return named.safeguard;
        if (!knownNames.empty()) knownNames += ", ";
        knownNames += named.name;
    }
    throw std::runtime_error("unknown safeguard '" + std::string(name) + "', expected one of " + knownNames);
}

}  // namespace poppyscale::endpoint_distribution
