// The holder, which acquires leases, and the guarantee that acceptors and holders give together.
//
// Guarantee: no two members are in a critical section of the same lease at the same time, and each
// new holder's fencing token is greater than those of all holders before it, provided that
// - no clock in use runs faster or slower than true time by more than the settings' rate, and
//   clocks go on while a machine sleeps (clocks of two machines are never compared);
// - the records with which an acceptor restarts include everything that it ever answered; and
// - the resource that a critical section acts on rejects a fencing token that is less than the
//   greatest that it has seen, in case a holder is suspended between enterCriticalSection and its
//   action.
//
// Why it holds: an acceptor grants a lease to one holder at a time, for `duration` on its clock
// from when the request arrived, which is at least duration / (1 + rate) of true time. A holder
// counts from before it sent the request, for duration * (1 - rate) / (1 + rate) on its clock,
// which is at most duration / (1 + rate) of true time. So while a member holds the lease, a
// majority has granted the lease to that member alone, and any two majorities share an acceptor.
// (Gray and Cheriton, "Leases", 1989, with the clocks' rates; a majority of grants instead of one
// server as in Trencséni and Gazsó, "PaxosLease", 2012, whose first phase is left out:
// docs/leases.md discusses that.) A new fencing token is greater than all that a majority
// remembers, and so greater than that of each earlier holder (Burrows, "The Chubby lock service",
// 2006, sequencers).
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lease/messages.hpp"

namespace poppyscale::lease {

// Permission for an action on a resource. The resource rejects a late action by its fencing token.
struct CriticalSection {
    Fence fence = 0;
    Nanos validUntil = 0;  // when the action has to be over, on this member's clock
};

// Acquires, renews and releases the leases of one member by requests to all acceptors.
//
// Guarantees: enterCriticalSection succeeds only while the grants of a majority outlast the
// critical section, on clocks as fast and as slow as the settings allow; after release or transfer
// it does not succeed for that fencing token any more. A lease that is not known to be held counts
// as not held.
//
// Free of I/O and of any clock: answers and time come in, requests go out. Owns the state of each
// lease that was ever acquired. Not thread-safe; copied by value.
class LeaseHolder {
  public:
    // What the caller has to send after an event.
    struct Actions {
        struct Request {
            int acceptor;  // number of the acceptor that receives the request
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
        backingOff,  // waits until the next request
        requesting,  // requests the lease with a new fencing token
        holding      // a majority has granted the lease
    };

    // `incarnation` differs with each start of the member's process, and determines the jitter of its
    // backoff.
    LeaseHolder(const LeaseSettings& settings, MemberId self, std::uint32_t incarnation);

    // Requests the lease, and keeps requesting and renewing it until it is released. The first
    // request is sent after a delay that grows with `rank`; rank 0 has no delay.
    void acquire(Nanos now, LeaseId lease, int rank = 0);
    // Releases the lease for good, so that others can acquire it at once. No critical section may
    // be in progress when release or transfer is called: the caller waits for its end first.
    void release(Nanos now, LeaseId lease);
    // Releases the lease, but for a while only `to` may acquire it. If this member still wants the
    // lease, it requests the lease again after a backoff.
    void transfer(Nanos now, LeaseId lease, MemberId to);
    // A holder has transferred the lease to this member: the lease is requested without a backoff.
    void onTransferOffered(Nanos now, LeaseId lease);
    // `acceptor`: its number, from 0.
    void onAnswer(Nanos now, int acceptor, const LeaseAnswer& answer);
    // Permission for a critical section of at most `duration` that begins now; nothing if the lease
    // is not known to be held for that long.
    std::optional<CriticalSection> enterCriticalSection(Nanos now, LeaseId lease, Nanos duration) const;

    // Returns the requests that are due. To be called once after events were delivered, and at
    // nextDeadline().
    Actions reconcile(Nanos now);
    Nanos nextDeadline() const;

    State state(LeaseId lease) const;
    bool isHolding(Nanos now, LeaseId lease) const;
    // The fencing token with which the lease is requested or held, or was last; 0: none.
    Fence fence(LeaseId lease) const;
    // How often this member acquired a lease that it did not hold just before.
    std::uint64_t acquisitionCount() const { return acquisitionCount_; }
    // Encodes the state, with times relative to `now`, as text by which the model checker compares
    // states.
    std::string image(Nanos now) const;

  private:
    struct LeaseState {
        State state = State::idle;
        Fence fence = 0;               // fencing token with which the lease is requested or held
        Fence highest = 0;             // the greatest fencing token in any acceptor's answer
        std::vector<Nanos> sentTimes;  // when the latest granted request to each acceptor was sent
        // While backing off or holding: when the next request is sent. While requesting: when the
        // request is given up.
        Nanos nextStepAt = 0;
        Nanos validUntil = 0;                // when the grants of a majority expire; 0: no majority
        std::vector<Nanos> rejectionFreeIn;  // LeaseAnswer::freeIn of the acceptors that rejected the request
        int failedAttempts = 0;              // consecutive failed attempts
        bool isWanted = false;
    };
    void sendAcquire(Nanos now, LeaseId lease, const LeaseState& state);
    void sendToAll(const LeaseRequest& request);
    void beginRequest(Nanos now, LeaseId lease, LeaseState& state);
    void releaseAndBackOff(Nanos now, LeaseId lease, LeaseState& state);
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
    Actions actions_;  // actions since the last reconcile
    std::uint64_t acquisitionCount_ = 0;
};

}  // namespace poppyscale::lease
