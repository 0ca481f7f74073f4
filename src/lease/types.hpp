// Identifiers of leases and members, and the fencing tokens that order the holders of a lease.
#pragma once

#include <cstdint>

namespace poppyscale::lease {

using LeaseId = std::uint32_t;
using MemberId = std::uint16_t;  // members are numbered from 1; 0: none

// The fencing token of a lease: greater for each new holder than for all earlier holders, whichever
// member they are; renewals keep it. The lowest kMemberBits bits are the id of the member that
// requests or holds the lease with it. 0: none.
using Fence = std::uint64_t;
constexpr int kMemberBits = 16;
constexpr MemberId memberOf(Fence fence) { return static_cast<MemberId>(fence); }
// The least token of that member that is greater than `highest`.
constexpr Fence fenceAfter(Fence highest, MemberId member) {
    return ((highest >> kMemberBits) + 1) << kMemberBits | member;
}

}  // namespace poppyscale::lease
