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

constexpr int kMostInstances = 65'535;  // as many as ports

std::string filled(std::string text, const std::map<std::string, std::string>& values) {
    for (const auto& [name, value] : values)
        for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at + value.size()))
            text.replace(at, name.size(), value);
    return text;
}

// The address so many after that one.
std::string addressAfter(const std::string& first, int by) {
    in_addr at{};
    ::inet_pton(AF_INET, first.c_str(), &at);
    at.s_addr = htonl(ntohl(at.s_addr) + static_cast<std::uint32_t>(by));
    char name[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &at, name, sizeof name);
    return name;
}

}  // namespace

FleetDescription readFleetDescription(const std::string& file) {
    std::ifstream stream(file, std::ios::binary);
    const std::string said{std::istreambuf_iterator<char>(stream), {}};
    if (!stream) throw std::runtime_error(file + ":1: can't be read");
    config::ConfigProblems problems(file);
    FleetDescription d;
    d.file = file;
    if (const auto table = config::parseToml(said, file, problems)) {
        config::TomlTable t(*table, problems);
        d.supervisor.instanceCount = t.integer("count", std::nullopt, 1, kMostInstances);
        d.supervisor.batchSize = t.integer("batch", 1, 1, kMostInstances);
        d.supervisor.readyTimeout = t.millis("ready_ms", 10'000.0);
        d.supervisor.observationTime = t.millis("watch_ms", 2'000.0);
        d.supervisor.minBackoff = t.millis("pause_ms", 200.0);
        d.supervisor.maxBackoff = t.millis("longest_pause_ms", 30'000.0);
        d.supervisor.backoffResetAfter = t.millis("steady_ms", 60'000.0);
        d.supervisor.stopTimeout = t.millis("stop_ms", 10'000.0);
        if (d.supervisor.batchSize >= d.supervisor.instanceCount && d.supervisor.instanceCount > 1)
            t.problem("batch", "is not less than count: all would be away at once");
        d.program = t.string("program", std::nullopt);
        d.folder = t.string("folder", std::nullopt);
        if (!d.folder.starts_with('/')) t.problem("folder", "is not an absolute path");
        d.name = t.string("name", "r");
        d.zone = t.string("zone", "");
        d.address = t.string("address", "127.0.0.1");
        in_addr ignored{};
        if (::inet_pton(AF_INET, d.address.c_str(), &ignored) != 1)
            t.problem("address", "is not an IPv4 address");
        d.ownAddresses = t.boolean("own_addresses", false);
        d.firstPort = t.integer("first_port", std::nullopt, 1, 65'535);
        if (!d.ownAddresses && d.firstPort + d.supervisor.instanceCount > 65'536)
            t.problem("first_port", "leaves no port for the last instance");
        const std::string path = t.string("operator", std::nullopt);
        std::ifstream form(path, std::ios::binary);
        d.templateText.assign(std::istreambuf_iterator<char>(form), {});
        if (!form) t.problem("operator", "names a file that can't be read: " + path);
        for (const char* part : {"{name}", "{listen}", "{socket}"})
            if (form && d.templateText.find(part) == std::string::npos)
                t.problem("operator", fmt::format("{} has no {}", path, part));
        t.finish();
    }
    if (!problems.none()) throw std::runtime_error(problems.text());
    return d;
}

std::string nameOf(const FleetDescription& d, int i) { return d.name + std::to_string(i); }
std::string socketOf(const FleetDescription& d, int i) {
    return fmt::format("{}/{}.sock", d.folder, nameOf(d, i));
}

std::string operatorFileOf(const FleetDescription& d, const std::string& form, int i) {
    const std::string address = d.ownAddresses ? addressAfter(d.address, i) : d.address;
    const int port = d.ownAddresses ? d.firstPort : d.firstPort + i;
    return filled(form, {{"{name}", nameOf(d, i)},
                         {"{listen}", fmt::format("{}:{}", address, port)},
                         {"{address}", address},
                         {"{zone}", d.zone},
                         {"{socket}", socketOf(d, i)}});
}

}  // namespace poppyscale::ctl
