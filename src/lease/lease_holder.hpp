// One member that may hold leases. Free of I/O and of any clock: answers, time and what it is told in,
// questions to voters out.
//
// What it promises: `act` says yes only while a majority's grants outlast the act, by clocks as fast and as
// slow as the terms allow; after `letGo` or `handOn` it says yes to nothing by that fence.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lease/messages.hpp"

namespace poppyscale::lease {

// The word to act. Who receives the act refuses a fence that is lower than one that it has seen.
struct CriticalSection {
    Fence fence = 0;
    Nanos validUntil = 0;  // it has to be over by then, on this member's clock
};

class LeaseHolder {
  public:
    struct Actions {
        std::vector<std::pair<int, LeaseRequest>> requests;  // by voter
        std::vector<std::pair<MemberId, LeaseId>> offers;    // to a successor: it is free for you
    };
    // idle: it does not want it. pausing: until it asks again. asking: for a new fence. holding: by a
    // majority.
    enum class State : std::uint8_t { idle, backingOff, requesting, holding };

    // `life` is another one with each start of the process; all that is drawn follows from it. Small and
    // copied by value, so each draw makes a generator of its own.
    LeaseHolder(const LeaseSettings& terms, MemberId self, std::uint32_t life);

    // Wants it from now on, and asks after a pause by its rank: 0 at once.
    void acquire(Nanos now, LeaseId lease, int rank = 0);
    // It is not wanted any more: others may have it at once. Here and below no act may be under way: who was
    // told that it may act waits for its end first.
    void release(Nanos now, LeaseId lease);
    // The same, and for a while only that member may. It waits its turn again if it goes on wanting it.
    void transfer(Nanos now, LeaseId lease, MemberId to);
    // What a holder handed on: it is asked for without a pause.
    void onTransferOffered(Nanos now, LeaseId lease);
    void onAnswer(Nanos now, int voter, const LeaseAnswer& answer);
    // Whether an act that lasts at most so long may begin now. Nothing: no, or not known.
    std::optional<CriticalSection> enterCriticalSection(Nanos now, LeaseId lease, Nanos lasts) const;

    Actions reconcile(Nanos now);
    Nanos nextDeadline() const;

    State state(LeaseId lease) const;
    bool isHolding(Nanos now, LeaseId lease) const;
    Fence fence(LeaseId lease) const;
    // Times that it came to hold one that it did not hold just before.
    std::uint64_t acquisitionCount() const { return taken_; }
    std::string image(Nanos now) const;

  private:
    struct LeaseState {
        State state = State::idle;
        Fence fence = 0;            // by which it asks or holds
        Fence highest = 0;          // that any voter told of
        std::vector<Nanos> stamps;  // by voter, of the latest ask that it granted; 0: none
        Nanos at = 0;               // of the next ask; in `asking` when it is given up
        Nanos until = 0;            // it is held
        std::vector<Nanos> freeIn;  // by voters that refused this ask: for how long it is another's
        int attempts = 0;
        bool wanted = false;
    };
    void ask(Nanos now, LeaseId lease, LeaseState& one);
    void tell(LeaseId lease, const LeaseState& one, LeaseRequest::Kind kind, MemberId to = 0);
    void giveUp(Nanos now, LeaseId lease, LeaseState& one);
    Nanos heldUntil(const LeaseState& one) const;
    Nanos pause(LeaseState& one);

    LeaseSettings settings_;
    MemberId self_;
    std::uint32_t incarnation_, draws_ = 0;
    std::map<LeaseId, LeaseState> all_;
    Actions wanted_;
    std::uint64_t taken_ = 0;
};

}  // namespace poppyscale::lease
