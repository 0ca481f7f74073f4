// poppyscale_stub_routers: hundreds of stub routers on one loop, for `poppyscale_testbed scale`.
//
// Writes hollow-K.records (lists in force), hollow-K.ready once every router has a list, and on SIGTERM its
// totals, hollow-K.json. SIGUSR1 begins the measured time, SIGUSR2 ends it.
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
constexpr int kLoseEveryList = 50;  // by the known mistake "apply"
constexpr std::size_t kPoolBuffers = 4'096;
constexpr std::size_t kSourcesOfRouter = 3;  // distributors that one router may ask

struct Options {
    std::string
        configuration;  // of a router, as poppyscale reads it; name, seed, zone and address are set here
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
    Nanos at = 0;  // since the measured time began
    double part = 0;
};

Restart restartOf(const std::string& text) {
    double ms = 0;
    double part = 0;
    if (std::sscanf(text.c_str(), "%lf:%lf", &ms, &part) != 2)
        throw std::runtime_error("a restart is AT_MS:PART, not " + text);
    return {static_cast<Nanos>(ms * kMillisecond), part};
}

class StubRouters {
  public:
    explicit StubRouters(const Options& options);
    void run() { loop_.run(); }

  private:
    std::vector<std::string> sourcesOf(int router) const;
    protocol::StartupConfig startOf(int router, const nlohmann::json& configuration) const;
    void turn();
    void begin();
    void end();
    void finish();
    void eachSecond();
    void restartDue();
    void setRestartAlarm();
    std::uint64_t calls() const;
    std::string pathOf(const char* what) const {
        return fmt::format("{}/hollow-{}.{}", options_.folder, options_.index, what);
    }

    Options options_;
    EventLoop loop_;
    transport::BufferPool pool_{kPoolBuffers};
    std::vector<std::unique_ptr<StubRouter>> routers_;
    std::vector<Restart> restarts_;  // the next one last
    std::mt19937 random_;
    std::ofstream records_;
    testbed::stub_routers::SocketMeter meter_;
    bool ready_ = false;
    bool measuring_ = false;
    Nanos beganAt_ = 0;
    Nanos measured_ = 0;
    double processorAtBegin_ = 0;
    double processorUsed_ = 0;
    double memoryBefore_ = 0;
    std::uint64_t callsAtBegin_ = 0;
    std::uint64_t callsMeasured_ = 0;
    transport::Timer secondAlarm_;
    transport::Timer restartAlarm_;
    transport::Signal beginSignal_;
    transport::Signal endSignal_;
    transport::Signal finishSignal_;
};

StubRouters::StubRouters(const Options& options)
    : options_(options),
      random_(
          static_cast<std::mt19937::result_type>(options.seed + static_cast<std::uint64_t>(options.index))),
      records_(pathOf("records"), std::ios::binary),
      secondAlarm_(loop_, [this] { eachSecond(); }),
      restartAlarm_(loop_, [this] { restartDue(); }),
      beginSignal_(loop_, SIGUSR1, [this] { begin(); }),
      endSignal_(loop_, SIGUSR2, [this] { end(); }),
      finishSignal_(loop_, SIGTERM, [this] { finish(); }) {
    std::ifstream file(options.configuration);
    const auto configuration = nlohmann::json::parse(file);
    for (const std::string& text : options.restarts) restarts_.push_back(restartOf(text));
    std::sort(restarts_.begin(), restarts_.end(),
              [](const Restart& a, const Restart& b) { return a.at > b.at; });
    const int loseEveryList = options.without == "apply" ? kLoseEveryList : 0;
    memoryBefore_ = testbed::scale::residentKibOf(::getpid());
    for (int i = 0; i < options.routers; ++i) {
        const int router = options.first + i;
        routers_.push_back(std::make_unique<StubRouter>(loop_, pool_, static_cast<std::uint32_t>(router),
                                                        startOf(router, configuration), sourcesOf(router),
                                                        loseEveryList));
    }
    loop_.onIteration([this] { turn(); });
}

std::vector<std::string> StubRouters::sourcesOf(int router) const {
    const auto& all = options_.upstreams;
    std::vector<std::string> sources;
    for (std::size_t i = 0; i < std::min(all.size(), kSourcesOfRouter); ++i)
        sources.push_back(all[(static_cast<std::size_t>(router) + i) % all.size()]);
    return sources;
}

