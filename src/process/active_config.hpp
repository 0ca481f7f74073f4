// The configuration in effect.
#pragma once

#include <string>

#include "process/instance_config.hpp"

namespace poppyscale::process {

// Owns the configuration in effect from the start through all reloads. A reload replaces what may change
// while the process runs; the rest stays as it was at the start, also in what is reported.
class ActiveConfig {
  public:
    // Raises this process's limit of descriptors to what `initial` names as far as the system allows it, and
    // lowers the setting to what the system gives.
    explicit ActiveConfig(InstanceConfig initial);

    const InstanceConfig& instance() const { return config_; }
    const protocol::StartupConfig& startup() const { return config_.startup; }
    const config::OperatorConfig& operatorConfig() const { return config_.operatorConfig; }
    // What the files said when they were last read, settings that need a restart included; one setting a
    // line.
    const std::string& describedFiles() const { return describedFiles_; }
    // What is in effect, in the same form.
    std::string describe() const;
    // Reloads that succeeded.
    int reloadCount() const { return reloadCount_; }

    // What a reload with `fresh` changes now, and what only a restart would. Throws protocol::ParseError when
    // `fresh` can't be reloaded at all.
    config::ConfigDifference compareWith(const InstanceConfig& fresh) const;
    // Puts `fresh` into effect but for what needs a restart. Can't fail.
    void replaceWith(InstanceConfig fresh);

  private:
    InstanceConfig config_;
    std::string describedFiles_;
    int reloadCount_ = 0;
};

}  // namespace poppyscale::process
