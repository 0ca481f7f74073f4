#include "ctl/fleet_description.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <stdexcept>

#include "config/toml_table.hpp"

namespace poppyscale::ctl {
namespace {

constexpr int kMaxPort = 65'535;
constexpr int kMaxInstances = 65'535;  // one for each port

std::string substitute(std::string text, const std::map<std::string, std::string>& values) {
    for (const auto& [placeholder, value] : values) {
        auto position = text.find(placeholder);
        while (position != std::string::npos) {
            text.replace(position, placeholder.size(), value);
            position = text.find(placeholder, position + value.size());
        }
    }
    return text;
}

// The IPv4 address `offset` after `first`.
std::string addressAt(const std::string& first, int offset) {
    in_addr address{};
    ::inet_pton(AF_INET, first.c_str(), &address);
    address.s_addr = htonl(ntohl(address.s_addr) + static_cast<std::uint32_t>(offset));
    char text[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &address, text, sizeof text);
    return text;
}

void readSupervisorSettings(config::TomlTable& table, supervisor::SupervisorSettings& settings) {
    settings.instanceCount = table.integer("count", std::nullopt, 1, kMaxInstances);
    settings.batchSize = table.integer("batch", 1, 1, kMaxInstances);
    settings.readyTimeout = table.millis("ready_ms", 10'000.0);
    settings.observationTime = table.millis("watch_ms", 2'000.0);
    settings.minBackoff = table.millis("pause_ms", 200.0);
    settings.maxBackoff = table.millis("longest_pause_ms", 30'000.0);
    settings.backoffResetAfter = table.millis("steady_ms", 60'000.0);
    settings.stopTimeout = table.millis("stop_ms", 10'000.0);
    if (settings.batchSize >= settings.instanceCount && settings.instanceCount > 1)
        table.problem("batch",
                      "is not less than count: a rolling operation would take all instances out of service");
}

void readAddresses(config::TomlTable& table, FleetDescription& description) {
    description.address = table.string("address", "127.0.0.1");
    in_addr ignored{};
    if (::inet_pton(AF_INET, description.address.c_str(), &ignored) != 1)
        table.problem("address", "is not an IPv4 address: found '" + description.address + "'");
    description.hasOwnAddresses = table.boolean("own_addresses", false);
    description.firstPort = table.integer("first_port", std::nullopt, 1, kMaxPort);
    if (!description.hasOwnAddresses &&
        description.firstPort + description.supervisor.instanceCount > kMaxPort + 1)
        table.problem("first_port",
                      "leaves no port for the last instance: first_port + count - 1 is above 65535");
}

void readTemplate(config::TomlTable& table, FleetDescription& description) {
    const std::string path = table.string("operator", std::nullopt);
    std::ifstream stream(path, std::ios::binary);
    description.templateText.assign(std::istreambuf_iterator<char>(stream), {});
    if (!stream) {
        table.problem("operator", "names a file that can't be read: '" + path + "'");
        return;
    }
    for (const char* placeholder : {"{name}", "{listen}", "{socket}"})
        if (description.templateText.find(placeholder) == std::string::npos)
            table.problem("operator", fmt::format("{} lacks the placeholder {}", path, placeholder));
}

}  // namespace

FleetDescription readFleetDescription(const std::string& file) {
    std::ifstream stream(file, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    if (!stream) throw std::runtime_error(file + ":1: can't be read");
    config::ConfigProblems problems(file);
    FleetDescription description;
    description.file = file;
    if (const auto parsed = config::parseToml(text, file, problems)) {
        config::TomlTable table(*parsed, problems);
        readSupervisorSettings(table, description.supervisor);
        description.program = table.string("program", std::nullopt);
        description.folder = table.string("folder", std::nullopt);
        if (!description.folder.starts_with('/'))
            table.problem("folder", "is not an absolute path: found '" + description.folder + "'");
        description.name = table.string("name", "r");
        description.zone = table.string("zone", "");
        readAddresses(table, description);
        readTemplate(table, description);
        table.finish();
    }
    if (!problems.none()) throw std::runtime_error(problems.text());
    return description;
}

bool describesSameInstances(const FleetDescription& one, const FleetDescription& other) {
    return one.supervisor.instanceCount == other.supervisor.instanceCount && one.folder == other.folder &&
           one.name == other.name && one.address == other.address && one.firstPort == other.firstPort &&
           one.hasOwnAddresses == other.hasOwnAddresses;
}

std::string nameOf(const FleetDescription& description, int instance) {
    return description.name + std::to_string(instance);
}

std::string socketOf(const FleetDescription& description, int instance) {
    return fmt::format("{}/{}.sock", description.folder, nameOf(description, instance));
}

std::string configFileOf(const FleetDescription& description, int instance) {
    return fmt::format("{}/{}.toml", description.folder, nameOf(description, instance));
}

std::string logFileOf(const FleetDescription& description, int instance) {
    return fmt::format("{}/{}.log", description.folder, nameOf(description, instance));
}

std::string agentSocketOf(const FleetDescription& description) { return description.folder + "/fleet.sock"; }

std::string makeConfigText(const FleetDescription& description, const std::string& templateText,
                           int instance) {
    const std::string address =
        description.hasOwnAddresses ? addressAt(description.address, instance) : description.address;
    const int port = description.hasOwnAddresses ? description.firstPort : description.firstPort + instance;
    return substitute(templateText, {{"{name}", nameOf(description, instance)},
                                     {"{listen}", fmt::format("{}:{}", address, port)},
                                     {"{address}", address},
                                     {"{zone}", description.zone},
                                     {"{socket}", socketOf(description, instance)}});
}

}  // namespace poppyscale::ctl
