// What a stub router was handed of the list, as a digest that can be compared with discovery's.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "protocol/endpoint_list.hpp"
#include "testbed/scale/record.hpp"

namespace poppyscale::testbed::stub_routers {

class ListImage {
  public:
    void apply(EndpointUpdateKind kind, const protocol::EndpointList& roster) {
        if (kind != EndpointUpdateKind::delta) {
            entries_.clear();
            presences_.clear();
            digest_ = 0;
        }
        for (const protocol::EndpointEntry& place : roster.entries) set(place);
    }
    std::uint64_t digest() const { return digest_; }
    // Whether the decision module believes in the same servers.
    bool agrees(const std::vector<EndpointStatus>& beliefs) const {
        std::size_t present = 0;
        for (const EndpointStatus& belief : beliefs) {
            if (belief.state == EndpointState::removed) continue;
            ++present;
            const std::size_t number = scale::entryNumber(belief.name);
            if (number >= presences_.size() || presences_[number] != belief.state) return false;
        }
        const auto gone = std::count(presences_.begin(), presences_.end(), EndpointState::removed);
        return present + static_cast<std::size_t>(gone) == presences_.size();
    }

  private:
    void set(const protocol::EndpointEntry& place) {
        const std::size_t number = scale::entryNumber(place.endpoint.name);
        if (number >= entries_.size()) {
            entries_.resize(number + 1);
            presences_.resize(number + 1, EndpointState::removed);
        }
        std::uint64_t& entry = entries_[number];
        digest_ -= entry;
        entry = scale::entryDigest(place.endpoint.name, place.endpoint.state, place.startedMs);
        digest_ += entry;
        presences_[number] = place.endpoint.state;
    }

    std::vector<std::uint64_t> entries_;    // digests by the servers' numbers; 0 for what is not listed
    std::vector<EndpointState> presences_;  // by the same numbers
    std::uint64_t digest_ = 0;
};

}  // namespace poppyscale::testbed::stub_routers
