// The event loop: one thread, one clock, timers in nanoseconds, and a callback around each poll.
#pragma once

#include <uv.h>

#include <functional>
#include <set>
#include <utility>

#include "base/time.hpp"

namespace poppyscale::transport {

class Timer;

// Runs libuv's loop on the calling thread. Each object of this folder belongs to one loop, is used on the
// loop's thread only, and has to be destroyed before the loop.
class EventLoop {
  public:
    EventLoop();
    // Closes its own handles and runs until all others have closed.
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // The monotonic clock, set forward by a constant so that times before the machine's boot are positive.
    static Nanos now();
    // The earliest time at which bytes that are being read may have arrived in the kernel: now, unless the
    // process was held up (stopped, or short of processor time). A client's waiting time counts from then,
    // and a server's response time ends then.
    Nanos earliestArrival() const;
    // For calls of libuv functions.
    uv_loop_t* raw() { return &loop_; }
    // Sets a callback that runs before and after each poll: libuv runs its timers before polling, and what
    // they cause must not wait until a socket becomes readable.
    void onIteration(std::function<void()> callback) { iterationCallback_ = std::move(callback); }
    // Returns after `stop`.
    void run();
    void stop() { uv_stop(&loop_); }

    // Called by Timer only: `timer` fires once at `at`, unless it is removed before.
    void addTimer(Timer& timer, Nanos at) { timers_.emplace(at, &timer); }
    void removeTimer(Timer& timer, Nanos at) { timers_.erase({at, &timer}); }

  private:
    void beforePoll();
    void afterPoll();
    void fireTimers();

    uv_loop_t loop_{};
    uv_prepare_t prepare_{};
    uv_check_t check_{};
    uv_timer_t timer_{};
    std::function<void()> iterationCallback_;
    std::set<std::pair<Nanos, Timer*>> timers_;
    Nanos pollDeadline_ = 0;  // the poll ends later only if the process is held up
    Nanos lastPollEnd_ = 0;   // 0 before the first poll
    Nanos knownArrival_ = 0;  // `earliestArrival` if known before the poll, else 0
    bool isPolling_ = false;
    // The last poll was held up and may have read nothing: timers wait for another poll.
    bool mayHaveUnread_ = false;
};

// Calls back once for each start. Destroying the timer stops it; its callback may destroy it.
class Timer {
  public:
    Timer(EventLoop& loop, std::function<void()> callback) : loop_(loop), callback_(std::move(callback)) {}
    ~Timer() { stop(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    // Fires at `at` on the loop's clock; an earlier start is replaced.
    void start(Nanos at);
    void stop();
    bool isActive() const { return at_ != 0; }

    // Called by the loop only, after it has removed the timer.
    void expire();

  private:
    EventLoop& loop_;
    std::function<void()> callback_;
    Nanos at_ = 0;  // 0 while it is not active
};

// Calls back on the loop's thread for each signal `number` to the process until it is destroyed.
class Signal {
  public:
    Signal(EventLoop& loop, int number, std::function<void()> callback);
    ~Signal();
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;

  private:
    uv_signal_t* handle_;  // owned; freed by libuv's close callback
    std::function<void()> callback_;
};

}  // namespace poppyscale::transport
