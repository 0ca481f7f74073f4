#include "process/instance_config.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace poppyscale::process {
namespace {

using protocol::ParseError;

protocol::StartupConfig readPlatformConfig(const char* path) {
    std::ifstream file(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw ParseError(std::string("can't read the configuration file ") + path);
    try {
        return protocol::readStartupConfig(text);
    } catch (const ParseError& problem) {
        throw ParseError(std::string("configuration ") + path + ": " + problem.what());
    }
}

}  // namespace

InstanceConfig readInstanceConfig(const std::string& operatorFile) {
    const char* const platformFile = std::getenv("ROUTER_CONFIG");
    InstanceConfig config;
    config.fromPlatform = platformFile != nullptr;
    if (!platformFile && operatorFile.empty())
        throw ParseError("no configuration: neither ROUTER_CONFIG nor --operator names a file");
    std::string problems;
    try {
        if (platformFile) config.startup = readPlatformConfig(platformFile);
    } catch (const ParseError& problem) {
        problems = problem.what();
    }
    try {
        if (!operatorFile.empty())
            config.operatorConfig = config::loadOperatorConfig(operatorFile, config.fromPlatform);
    } catch (const ParseError& problem) {
        problems += (problems.empty() ? "" : "\n") + std::string(problem.what());
    }
    if (!problems.empty()) throw ParseError(problems);
    if (config.operatorConfig.startup) config.startup = *config.operatorConfig.startup;
    if (const char* const console = std::getenv("ROUTER_CONSOLE")) config.startup.console = console;
    return config;
}

transport::Address parseAddressSetting(const std::string& text, const char* setting) {
    const auto address = transport::parseAddress(text);
    if (!address) throw ParseError(fmt::format("{} is not an address and port: '{}'", setting, text));
    return *address;
}

std::vector<discovery::EndpointSource> endpointSources(const InstanceConfig& config) {
    std::vector<discovery::EndpointSource> sources;
    for (const std::string& distributor : config.operatorConfig.distributors)
        sources.push_back({parseAddressSetting(distributor, "distributor"), distributor});
    const std::string& discovery = config.startup.discovery;
    if (sources.empty() && !discovery.empty())
        sources.push_back({parseAddressSetting(discovery, "discovery"), discovery});
    return sources;
}

}  // namespace poppyscale::process
