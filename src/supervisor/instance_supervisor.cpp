#include "supervisor/instance_supervisor.hpp"

#include <algorithm>
#include <utility>

namespace poppyscale::supervisor {

Keeper::Keeper(const Terms& terms, std::uint64_t seed, Hands& hands)
    : terms_(terms), hands_(hands), chance_(static_cast<std::mt19937::result_type>(seed)) {
    instances_.resize(static_cast<std::size_t>(terms.count));
}

void Keeper::found(Nanos now, int i, bool isReady) {
    if (at(i).phase != Phase::pausing) return;
    go(at(i), Phase::starting, now + terms_.readyWithin);
    if (isReady) ready(now, i);
}

void Keeper::ready(Nanos now, int i) {
    if (at(i).phase != Phase::starting) return;
    go(at(i), Phase::ready, kNever);
    at(i).readyAt = now;
}

void Keeper::ended(Nanos now, int i) {
    Instance& one = at(i);
    if (one.phase == Phase::pausing) return;
    const bool asked = std::exchange(one.asked, false);
    if (asked) return go(one, Phase::pausing, now);
    // All of them may have ended by one cause: jitter, or they would come back in step and fall in step.
    const bool steady = one.phase == Phase::ready && now - one.readyAt >= terms_.steady;
    one.pause = steady || one.pause == 0 ? terms_.leastPause : std::min(2 * one.pause, terms_.longestPause);
    const double part = 0.5 + 0.5 * std::generate_canonical<double, 32>(chance_);
    ++one.restarts;
    go(one, Phase::pausing, now + static_cast<Nanos>(static_cast<double>(one.pause) * part));
    hands_.log("instance " + std::to_string(i) + " ended by itself, the next start in " +
               std::to_string((one.until - now) / kMillisecond) + " ms");
    // A roll that meets an end is held to have caused it, where that one's turn has come.
    if (rolling_ && i < rolled_) stopRoll("instance " + std::to_string(i) + " ended after its turn");
}

void Keeper::upgraded(Nanos now, int i, std::string_view problem) {
    if (at(i).phase != Phase::changing) return;
    // What could not be upgraded goes on as it was.
    go(at(i), Phase::ready, kNever);
    at(i).readyAt = now;
    if (!problem.empty() && rolling_) stopRoll("instance " + std::to_string(i) + ": " + std::string(problem));
}

bool Keeper::roll(Nanos, Roll kind) {
    if (rolling_ || stopping_ || !allReady()) return false;
    rolling_ = true;
    kind_ = kind;
    rolled_ = batchFrom_ = 0;
    watchUntil_ = 0;
    rollProblem_.clear();
    return true;
}

void Keeper::again(Nanos now, int i) {
    Instance& one = at(i);
    one.pause = 0;
    if (one.phase == Phase::pausing) {
        one.until = now;
        return;
    }
    if (one.phase == Phase::leaving) return;
    one.asked = true;
    go(one, Phase::leaving, now + terms_.stopWithin);
    hands_.stop(i);
}

bool Keeper::changing(int i) {
    if (at(i).phase != Phase::ready) return false;
    go(at(i), Phase::changing, kNever);
    return true;
}

void Keeper::stopAll() {
    stopping_ = true;
    rolling_ = false;
}

void Keeper::settle(Nanos now) {
    if (rolling_) settleRoll(now);
    for (int i = 0; i < terms_.count; ++i) settleOne(now, i);
}

void Keeper::settleOne(Nanos now, int i) {
    Instance& one = at(i);
    switch (one.phase) {
        case Phase::pausing:
            if (stopping_ || now < one.until) return;
            go(one, Phase::starting, now + terms_.readyWithin);
            return hands_.start(i);
        case Phase::starting:
            if (!stopping_ && now < one.until) return;
            if (!stopping_) {
                hands_.log("instance " + std::to_string(i) + " is not ready in time");
                if (rolling_ && i < rolled_)
                    stopRoll("instance " + std::to_string(i) + " is not ready in time");
                one.until = kNever;  // its end is on its way
                return hands_.end(i);
            }
            break;
        case Phase::ready:
        case Phase::changing:
            if (!stopping_) return;
            break;
        case Phase::leaving:
            if (now < one.until) return;
            hands_.log("instance " + std::to_string(i) + " does not stop in time");
            one.until = kNever;
            return hands_.end(i);
    }
    one.asked = true;
    go(one, Phase::leaving, now + terms_.stopWithin);
    hands_.stop(i);
}

// The next batch begins when all are ready and the last one has been up for the watch. Nothing of a roll
// begins while any instance is away for another reason: two kinds of trouble at once may take the last one
// out.
void Keeper::settleRoll(Nanos now) {
    if (!allReady()) return;
    if (rolled_ > batchFrom_) {
        if (watchUntil_ == 0) watchUntil_ = now + terms_.watch;
        if (now < watchUntil_) return;
        batchFrom_ = rolled_;
        watchUntil_ = 0;
    }
    if (rolled_ == terms_.count) {
        rolling_ = false;
        return hands_.log("the roll went through all instances");
    }
    for (; rolled_ < terms_.count && rolled_ - batchFrom_ < terms_.batch; ++rolled_) {
        Instance& one = at(rolled_);
        one.asked = kind_ == Roll::restart;
        go(one, kind_ == Roll::restart ? Phase::leaving : Phase::changing,
           kind_ == Roll::restart ? now + terms_.stopWithin : kNever);
        kind_ == Roll::restart ? hands_.stop(rolled_) : hands_.upgrade(rolled_);
    }
}

void Keeper::stopRoll(std::string why) {
    rolling_ = false;
    rollProblem_ = std::move(why);
    hands_.log("the roll stops: " + rollProblem_);
}

Nanos Keeper::next() const {
    Nanos soonest = rolling_ && watchUntil_ ? watchUntil_ : kNever;
    for (const Instance& one : instances_)
        if (!(stopping_ && one.phase == Phase::pausing)) soonest = std::min(soonest, one.until);
    return soonest;
}

bool Keeper::allReady() const {
    return std::all_of(instances_.begin(), instances_.end(),
                       [](const Instance& i) { return i.phase == Phase::ready; });
}

bool Keeper::allStopped() const {
    return stopping_ && std::all_of(instances_.begin(), instances_.end(),
                                    [](const Instance& i) { return i.phase == Phase::pausing; });
}

}  // namespace poppyscale::supervisor
