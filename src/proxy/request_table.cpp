#include "proxy/request_table.hpp"

#include <algorithm>
#include <utility>

namespace poppyscale::proxy {
namespace {

// Estimated bytes that a request takes besides its text, in this table and in the policy. For short
// requests this is the larger part.
constexpr std::size_t kMemoryPerRequest = 1024;

std::size_t memoryOf(const protocol::Request& message) {
    return kMemoryPerRequest + message.key.size() + message.id.size() + message.info.size() +
           message.value.size();
}

}  // namespace

PendingRequest& RequestTable::add(std::unique_ptr<PendingRequest> request) {
    ++lastId_;
    request->id = lastId_;
    const auto element = requests_.emplace(lastId_, std::move(request)).first;
    PendingRequest& added = *element->second;
    bufferedBytes_ += memoryOf(added.message);
    clientIds_.insert(added.message.id);
    return added;
}

PendingRequest* RequestTable::find(RequestId id) const {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : it->second.get();
}

void RequestTable::remove(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    bufferedBytes_ -= memoryOf(it->second->message);
    clientIds_.erase(it->second->message.id);
    requests_.erase(it);
}

std::vector<const PendingRequest*> RequestTable::oldestFirst() const {
    std::vector<const PendingRequest*> order;
    for (const auto& [id, request] : requests_) order.push_back(request.get());
    std::sort(order.begin(), order.end(),
              [](const PendingRequest* a, const PendingRequest* b) { return a->id < b->id; });
    return order;
}

}  // namespace poppyscale::proxy
