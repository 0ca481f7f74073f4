// The whole configuration of an instance: the platform's file, the operator's file, and the environment.
#pragma once

#include <string>
#include <vector>

#include "config/operator_config.hpp"
#include "discovery/endpoint_poll.hpp"
#include "protocol/endpoint_list.hpp"
#include "transport/connection.hpp"

namespace poppyscale::process {

struct InstanceConfig {
    protocol::StartupConfig startup;
    config::OperatorConfig operatorConfig;
    bool fromPlatform =
        true;  // the platform's configuration, not the operator's file, describes the deployment
};

// Reads $ROUTER_CONFIG, the operator's file (none if empty) and $ROUTER_CONSOLE. Throws protocol::ParseError
// with the problems of both files, one a line.
InstanceConfig readInstanceConfig(const std::string& operatorFile);

// The address in `text`; throws protocol::ParseError that names `setting` when it is none.
transport::Address parseAddressSetting(const std::string& text, const char* setting);

// Where endpoint lists are polled: the distributors where these are set, else discovery. Empty when the list
// is in the operator's file. Throws protocol::ParseError for what is not an address.
std::vector<discovery::DiscoveryAddress> endpointSources(const InstanceConfig& config);

}  // namespace poppyscale::process
