// The messages between acceptors and holders of leases, as plain values. No codec: how they become bytes is
// for whoever carries them.
#pragma once

#include <cstdint>
#include <map>

#include "lease/settings.hpp"
#include "lease/types.hpp"

namespace poppyscale::lease {

// A holder to an acceptor.
struct LeaseRequest {
    enum class Kind : std::uint8_t {
        acquire,  // or renew, where the fencing token is the one that the member holds by
        release,  // nothing is done by that fencing token any more, and never will be
        transfer  // the same, and for a while only `to` may acquire the lease
    };
    Kind kind = Kind::acquire;
    LeaseId lease = 0;
    Fence fence = 0;
    std::uint32_t incarnation = 0;  // of the holder's process: another one with each start
    Nanos stamp = 0;                // holder's clock when this was sent; only returned by the acceptor
    MemberId to = 0;                // of a transfer
};

// An acceptor to a holder. A fence of 0: nobody asked, the lease has become free.
struct LeaseAnswer {
    LeaseId lease = 0;
    Fence fence = 0;                // as requested
    std::uint32_t incarnation = 0;  // as requested
    Nanos stamp = 0;                // as requested
    bool granted = false;
    Fence highest = 0;  // the greatest fencing token that the acceptor has granted, or seen released
    Nanos freeIn = 0;   // while another member holds the lease: until it expires, unless it is renewed
};

// What an acceptor remembers of a lease. Durable before it is answered.
struct GrantRecord {
    Fence highest = 0;              // the greatest fencing token that was granted or released
    std::uint32_t incarnation = 0;  // the incarnation that requested it
    bool isReleased = false;        // it was released: nobody holds by it any more
    bool operator==(const GrantRecord&) const = default;
};
using GrantRecords = std::map<LeaseId, GrantRecord>;

// A recovering acceptor to another one: what does it remember?
struct RecallRequest {};
struct RecallAnswer {
    bool hasState = false;  // it is not recovering itself, so its records are complete
    GrantRecords records;
};

}  // namespace poppyscale::lease
