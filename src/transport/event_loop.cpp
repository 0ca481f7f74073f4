#include "transport/event_loop.hpp"

#include <algorithm>
#include <new>

namespace poppyscale::transport {
namespace {

constexpr Nanos kLongestPoll = 20 * kMillisecond;               // so that being held up in one shows
constexpr Nanos kHeldUp = 10 * kMillisecond;                    // shorter ones are any busy machine's
constexpr Nanos kSetForward = 1'000'000 * kMillisecond * 1000;  // eleven days

}  // namespace

EventLoop::EventLoop() {
    if (uv_loop_init(&loop_) != 0) throw std::bad_alloc();
    uv_prepare_init(&loop_, &prepare_);
    uv_check_init(&loop_, &check_);
    uv_timer_init(&loop_, &timer_);
    prepare_.data = check_.data = timer_.data = this;
}

EventLoop::~EventLoop() {
    for (auto* handle : {reinterpret_cast<uv_handle_t*>(&prepare_), reinterpret_cast<uv_handle_t*>(&check_),
                         reinterpret_cast<uv_handle_t*>(&timer_)})
        uv_close(handle, nullptr);
    // Handles close in a turn of their own; one that was told to stop before it ran would close none.
    while (uv_run(&loop_, UV_RUN_DEFAULT) != 0) {
    }
    uv_loop_close(&loop_);
}

Nanos EventLoop::now() { return static_cast<Nanos>(uv_hrtime()) + kSetForward; }

void EventLoop::run() {
    uv_prepare_start(&prepare_, [](uv_prepare_t* h) { static_cast<EventLoop*>(h->data)->beforePoll(); });
    uv_check_start(&check_, [](uv_check_t* h) { static_cast<EventLoop*>(h->data)->afterPoll(); });
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_prepare_stop(&prepare_);
    uv_check_stop(&check_);
    uv_timer_stop(&timer_);
}

void EventLoop::beforePoll() {
    if (handOver_) handOver_();
    // The timer only ends the poll: alarms ring after it, so that an answer that has come in is read before
    // its relay is given up. libuv counts whole milliseconds from a time it keeps; too early a one is set
    // again.
    uv_update_time(&loop_);
    const Nanos began = now();
    Nanos left = kLongestPoll;
    if (!alarms_.empty()) left = std::clamp<Nanos>(alarms_.begin()->first - began, 0, kLongestPoll);
    const auto wait = static_cast<std::uint64_t>((left + kMillisecond - 1) / kMillisecond);
    uv_timer_start(
        &timer_, [](uv_timer_t*) {}, wait, 0);
    pollDue_ = began + left;
    // Sockets are read within the poll. Where the last turn took long, what is there may be as old as that
    // turn; how late the poll itself returns is only known by then.
    arrivedBy_ = began - polledAt_ > kHeldUp && polledAt_ ? polledAt_ : 0;
    reading_ = true;
}

Nanos EventLoop::earliestArrival() const {
    const Nanos at = now();
    if (!reading_) return at;
    if (arrivedBy_) return arrivedBy_;
    return at - pollDue_ > kHeldUp ? pollDue_ : at;
}

void EventLoop::afterPoll() {
    reading_ = false;
    // Held up in the poll, libuv may have come back from it without reading anything: what has come by then
    // is read first, in a turn that does not wait.
    const Nanos at = now();
    const bool heldUp = at - pollDue_ > kHeldUp;
    polledAt_ = heldUp ? pollDue_ : at;
    unread_ = heldUp && !unread_;
    if (!unread_) fireTimers();
    if (handOver_) handOver_();
}

void EventLoop::fireTimers() {
    // What rings may set alarms: those that fall due at once wait for the next turn.
    const Nanos until = now();
    while (!alarms_.empty() && alarms_.begin()->first <= until) {
        Timer* const alarm = alarms_.begin()->second;
        alarms_.erase(alarms_.begin());
        alarm->at_ = 0;
        const auto ring = alarm->ring_;  // the alarm may be destroyed by what it rings for
        ring();
    }
}

void Timer::start(Nanos at) {
    if (at == at_) return;
    stop();
    at_ = std::max<Nanos>(at, 1);
    loop_.alarms_.emplace(at_, this);
}

void Timer::stop() {
    if (at_ == 0) return;
    loop_.alarms_.erase({at_, this});
    at_ = 0;
}

Signal::Signal(EventLoop& loop, int number, std::function<void()> come)
    : handle_(new uv_signal_t{}), come_(std::move(come)) {
    uv_signal_init(loop.raw(), handle_);
    handle_->data = this;
    uv_signal_start(
        handle_, [](uv_signal_t* s, int) { static_cast<Signal*>(s->data)->come_(); }, number);
}

Signal::~Signal() {
    uv_close(reinterpret_cast<uv_handle_t*>(handle_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_signal_t*>(h); });
}

}  // namespace poppyscale::transport
