// The requests that wait for a server.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "base/time.hpp"
#include "policy/request.hpp"

namespace poppyscale::policy {

// Orders waiting requests, and judges which of them will be served in time. Owns the order; the requests
// belong to the policy, which removes them here before it destroys them.
class AdmissionQueue {
  public:
    void push(Request& request) { entries_.push_back({&request, 0}); }

    // Puts requests within their tenant's quota first, and those of higher priority before others; equal ones
    // stay in their order. `priorityOf(Request&)` is called for each request, in the present order.
    template <class PriorityOf>
    void prioritize(PriorityOf priorityOf) {
        if (entries_.size() < 2) return;
        for (Entry& entry : entries_) entry.priority = priorityOf(*entry.request);
        std::stable_sort(entries_.begin(), entries_.end(), isBefore);
    }

    // Calls `visit(Request&)` for each request in order; those for which it returns false leave the queue. It
    // may destroy these, and must not push.
    template <class Visit>
    void visitAll(Visit visit) {
        std::size_t kept = 0;
        for (const Entry entry : entries_) {
            const bool stays = visit(*entry.request);
            if (!stays) continue;
            entries_[kept] = entry;
            ++kept;
        }
        entries_.resize(kept);
    }

    // Before a visitAll(): what hasTimeToWait() then reckons with. `isOverloaded`: whether the servers' limit
    // has ever been reached; before that no request waits long.
    void beginEstimates(bool isOverloaded, Nanos successInterval);
    // For each request in turn that finds no server: whether the ones before it leave it one within
    // `timeLeft`.
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
