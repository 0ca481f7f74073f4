// What a hollow router was handed of the list, as a digest that can be compared with discovery's.
#pragma once

#include <cstdint>
#include <vector>

#include "lab/scale/record.hpp"
#include "protocol/discovery.hpp"

namespace poppyscale::lab::hollow {

class ListImage {
  public:
    void apply(NewsKind kind, const protocol::Roster& roster) {
        if (kind != NewsKind::changes) {
            entries_.clear();
            digest_ = 0;
        }
        for (const protocol::Place& place : roster.places) set(place);
    }
    std::uint64_t digest() const { return digest_; }

  private:
    void set(const protocol::Place& place) {
        const std::size_t number = scale::entryNumber(place.listed.name);
        if (number >= entries_.size()) entries_.resize(number + 1);
        std::uint64_t& entry = entries_[number];
        digest_ -= entry;
        entry = scale::entryDigest(place.listed.name, place.listed.presence, place.startedMs);
        digest_ += entry;
    }

    std::vector<std::uint64_t> entries_;  // digests by the servers' numbers; 0 for what is not listed
    std::uint64_t digest_ = 0;
};

}  // namespace poppyscale::lab::hollow
