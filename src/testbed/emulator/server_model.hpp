// The emulated servers: a bounded number of cores, a bounded queue and a speed that varies, and the
// contents of a cache server. The caller passes the time and asks which jobs start; nothing here
// uses sockets or a clock.
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
        double speed = 1;  // core-ns of work done by one core in one nanosecond
        int queueLimit = 0;
        double queueSlowdown = 0;  // share added to the duration of a job that starts with a full queue
    };
    explicit ServerModel(const Shape& shape) : shape_(shape) {}

    struct StartedJob {
        std::uint64_t job;
        Nanos until;
    };
    bool isFull() const {
        return running_ >= static_cast<int>(shape_.cores) &&
               static_cast<int>(queue_.size()) >= shape_.queueLimit;
    }
    // Requires !isFull(). `work` is in core-ns at speed 1.
    void enqueue(std::uint64_t job, double work) { queue_.push_back({job, work}); }
    // Adds the work of a connection's handshake to the next job that starts.
    void addHandshakeWork(double work) { handshakeWork_ += work; }
    // Returns true if the job was still queued.
    bool removeQueued(std::uint64_t job);
    void onJobEnded() { --running_; }
    // Starts as many queued jobs as there are idle cores. Each counts as running until
    // onJobEnded(). `pace` is the present share of the server's speed.
    std::vector<StartedJob> startJobs(Nanos now, double pace);
    void clear();

    double capacity() const { return shape_.cores * shape_.speed; }  // core-ns per nanosecond
    int running() const { return running_; }
    std::size_t queued() const { return queue_.size(); }

  private:
    struct Job {
        std::uint64_t id;
        double work;
    };
    Shape shape_;
    int running_ = 0;
    double handshakeWork_ = 0;
    std::deque<Job> queue_;
};

// The work that arrived within a sliding window. A server stops when this work exceeds a multiple
// of the work that the server can do in that window.
class WorkWindow {
  public:
    explicit WorkWindow(Nanos span) : span_(span) {}
    void add(Nanos now, double work);
    double sum(Nanos now);
    void clear() { *this = WorkWindow(span_); }

  private:
    struct Arrival {
        Nanos at;
        double work;
    };
    Nanos span_;
    double sum_ = 0;
    std::deque<Arrival> arrivals_;
};

// A bounded set of keys that evicts the least recently used one.
class CacheContents {
  public:
    explicit CacheContents(std::size_t maxKeys) : maxKeys_(maxKeys) {}
    // Returns true if the key is there, and marks it as the most recently used.
    bool touch(const std::string& key);
    void insert(const std::string& key);
    void erase(const std::string& key);
    void clear();
    std::size_t size() const { return positions_.size(); }

  private:
    std::size_t maxKeys_;
    std::list<std::string> recency_;  // the most recently used key is first
    std::unordered_map<std::string, std::list<std::string>::iterator> positions_;
};

// The idempotency keys of requests that have run, each kept until its time to live is over. A
// request that repeats a kept key has no further effect.
class IdempotencyRecords {
  public:
    // Returns true if the key is not recorded yet, and records it.
    bool recordIfNew(Nanos now, const std::string& key, Nanos until);

  private:
    struct Record {
        Nanos until;
        std::string key;
    };
    std::unordered_map<std::string, Nanos> until_;
    std::deque<Record> order_;
};

// The share of its capacity that a server has at `now`: it grows linearly from `initialFraction` at
// the server's start to 1 after `rampDuration`. `startedAt` 0 means that the server started long
// ago.
double capacityFractionAt(Nanos now, Nanos startedAt, double initialFraction, Nanos rampDuration);

}  // namespace poppyscale::testbed
