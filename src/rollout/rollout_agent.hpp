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
struct AgentState {
    std::uint64_t number = 0;
    std::string digest;  // of the change that is under way; empty: none
    Version before, change;
    std::set<int> changed, held;  // that are wanted so
    Nanos holdDuration = 0;
    int batch = 1;
    bool isFinished = false;
    bool operator==(const AgentState&) const = default;
};

class AgentHost {
  public:
    virtual ~AgentHost() = default;
    // To disk and synced; then `kept`.
    virtual void persist(const AgentState& held) = 0;
    // So that it runs that version, whatever it runs by now; then `brought`.
    virtual void install(int i, const Version& to) = 0;
    virtual void log(std::string_view text) = 0;
};

class RolloutAgent {
  public:
    RolloutAgent(int instances, const Version& now, AgentHost& hands);
    // What was on disk, before anything else is told: what it says is brought about, as nobody can know how
    // far the process before came.
    void restore(Nanos now, const AgentState& held);

    // An order, and the version that it changes to, whose content is on disk. Empty, or why it is refused;
    // what came of it is answered after `kept`.
    std::string onOrder(Nanos now, const Order& order, const Version& change);
    void onPersisted(Nanos now, std::string_view problem);
    bool isPersisting() const { return isPersisting_; }
    // What runs before any roll is another version from now on; false while a roll is under way.
    bool setOriginalVersion(const Version& now);
    // Running something else than it is to: it is brought there.
    void onVersionMismatch(Nanos now, int i);
    void onInstalled(Nanos now, int i, std::string_view problem);
    void onReadyChanged(int i, bool is) { at(i).ready = is; }
    void onExited(Nanos now, int i);

    // Once after the events of a moment.
    void reconcile(Nanos now);
    Nanos nextDeadline() const;

    // The version that a start of this instance is to run.
    const Version& versionOf(int i) const;
    Report report(Nanos now) const;
    const AgentState& state() const { return persisted_; }

  private:
    struct Instance {
        InstanceState state = InstanceState::original;
        Nanos since = 0;
        bool ready = true;
        int exitCount = 0;
        std::string problem;
        Nanos retryAt = 0;  // when what is stuck is tried once more
    };
    Instance& at(int i) { return instances_.at(static_cast<std::size_t>(i)); }
    const Instance& at(int i) const { return instances_.at(static_cast<std::size_t>(i)); }
    bool allBefore() const;
    void enterState(Nanos now, int i, InstanceState stand);
    void setWanted(const AgentState& held);

    AgentHost& host_;
    std::vector<Instance> instances_;
    AgentState persisted_;  // as it is on disk
    AgentState wanted_;     // as it was last told
    std::uint64_t step_ = 0;
    bool isPersisting_ = false, persistAgain_ = false;
    bool mayAct_ = true;  // what is wanted is on disk
    Nanos orderValidUntil_ = 0;
    bool hasRolledBack_ = false;
    std::string problem_;
};

}  // namespace poppyscale::rollout
