// Reloading the configuration while the process runs.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "process/active_config.hpp"
#include "process/data_path.hpp"
#include "process/process_logger.hpp"

namespace poppyscale::process {

// Reads the configuration again and puts it into effect, at once and completely or not at all. Blocks the
// event loop while it reads. All references outlive it.
class ConfigReloader {
  public:
    struct Result {
        std::optional<std::string> error;  // why the old configuration stays
        config::ConfigDifference difference;
    };

    // `readConfig` throws what is wrong with the configuration.
    ConfigReloader(std::function<InstanceConfig()> readConfig, ActiveConfig& config, DataPath& dataPath,
                   ProcessLogger& logger);

    // During a hot restart nothing is reloaded: the new process has read the same configuration as this one.
    Result reload(bool isHotRestartInProgress);

  private:
    Result reloadNow();

    std::function<InstanceConfig()> readConfig_;
    ActiveConfig& config_;
    DataPath& dataPath_;
    ProcessLogger& logger_;
};

}  // namespace poppyscale::process