protocol::StartupConfig StubRouters::startOf(int router, const nlohmann::json& configuration) const {
    nlohmann::json own = configuration;
    own["name"] = fmt::format("hollow-{}", router);
    own["seed"] = fmt::format("{:016x}", options_.seed * 1'000'003 + static_cast<std::uint64_t>(router));
    own["discovery"] = sourcesOf(router).front();
    own["settings"]["myZone"] = fmt::format("zone-{}", router % options_.zones);
    return protocol::readStartupConfig(own.dump());
}

void StubRouters::turn() {
    for (const auto& router : routers_) {
        const auto record = router->turn();
        if (record) records_.write(reinterpret_cast<const char*>(&*record), sizeof *record);
    }
    if (ready_) return;
    ready_ = std::all_of(routers_.begin(), routers_.end(), [](const auto& r) { return r->hasList(); });
    if (ready_) std::ofstream(pathOf("ready")) << routers_.size() << '\n';
}

std::uint64_t StubRouters::calls() const {
    std::uint64_t sum = 0;
    for (const auto& router : routers_) sum += router->calls();
    return sum;
}

void StubRouters::begin() {
    beganAt_ = EventLoop::now();
    measuring_ = true;
    callsAtBegin_ = calls();
    meter_.begin(beganAt_);
    processorAtBegin_ = testbed::scale::ownProcessorSeconds();
    secondAlarm_.start(beganAt_ + kSecond);
    setRestartAlarm();
}

void StubRouters::eachSecond() {
    secondAlarm_.start(EventLoop::now() + kSecond);
    meter_.look(EventLoop::now());
}

void StubRouters::setRestartAlarm() {
    if (!restarts_.empty()) restartAlarm_.start(beganAt_ + restarts_.back().at);
}

void StubRouters::restartDue() {
    const auto count = static_cast<std::size_t>(restarts_.back().part * static_cast<double>(routers_.size()));
    restarts_.pop_back();
    std::vector<std::size_t> order(routers_.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::shuffle(order.begin(), order.end(), random_);
    for (std::size_t i = 0; i < std::max<std::size_t>(count, 1); ++i) routers_[order[i]]->restart();
    setRestartAlarm();
}

void StubRouters::end() {
    if (!measuring_) return;
    measuring_ = false;
    const Nanos now = EventLoop::now();
    processorUsed_ = testbed::scale::ownProcessorSeconds() - processorAtBegin_;
    measured_ = now - beganAt_;
    meter_.look(now);
    callsMeasured_ = calls() - callsAtBegin_;
    secondAlarm_.stop();
    restartAlarm_.stop();
}

void StubRouters::finish() {
    end();
    records_.flush();
    std::uint64_t fallen = 0;
    int disagreeing = 0;
    for (const auto& router : routers_) {
        fallen += router->versionsFallen();
        if (!router->moduleAgrees()) ++disagreeing;
    }
    const nlohmann::json totals{{"routers", routers_.size()},
                                {"seconds", static_cast<double>(measured_) / 1e9},
                                {"processor_seconds", processorUsed_},
                                {"memory_kib", testbed::scale::residentKibOf(::getpid())},
                                {"memory_before_kib", memoryBefore_},
                                {"bytes_in", meter_.bytesIn()},
                                {"bytes_out", meter_.bytesOut()},
                                {"peak_bytes_per_second", meter_.peakBytesPerSecond()},
                                {"calls", callsMeasured_},
                                {"modules_disagreeing", disagreeing},
                                {"versions_fallen", fallen}};
    std::ofstream(pathOf("json")) << totals.dump(1) << '\n';
    loop_.stop();
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"poppyscale_stub_routers: routers without clients, for poppyscale_testbed scale"};
    Options options;
    app.add_option("--config", options.configuration, "of a router, as poppyscale reads it")->required();
    app.add_option("--folder", options.folder, "for what is written")->required();
    app.add_option("--index", options.index, "of this process");
    app.add_option("--first", options.first, "number of its first router");
    app.add_option("--routers", options.routers, "how many")->check(CLI::Range(1, 10'000));
    app.add_option("--zones", options.zones, "that they are spread over")->check(CLI::Range(1, 1'000));
    app.add_option("--seed", options.seed, "everything drawn follows from it");
    app.add_option("--upstream", options.upstreams, "discovery or distributors, ADDRESS:PORT")->required();
    app.add_option("--restart", options.restarts, "AT_MS:PART of the routers");
    app.add_option("--without", options.without, "a known mistake: apply")->check(CLI::IsMember({"apply"}));
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);  // an upstream that has gone shows in what the write returns
    try {
        StubRouters(options).run();
    } catch (const std::exception& problem) {
        fmt::print(stderr, "poppyscale_stub_routers: {}\n", problem.what());
        return 1;
    }
    return 0;
}
