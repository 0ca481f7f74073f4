// Scheduled actions ordered by time. Actions due at the same time run in the order they were
// scheduled.
#pragma once

#include <functional>
#include <limits>
#include <queue>
#include <utility>
#include <vector>

#include "base/time.hpp"

namespace poppyscale::testbed {

class EventQueue {
  public:
    void schedule(Nanos at, std::function<void(Nanos now)> action) {
        items_.push({std::max(at, reachedTime_), ++lastOrder_, std::move(action)});
    }
    Nanos next() const { return items_.empty() ? kNever : items_.top().at; }
    // Runs all actions due at the earliest scheduled time, if that is not after `now`, and passes
    // that time to them. Returns false if no action is due by `now`.
    bool step(Nanos now) {
        if (next() > now) return false;
        reachedTime_ = next();
        while (next() == reachedTime_) {
            // std::priority_queue::top() returns a const reference; the item is popped next, so it
            // may be moved.
            auto action = std::move(const_cast<Item&>(items_.top()).action);
            items_.pop();
            action(reachedTime_);
        }
        return true;
    }

  private:
    struct Item {
        Nanos at;
        std::uint64_t order;
        std::function<void(Nanos)> action;
        bool operator<(const Item& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    std::priority_queue<Item> items_;
    std::uint64_t lastOrder_ = 0;
    Nanos reachedTime_ = 0;
};

}  // namespace poppyscale::testbed
