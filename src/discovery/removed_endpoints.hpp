// The ids of servers that were listed once and are removed, so that an operator can still eject
// them.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace poppyscale::discovery {

// Holds as many ids as fit into its capacity. The id of the server that was removed first is
// evicted first.
class RemovedEndpoints {
  public:
    explicit RemovedEndpoints(std::size_t capacityBytes) : capacityBytes_(capacityBytes) {}

    // An id that is already held becomes the latest one, which is evicted last.
    void add(const std::string& id);
    void remove(std::string_view id);
    bool contains(std::string_view id) const { return positions_.contains(id); }
    std::size_t size() const { return byAge_.size(); }

  private:
    using Position = std::list<std::string>::iterator;

    std::size_t capacityBytes_;
    std::size_t usedBytes_ = 0;
    std::list<std::string> byAge_;                              // server ids, oldest removal first
    std::unordered_map<std::string_view, Position> positions_;  // keys are the strings in `byAge_`
};

}  // namespace poppyscale::discovery
