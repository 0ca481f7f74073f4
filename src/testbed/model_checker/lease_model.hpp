// Voters and holders of one lease in every order of events: the real deciders over scripted messages, disks
// and clocks.
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
    std::set<lease::Safeguard> without;
    int holders = 2;
    // Of each of them in one run, at most.
    int forgets = 1, crashes = 1, doubles = 1, stops = 1, letGos = 1, slowSyncs = 1;
    int ticks = 40;
    // Below 0: everything may happen at each moment. Else so many times in a run something else may than what
    // a fair order has next (delay bounding: Emmi, Qadeer and Rakamaric, POPL 2011), which reaches whole
    // runs.
    int deviations = -1;
    std::uint32_t clocks = 0;  // a bit for each process: its clock is as fast as may be, or as slow
};

class LeaseModel {
  public:
    enum class StepKind : std::uint8_t {
        tick,         // time goes on
        lose,         // a message is lost
        hold,         // it is held back, until it is delivered by itself
        deliver,      // a message comes
        twice,        // it comes, and will once more
        syncLater,    // the same, and what the acceptor keeps is not on its disk yet
        synced,       // now it is
        crash,        // a acceptor starts again with what is on its disk
        forget,       // a acceptor starts again with nothing
        holderCrash,  // a holder starts again
        act,          // a holder acts, if it may
        stopped,      // a holder is told that it may act and is stopped before it does
        goesOn,       // it goes on: the act comes late
        letGo,
        handOn
    };
    struct Step {
        StepKind what = StepKind::tick;
        int who = 0;
        // Of a message: between whom, which kind, which one of those that are alike. Nothing that depends on
        // when.
        int from = 0, kind = 0, nth = 0;
        bool operator==(const Step&) const = default;
    };

    explicit LeaseModel(const LeaseModelOptions& wanted);

    std::vector<Step> actions() const;
    bool apply(const Step& action);
    const std::string& broken() const { return broken_; }
    std::string image() const;
    std::string describe(const Step& action) const;
    Step drawn(std::mt19937& chance) const;
    void heal();
    // How often somebody else came to act than before.
    int changes() const { return changes_; }

  private:
    using Body = std::variant<lease::LeaseRequest, lease::LeaseAnswer, lease::RecallRequest,
                              lease::RecallAnswer, lease::LeaseId>;
    struct Message {
        int from, to;  // acceptors first, then holders
        Body body;
        Nanos sentAt;
        bool held = false;
    };
    struct Disk {
        bool voted = false;
        lease::GrantRecords records;
        // Written and not synced.
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
    int count() const { return acceptors() + options_.holders; }
    Nanos localOf(int process) const;
    lease::LeaseHolder& holder(int process) {
        return holders_[static_cast<std::size_t>(process - acceptors())];
    }
    const lease::LeaseHolder& holder(int process) const {
        return holders_[static_cast<std::size_t>(process - acceptors())];
    }
    lease::Acceptor& acceptor(int process) { return *acceptors_[static_cast<std::size_t>(process)]; }
    Disk& disk(int process) { return disks_[static_cast<std::size_t>(process)]; }
    // What a fair order has next: what is due at a disk, an act, the oldest message, time.
    Step usual() const;
    std::vector<Step> possible() const;
    bool play(const Step& action);
    Step actionOf(std::size_t message, StepKind what) const;
    std::optional<std::size_t> find(const Step& action) const;
    void reconcile(int process, bool syncs);
    void sync(int process);
    void send(int from, int to, Body body);
    void hand(const Message& message, bool syncs);
    void startAcceptor(int process);
    void startHolder(int process);
    bool beginAct(int process, lease::Fence fence, bool late);
    bool mayAct(int process) const;
    bool acts(int process) const;  // one of its acts is not over
    bool somebodyHolds() const;

    LeaseModelOptions options_;
    lease::LeaseSettings settings_;
    Nanos now_ = 0;
    int tick_ = 0;
    std::vector<std::optional<lease::Acceptor>> acceptors_;
    std::vector<Disk> disks_;
    std::vector<lease::LeaseHolder> holders_;
    std::vector<Message> messagesInFlight_;
    std::vector<ActiveSection> activeSections_;
    std::vector<std::optional<lease::CriticalSection>> stopped_;  // holders that were told so and stand still
    lease::Fence seen_ = 0;                                       // by who receives the acts
    std::uint32_t incarnations_ = 1;
    int lastActor_ = -1, changes_ = 0;
    std::string broken_;
};

}  // namespace poppyscale::testbed
