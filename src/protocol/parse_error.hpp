// Errors for input that can't be used.
#pragma once

#include <stdexcept>
#include <string>

namespace poppyscale::protocol {

// The text is one line for the operator.
struct ParseError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A setting that is missing or has an invalid value.
struct SettingError : ParseError {
    // The text is "setting PATH PROBLEM".
    SettingError(const std::string& path, const std::string& problem)
        : ParseError("setting " + path + " " + problem), path(path) {}
    // The text is "missing setting PATH".
    static SettingError missing(const std::string& path) { return SettingError(path); }

    std::string path;  // the setting's path in `SettingsMap`

  private:
    explicit SettingError(const std::string& path) : ParseError("missing setting " + path), path(path) {}
};

}  // namespace poppyscale::protocol
