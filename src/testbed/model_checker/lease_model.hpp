// A model of the acceptors and holders of one lease for the state explorer: the real protocol code over
// modelled messages, disks and clocks.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "lease/acceptor.hpp"
#include "lease/lease_holder.hpp"

namespace poppyscale::testbed {

struct LeaseModelOptions {
    std::set<lease::Safeguard> disabledSafeguards;
    int holders = 2;
    // How often each of these may happen in one run.
    int diskLosses = 1, crashes = 1, duplicates = 1, suspensions = 1, releases = 1, slowSyncs = 1;
    int ticks = 40;
    // Below 0: any step may happen at any time. Otherwise: how often in a run a step may differ from the
    // next one of the fair order (delay bounding: Emmi, Qadeer and Rakamaric, POPL 2011), so that complete
    // runs can be explored.
    int deviations = -1;
    std::uint32_t clocks = 0;  // a bit for each process: 1 for the fastest clock allowed, 0 for the slowest
};

class LeaseModel {
  public:
    enum class StepKind : std::uint8_t {
        tick,               // time advances by one tick
        loseMessage,        // a message is lost
        delayMessage,       // a message is held back: the fair order does not deliver it
        deliver,            // a message arrives
        deliverTwice,       // a message arrives and stays in flight, to arrive again
        deliverBeforeSync,  // a request arrives, and the acceptor's disk does not sync yet
        completeSync,       // an acceptor's disk syncs
        restartAcceptor,    // an acceptor restarts with what is on its disk
        loseDisk,           // an acceptor restarts with an empty disk
        restartHolder,      // a holder restarts
        act,                // a holder enters a critical section and acts
        suspend,            // a holder enters a critical section and is suspended before it acts
        resume,             // a suspended holder continues: its act comes late
        release,
        transfer
    };
    struct Step {
        StepKind kind = StepKind::tick;
        int process = 0;
        // For steps of a message: its sender, its kind, and its index among the messages in flight of the
        // same sender, receiver and kind. A step holds no times, so that it means the same in every run.
        int from = 0, messageKind = 0, ordinal = 0;
        bool operator==(const Step&) const = default;
    };

    explicit LeaseModel(const LeaseModelOptions& options);

    std::vector<Step> enabledSteps() const;
    bool apply(const Step& step);
    const std::string& violation() const { return violation_; }
    std::string image() const;
    std::string describe(const Step& step) const;
    Step randomStep(std::mt19937& random) const;
    void endFaults();
    // How often an act was by another holder than the act before it.
    int actorChangeCount() const { return actorChangeCount_; }

  private:
    using Body = std::variant<lease::LeaseRequest, lease::LeaseAnswer, lease::RecallRequest,
                              lease::RecallAnswer, lease::LeaseId>;
    struct Message {
        int from, to;  // acceptors first, then holders
        Body body;
        Nanos sentAt;
        bool isDelayed = false;
    };
    struct Disk {
        bool hasState = false;
        lease::GrantRecords records;
        // Written, not yet synced.
        lease::GrantRecords pending;
        std::uint64_t ticket = 0;
    };
    struct ActiveSection {
        int holder;
        lease::Fence fence;
        Nanos until;
    };
    int acceptors() const { return settings_.acceptorCount; }
    bool isAcceptor(int process) const { return process < acceptors(); }
    int processCount() const { return acceptors() + options_.holders; }
    Nanos localTimeOf(int process) const;
    lease::LeaseHolder& holder(int process) {
        return holders_[static_cast<std::size_t>(process - acceptors())];
    }
    const lease::LeaseHolder& holder(int process) const {
        return holders_[static_cast<std::size_t>(process - acceptors())];
    }
    lease::Acceptor& acceptor(int process) { return *acceptors_[static_cast<std::size_t>(process)]; }
    Disk& disk(int process) { return disks_[static_cast<std::size_t>(process)]; }
    // The next step of the fair order: a pending sync, else an act, else the delivery of the oldest
    // message, else a tick.
    Step fairStep() const;
    std::vector<Step> possibleSteps() const;
    bool execute(const Step& step);
    Step messageStep(std::size_t index, StepKind kind) const;
    std::optional<std::size_t> findMessage(const Step& step) const;
    void reconcile(int process, bool syncs);
    void sync(int process);
    void send(int from, int to, Body body);
    void deliver(const Message& message, bool syncs);
    void startAcceptor(int process);
    void startHolder(int process);
    bool beginAct(int process, lease::Fence fence, bool isLate);
    bool canAct(int process) const;
    bool isActing(int process) const;  // an act of the process is in progress
    bool isLeaseHeld() const;

    LeaseModelOptions options_;
    lease::LeaseSettings settings_;
    Nanos now_ = 0;
    int tick_ = 0;
    std::vector<std::optional<lease::Acceptor>> acceptors_;
    std::vector<Disk> disks_;
    std::vector<lease::LeaseHolder> holders_;
    std::vector<Message> messagesInFlight_;
    std::vector<ActiveSection> activeSections_;
    // By holder: the critical section in which the holder is suspended.
    std::vector<std::optional<lease::CriticalSection>> suspended_;
    lease::Fence highestFence_ = 0;  // highest fencing token that the receiver of the acts has seen
    std::uint32_t lastIncarnation_ = 1;
    int lastActor_ = -1, actorChangeCount_ = 0;
    std::string violation_;
};

}  // namespace poppyscale::testbed
