// The requests that wait for a server.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "base/time.hpp"
#include "policy/request.hpp"

namespace poppyscale::policy {

// Orders waiting requests, and estimates which of them will be served in time. Owns the order only;
// RoutingPolicy owns the requests, and destroys a queued one only while visitAll() removes it.
class AdmissionQueue {
  public:
    void push(Request& request) { entries_.push_back({&request, 0}); }

    // Sorts requests within their tenant's quota before those over it, then by descending priority;
    // equal requests keep their order. First calls `priorityOf(Request&)` for each request in the
    // current order, unless only one request waits.
    template <class PriorityOf>
    void prioritize(PriorityOf priorityOf) {
        if (entries_.size() < 2) return;
        for (Entry& entry : entries_) entry.priority = priorityOf(*entry.request);
        std::stable_sort(entries_.begin(), entries_.end(), isBefore);
    }

    // Calls `visit(Request&)` for each request in order, and removes those for which it returns
    // false. `visit` may destroy the requests that it removes, and must not call push().
    template <class Visit>
    void visitAll(Visit visit) {
        std::size_t kept = 0;
        for (const Entry entry : entries_) {
            const bool isKept = visit(*entry.request);
            if (!isKept) continue;
            entries_[kept] = entry;
            ++kept;
        }
        entries_.resize(kept);
    }

    // Sets the inputs of hasTimeToWait(); to be called before visitAll(). `isOverloaded`: whether
    // the limit over all cache servers has ever been lowered; until then no request is expected to
    // wait long. `successInterval`: the mean time between two successful attempts.
    void beginEstimates(bool isOverloaded, Nanos successInterval);
    // Whether a server is expected to be free for the request within half of `timeLeft`, the time
    // until the latest start of an attempt that would still be of use. To be called in queue order,
    // once for each request that finds no server.
    bool hasTimeToWait(Nanos timeLeft);

  private:
    struct Entry {
        Request* request = nullptr;
        double priority = 0;
    };

    static bool isBefore(const Entry& a, const Entry& b);

    std::vector<Entry> entries_;
    bool isOverloaded_ = false;
    Nanos successInterval_ = 0;
    Nanos positionInQueue_ = 0;
};

}  // namespace poppyscale::policy
