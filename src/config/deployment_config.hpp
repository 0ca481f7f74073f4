// The part of the operator's file that describes the deployment, where the platform does not.
#pragma once

#include "config/toml_table.hpp"
#include "protocol/startup_config.hpp"

namespace poppyscale::config {

// The tables of the part, by their keys in the file.
inline constexpr const char* kDeploymentTables[] = {"instance", "limits",    "caches", "cold",
                                                    "verbs",    "customers", "servers"};

// Reads the part from the file's root table. Where `hasDistributors`, endpoint lists come from these, and the
// file need not name the servers.
protocol::StartupConfig readDeploymentConfig(TomlTable& root, bool hasDistributors);

}  // namespace poppyscale::config
