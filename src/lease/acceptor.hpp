// The side of leases that grants them.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lease/messages.hpp"

namespace poppyscale::lease {

// Grants leases to one member each at a time. Several acceptors, of which a majority has to grant, make a
// lease (see LeaseHolder).
//
// Guarantees: a grant lasts for the settings' duration on this acceptor's clock from when it was requested,
// and until then no other member is granted that lease; a new grant has a greater fencing token than all
// grants and releases before it; and no answer is sent before what it says is durable. An acceptor that has
// lost its state answers no request until it can give these guarantees again.
//
// Free of I/O and of any clock: messages and time come in, answers and records to persist go out. Owns the
// grants and the answers that wait for the disk. Not thread-safe.
class Acceptor {
  public:
    // What the caller has to carry out after an event.
    struct Actions {
        struct Answer {
            MemberId to;
            LeaseAnswer answer;
        };
        struct Recall {
            int acceptor;  // its number
            RecallRequest request;
        };
        struct Recalled {
            int acceptor;  // its number
            RecallAnswer answer;
        };
        std::vector<Answer> answers;
        std::vector<Recall> recalls;
        std::vector<Recalled> recallAnswers;
        GrantRecords recordsToPersist;  // to be written to disk and synced; then onPersisted with `ticket`
        std::uint64_t ticket = 0;       // of the records; 0: there are none
    };

    enum class State : std::uint8_t {
        recovering,  // does not know what it has granted, and stays silent
        voting
    };

    // `self`: its number among the acceptors, from 0. `records`: what was on its disk, also where that is
    // empty because it never granted anything; nothing where it is new, or has lost its disk.
    Acceptor(const LeaseSettings& settings, int self, Nanos now, const std::optional<GrantRecords>& records);

    void onRequest(Nanos now, MemberId from, const LeaseRequest& request);
    void onRequest(Nanos now, int acceptor, const RecallRequest& request);
    void onRequest(Nanos now, int acceptor, const RecallAnswer& answer);
    // The records with this ticket, and all before, are durable.
    void onPersisted(Nanos now, std::uint64_t ticket);
    // The actions that are due. To be called once after the events of a moment, and at nextDeadline().
    Actions reconcile(Nanos now);
    Nanos nextDeadline() const;

    State state() const { return state_; }
    // It votes again although too few acceptors had state to tell the greatest fencing token: a later token
    // may be less than an earlier one.
    bool mayHaveLostState() const { return mayHaveLostState_; }
    // A grant that has not expired, for people.
    struct ActiveGrant {
        Fence fence;
        Nanos left;  // until it expires
    };
    std::map<LeaseId, ActiveGrant> activeGrants(Nanos now) const;
    // All state that matters, with times relative to `now`, for the model checker to compare states by.
    std::string image(Nanos now) const;

  private:
    struct Grant {
        GrantRecord record;
        Nanos validUntil = 0;        // in the past: the lease is free
        MemberId reservedFor = 0;    // to whom it was transferred; 0: nobody
        Nanos reservedUntil = 0;     // of the reservation
        std::set<MemberId> waiting;  // were rejected, and are notified of its release
    };
    // An answer that waits for the disk, until the records with that ticket are durable.
    struct PendingAnswer {
        std::uint64_t ticket;
        MemberId to;
        LeaseAnswer answer;
    };
    LeaseAnswer answerAcquire(Nanos now, MemberId from, const LeaseRequest& request);
    bool mayGrant(Nanos now, MemberId from, const LeaseRequest& request, Grant& grant, LeaseAnswer& answer);
    void endGrant(Nanos now, MemberId from, const LeaseRequest& request);
    void notifyWaiting(LeaseId lease, Grant& grant, MemberId releasedBy);
    void persist(LeaseId lease, const GrantRecord& record);
    void finishRecovery(Nanos now);

    LeaseSettings settings_;
    int self_;
    State state_;
    bool mayHaveLostState_ = false;
    Nanos quarantinedUntil_ = 0;      // while recovering
    Nanos nextRecallAt_ = 0;          // while recovering
    std::map<int, bool> hasStateBy_;  // of the acceptors that answered a recall, by number
    std::map<LeaseId, Grant> grants_;
    Actions actions_;  // since the last reconcile
    std::vector<PendingAnswer> pendingAnswers_;
    std::uint64_t lastTicket_ = 0;
    std::uint64_t persistedTicket_ = 0;
};

}  // namespace poppyscale::lease
