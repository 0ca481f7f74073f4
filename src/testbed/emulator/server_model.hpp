// What serves commands: so many cores, a bounded waiting room, a pace that changes. And what a cache keeps.
// Time is told; what ends is asked for. Nothing here knows of sockets or of a clock.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.hpp"

namespace poppyscale::testbed {

class ServerModel {
  public:
    struct Shape {
        double cores = 1;
        double speed = 1;  // work done by one core in a ns
        int queue = 0;
        double thrash = 0;  // added to the time of what begins with the room full, as a share
    };
    explicit ServerModel(const Shape& shape) : shape_(shape) {}

    struct Begun {
        std::uint64_t job;
        Nanos until;
    };
    bool full() const {
        return running_ >= static_cast<int>(shape_.cores) &&
               static_cast<int>(waiting_.size()) >= shape_.queue;
    }
    // Only if it isn't full. `work` in core-ns at speed 1.
    void take(std::uint64_t job, double work) { waiting_.push_back({job, work}); }
    void extra(double work) { debt_ += work; }  // of a handshake: the next command bears it
    bool withdraw(std::uint64_t job);           // true if it had not begun
    void ended() { --running_; }
    // What may begin now; it is counted as running until `ended`.
    std::vector<Begun> begin(Nanos now, double pace);
    void clear();

    double capacity() const { return shape_.cores * shape_.speed; }  // core-ns a ns
    int running() const { return running_; }
    std::size_t waiting() const { return waiting_.size(); }

  private:
    struct Job {
        std::uint64_t id;
        double work;
    };
    Shape shape_;
    int running_ = 0;
    double debt_ = 0;
    std::deque<Job> waiting_;
};

// Work that came within a span: over a multiple of what can be done in it, a machine gives in.
class WorkWindow {
  public:
    explicit WorkWindow(Nanos span) : span_(span) {}
    void add(Nanos now, double work);
    double sum(Nanos now);
    void clear() { *this = WorkWindow(span_); }

  private:
    struct Piece {
        Nanos at;
        double work;
    };
    Nanos span_;
    double sum_ = 0;
    std::deque<Piece> pieces_;
};

// A bounded number of keys; the one used longest ago goes first.
class CacheContents {
  public:
    explicit CacheContents(std::size_t most) : most_(most) {}
    bool touch(const std::string& key);
    void put(const std::string& key);
    void drop(const std::string& key);
    void clear();
    std::size_t size() const { return at_.size(); }

  private:
    std::size_t most_;
    std::list<std::string> order_;  // the one used last is first
    std::unordered_map<std::string, std::list<std::string>::iterator> at_;
};

// Marks of commands that have run, each for its time: what comes again by then gets the old receipt.
class IdempotencyRecords {
  public:
    // True when it is new, and kept from now on.
    bool enter(Nanos now, const std::string& mark, Nanos until);

  private:
    struct Mark {
        Nanos until;
        std::string name;
    };
    std::unordered_map<std::string, Nanos> until_;
    std::deque<Mark> order_;
};

// The share of its capacity that a machine has that came up cold.
double paceOf(Nanos now, Nanos startedAt, double share, Nanos ramp);

}  // namespace poppyscale::testbed
