#include "testbed/scale/processes.hpp"

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace poppyscale::testbed::scale {
namespace {

constexpr int kRouterMemoryMb = 256;  // a router accepts lists of up to 1/32 of it
constexpr int kRouterDescriptors = 256;
constexpr int kDistributorWaitMs = 3'000;  // the distributor's default
constexpr int kDistributorBatchMs = 50;
constexpr std::int64_t kPollIntervalUs = 5'000'000;

double toMillis(Nanos nanos) { return static_cast<double>(nanos) / kMillisecond; }

std::string restartArguments(const Options& options) {
    std::string arguments;
    for (const Event& event : options.events)
        if (event.kind == EventKind::restartRouters)
            arguments += fmt::format(" --restart {}:{}", toMillis(event.at), event.fraction);
    return arguments;
}

sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

}  // namespace

std::string programPath(const std::string& name) {
    const auto folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    const auto path = folder / name;
    if (!std::filesystem::exists(path))
        throw std::runtime_error(fmt::format("program {} not found in the folder of this program", name));
    return path.string();
}

std::string routerConfiguration(const Options& options, int router, const std::string& listen,
                                const std::string& discovery) {
    using nlohmann::json;
    const json readClass{{"name", "read"},           {"effect", "free"}, {"responseGoalUs", 30'000},
                         {"timeLimitUs", 2'000'000}, {"utility", 1.0},   {"lateUtility", 0.3}};
    const json settings{{"replicasOfMe", std::max(options.stubRouters + options.realRouters, 1)},
                        {"membershipMode", "on_request"},
                        {"shapes", {"cache", "origin"}},
                        {"familyInfo", {{"mode", "aside"}, {"originKind", 1}}},
                        {"allowed",
                         {{"connIdleUs", 30'000'000},
                          {"connectTimeoutUs", 500'000},
                          {"maxOpen", 1'000},
                          {"maxRelays", 3},
                          {"maxRetryAfterUs", 1'000'000},
                          {"retryAfter", true}}},
                        {"rules",
                         {{"askWithinUs", kPollIntervalUs},
                          {"fallUs", 1'000'000},
                          {"rampTimeUs", 10'000'000},
                          {"startCapacity", 0.3},
                          {"tipMultiple", 1.5}}},
                        {"myZone", fmt::format("zone-{}", router % options.zones)},
                        {"costs", {{"crossZone", 0.1}}},
                        {"weights", "nominal"},
                        {"verbs", json::array({readClass})}};
    const json configuration{
        {"name", fmt::format("router-{}", router)},
        {"listen", listen},
        {"discovery", discovery},
        {"seed", fmt::format("{:016x}", options.seed * 1'000'003 + static_cast<std::uint64_t>(router))},
        {"limits", {{"cores", 1.0}, {"memory_mb", kRouterMemoryMb}, {"sockets", kRouterDescriptors}}},
        {"settings", settings}};
    return configuration.dump(1);
}

std::unique_ptr<ChildProcess> startDiscovery(const Options& options) {
    std::string command = fmt::format(
        "'{}' scale-discovery --folder '{}' --caches {} --zones {} --changes-per-second {} "
        "--real {} --seed {}",
        programPath("poppyscale_testbed"), options.folder, options.caches, options.zones,
        options.changesPerSecond, options.realRouters, options.seed);
    for (const Event& event : options.events)
        if (event.kind == EventKind::slowDiscovery)
            command += fmt::format(" --slow {}:{}:{}", toMillis(event.at), toMillis(event.duration),
                                   toMillis(event.delay));
    if (options.defectiveVariant == "order") command += " --tell-older";
    return std::make_unique<ChildProcess>(command, std::vector<std::pair<std::string, std::string>>{},
                                          options.folder + "/discovery.log");
}

std::vector<StubProcess> startStubRouters(const Options& options, const std::vector<int>& ports) {
    std::vector<StubProcess> processes;
    if (options.stubRouters == 0) return processes;
    const std::string configuration = options.folder + "/hollow-router.json";
    std::ofstream(configuration) << routerConfiguration(options, 0, "127.0.0.1:0", "") << '\n';
    std::string sharedArguments = fmt::format(" --config '{}' --folder '{}' --zones {} --seed {}",
                                              configuration, options.folder, options.zones, options.seed);
    for (const int port : ports) sharedArguments += fmt::format(" --upstream 127.0.0.1:{}", port);
    sharedArguments += restartArguments(options);
    if (options.defectiveVariant == "apply") sharedArguments += " --without apply";
    for (int first = 0; first < options.stubRouters; first += kMaxRoutersPerProcess) {
        const int routers = std::min(kMaxRoutersPerProcess, options.stubRouters - first);
        const auto index = processes.size();
        const std::string command =
            fmt::format("'{}'{} --index {} --first {} --routers {}", programPath("poppyscale_stub_routers"),
                        sharedArguments, index, first, routers);
        processes.push_back(
            {std::make_unique<ChildProcess>(command, std::vector<std::pair<std::string, std::string>>{},
                                            fmt::format("{}/hollow-{}.log", options.folder, index)),
             first, routers});
    }
    return processes;
}

std::unique_ptr<ChildProcess> startRealRouter(const Options& options, int router, int port) {
    const std::string path = fmt::format("{}/real-{}.json", options.folder, router);
    const std::string listen = fmt::format("127.0.0.1:{}", freePort());
    std::ofstream(path) << routerConfiguration(options, router, listen, fmt::format("127.0.0.1:{}", port))
                        << '\n';
    return std::make_unique<ChildProcess>(
        fmt::format("'{}'", programPath("poppyscale")),
        std::vector<std::pair<std::string, std::string>>{{"ROUTER_CONFIG", path},
                                                         {"ROUTER_NAME", fmt::format("router-{}", router)},
                                                         {"ROUTER_LISTEN", listen}},
        fmt::format("{}/real-{}.log", options.folder, router));
}

std::unique_ptr<ChildProcess> startDistributor(const Options& options, int index, int port,
                                               int discoveryPort) {
    const std::string path = fmt::format("{}/distributor-{}.toml", options.folder, index);
    std::ofstream(path) << fmt::format(
        "[distributor]\nname = \"distributor-{}\"\nlisten = \"127.0.0.1:{}\"\nupstreams = "
        "[\"127.0.0.1:{}\"]\nwait_ms = {}\nbatch_ms = {}\nmax_readers = {}\n",
        index, port, discoveryPort, kDistributorWaitMs, kDistributorBatchMs,
        options.stubRouters + options.realRouters + 16);
    return std::make_unique<ChildProcess>(
        fmt::format("'{}' --config '{}'", programPath("poppyscale_endpoint_distributor"), path),
        std::vector<std::pair<std::string, std::string>>{},
        fmt::format("{}/distributor-{}.log", options.folder, index));
}

int freePort() {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    const bool isBound = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), size) == 0;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(descriptor);
    if (!isBound) throw std::runtime_error("cannot bind a free port of the loopback interface");
    return ntohs(address.sin_port);
}

bool isListening(int port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    const bool isAccepted =
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(descriptor);
    return isAccepted;
}

}  // namespace poppyscale::testbed::scale
