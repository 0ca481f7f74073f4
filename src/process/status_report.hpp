// The reports of an instance on the operator's socket.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "process/active_config.hpp"
#include "process/data_path.hpp"
#include "process/hot_restart/hot_restart.hpp"
#include "process/process_lifecycle.hpp"

namespace poppyscale::process {

// Reports the state of an instance as JSON. Only this class maps values to JSON keys. All
// references outlive it.
class StatusReport {
  public:
    // `version` is the program's, as `--version` prints it.
    StatusReport(const ActiveConfig& config, DataPath& dataPath, const ProcessLifecycle& lifecycle,
                 const HotRestart& hotRestart, std::string version);

    // The state, configuration and endpoint list of the process.
    nlohmann::json status() const;
    // Counters since the start. Metrics have to be enabled.
    nlohmann::json metrics() const;
    // The open requests, the oldest first, as many as fit into `maxShownRequestBytes`.
    nlohmann::json requests() const;
    // The endpoints and the routing policy's state of each.
    nlohmann::json endpoints() const;

  private:
    nlohmann::json endpointListStatus() const;
    std::int64_t uptimeMs() const;

    const ActiveConfig& config_;
    DataPath& dataPath_;
    const ProcessLifecycle& lifecycle_;
    const HotRestart& hotRestart_;
    const std::string version_;
    const Nanos startedAt_ = transport::EventLoop::now();
};

}  // namespace poppyscale::process
