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
    bool fromPlatform = true;  // the platform's file, not the operator's, describes the deployment
};

// Reads the platform's file named by $ROUTER_CONFIG, the operator's file at `operatorFile` (none if
// empty) and $ROUTER_CONSOLE. Throws protocol::ParseError with the problems of both files, one a
// line.
InstanceConfig readInstanceConfig(const std::string& operatorFile);

// Parses `text` as an address and port. Throws protocol::ParseError that names `setting` when it is
// invalid.
transport::Address parseAddressSetting(const std::string& text, const char* setting);

// The sources that are polled for endpoint lists: the distributors if any are configured, else
// discovery. Empty when the list is in the operator's file. Throws protocol::ParseError for an
// invalid address.
std::vector<discovery::EndpointSource> endpointSources(const InstanceConfig& config);

}  // namespace poppyscale::process
