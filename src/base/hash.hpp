// Hash functions that are the same in all builds and processes, so that routers agree without exchanging
// anything.
#pragma once

#include <cstdint>
#include <string_view>

namespace poppyscale {

// Spreads the bits of `x` evenly over the result (the finalizer of SplitMix64). A bijection.
constexpr std::uint64_t mixBits(std::uint64_t x) {
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// FNV-1a of `text`, mixed.
constexpr std::uint64_t hashText(std::string_view text) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    return mixBits(hash);
}

}  // namespace poppyscale
