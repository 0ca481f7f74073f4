// The side of leases that holds them, and the guarantee that acceptors and holders make together.
//
// Guarantee: no two members are within a critical section of the same lease at the same time, and each new
// holder's fencing token is greater than those of all holders before it, provided that
// - no clock in use runs faster or slower than true time by more than the settings' rate, and the clocks go
// on
//   while a machine sleeps (clocks of two machines are never compared);
// - an acceptor that is given its records back has all that it ever answered; and
// - whatever a critical section acts on rejects a fencing token that is less than one that it has seen, for
//   a holder that is suspended between enterCriticalSection and the act itself.
//
// Why it holds: an acceptor grants a lease to one holder at a time, for `duration` on its clock from when the
// request arrived, which is duration / (1 + rate) of true time at least. A holder counts from before it sent
// the request, duration * (1 - rate) / (1 + rate) on its clock, which is duration / (1 + rate) of true time
// at most. So while it holds the lease, a majority has granted it to that holder alone, and two majorities
// share an acceptor. (Gray and Cheriton, "Leases", 1989, with the clocks' rates; a majority of grants instead
// of one server as in Trencséni and Gazsó, "PaxosLease", 2012, of which the first phase is left out:
// docs/leases.md discusses that.) A fencing token is greater than all that a majority remembers, so greater
// than that of each earlier holder (Burrows, "The Chubby lock service", 2006, sequencers).
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lease/messages.hpp"

namespace poppyscale::lease {

// Permission to act, with what the receiver of the act needs to reject a late one.
struct CriticalSection {
    Fence fence = 0;
    Nanos validUntil = 0;  // the act has to be over by then, on this member's clock
};

// Acquires, renews and releases the leases of one member by requests to all acceptors.
//
// Guarantees: enterCriticalSection succeeds only while the grants of a majority outlast the critical section,
// on clocks as fast and as slow as the settings allow; after release or transfer it succeeds for nothing by
// that fencing token. Unknown counts as no.
//
// Free of I/O and of any clock: answers and time come in, requests go out. Owns the state of each lease that
// was ever acquired. Not thread-safe; copied by value.
class LeaseHolder {
  public:
    // What the caller has to send after an event.
    struct Actions {
        struct Request {
            int acceptor;  // its number
            LeaseRequest request;
        };
        struct Offer {
            MemberId to;  // whose onTransferOffered is to be called
            LeaseId lease;
        };
        std::vector<Request> requests;
        std::vector<Offer> offers;
    };
    enum class State : std::uint8_t {
        idle,        // the lease is not wanted
        backingOff,  // until the next request
        requesting,  // by a new fencing token
        holding      // by a majority's grants
    };

    // `incarnation` differs with each start of the member's process, and determines the jitter of its
    // backoff.
    LeaseHolder(const LeaseSettings& settings, MemberId self, std::uint32_t incarnation);

    // Wants the lease from now on, and requests it after a delay that grows with `rank`: 0 for none.
    void acquire(Nanos now, LeaseId lease, int rank = 0);
    // Does not want the lease any more, and lets others have it at once. No critical section may be in
    // progress, in this call or the next: the caller waits for its end first.
    void release(Nanos now, LeaseId lease);
    // The same, but for a while only `to` may acquire the lease. It is requested again after a backoff where
    // it is still wanted.
    void transfer(Nanos now, LeaseId lease, MemberId to);
    // A holder has transferred the lease to this member: it is requested without a backoff.
    void onTransferOffered(Nanos now, LeaseId lease);
    // `acceptor`: its number, from 0.
    void onAnswer(Nanos now, int acceptor, const LeaseAnswer& answer);
    // Permission for a critical section of at most `duration` that begins now; nothing where the lease is not
    // held for so long, or that is not known.
    std::optional<CriticalSection> enterCriticalSection(Nanos now, LeaseId lease, Nanos duration) const;

    // The requests that are due. To be called once after the events of a moment, and at nextDeadline().
    Actions reconcile(Nanos now);
    Nanos nextDeadline() const;

    State state(LeaseId lease) const;
    bool isHolding(Nanos now, LeaseId lease) const;
    // The fencing token by which the lease is requested or held, or was last; 0: none.
    Fence fence(LeaseId lease) const;
    // How often this member acquired a lease that it did not hold just before.
    std::uint64_t acquisitionCount() const { return acquisitionCount_; }
    // All state that matters, with times relative to `now`, for the model checker to compare states by.
    std::string image(Nanos now) const;

  private:
    struct LeaseState {
        State state = State::idle;
        Fence fence = 0;               // by which it is requested or held
        Fence highest = 0;             // the greatest that any acceptor answered
        std::vector<Nanos> sentTimes;  // of the latest request that was granted, by acceptor
        // When backing off or holding: of the next request. When requesting: when that is given up.
        Nanos nextStepAt = 0;
        Nanos validUntil = 0;                // of the grants of a majority; 0: no majority
        std::vector<Nanos> rejectionFreeIn;  // LeaseAnswer::freeIn of the acceptors that rejected the request
        int failedAttempts = 0;              // in a row
        bool isWanted = false;
    };
    void sendAcquire(Nanos now, LeaseId lease, const LeaseState& state);
    void sendToAll(const LeaseRequest& request);
    void beginRequest(Nanos now, LeaseId lease, LeaseState& state);
    void giveUp(Nanos now, LeaseId lease, LeaseState& state);
    void onReleaseNotified(Nanos now, LeaseState& state);
    void onRejected(Nanos now, LeaseState& state, const LeaseAnswer& answer);
    void onGranted(Nanos now, int acceptor, LeaseState& state, const LeaseAnswer& answer);
    Nanos grantedUntil(const LeaseState& state) const;
    Nanos nextBackoff(LeaseState& state);
    std::size_t majorityIndex() const;

    LeaseSettings settings_;
    MemberId self_;
    std::uint32_t incarnation_;
    std::uint32_t backoffCount_ = 0;  // backoffs so far, over all leases
    std::map<LeaseId, LeaseState> leases_;
    Actions actions_;  // since the last reconcile
    std::uint64_t acquisitionCount_ = 0;
};

}  // namespace poppyscale::lease
