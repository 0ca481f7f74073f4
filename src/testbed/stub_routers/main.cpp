// poppyscale_stub_routers: hundreds of stub routers on one event loop, for `poppyscale_testbed
// scale`.
//
// SIGUSR1 starts the measured time, SIGUSR2 ends it. Process number K writes hollow-K.records (the
// list versions in force), hollow-K.ready once every router has a list, and on SIGTERM
// hollow-K.json with the totals.
#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "testbed/scale/usage.hpp"
#include "testbed/stub_routers/socket_meter.hpp"
#include "testbed/stub_routers/stub_router.hpp"

namespace {

using namespace poppyscale;
using testbed::stub_routers::StubRouter;
using transport::EventLoop;

constexpr Nanos kSecond = 1'000 * kMillisecond;
// The defective variant "apply" drops one list of changes in this many.
constexpr int kDropEveryNthDelta = 50;
constexpr std::size_t kPoolBuffers = 4'096;
constexpr std::size_t kMaxSourcesPerRouter = 3;  // distributors given to one router

struct Options {
    // File with a router's startup configuration. Name, seed, zone and discovery address are
    // replaced.
    std::string configuration;
    std::string folder;
    int index = 0;
    int first = 0;
    int routers = 1;
    int zones = 1;
    std::uint64_t seed = 1;
    std::vector<std::string> upstreams;  // discovery or distributors, ADDRESS:PORT
    std::vector<std::string> restarts;   // "AT_MS:PART"
    std::string without;
};

struct Restart {
    Nanos at = 0;         // time since the start of the measured time
    double fraction = 0;  // fraction of the routers
};

Restart parseRestart(const std::string& text) {
    double ms = 0;
    double fraction = 0;
    if (std::sscanf(text.c_str(), "%lf:%lf", &ms, &fraction) != 2)
        throw std::runtime_error("--restart: expected AT_MS:PART, found '" + text + "'");
    return {static_cast<Nanos>(ms * kMillisecond), fraction};
}

class StubRouterProcess {
  public:
    explicit StubRouterProcess(const Options& options);
    void run() { loop_.run(); }

  private:
    std::vector<std::string> sourcesOf(int router) const;
    protocol::StartupConfig startupConfigOf(int router, const nlohmann::json& configuration) const;
    void onIteration();
    void beginMeasurement();
    void endMeasurement();
    void finish();
    void onSecond();
    void onRestartTimer();
    void scheduleRestart();
    std::uint64_t pollCount() const;
    std::string pathOf(const char* what) const {
        return fmt::format("{}/hollow-{}.{}", options_.folder, options_.index, what);
    }

