// The record file format of a scale run: which list version was in force at a router, and when.
#pragma once

#include <charconv>
#include <cstdint>
#include <string_view>

#include "policy/types.hpp"

namespace poppyscale::testbed::scale {

// The list that a router uses from `at` on. Stub routers write their own records, discovery writes
// those of real routers. The file holds the bytes of the struct: writer and reader are of the same
// build on one machine.
struct PropagationRecord {
    std::uint32_t router = 0;
    std::uint32_t reserved = 0;
    std::int64_t version = 0;
    // Digest of the router's complete list; 0 if unknown, as for real routers.
    std::uint64_t digest = 0;
    std::int64_t at = 0;  // CLOCK_MONOTONIC, ns
};
static_assert(sizeof(PropagationRecord) == 32);

// The digest of a list is the sum of its entries' digests, so that updating it costs one entry per
// change.
inline std::uint64_t entryDigest(std::string_view id, EndpointState state, std::int64_t startedMs) {
    if (state == EndpointState::removed) return 0;
    constexpr std::uint64_t kFnvPrime = 0x100000001b3;
    std::uint64_t hash = 0xcbf29ce484222325;
    const auto mix = [&hash](std::uint64_t byte) { hash = (hash ^ byte) * kFnvPrime; };
    for (const char c : id) mix(static_cast<unsigned char>(c));
    mix(static_cast<std::uint64_t>(state));
    for (int shift = 0; shift < 64; shift += 8) mix(static_cast<std::uint64_t>(startedMs) >> shift & 0xff);
    hash ^= hash >> 31;
    return hash * 0x9e3779b97f4a7c15;
}

// Ids of a scale run's servers end in "-NUMBER". The number is unique and never reused.
inline std::size_t entryNumber(std::string_view id) {
    const std::string_view digits = id.substr(id.rfind('-') + 1);
    std::size_t number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number;
}

}  // namespace poppyscale::testbed::scale
