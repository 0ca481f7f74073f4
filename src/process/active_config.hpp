// The configuration in effect.
#pragma once

#include <string>

#include "process/instance_config.hpp"

namespace poppyscale::process {

// Owns the configuration in effect from the start through all reloads. A reload replaces the
// settings that may change while the process runs; the others keep their values from the start,
// also in reports.
class ActiveConfig {
  public:
    // Raises the descriptor limit of this process to the setting in `initial` as far as the system
    // allows, and lowers the setting to the resulting limit.
    explicit ActiveConfig(InstanceConfig initial);

    const InstanceConfig& instance() const { return config_; }
    const protocol::StartupConfig& startup() const { return config_.startup; }
    const config::OperatorConfig& operatorConfig() const { return config_.operatorConfig; }
    // The content of the configuration files when they were last read, one setting a line. Includes
    // settings that take effect only after a restart.
    const std::string& describedFiles() const { return describedFiles_; }
    // The settings in effect, in the same form.
    std::string describe() const;
    // Number of successful reloads.
    int reloadCount() const { return reloadCount_; }

    // The changes that a reload with `fresh` would apply at once, and those that need a restart.
    // Throws protocol::ParseError when a reload with `fresh` is not possible at all.
    config::ConfigDifference compareWith(const InstanceConfig& fresh) const;
    // Puts `fresh` into effect except for settings that need a restart. Can't fail.
    void replaceWith(InstanceConfig fresh);

  private:
    InstanceConfig config_;
    std::string describedFiles_;
    int reloadCount_ = 0;
};

}  // namespace poppyscale::process
