// The requests that a router holds.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "proxy/pending_request.hpp"

namespace poppyscale::proxy {

// Owns the requests. Finds them by the router's id, tracks the ids that clients gave them, and
// estimates the memory that they take. References to a request stay valid until `remove`.
class RequestTable {
  public:
    using Requests = std::unordered_map<RequestId, std::unique_ptr<PendingRequest>>;

    // Takes a request whose message is set, and gives it the next id.
    PendingRequest& add(std::unique_ptr<PendingRequest> request);
    // Null if no request has that id.
    PendingRequest* find(RequestId id) const;
    // The request must exist.
    PendingRequest& at(RequestId id) const { return *requests_.at(id); }
    // Whether the client of a request in this table gave it that id.
    bool hasClientId(std::string_view clientId) const { return clientIds_.contains(clientId); }
    // Does nothing if no request has that id.
    void remove(RequestId id);

    std::size_t size() const { return requests_.size(); }
    // Estimated memory of all requests, in bytes.
    std::size_t bufferedBytes() const { return bufferedBytes_; }
    // In no particular order.
    const Requests& all() const { return requests_; }
    std::vector<const PendingRequest*> oldestFirst() const;

  private:
    Requests requests_;
    std::unordered_set<std::string_view> clientIds_;  // views into the requests' messages
    std::size_t bufferedBytes_ = 0;
    RequestId lastId_ = 0;
};

}  // namespace poppyscale::proxy
