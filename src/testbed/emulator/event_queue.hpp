// What is to happen, by time; what is due at one time happens in the order it was put down.
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
    void schedule(Nanos at, std::function<void(Nanos now)> what) {
        items_.push({std::max(at, reached_), ++last_, std::move(what)});
    }
    Nanos next() const { return items_.empty() ? kNever : items_.top().at; }
    // Plays all that is due at the next time up to `now`, at its own time. False when nothing is.
    bool step(Nanos now) {
        if (next() > now) return false;
        reached_ = next();
        while (next() == reached_) {
            auto what = std::move(const_cast<Item&>(items_.top()).what);  // a queue only shows its top
            items_.pop();
            what(reached_);
        }
        return true;
    }

  private:
    struct Item {
        Nanos at;
        std::uint64_t order;
        std::function<void(Nanos)> what;
        bool operator<(const Item& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    std::priority_queue<Item> items_;
    std::uint64_t last_ = 0;
    Nanos reached_ = 0;
};

}  // namespace poppyscale::testbed
