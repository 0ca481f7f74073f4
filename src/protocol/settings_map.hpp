// Settings by path, whatever form they came in.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/time.hpp"

namespace poppyscale::protocol {

// Paths are as "verbs.0.name", values are text. A list of objects has its length under ".count"; a list of
// anything else is one value, its items parted by commas. What reads a value throws `SettingError` if it is
// missing or of another kind.
class SettingsMap {
  public:
    // A later value of a path replaces an earlier one.
    void add(std::string path, std::string value) { values_[std::move(path)] = std::move(value); }
    bool has(const std::string& path) const { return values_.contains(path); }
    std::string_view text(const std::string& path) const;
    // Finite.
    double number(const std::string& path) const;
    // From 0 to `max`.
    std::int64_t integer(const std::string& path, std::int64_t max) const;
    // Written in microseconds.
    Nanos duration(const std::string& path) const;
    bool boolean(const std::string& path) const;

  private:
    std::unordered_map<std::string, std::string> values_;
};

}  // namespace poppyscale::protocol
