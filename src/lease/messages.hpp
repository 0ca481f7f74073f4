// Leases for tasks that one router of a fleet does at a time: what voters and holders say to each other, and
// what all of them go by. Plain values.
//
// The promise: two holders never act at once. Its conditions: no clock runs faster or slower than `rate`
// allows beside true time while it is in use, on a clock that goes on while its machine sleeps; a voter that
// says it remembers has all that it ever granted; and for an act that was stopped between the question and
// the act, a receiver that refuses a lower fence than it has seen. No clock is compared with another
// machine's.
//
// Why it holds: a voter grants a lease to one holder at a time, for `length` on its clock from when it heard,
// which is length / (1 + rate) of true time at least. A holder counts from before it asked, `length` times (1
// - rate) / (1 + rate) on its clock, which is length / (1 + rate) of true time at most. So while it holds, a
// majority has granted to it and to nobody else, and two majorities share a voter. (Gray and Cheriton,
// "Leases", 1989, with the clocks' rates; a majority of grants instead of one server as in Trencséni and
// Gazsó, "PaxosLease", 2012, of which the first phase is left out: docs/leases.md weighs it.) A fence is over
// all that a majority remembers, so over the fence of each earlier holder (Burrows, "The Chubby lock
// service", 2006, sequencers).
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/routing_policy.hpp"

namespace poppyscale::lease {

using LeaseId = std::uint32_t;
using MemberId = std::uint16_t;

// Grows with each new holder of a lease, over all holders; renewals keep it. The lower bits name who holds.
using Fence = std::uint64_t;
constexpr int kMemberBits = 16;
constexpr MemberId memberOf(Fence fence) { return static_cast<MemberId>(fence); }
constexpr Fence fenceAfter(Fence highest, MemberId member) {
    return ((highest >> kMemberBits) + 1) << kMemberBits | member;
}

// What keeps the promise, each by its name; one can be left out to prove that a check finds it.
enum class Safeguard : std::uint8_t {
    quarantine,  // a voter that forgot votes for nobody until all that it may have granted is over
    rate,        // holders allow for clocks that run fast or slow
    sentTime,    // they count from before they asked, not from the answer
    majority,    // more than half of the voters
    fence,       // each new holder's number is over all that were
    margin,      // an act is begun only if the lease outlasts it
    sync         // a voter says what is on its disk, not what will be
};
// Throws std::runtime_error that lists the names.
Safeguard guardNamed(std::string_view name);
const std::vector<std::pair<std::string_view, Safeguard>>& guards();

struct LeaseSettings {
    int voters = 3;                              // 3 or 5, odd
    Nanos duration = 4'000 * kMillisecond;       // of a grant, on the voter's clock
    double rate = 0.01;                          // by which a clock may be off, 0 to 0.1
    Nanos margin = 100 * kMillisecond;           // by which a lease has to outlast an act
    Nanos answerTimeout = 400 * kMillisecond;    // or a round of asking is given up
    Nanos renewInterval = 1'200 * kMillisecond;  // while it holds
    Nanos minBackoff = 50 * kMillisecond;  // before it asks again, doubled each time, a random part of it
    Nanos maxBackoff = 1'000 * kMillisecond;
    std::set<Safeguard> disabledSafeguards;  // nothing but in proofs

    bool has(Safeguard guard) const { return !disabledSafeguards.contains(guard); }
    int majority() const { return has(Safeguard::majority) ? voters / 2 + 1 : voters / 2; }
    // For which a holder may count on a majority's grants, on its own clock.
    Nanos held() const {
        return has(Safeguard::rate)
                   ? static_cast<Nanos>(static_cast<double>(duration) * (1 - rate) / (1 + rate))
                   : duration;
    }
};
// What is wrong with them, by key; nothing where they will do.
std::vector<std::pair<std::string, std::string>> problemsOf(const LeaseSettings& terms, Nanos longestAct);

// A holder to a voter.
struct LeaseRequest {
    enum class Kind : std::uint8_t {
        acquire,  // or renew, where the fence is the one that it holds by
        release,  // it does not act by that fence any more, and never will
        transfer  // the same, and for a while only `to` may have it
    };
    Kind kind = Kind::acquire;
    LeaseId lease = 0;
    Fence fence = 0;
    std::uint32_t incarnation =
        0;            // of the holder's process: one that has started again is another, and counts anew
    Nanos stamp = 0;  // of the holder's clock when it asked; a voter only gives it back
    MemberId to = 0;
};

// A voter to a holder.
struct LeaseAnswer {
    LeaseId lease = 0;
    Fence fence = 0;  // as asked, and the next two
    std::uint32_t incarnation = 0;
    Nanos stamp = 0;
    bool granted = false;
    Fence highest = 0;  // that it has granted, or seen let go
    Nanos freeIn = 0;   // where it is another's: for so long on this voter's clock, if nothing is renewed
};

// What a voter has to remember of a lease: durable before it is said.
struct GrantRecord {
    Fence highest = 0;
    std::uint32_t life = 0;  // of who asked by it
    bool over = false;       // nobody holds by it any more
    bool operator==(const GrantRecord&) const = default;
};
using GrantRecords = std::map<LeaseId, GrantRecord>;

// A voter that forgot to the others, and what they say.
struct RecallRequest {};
struct RecallAnswer {
    bool hasState = false;  // it has voted since, and has all that it granted
    GrantRecords records;
};

}  // namespace poppyscale::lease
