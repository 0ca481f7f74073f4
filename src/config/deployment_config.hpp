// The part of the operator's file that describes the deployment, used without a platform
// configuration.
#pragma once

#include "config/toml_table.hpp"
#include "protocol/startup_config.hpp"

namespace poppyscale::config {

// The keys of this part's tables in the file.
inline constexpr const char* kDeploymentTables[] = {"instance", "limits",    "caches", "cold",
                                                    "verbs",    "customers", "servers"};

// Reads this part from the file's root table. If `hasDistributors`, endpoint lists come from the
// distributors, and the file need not name the servers.
protocol::StartupConfig readDeploymentConfig(TomlTable& root, bool hasDistributors);

}  // namespace poppyscale::config
