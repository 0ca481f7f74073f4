#include "transport/event_loop.hpp"

#include <algorithm>
#include <new>

namespace poppyscale::transport {
namespace {

// Polls are short, so that a late end of one shows that the process was held up.
constexpr Nanos kMaxPollDuration = 20 * kMillisecond;
constexpr Nanos kMinHoldUp = 10 * kMillisecond;  // shorter delays occur on any busy machine
// 1,000,000 s; see `EventLoop::now`.
constexpr Nanos kClockOffset = 1'000'000 * kMillisecond * 1000;

}  // namespace

EventLoop::EventLoop() {
    if (uv_loop_init(&loop_) != 0) throw std::bad_alloc();
    uv_prepare_init(&loop_, &prepare_);
    uv_check_init(&loop_, &check_);
    uv_timer_init(&loop_, &timer_);
    prepare_.data = this;
    check_.data = this;
    timer_.data = this;
}

EventLoop::~EventLoop() {
    for (auto* handle : {reinterpret_cast<uv_handle_t*>(&prepare_), reinterpret_cast<uv_handle_t*>(&check_),
                         reinterpret_cast<uv_handle_t*>(&timer_)})
        uv_close(handle, nullptr);
    // The handles are closed in a further iteration, and the first call does not run one if `stop` was
    // called before it.
    while (uv_run(&loop_, UV_RUN_DEFAULT) != 0) {
    }
    uv_loop_close(&loop_);
}

Nanos EventLoop::now() { return static_cast<Nanos>(uv_hrtime()) + kClockOffset; }

void EventLoop::run() {
    uv_prepare_start(&prepare_, [](uv_prepare_t* h) { static_cast<EventLoop*>(h->data)->beforePoll(); });
    uv_check_start(&check_, [](uv_check_t* h) { static_cast<EventLoop*>(h->data)->afterPoll(); });
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_prepare_stop(&prepare_);
    uv_check_stop(&check_);
    uv_timer_stop(&timer_);
}

void EventLoop::beforePoll() {
    if (iterationCallback_) iterationCallback_();
    // libuv's timer only ends the poll, and the timers of this class fire after it, so that a response that
    // has arrived is read before its attempt times out. libuv counts whole milliseconds from a cached time
    // and may end the poll too early; the next iteration then polls again.
    uv_update_time(&loop_);
    const Nanos pollStart = now();
    Nanos pollDuration = kMaxPollDuration;
    if (!timers_.empty())
        pollDuration = std::clamp<Nanos>(timers_.begin()->first - pollStart, 0, kMaxPollDuration);
    const auto pollMs = static_cast<std::uint64_t>((pollDuration + kMillisecond - 1) / kMillisecond);
    uv_timer_start(
        &timer_, [](uv_timer_t*) {}, pollMs, 0);
    pollDeadline_ = pollStart + pollDuration;
    // Sockets are read within the poll. After a long iteration, bytes may have arrived as early as its
    // start, the end of the last poll. Whether this poll ends late is only known once it does.
    const bool wasHeldUp = pollStart - lastPollEnd_ > kMinHoldUp && lastPollEnd_ != 0;
    knownArrival_ = wasHeldUp ? lastPollEnd_ : 0;
    isPolling_ = true;
}

Nanos EventLoop::earliestArrival() const {
    const Nanos currentTime = now();
    if (!isPolling_) return currentTime;
    if (knownArrival_ != 0) return knownArrival_;
    return currentTime - pollDeadline_ > kMinHoldUp ? pollDeadline_ : currentTime;
}

void EventLoop::afterPoll() {
    isPolling_ = false;
    // If the process was held up in the poll, libuv may have returned without reading. Timers that are due
    // then fire after one more iteration, which does not wait and reads what has arrived.
    const Nanos pollEnd = now();
    const bool wasHeldUp = pollEnd - pollDeadline_ > kMinHoldUp;
    lastPollEnd_ = wasHeldUp ? pollDeadline_ : pollEnd;
    mayHaveUnread_ = wasHeldUp && !mayHaveUnread_;
    if (!mayHaveUnread_) fireTimers();
    if (iterationCallback_) iterationCallback_();
}

void EventLoop::fireTimers() {
    // A callback may start a timer for the current time: that timer fires in the next iteration.
    const Nanos until = now();
    while (!timers_.empty() && timers_.begin()->first <= until) {
        Timer* const timer = timers_.begin()->second;
        timers_.erase(timers_.begin());
        timer->expire();
    }
}

void Timer::start(Nanos at) {
    if (at == at_) return;
    stop();
    at_ = std::max<Nanos>(at, 1);
    loop_.addTimer(*this, at_);
}

void Timer::stop() {
    if (at_ == 0) return;
    loop_.removeTimer(*this, at_);
    at_ = 0;
}

void Timer::expire() {
    at_ = 0;
    const auto callback = callback_;  // this timer may be destroyed by its callback
    callback();
}

Signal::Signal(EventLoop& loop, int number, std::function<void()> callback)
    : handle_(new uv_signal_t{}), callback_(std::move(callback)) {
    uv_signal_init(loop.raw(), handle_);
    handle_->data = this;
    uv_signal_start(
        handle_, [](uv_signal_t* s, int) { static_cast<Signal*>(s->data)->callback_(); }, number);
}

Signal::~Signal() {
    uv_close(reinterpret_cast<uv_handle_t*>(handle_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_signal_t*>(h); });
}

}  // namespace poppyscale::transport
