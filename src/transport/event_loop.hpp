// The event loop: one thread, one clock, alarms in nanoseconds, and a call around each poll.
#pragma once

#include <uv.h>

#include <functional>
#include <set>
#include <utility>

#include "policy/routing_policy.hpp"

namespace poppyscale::transport {

class Timer;

class EventLoop {
  public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // The monotonic clock, set forward so that a machine that has just booted can still name times before.
    static Nanos now();
    // Since when what is being read may have stood in the kernel: now, unless the process was held up. A
    // client's wait has begun by then, and a cache has answered by then.
    Nanos earliestArrival() const;
    uv_loop_t* raw() { return &loop_; }
    // Called before the poll and after it: libuv runs timers before polling, and what they bring must not
    // wait until something comes in on a socket.
    void onIteration(std::function<void()> handOver) { handOver_ = std::move(handOver); }
    void run();
    void stop() { uv_stop(&loop_); }

  private:
    friend class Timer;
    void beforePoll();
    void afterPoll();
    void fireTimers();

    uv_loop_t loop_{};
    uv_prepare_t prepare_{};
    uv_check_t check_{};
    uv_timer_t timer_{};
    std::function<void()> handOver_;
    std::set<std::pair<Nanos, Timer*>> alarms_;
    Nanos pollDue_ = 0;    // when the poll ends at the latest, if nobody holds the process up
    Nanos polledAt_ = 0;   // when the last one ended
    Nanos arrivedBy_ = 0;  // known before the poll, else 0
    bool reading_ = false;
    bool unread_ = false;  // the last one was held up and may have read nothing: alarms wait for another
};

// Rings once for each time it is set.
class Timer {
  public:
    Timer(EventLoop& loop, std::function<void()> ring) : loop_(loop), ring_(std::move(ring)) {}
    ~Timer() { stop(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    void start(Nanos at);
    void stop();
    bool isActive() const { return at_ != 0; }

  private:
    friend class EventLoop;
    EventLoop& loop_;
    std::function<void()> ring_;
    Nanos at_ = 0;
};

// A signal to the process, brought in a turn of the loop for as long as this lives.
class Signal {
  public:
    Signal(EventLoop& loop, int number, std::function<void()> come);
    ~Signal();
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;

  private:
    uv_signal_t* handle_;
    std::function<void()> come_;
};

}  // namespace poppyscale::transport
