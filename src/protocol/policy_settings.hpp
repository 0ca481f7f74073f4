// The settings as `Terms`, from whatever form they came in.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>

#include "policy/routing_policy.hpp"

namespace poppyscale::protocol {

// What can't be taken as it is; its text is one plain line for the operator.
struct ParseError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Settings by path, "verbs.0.name", values as text; a list of objects states its length under ".count".
class SettingsMap {
  public:
    void add(std::string path, std::string value) { values_[std::move(path)] = std::move(value); }
    bool has(const std::string& path) const { return values_.contains(path); }
    std::string_view text(const std::string& path) const;
    double number(const std::string& path) const;
    std::int64_t integer(const std::string& path, std::int64_t most) const;
    Nanos duration(const std::string& path) const;  // told in microseconds
    bool boolean(const std::string& path) const;

  private:
    std::unordered_map<std::string, std::string> values_;
};

PolicySettings readPolicySettings(const SettingsMap& paths, std::uint64_t seed);

}  // namespace poppyscale::protocol
