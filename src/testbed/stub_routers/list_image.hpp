// What a hollow router was handed of the list, as a digest that can be compared with discovery's.
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
    void apply(NewsKind kind, const protocol::Roster& roster) {
        if (kind != NewsKind::changes) {
            entries_.clear();
            presences_.clear();
            digest_ = 0;
        }
        for (const protocol::Place& place : roster.places) set(place);
    }
    std::uint64_t digest() const { return digest_; }
    // Whether the decision module believes in the same servers.
    bool agrees(const std::vector<Belief>& beliefs) const {
        std::size_t present = 0;
        for (const Belief& belief : beliefs) {
            if (belief.presence == Presence::gone) continue;
            ++present;
            const std::size_t number = scale::entryNumber(belief.name);
            if (number >= presences_.size() || presences_[number] != belief.presence) return false;
        }
        const auto gone = std::count(presences_.begin(), presences_.end(), Presence::gone);
        return present + static_cast<std::size_t>(gone) == presences_.size();
    }

  private:
    void set(const protocol::Place& place) {
        const std::size_t number = scale::entryNumber(place.listed.name);
        if (number >= entries_.size()) {
            entries_.resize(number + 1);
            presences_.resize(number + 1, Presence::gone);
        }
        std::uint64_t& entry = entries_[number];
        digest_ -= entry;
        entry = scale::entryDigest(place.listed.name, place.listed.presence, place.startedMs);
        digest_ += entry;
        presences_[number] = place.listed.presence;
    }

    std::vector<std::uint64_t> entries_;  // digests by the servers' numbers; 0 for what is not listed
    std::vector<Presence> presences_;     // by the same numbers
    std::uint64_t digest_ = 0;
};

}  // namespace poppyscale::testbed::stub_routers
