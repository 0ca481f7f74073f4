#include "discovery/removed_endpoints.hpp"

#include <iterator>

namespace poppyscale::discovery {
namespace {

// Memory per id beside its characters: a list node, a hash node and its bucket, with the
// allocator's overhead.
constexpr std::size_t kOverheadBytesPerId = 160;

std::size_t bytesOf(std::string_view id) { return kOverheadBytesPerId + id.size(); }

}  // namespace

void RemovedEndpoints::add(const std::string& id) {
    remove(id);
    byAge_.push_back(id);
    const Position position = std::prev(byAge_.end());
    positions_.emplace(*position, position);
    usedBytes_ += bytesOf(id);
    while (usedBytes_ > capacityBytes_) remove(byAge_.front());
}

void RemovedEndpoints::remove(std::string_view id) {
    const auto found = positions_.find(id);
    if (found == positions_.end()) return;
    const Position position = found->second;
    usedBytes_ -= bytesOf(*position);
    positions_.erase(found);
    byAge_.erase(position);
}

}  // namespace poppyscale::discovery
