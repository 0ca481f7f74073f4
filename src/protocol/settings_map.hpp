// Settings by path, independent of the format that they were read from.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/time.hpp"

namespace poppyscale::protocol {

// Maps paths such as "verbs.0.name" to values as text. The length of a list of objects is under
// ".count"; any other list is one value whose items are separated by commas. The functions that
// return a value throw `SettingError` if it is missing or invalid.
class SettingsMap {
  public:
    // Replaces an earlier value of the path.
    void add(std::string path, std::string value) { values_[std::move(path)] = std::move(value); }
    bool has(const std::string& path) const { return values_.contains(path); }
    std::string_view text(const std::string& path) const;
    // A finite number.
    double number(const std::string& path) const;
    // A whole number from 0 to `max`.
    std::int64_t integer(const std::string& path, std::int64_t max) const;
    // A duration that is written in microseconds.
    Nanos duration(const std::string& path) const;
    bool boolean(const std::string& path) const;

  private:
    std::unordered_map<std::string, std::string> values_;
};

}  // namespace poppyscale::protocol
