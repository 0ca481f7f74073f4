// The messages between acceptors and holders of leases, as plain values. The transport that carries
// them defines their encoding.
#pragma once

#include <cstdint>
#include <map>

#include "lease/settings.hpp"
#include "lease/types.hpp"

namespace poppyscale::lease {

// From a holder to an acceptor.
struct LeaseRequest {
    enum class Kind : std::uint8_t {
        acquire,  // acquires the lease, or renews it if the member holds it with that fencing token
        release,  // the member does not act with that fencing token any more, and never will
        transfer  // like release, and for a while only `to` may acquire the lease
    };
    Kind kind = Kind::acquire;
    LeaseId lease = 0;
    Fence fence = 0;
    std::uint32_t incarnation = 0;  // identifies the holder's process; differs with each start
    Nanos stamp = 0;                // holder's clock when this was sent; echoed by the acceptor
    MemberId to = 0;                // receiver of a transfer
};

// From an acceptor to a holder: the answer to an acquire request. With a fence of 0 it answers no
// request, but notifies the holder that the lease has become free.
struct LeaseAnswer {
    LeaseId lease = 0;
    Fence fence = 0;                // fencing token of the request
    std::uint32_t incarnation = 0;  // incarnation in the request
    Nanos stamp = 0;                // stamp of the request
    bool granted = false;
    Fence highest = 0;  // the greatest fencing token that the acceptor has granted, or seen released
    Nanos freeIn = 0;   // time until another member's grant or reservation expires
};

// What an acceptor remembers of a lease. It is durable before any answer that depends on it is
// sent.
struct GrantRecord {
    Fence highest = 0;              // the greatest fencing token that was granted or released
    std::uint32_t incarnation = 0;  // the incarnation that requested that token
    bool isReleased = false;        // whether that token was released
    bool operator==(const GrantRecord&) const = default;
};
using GrantRecords = std::map<LeaseId, GrantRecord>;

// From a recovering acceptor to another one: asks for its records.
struct RecallRequest {};
struct RecallAnswer {
    bool hasState = false;  // the answering acceptor is not recovering, so its records are complete
    GrantRecords records;
};

}  // namespace poppyscale::lease
