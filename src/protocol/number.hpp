// Text to numbers.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <type_traits>

namespace poppyscale::protocol {

// None unless all of the text is one number of type T.
template <class T>
std::optional<T> parse(std::string_view text, int base = 10) {
    T result{};
    // cppcheck takes the result for a view of `text`; it is a number, and no pointer goes beyond this call.
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
