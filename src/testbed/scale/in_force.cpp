#include "testbed/scale/in_force.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <stdexcept>
#include <string>
#include <utility>

namespace poppyscale::testbed::scale {

std::vector<Change> readChanges(const std::string& path) {
    std::ifstream file(path);
    std::vector<Change> versions;
    Change change;
    std::string kind;
    while (file >> change.version >> change.at >> change.digest >> kind) versions.push_back(change);
    if (versions.empty()) throw std::runtime_error(path + ": expected discovery's list versions, found none");
    return versions;
}

std::vector<std::vector<PropagationRecord>> readRecords(const std::string& path, std::uint32_t first,
                                                        int routers) {
    std::ifstream file(path, std::ios::binary);
    std::vector<std::vector<PropagationRecord>> all(static_cast<std::size_t>(routers));
    PropagationRecord record;
    while (file.read(reinterpret_cast<char*>(&record), sizeof record)) {
        const std::uint32_t index = record.router - first;
        if (index >= all.size())
            throw std::runtime_error(path + ": record of unknown router " + std::to_string(record.router));
        all[index].push_back(record);
    }
    return all;
}

PropagationStatistics::PropagationStatistics(std::vector<Change> versions) : versions_(std::move(versions)) {
    for (std::size_t i = 1; i < versions_.size(); ++i) changes_.push_back({versions_[i].at, {}, 0});
}

bool PropagationStatistics::matchesDiscovery(const PropagationRecord& record) const {
    if (record.version < 1 || record.version > static_cast<std::int64_t>(versions_.size())) return false;
    const Change& version = versions_[static_cast<std::size_t>(record.version - 1)];
    return record.digest == 0 || record.digest == version.digest;
}

void PropagationStatistics::add(const std::vector<PropagationRecord>& router) {
    // When each change came into force; 0 if it is not in force.
    std::vector<std::int64_t> inForceSince(changes_.size(), 0);
    std::size_t inForceCount = 0;  // the first `inForceCount` changes are in force
    std::int64_t highest = 0;
    for (const PropagationRecord& record : router) {
        if (record.version < highest) ++stale_;
        highest = std::max(highest, record.version);
        if (!matchesDiscovery(record)) continue;
        const auto containedChanges = static_cast<std::size_t>(record.version - 1);
        // After an older list, the changes that it lacks come into force with a later record.
        for (std::size_t i = containedChanges; i < inForceCount; ++i) inForceSince[i] = 0;
        for (std::size_t i = inForceCount; i < containedChanges; ++i) inForceSince[i] = record.at;
        inForceCount = containedChanges;
    }
    for (std::size_t i = 0; i < changes_.size(); ++i) {
        if (inForceSince[i] == 0) {
            ++lost_;
            ++changes_[i].lost;
            continue;
        }
        ++delivered_;
        const auto nanos = static_cast<double>(inForceSince[i] - changes_[i].at);
        changes_[i].milliseconds.push_back(static_cast<float>(nanos / 1e6));
    }
}

double PropagationStatistics::quantileMs(double fraction) const {
    std::vector<float> all;
    all.reserve(delivered_);
    for (const PerChange& change : changes_)
        all.insert(all.end(), change.milliseconds.begin(), change.milliseconds.end());
    if (all.empty()) return 0;
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(all.size())));
    const std::size_t index = std::min(std::max<std::size_t>(rank, 1), all.size()) - 1;
    std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(index), all.end());
    return static_cast<double>(all[index]);
}

}  // namespace poppyscale::testbed::scale
