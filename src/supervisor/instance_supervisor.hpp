// Decides for a fleet of instances on one machine: when one that has ended is started again, and how a
// restart or an upgrade goes through all of them, a batch at a time. Free of I/O and of any clock.
#pragma once

#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "policy/routing_policy.hpp"

namespace poppyscale::supervisor {

struct Terms {
    int count = 1;
    int batch = 1;          // instances of a roll that are away from service at once, at most
    Nanos readyWithin = 0;  // after a start; then it counts as one that does not come up
    Nanos watch = 0;        // a batch has to stay up for so long before the next one
    Nanos leastPause = 0;   // before an instance that has ended is started again; doubled each time
    Nanos longestPause = 0;
    Nanos steady = 0;      // an instance that has lived for so long begins with the least pause again
    Nanos stopWithin = 0;  // an instance that was told to stop and has not by then is ended
};

// What the decisions ask for. `i` counts from 0.
class Hands {
  public:
    virtual ~Hands() = default;
    virtual void start(int i) = 0;
    virtual void stop(int i) = 0;     // in order
    virtual void end(int i) = 0;      // at once
    virtual void upgrade(int i) = 0;  // then `upgraded`
    virtual void log(std::string_view text) = 0;
};

class Keeper {
  public:
    Keeper(const Terms& terms, std::uint64_t seed, Hands& hands);

    // Found living when the keeper came, and ready or not.
    void found(Nanos now, int i, bool ready);
    void ready(Nanos now, int i);
    void ended(Nanos now, int i);
    void upgraded(Nanos now, int i, std::string_view problem);  // "" when it was done
    enum class Roll : std::uint8_t { restart, upgrade };
    // False when one is under way, or not all instances are ready.
    bool roll(Nanos now, Roll kind);
    // One instance's turn, outside of a roll: it is told to stop and started again, whatever it does now.
    void again(Nanos now, int i);
    // It is being upgraded by somebody else, who says `upgraded`; false when it is not ready.
    bool changing(int i);
    bool isReady(int i) const { return instances_[static_cast<std::size_t>(i)].phase == Phase::ready; }
    bool isLeaving(int i) const { return instances_[static_cast<std::size_t>(i)].asked; }
    void stopAll();

    // Once after the events of a moment: emits the difference between what is wanted and what is.
    void settle(Nanos now);
    // When to settle again, at the latest, if nothing comes before.
    Nanos next() const;

    bool allReady() const;
    bool allStopped() const;
    bool rolling() const { return rolling_; }
    // Why the last roll was stopped, or empty.
    const std::string& rollProblem() const { return rollProblem_; }
    int restarts(int i) const { return instances_[static_cast<std::size_t>(i)].restarts; }

  private:
    // pausing: has ended, and is started when its pause is over. leaving: told to stop. changing: upgrades.
    enum class Phase : std::uint8_t { pausing, starting, ready, leaving, changing };
    struct Instance {
        Phase phase = Phase::pausing;
        Nanos until = 0;     // of the phase, where it has an end
        Nanos readyAt = 0;   // since when it is ready
        Nanos pause = 0;     // the last one
        int restarts = 0;    // after an end that nobody asked for
        bool asked = false;  // its end was asked for
    };
    Instance& at(int i) { return instances_[static_cast<std::size_t>(i)]; }
    void go(Instance& instance, Phase phase, Nanos until) {
        instance.phase = phase;
        instance.until = until;
    }
    void settleOne(Nanos now, int i);
    void settleRoll(Nanos now);
    void stopRoll(std::string why);

    Terms terms_;
    Hands& hands_;
    std::mt19937 chance_;
    std::vector<Instance> instances_;
    bool stopping_ = false;
    bool rolling_ = false;
    Roll kind_ = Roll::restart;
    int rolled_ = 0;        // instances whose turn has come
    int batchFrom_ = 0;     // the first of the batch that is under way
    Nanos watchUntil_ = 0;  // 0 while the batch is not all up
    std::string rollProblem_;
};

}  // namespace poppyscale::supervisor
