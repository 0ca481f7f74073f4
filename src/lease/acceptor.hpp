// The acceptor, which grants leases.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lease/messages.hpp"

namespace poppyscale::lease {

// Grants each lease to one member at a time. A member holds a lease if a majority of several
// acceptors has granted it (see LeaseHolder).
//
// Guarantees: a grant lasts for the settings' duration on this acceptor's clock from when the
// request arrived, and until then no other member is granted that lease; a new grant has a greater
// fencing token than all grants and releases before it; and no answer is sent before the grants and
// releases on which it depends are durable. An acceptor that has lost its state answers no lease
// request until it can give these guarantees again.
//
// Free of I/O and of any clock: messages and time come in, answers and records to persist go out.
// Owns the grants and the answers that wait for the disk. Not thread-safe.
class Acceptor {
  public:
    // What the caller has to carry out after an event.
    struct Actions {
        struct Answer {
            MemberId to;  // member that receives the answer
            LeaseAnswer answer;
        };
        struct Recall {
            int acceptor;  // number of the acceptor that receives the request
            RecallRequest request;
        };
        struct Recalled {
            int acceptor;  // number of the acceptor that receives the answer
            RecallAnswer answer;
        };
        std::vector<Answer> answers;
        std::vector<Recall> recalls;
        std::vector<Recalled> recallAnswers;
        // Records to be written and synced, then reported to onPersisted.
        GrantRecords recordsToPersist;
        std::uint64_t ticket = 0;  // identifies the records for onPersisted; 0: there are none
    };

    enum class State : std::uint8_t {
        recovering,  // does not know what it has granted, and answers no lease request
        voting
    };

    // `self`: this acceptor's number, from 0. `records`: the records on its disk, empty if it never
    // granted a lease; std::nullopt if the acceptor is new or has lost its disk.
    Acceptor(const LeaseSettings& settings, int self, Nanos now, const std::optional<GrantRecords>& records);

    void onRequest(Nanos now, MemberId from, const LeaseRequest& request);
    void onRequest(Nanos now, int acceptor, const RecallRequest& request);
    void onRecallAnswer(Nanos now, int acceptor, const RecallAnswer& answer);
    // The records with this ticket, and all earlier ones, are durable.
    void onPersisted(Nanos now, std::uint64_t ticket);
    // Returns the actions that are due. To be called once after events were delivered, and at
    // nextDeadline().
    Actions reconcile(Nanos now);
    Nanos nextDeadline() const;

    State state() const { return state_; }
    // Whether this acceptor votes again although too few acceptors had state to know the greatest
    // fencing token. A later token may then be less than an earlier one.
    bool mayHaveLostState() const { return mayHaveLostState_; }
    // A grant that has not expired, for display.
    struct ActiveGrant {
        Fence fence;
        Nanos left;  // time until the grant expires
    };
    std::map<LeaseId, ActiveGrant> activeGrants(Nanos now) const;
    // Encodes the state, with times relative to `now`, as text by which the model checker compares
    // states.
    std::string image(Nanos now) const;

  private:
    struct Grant {
        GrantRecord record;
        Nanos validUntil = 0;        // end of the grant; the lease is free if this is past
        MemberId reservedFor = 0;    // member to which the lease was transferred; 0: none
        Nanos reservedUntil = 0;     // end of that reservation
        std::set<MemberId> waiting;  // rejected members that are notified of the release
    };
    // An answer that waits until the records with that ticket are durable.
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
    Nanos quarantinedUntil_ = 0;  // end of the quarantine; valid while recovering
    Nanos nextRecallAt_ = 0;      // time of the next recall; valid while recovering
    // RecallAnswer::hasState of the acceptors that answered, by number.
    std::map<int, bool> hasStateBy_;
    std::map<LeaseId, Grant> grants_;
    Actions actions_;  // actions since the last reconcile
    std::vector<PendingAnswer> pendingAnswers_;
    std::uint64_t lastTicket_ = 0;
    std::uint64_t persistedTicket_ = 0;
};

}  // namespace poppyscale::lease
