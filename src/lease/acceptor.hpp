// One voter. Free of I/O and of any clock: messages and time in, answers and what is to be kept out.
//
// What it promises: to one member at a time, a lease is granted for the whole length from when it heard;
// never by a fence that is not over all that it has granted before; and nothing is said before it is kept.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lease/messages.hpp"

namespace poppyscale::lease {

class Acceptor {
  public:
    // What is wanted of the outside after an event.
    struct Actions {
        std::vector<std::pair<MemberId, LeaseAnswer>> answers;
        std::vector<std::pair<int, RecallRequest>> recalls;  // to voters
        std::vector<std::pair<int, RecallAnswer>> recalled;  // the same
        GrantRecords keep;                                   // to disk and synced; then `kept` with `ticket`
        std::uint64_t ticket = 0;
    };

    // forgetting: it does not know what it granted, and votes for nobody. voting: it does.
    enum class State : std::uint8_t { recovering, voting };

    // `memory`: what was on its disk, if it says that it ever voted; nothing for a new one, or one that lost
    // it.
    Acceptor(const LeaseSettings& terms, int self, Nanos now, const std::optional<GrantRecords>& memory);

    void onRequest(Nanos now, MemberId from, const LeaseRequest& ask);
    void onRequest(Nanos now, int voter, const RecallRequest&);
    void onRequest(Nanos now, int voter, const RecallAnswer& said);
    void onPersisted(Nanos now, std::uint64_t ticket);
    // Once after the events of a moment, and by `next`.
    Actions reconcile(Nanos now);
    Nanos nextDeadline() const;

    State state() const { return state_; }
    // Fences may have fallen: too many had lost their memory at once to tell.
    bool mayHaveLostState() const { return mayHaveLostState_; }
    // By whom a lease is held here as far as this one knows, and for how long; for people.
    struct GrantStatus {
        Fence fence;
        Nanos left;
    };
    std::map<LeaseId, GrantStatus> grantStatus(Nanos now) const;
    // All that matters of it, times beside `now`: for who explores states.
    std::string image(Nanos now) const;

  private:
    struct Grant {
        GrantRecord record;
        Nanos until = 0;  // of a holder's grant; past: free
        MemberId reserved = 0;
        Nanos reservedUntil = 0;
        std::set<MemberId> waits;  // asked and were refused: told when it is let go
    };
    LeaseAnswer answer(Nanos now, MemberId from, const LeaseRequest& ask);
    void settleMemory(Nanos now);

    LeaseSettings settings_;
    int self_;
    State state_;
    bool mayHaveLostState_ = false;
    Nanos quarantinedUntil_ = 0, recallAt_ = 0;
    std::map<int, bool> recalledBy_;  // whether it remembers
    std::map<LeaseId, Grant> grants_;
    Actions wanted_;
    // Answers that wait for the disk, each with the ticket that it needs.
    struct PendingAnswer {
        std::uint64_t ticket;
        MemberId to;
        LeaseAnswer answer;
    };
    std::vector<PendingAnswer> waiting_;
    std::uint64_t ticket_ = 0, persistedTicket_ = 0;
};

}  // namespace poppyscale::lease
