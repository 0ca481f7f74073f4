// Conversion of text to numbers.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <type_traits>

namespace poppyscale::protocol {

// The number of type T that the whole of `text` represents, or nothing.
template <class T>
std::optional<T> parse(std::string_view text, int base = 10) {
    T result{};
    // cppcheck takes the result for a view of `text`; it is a number, and no pointer outlives the call.
    // cppcheck-suppress invalidLifetime
    const char* const last = text.data() + text.size();
    std::from_chars_result read{};
    if constexpr (std::is_integral_v<T>)
        read = std::from_chars(text.data(), last, result, base);
    else
        read = std::from_chars(text.data(), last, result);
    if (read.ec != std::errc{} || read.ptr != last) return std::nullopt;
    return result;
}

}  // namespace poppyscale::protocol
