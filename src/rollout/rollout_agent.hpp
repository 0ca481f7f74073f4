// The decisions of one machine's agent in a staged change. Free of I/O and of any clock.
//
// What it promises to whoever coordinates: it acts on the orders of the highest number that it has seen and
// on no other's; a change that is not held stays for no longer than the order's time after the last order was
// heard, then the agent goes back by itself; and what it answers to an order it has on disk.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/messages.hpp"

namespace poppyscale::rollout {

// What has to outlive the agent's process.
struct Held {
    std::uint64_t number = 0;
    std::string digest;  // of the change that is under way; empty: none
    Version before, change;
    std::set<int> changed, held;  // that are wanted so
    Nanos keep = 0;
    int batch = 1;
    bool over = false;
    bool operator==(const Held&) const = default;
};

class AgentHands {
  public:
    virtual ~AgentHands() = default;
    // To disk and synced; then `kept`.
    virtual void keep(const Held& held) = 0;
    // So that it runs that version, whatever it runs by now; then `brought`.
    virtual void bring(int i, const Version& to) = 0;
    virtual void log(std::string_view text) = 0;
};

class Agent {
  public:
    Agent(int instances, const Version& now, AgentHands& hands);
    // What was on disk, before anything else is told: what it says is brought about, as nobody can know how
    // far the process before came.
    void restore(Nanos now, const Held& held);

    // An order, and the version that it changes to, whose content is on disk. Empty, or why it is refused;
    // what came of it is answered after `kept`.
    std::string hear(Nanos now, const Order& order, const Version& change);
    void kept(Nanos now, std::string_view problem);
    bool keeping() const { return keeping_; }
    // What runs before any roll is another version from now on; false while a roll is under way.
    bool rebase(const Version& now);
    // Running something else than it is to: it is brought there.
    void astray(Nanos now, int i);
    void brought(Nanos now, int i, std::string_view problem);
    void ready(int i, bool is) { at(i).ready = is; }
    void ended(Nanos now, int i);

    // Once after the events of a moment.
    void settle(Nanos now);
    Nanos next() const;

    // The version that a start of this instance is to run.
    const Version& versionOf(int i) const;
    Report report(Nanos now) const;
    const Held& held() const { return held_; }

  private:
    struct One {
        Stand stand = Stand::before;
        Nanos since = 0;
        bool ready = true;
        int ends = 0;
        std::string problem;
        Nanos again = 0;  // when what is stuck is tried once more
    };
    One& at(int i) { return all_.at(static_cast<std::size_t>(i)); }
    const One& at(int i) const { return all_.at(static_cast<std::size_t>(i)); }
    bool allBefore() const;
    void go(Nanos now, int i, Stand stand);
    void want(const Held& held);

    AgentHands& hands_;
    std::vector<One> all_;
    Held held_;    // as it is on disk
    Held wanted_;  // as it was last told
    std::uint64_t step_ = 0;
    bool keeping_ = false, again_ = false;
    bool acts_ = true;  // what is wanted is on disk
    Nanos wordUntil_ = 0;
    bool wentBack_ = false;
    std::string problem_;
};

}  // namespace poppyscale::rollout