    Options options_;
    EventLoop loop_;
    transport::BufferPool pool_{kPoolBuffers};
    std::vector<std::unique_ptr<StubRouter>> routers_;
    std::vector<Restart> restarts_;  // pending ones, the next one last
    std::mt19937 random_;
    std::ofstream recordsFile_;
    testbed::stub_routers::SocketMeter meter_;
    bool isReady_ = false;
    bool isMeasuring_ = false;
    Nanos measurementStart_ = 0;
    Nanos measuredDuration_ = 0;
    double processorSecondsAtStart_ = 0;
    double processorSecondsUsed_ = 0;
    double memoryKibBefore_ = 0;
    std::uint64_t pollsAtStart_ = 0;
    std::uint64_t polls_ = 0;
    transport::Timer secondTimer_;
    transport::Timer restartTimer_;
    transport::Signal beginSignal_;
    transport::Signal endSignal_;
    transport::Signal finishSignal_;
};

StubRouterProcess::StubRouterProcess(const Options& options)
    : options_(options),
      random_(
          static_cast<std::mt19937::result_type>(options.seed + static_cast<std::uint64_t>(options.index))),
      recordsFile_(pathOf("records"), std::ios::binary),
      secondTimer_(loop_, [this] { onSecond(); }),
      restartTimer_(loop_, [this] { onRestartTimer(); }),
      beginSignal_(loop_, SIGUSR1, [this] { beginMeasurement(); }),
      endSignal_(loop_, SIGUSR2, [this] { endMeasurement(); }),
      finishSignal_(loop_, SIGTERM, [this] { finish(); }) {
    std::ifstream file(options.configuration);
    const auto configuration = nlohmann::json::parse(file);
    for (const std::string& text : options.restarts) restarts_.push_back(parseRestart(text));
    std::sort(restarts_.begin(), restarts_.end(),
              [](const Restart& a, const Restart& b) { return a.at > b.at; });
    const int dropEveryNthDelta = options.without == "apply" ? kDropEveryNthDelta : 0;
    memoryKibBefore_ = testbed::scale::residentKibOf(::getpid());
    for (int i = 0; i < options.routers; ++i) {
        const int router = options.first + i;
        routers_.push_back(std::make_unique<StubRouter>(loop_, pool_, static_cast<std::uint32_t>(router),
                                                        startupConfigOf(router, configuration),
                                                        sourcesOf(router), dropEveryNthDelta));
    }
    loop_.onIteration([this] { onIteration(); });
}

std::vector<std::string> StubRouterProcess::sourcesOf(int router) const {
    const auto& all = options_.upstreams;
    std::vector<std::string> sources;
    for (std::size_t i = 0; i < std::min(all.size(), kMaxSourcesPerRouter); ++i)
        sources.push_back(all[(static_cast<std::size_t>(router) + i) % all.size()]);
    return sources;
}

protocol::StartupConfig StubRouterProcess::startupConfigOf(int router,
                                                           const nlohmann::json& configuration) const {
    nlohmann::json routerConfiguration = configuration;
    routerConfiguration["name"] = fmt::format("hollow-{}", router);
    routerConfiguration["seed"] =
        fmt::format("{:016x}", options_.seed * 1'000'003 + static_cast<std::uint64_t>(router));
    routerConfiguration["discovery"] = sourcesOf(router).front();
    routerConfiguration["settings"]["myZone"] = fmt::format("zone-{}", router % options_.zones);
    return protocol::readStartupConfig(routerConfiguration.dump());
}

void StubRouterProcess::onIteration() {
    for (const auto& router : routers_) {
        const auto record = router->runIteration();
        if (record) recordsFile_.write(reinterpret_cast<const char*>(&*record), sizeof *record);
    }
    if (isReady_) return;
    isReady_ = std::all_of(routers_.begin(), routers_.end(), [](const auto& r) { return r->hasList(); });
    if (isReady_) std::ofstream(pathOf("ready")) << routers_.size() << '\n';
}

std::uint64_t StubRouterProcess::pollCount() const {
    std::uint64_t sum = 0;
    for (const auto& router : routers_) sum += router->pollCount();
    return sum;
}

void StubRouterProcess::beginMeasurement() {
    measurementStart_ = EventLoop::now();
    isMeasuring_ = true;
    pollsAtStart_ = pollCount();
    meter_.reset(measurementStart_);
    processorSecondsAtStart_ = testbed::scale::ownProcessorSeconds();
    secondTimer_.start(measurementStart_ + kSecond);
    scheduleRestart();
}

void StubRouterProcess::onSecond() {
    secondTimer_.start(EventLoop::now() + kSecond);
    meter_.sample(EventLoop::now());
}

void StubRouterProcess::scheduleRestart() {
    if (!restarts_.empty()) restartTimer_.start(measurementStart_ + restarts_.back().at);
}

void StubRouterProcess::onRestartTimer() {
    const auto count =
        static_cast<std::size_t>(restarts_.back().fraction * static_cast<double>(routers_.size()));
    restarts_.pop_back();
    std::vector<std::size_t> order(routers_.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::shuffle(order.begin(), order.end(), random_);
    for (std::size_t i = 0; i < std::max<std::size_t>(count, 1); ++i) routers_[order[i]]->restart();
    scheduleRestart();
}

void StubRouterProcess::endMeasurement() {
    if (!isMeasuring_) return;
    isMeasuring_ = false;
    const Nanos now = EventLoop::now();
    processorSecondsUsed_ = testbed::scale::ownProcessorSeconds() - processorSecondsAtStart_;
    measuredDuration_ = now - measurementStart_;
    meter_.sample(now);
    polls_ = pollCount() - pollsAtStart_;
    secondTimer_.stop();
    restartTimer_.stop();
}

void StubRouterProcess::finish() {
    endMeasurement();
    recordsFile_.flush();
    std::uint64_t versionDecreases = 0;
    int moduleMismatches = 0;
    for (const auto& router : routers_) {
        versionDecreases += router->versionDecreases();
        if (!router->moduleMatchesList()) ++moduleMismatches;
    }
    const nlohmann::json totals{{"routers", routers_.size()},
                                {"seconds", static_cast<double>(measuredDuration_) / 1e9},
                                {"processor_seconds", processorSecondsUsed_},
                                {"memory_kib", testbed::scale::residentKibOf(::getpid())},
                                {"memory_before_kib", memoryKibBefore_},
                                {"bytes_in", meter_.bytesIn()},
                                {"bytes_out", meter_.bytesOut()},
                                {"peak_bytes_per_second", meter_.peakBytesPerSecond()},
                                {"calls", polls_},
                                {"modules_disagreeing", moduleMismatches},
                                {"versions_fallen", versionDecreases}};
    std::ofstream(pathOf("json")) << totals.dump(1) << '\n';
    loop_.stop();
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"poppyscale_stub_routers: stub routers without clients, for poppyscale_testbed scale"};
    Options options;
    app.add_option("--config", options.configuration, "JSON file with a router's startup configuration")
        ->required();
    app.add_option("--folder", options.folder, "folder for the written files")->required();
    app.add_option("--index", options.index, "number of this process, used in its files' names");
    app.add_option("--first", options.first, "number of the first router");
    app.add_option("--routers", options.routers, "number of routers")->check(CLI::Range(1, 10'000));
    app.add_option("--zones", options.zones, "number of zones that the routers are spread over")
        ->check(CLI::Range(1, 1'000));
    app.add_option("--seed", options.seed, "seed of all random draws");
    app.add_option("--upstream", options.upstreams, "discovery or distributors, ADDRESS:PORT")->required();
    app.add_option("--restart", options.restarts,
                   "AT_MS:PART: restart that fraction of the routers at that time");
    app.add_option("--without", options.without, "defective variant: apply")->check(CLI::IsMember({"apply"}));
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);  // a closed connection is reported by the write's result
    try {
        StubRouterProcess(options).run();
    } catch (const std::exception& problem) {
        fmt::print(stderr, "poppyscale_stub_routers: {}\n", problem.what());
        return 1;
    }
    return 0;
}
