// Reloading the configuration while the process runs.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "process/active_config.hpp"
#include "process/data_path.hpp"
#include "process/process_logger.hpp"

namespace poppyscale::process {

// Reads the configuration again and puts it into effect, either completely or not at all. Blocks
// the event loop while reading. All references outlive it.
class ConfigReloader {
  public:
    struct Result {
        std::optional<std::string> error;  // why the old configuration stays in effect
        config::ConfigDifference difference;
    };

    // `readConfig` throws an exception that describes the problems of the configuration.
    ConfigReloader(std::function<InstanceConfig()> readConfig, ActiveConfig& config, DataPath& dataPath,
                   ProcessLogger& logger);

    // Fails while a hot restart is in progress: the new process has already read the configuration
    // and must have the same one as this process.
    Result reload(bool isHotRestartInProgress);

  private:
    Result reloadNow();

    std::function<InstanceConfig()> readConfig_;
    ActiveConfig& config_;
    DataPath& dataPath_;
    ProcessLogger& logger_;
};

}  // namespace poppyscale::process
