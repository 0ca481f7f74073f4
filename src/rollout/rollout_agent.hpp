// The decisions of one machine's agent in a staged rollout. Free of I/O and of any clock.
//
// What it guarantees to coordinators:
//  - It obeys only the orders of the highest rollout number that it has seen.
//  - A change that is not held stays for the order's hold duration after the last order. Then the
//    agent rolls it back on its own.
//  - An order is on disk before it is acknowledged, unless its write has failed; the report that
//    acknowledges it then states the problem.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/messages.hpp"

namespace poppyscale::rollout {

// The state that has to outlive the agent's process.
struct AgentState {
    std::uint64_t number = 0;  // number of the rollout
    std::string digest;        // identifies the change in progress; empty: none
    Version before;            // version that unchanged instances run
    Version change;            // version that changed instances run
    std::set<int> changed;     // instances that are to have the change
    std::set<int> held;        // those of `changed` whose change stays without further orders
    Nanos holdDuration = 0;    // how long the change of the others stays after an order
    int batch = 1;             // instances that may be in transition at once
    bool isFinished = false;   // the rollout has ended
    bool operator==(const AgentState&) const = default;
};

class AgentHost {
  public:
    virtual ~AgentHost() = default;
    // Writes the state to disk and syncs it: RolloutAgent::onPersisted follows.
    virtual void persist(const AgentState& state) = 0;
    // Makes the instance run that version, whatever it runs now: RolloutAgent::onInstalled follows.
    virtual void install(int instance, const Version& version) = 0;
    virtual void log(std::string_view text) = 0;
};

class RolloutAgent {
  public:
    // `original`: what all instances run. `host` has to outlive the agent.
    RolloutAgent(int instances, const Version& original, AgentHost& host);
    // Continues from the state that was on disk. To be called before any other event. The change is
    // installed again, as it is unknown how far the previous process came.
    void restore(Nanos now, const AgentState& state);

    // `change`: the version that the order changes to; its content is on disk. Returns why the
    // order is rejected, or an empty string. An accepted order may be acknowledged once
    // isPersisting() is false.
    std::string onOrder(Nanos now, const Order& order, const Version& change);
    // `problem`: why the state could not be written; empty if it was.
    void onPersisted(Nanos now, std::string_view problem);
    bool isPersisting() const { return persistence_ != Persistence::idle; }
    // Sets the version that instances run outside of rollouts. Returns false, without effect,
    // during a rollout.
    bool setOriginalVersion(const Version& version);
    // The instance runs another version than it should: the right version is installed.
    void onVersionMismatch(Nanos now, int instance);
    // `problem`: why the installation failed; empty if it did not.
    void onInstalled(Nanos now, int instance, std::string_view problem);
    void onReadyChanged(int instance, bool isReady) { at(instance).ready = isReady; }
    // The instance's process exited without a request to do so.
    void onExited(Nanos now, int instance);

    // Acts on the events since the previous call, and on deadlines that have passed.
    void reconcile(Nanos now);
    // When `reconcile` is due without an event; kNever if it is not.
    Nanos nextDeadline() const;

    // The version that the instance has to run when it is started.
    const Version& versionOf(int instance) const;
    // The report to the coordinator. The host adds the instances' names, zones and metrics.
    Report report(Nanos now) const;
    // The state on disk.
    const AgentState& state() const { return persisted_; }

  private:
    struct Instance {
        InstanceState state = InstanceState::original;
        Nanos since = 0;
        bool ready = true;
        int unexpectedExits = 0;
        std::string problem;
        Nanos retryAt = 0;  // when a rollback is retried; valid in InstanceState::failed
    };
    enum class Persistence : std::uint8_t {
        idle,            // the wanted state is on disk, or could not be written
        writing,         // the wanted state is being written
        writingOutdated  // an older state is being written; the wanted state is written next
    };

    Instance& at(int instance) { return instances_.at(static_cast<std::size_t>(instance)); }
    const Instance& at(int instance) const { return instances_.at(static_cast<std::size_t>(instance)); }
    bool isUntouched() const;
    bool areAllOriginal() const;
    void enterState(Nanos now, int instance, InstanceState state);
    void setWanted(const AgentState& state);
    std::string rejectionOf(const Order& order) const;
    std::string finish(const Order& order);
    void abandonChange(std::uint64_t number);
    void fallBackToPersisted();
    void rollBackExpired(Nanos now);
    void installNext(Nanos now);
    bool mayRollBack(Nanos now, int instance) const;
    bool mayChange(int instance, bool areAllReady) const;

    AgentHost& host_;
    std::vector<Instance> instances_;
    AgentState persisted_;  // the state on disk
    // State that the agent works towards: that of the last order, until the agent's own rollback
    // or a failed write changes it.
    AgentState wanted_;
    std::uint64_t lastStep_ = 0;
    Persistence persistence_ = Persistence::idle;
    Nanos orderValidUntil_ = 0;
    bool hasRolledBack_ = false;  // the agent has rolled back on its own since the last order
    std::string problem_;         // why the last write failed; empty if it succeeded
};

}  // namespace poppyscale::rollout
