// A copy of the list that a stub router has received, with a digest comparable with that of
// discovery's list.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "protocol/endpoint_list.hpp"
#include "testbed/scale/record.hpp"

namespace poppyscale::testbed::stub_routers {

class EndpointListImage {
  public:
    void apply(EndpointUpdateKind kind, const protocol::EndpointList& list) {
        if (kind != EndpointUpdateKind::delta) {
            digests_.clear();
            states_.clear();
            digest_ = 0;
        }
        for (const protocol::EndpointEntry& entry : list.entries) set(entry);
    }
    std::uint64_t digest() const { return digest_; }
    // Whether the decision module has the same servers in the same states.
    bool matches(const std::vector<EndpointStatus>& statuses) const {
        std::size_t listedCount = 0;
        for (const EndpointStatus& status : statuses) {
            if (status.state == EndpointState::removed) continue;
            ++listedCount;
            const std::size_t number = scale::entryNumber(status.name);
            if (number >= states_.size() || states_[number] != status.state) return false;
        }
        const auto removedCount = std::count(states_.begin(), states_.end(), EndpointState::removed);
        return listedCount + static_cast<std::size_t>(removedCount) == states_.size();
    }

  private:
    void set(const protocol::EndpointEntry& entry) {
        const std::size_t number = scale::entryNumber(entry.endpoint.name);
        if (number >= digests_.size()) {
            digests_.resize(number + 1);
            states_.resize(number + 1, EndpointState::removed);
        }
        std::uint64_t& digest = digests_[number];
        digest_ -= digest;
        digest = scale::entryDigest(entry.endpoint.name, entry.endpoint.state, entry.startedMs);
        digest_ += digest;
        states_[number] = entry.endpoint.state;
    }

    std::vector<std::uint64_t> digests_;  // digests by server number; 0 if not listed
    std::vector<EndpointState> states_;   // states by server number
    std::uint64_t digest_ = 0;
};

}  // namespace poppyscale::testbed::stub_routers
