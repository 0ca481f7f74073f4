#include "testbed/scale/scale.hpp"

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "testbed/scale/in_force.hpp"
#include "testbed/scale/limits.hpp"
#include "testbed/scale/processes.hpp"
#include "testbed/scale/report.hpp"
#include "testbed/scale/usage.hpp"

namespace poppyscale::testbed::scale {
namespace {

constexpr Nanos kSecond = 1'000 * kMillisecond;
constexpr Nanos kPollInterval = 5 * kMillisecond;
constexpr Nanos kReadyTimeout = 60 * kSecond;
constexpr Nanos kStopTimeout = 20 * kSecond;
// How long changes under way at the end of the measured time may take to arrive.
constexpr Nanos kSettleTime = 5 * kSecond;
constexpr int kSlowReaderRequests = 1'000;  // their responses exceed the kernel's socket buffers

std::int64_t monotonicNow() {
    timespec now{};
    ::clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * kSecond + now.tv_nsec;
}

void pause() { std::this_thread::sleep_for(std::chrono::nanoseconds(kPollInterval)); }

nlohmann::json readJson(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw std::runtime_error("a process has not written its totals: " + path);
    return nlohmann::json::parse(file);
}

// A connection that sends many requests for the complete list and reads no response.
class SlowReader {
  public:
    explicit SlowReader(int port) : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return;
        std::string requests;
        for (int i = 0; i < kSlowReaderRequests; ++i)
            requests += "GET /api/targets HTTP/1.1\r\nHost: slow\r\n\r\n";
        (void)::send(descriptor_, requests.data(), requests.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    ~SlowReader() { ::close(descriptor_); }
    SlowReader(const SlowReader&) = delete;
    SlowReader& operator=(const SlowReader&) = delete;

  private:
    int descriptor_;
};

class ScaleRun {
  public:
    explicit ScaleRun(const Options& options) : options_(options) {}
    Result run();

  private:
    // An action of the driver at a time since the start of the measured time.
    struct Step {
        Nanos at;
        std::function<void()> action;
    };

    void prepare();
    void startAll();
    void waitUntilReady();
    void planEvents();
    void planDistributorLoss(const Event& event, Distributor& distributor);
    void killDistributor(Distributor& distributor);
    void measure();
    void waitUntilSettled();
    void stopAll();
    Result evaluate();
    void addDiscoveryTotals(Result& result) const;
    void addStubRouterTotals(Result& result) const;
    void addRealRouterTotals(Result& result) const;
    void addDistributorTotals(Result& result) const;
    void checkBounds(Result& result, const PropagationStatistics& statistics) const;

    void signalMeasuringProcesses(int signalNumber);
    void checkAlive();
    void waitFor(const char* what, Nanos timeout, const std::function<bool()>& done);
    void reportProgress(std::string_view phase, Nanos at) {
        if (options_.progress) options_.progress(phase, at);
    }
    std::string path(const std::string& name) const { return options_.folder + "/" + name; }
    bool isDuringDistributorOutage(std::int64_t at) const;

    Options options_;
    std::unique_ptr<ChildProcess> discovery_;
    int discoveryPort_ = 0;
    std::vector<int> realPorts_;
    std::vector<Distributor> distributors_;
    std::vector<StubProcess> stubRouters_;
    std::vector<std::unique_ptr<ChildProcess>> real_;
    // Processor seconds of each real router: up to the start of the measured time, then, once that
    // has ended, those used within it.
    std::vector<double> realProcessorSeconds_;
    double realMemoryKib_ = 0;
    double distributorProcessorSeconds_ = 0;
    double distributorMemoryKib_ = 0;
    std::unique_ptr<SlowReader> slowReader_;
    std::vector<Step> steps_;
    std::int64_t measurementStart_ = 0;
    double measuredSeconds_ = 0;
};

Result ScaleRun::run() {
    validateOptions(options_);
    prepare();
    startAll();
    waitUntilReady();
    planEvents();
    measure();
    waitUntilSettled();
    stopAll();
    return evaluate();
}

void ScaleRun::prepare() {
    if (options_.folder.empty()) throw std::runtime_error("a scale run needs a folder for its files (--out)");
    std::filesystem::create_directories(options_.folder);
    options_.folder = std::filesystem::absolute(options_.folder).string();
    if (options_.folder.find('\'') != std::string::npos)
        throw std::runtime_error("--out: a folder's path may not contain a single quote: " + options_.folder);
    // Files left by an earlier run would be taken for those of this run.
    for (const auto& entry : std::filesystem::directory_iterator(options_.folder)) {
        const auto extension = entry.path().extension();
        const bool isRunFile = extension == ".records" || extension == ".ready" || extension == ".ports" ||
                               extension == ".log" || extension == ".tsv" || extension == ".json";
        if (isRunFile && entry.is_regular_file()) std::filesystem::remove(entry.path());
    }
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    const auto wanted = static_cast<rlim_t>(resourceDemandOf(options_).descriptors);
    files.rlim_cur = std::max(files.rlim_cur, std::min(wanted, files.rlim_max));
    setrlimit(RLIMIT_NOFILE, &files);
}

void ScaleRun::startAll() {
    discovery_ = startDiscovery(options_);
    waitFor("discovery to listen", kReadyTimeout,
            [this] { return std::filesystem::exists(path("discovery.ports")); });
    std::ifstream file(path("discovery.ports"));
    file >> discoveryPort_;
    for (int port = 0; file >> port;) realPorts_.push_back(port);
    std::vector<int> upstreams;
    for (int i = 0; i < options_.distributors; ++i) {
        Distributor distributor;
        distributor.port = freePort();
        distributor.process = startDistributor(options_, i, distributor.port, discoveryPort_);
        distributors_.push_back(std::move(distributor));
        upstreams.push_back(distributors_.back().port);
    }
    for (const Distributor& distributor : distributors_)
        waitFor("a distributor to listen", kReadyTimeout, [&] { return isListening(distributor.port); });
    if (upstreams.empty()) upstreams.push_back(discoveryPort_);
    stubRouters_ = startStubRouters(options_, upstreams);
    for (int i = 0; i < options_.realRouters; ++i)
        real_.push_back(startRealRouter(options_, i, realPorts_[static_cast<std::size_t>(i)]));
}

void ScaleRun::waitUntilReady() {
    reportProgress("routers start", 0);
    for (std::size_t i = 0; i < stubRouters_.size(); ++i)
        waitFor("the stub routers' first list", kReadyTimeout,
                [&] { return std::filesystem::exists(path(fmt::format("hollow-{}.ready", i))); });
    if (real_.empty()) return;
    waitFor("the real routers' first list", kReadyTimeout,
            [this] { return std::filesystem::exists(path("real.ready")); });
}

void ScaleRun::planEvents() {
    std::size_t nextDistributor = 0;  // the distributor for the next loss event, round-robin
    for (const Event& event : options_.events) {
        switch (event.kind) {
            case EventKind::killDistributor:
            case EventKind::stopDistributor:
                planDistributorLoss(event, distributors_[nextDistributor++ % distributors_.size()]);
                break;
            case EventKind::slowReader: {
                const int port = distributors_.empty() ? discoveryPort_ : distributors_.front().port;
                steps_.push_back(
                    {event.at, [this, port] { slowReader_ = std::make_unique<SlowReader>(port); }});
                steps_.push_back({event.at + event.duration, [this] { slowReader_.reset(); }});
                break;
            }
            case EventKind::restartRouters:  // passed to the stub processes on their command line
            case EventKind::slowDiscovery:   // passed to discovery on its command line
            case EventKind::cutZone:         // rejected before the run as not built
            case EventKind::loseRack:        // the same
                break;
        }
    }
    std::stable_sort(steps_.begin(), steps_.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
}

void ScaleRun::planDistributorLoss(const Event& event, Distributor& distributor) {
    if (event.kind == EventKind::stopDistributor) {
        steps_.push_back({event.at, [&distributor] { distributor.process->signal(SIGSTOP); }});
        steps_.push_back(
            {event.at + event.duration, [&distributor] { distributor.process->signal(SIGCONT); }});
        return;
    }
    steps_.push_back({event.at, [this, &distributor] { killDistributor(distributor); }});
    steps_.push_back({event.at + event.duration, [this, &distributor] {
                          const auto index = static_cast<int>(&distributor - distributors_.data());
                          distributor.process =
                              startDistributor(options_, index, distributor.port, discoveryPort_);
                          distributor.processorSecondsBefore = 0;
                      }});
}

void ScaleRun::killDistributor(Distributor& distributor) {
    distributorProcessorSeconds_ +=
        processorSecondsOf(distributor.process->pid()) - distributor.processorSecondsBefore;
    distributor.process.reset();  // sends SIGKILL
}

void ScaleRun::signalMeasuringProcesses(int signalNumber) {
    for (const StubProcess& stubs : stubRouters_) stubs.process->signal(signalNumber);
    discovery_->signal(signalNumber);
}

void ScaleRun::measure() {
    measurementStart_ = monotonicNow();
    signalMeasuringProcesses(SIGUSR1);
    for (const auto& real : real_) realProcessorSeconds_.push_back(processorSecondsOf(real->pid()));
    for (Distributor& distributor : distributors_)
        distributor.processorSecondsBefore = processorSecondsOf(distributor.process->pid());
    Nanos lastProgress = 0;
    std::size_t nextStep = 0;
    for (Nanos now = 0; now < options_.measuredDuration; now = monotonicNow() - measurementStart_) {
        for (; nextStep < steps_.size() && steps_[nextStep].at <= now; ++nextStep) steps_[nextStep].action();
        if (now - lastProgress >= kSecond) reportProgress("measured", lastProgress = now);
        checkAlive();
        pause();
    }
    for (; nextStep < steps_.size(); ++nextStep) steps_[nextStep].action();
    signalMeasuringProcesses(SIGUSR2);
    measuredSeconds_ = static_cast<double>(monotonicNow() - measurementStart_) / 1e9;
    for (std::size_t i = 0; i < real_.size(); ++i) {
        realProcessorSeconds_[i] = processorSecondsOf(real_[i]->pid()) - realProcessorSeconds_[i];
        realMemoryKib_ += residentKibOf(real_[i]->pid()) / static_cast<double>(real_.size());
    }
    for (const Distributor& distributor : distributors_) {
        distributorProcessorSeconds_ +=
            processorSecondsOf(distributor.process->pid()) - distributor.processorSecondsBefore;
        distributorMemoryKib_ += residentKibOf(distributor.process->pid());
    }
}

void ScaleRun::waitUntilSettled() {
    reportProgress("settles", 0);
    const std::int64_t deadline = monotonicNow() + kSettleTime;
    while (monotonicNow() < deadline) {
        checkAlive();
        pause();
    }
}

void ScaleRun::stopAll() {
    slowReader_.reset();
    const auto stopAndWait = [this](ChildProcess& process) {
        process.signal(SIGTERM);
        waitFor("a process to exit", kStopTimeout, [&process] { return process.hasExited(); });
    };
    for (const StubProcess& stubs : stubRouters_) stubs.process->signal(SIGTERM);
    for (const StubProcess& stubs : stubRouters_) stopAndWait(*stubs.process);
    real_.clear();
    distributors_.clear();
    stopAndWait(*discovery_);
}

void ScaleRun::checkAlive() {
    const auto check = [this](ChildProcess& process, const std::string& name) {
        if (process.hasExited())
            throw std::runtime_error(fmt::format("{} exited unexpectedly with code {}, see {}", name,
                                                 process.exitCode(), path(name + ".log")));
    };
    check(*discovery_, "discovery");
    for (std::size_t i = 0; i < stubRouters_.size(); ++i)
        check(*stubRouters_[i].process, fmt::format("hollow-{}", i));
    for (std::size_t i = 0; i < real_.size(); ++i) check(*real_[i], fmt::format("real-{}", i));
    for (std::size_t i = 0; i < distributors_.size(); ++i)
        if (distributors_[i].process) check(*distributors_[i].process, fmt::format("distributor-{}", i));
}

void ScaleRun::waitFor(const char* what, Nanos timeout, const std::function<bool()>& done) {
    const std::int64_t deadline = monotonicNow() + timeout;
    while (!done()) {
        if (monotonicNow() > deadline)
            throw std::runtime_error(fmt::format("waited {} s for {} without success, see the logs in {}",
                                                 timeout / kSecond, what, options_.folder));
        if (timeout == kReadyTimeout) checkAlive();
        pause();
    }
}

bool ScaleRun::isDuringDistributorOutage(std::int64_t at) const {
    const Nanos since = at - measurementStart_;
    for (const Event& event : options_.events) {
        const bool isOutage =
            event.kind == EventKind::killDistributor || event.kind == EventKind::stopDistributor;
        // A change shortly before the event may still be under way when it begins.
        const Nanos from = event.at - options_.bounds.maxPropagationTime;
        if (isOutage && since >= from && since < event.at + event.duration) return true;
    }
    return false;
}

Result ScaleRun::evaluate() {
    PropagationStatistics statistics(readChanges(path("changes.tsv")));
    for (std::size_t i = 0; i < stubRouters_.size(); ++i) {
        const auto routers =
            readRecords(path(fmt::format("hollow-{}.records", i)),
                        static_cast<std::uint32_t>(stubRouters_[i].first), stubRouters_[i].routers);
        for (const auto& records : routers) statistics.add(records);
    }
    for (const auto& records : readRecords(path("real.records"), 0, options_.realRouters))
        statistics.add(records);
    Result result;
    result.routers = options_.stubRouters + options_.realRouters;
    result.caches = options_.caches;
    result.measuredSeconds = measuredSeconds_;
    result.propagationP50Ms = statistics.quantileMs(0.5);
    result.propagationMaxMs = statistics.quantileMs(1);
    result.delivered = statistics.delivered();
    result.lost = statistics.lost();
    result.stale = statistics.stale();
    addDiscoveryTotals(result);
    addRealRouterTotals(result);
    addStubRouterTotals(result);
    addDistributorTotals(result);
    checkBounds(result, statistics);
    writeScaleReport(options_, result, statistics, measurementStart_);
    std::ofstream(path("result.json")) << jsonOf(result) << '\n';
    return result;
}

void ScaleRun::addDiscoveryTotals(Result& result) const {
    const auto totals = readJson(path("discovery.json"));
    const double seconds = std::max(totals.at("seconds").get<double>(), 1e-3);
    result.controlProcessorShare = totals.at("processor_seconds").get<double>() / seconds;
    result.controlMemoryKib = totals.at("memory_kib").get<double>();
    result.controlMessagesPerSecond = totals.at("messages").get<double>() / seconds;
    const auto real = static_cast<double>(options_.realRouters);
    if (options_.realRouters == 0) return;
    for (const auto& router : totals.at("real")) {
        const double bytes = router.at("bytes_in").get<double>() + router.at("bytes_out").get<double>();
        result.realBytesPerSecond += bytes / seconds / real;
        result.realMessagesPerSecond += router.at("messages").get<double>() / seconds / real;
        result.routerPeakBytesPerSecond =
            std::max(result.routerPeakBytesPerSecond, router.at("peak_bytes_per_second").get<double>());
    }
}

void ScaleRun::addRealRouterTotals(Result& result) const {
    if (options_.realRouters == 0) return;
    for (const double used : realProcessorSeconds_)
        result.realProcessorShare += used / measuredSeconds_ / static_cast<double>(options_.realRouters);
    result.realMemoryKib = realMemoryKib_;
    if (options_.stubRouters > 0) return;
    result.routerBytesPerSecond = result.realBytesPerSecond;
    result.routerProcessorShare = result.realProcessorShare;
    result.routerMemoryKib = result.realMemoryKib;
    result.routerMessagesPerSecond = result.realMessagesPerSecond;
}

void ScaleRun::addStubRouterTotals(Result& result) const {
    const auto routers = static_cast<double>(options_.stubRouters);
    for (std::size_t i = 0; i < stubRouters_.size(); ++i) {
        const auto totals = readJson(path(fmt::format("hollow-{}.json", i)));
        const double seconds = std::max(totals.at("seconds").get<double>(), 1e-3);
        const double bytes = totals.at("bytes_in").get<double>() + totals.at("bytes_out").get<double>();
        const double memory =
            totals.at("memory_kib").get<double>() - totals.at("memory_before_kib").get<double>();
        result.routerBytesPerSecond += bytes / seconds / routers;
        result.routerProcessorShare += totals.at("processor_seconds").get<double>() / seconds / routers;
        result.routerMemoryKib += memory / routers;
        result.routerMessagesPerSecond += totals.at("calls").get<double>() / seconds / routers;
        result.routerPeakBytesPerSecond =
            std::max(result.routerPeakBytesPerSecond, totals.at("peak_bytes_per_second").get<double>());
        result.moduleMismatches += totals.at("modules_disagreeing").get<int>();
    }
}

void ScaleRun::addDistributorTotals(Result& result) const {
    if (options_.distributors == 0) return;
    result.controlProcessorShare += distributorProcessorSeconds_ / measuredSeconds_;
    result.controlMemoryKib += distributorMemoryKib_;
    // Each poll of a router has one response.
    result.controlMessagesPerSecond +=
        result.routerMessagesPerSecond * static_cast<double>(options_.stubRouters);
}

void ScaleRun::checkBounds(Result& result, const PropagationStatistics& statistics) const {
    double maxOutsideOutage = 0;
    for (const PropagationStatistics::PerChange& change : statistics.changes()) {
        if (change.milliseconds.empty()) continue;
        const auto slowest =
            static_cast<double>(*std::max_element(change.milliseconds.begin(), change.milliseconds.end()));
        double& max =
            isDuringDistributorOutage(change.at) ? result.propagationMaxMsDuringOutage : maxOutsideOutage;
        max = std::max(max, slowest);
    }
    const auto check = [&result](double measured, double bound, const char* what, const char* unit) {
        if (bound > 0 && measured > bound)
            result.violations.push_back(
                fmt::format("{}: {:.6g} {}, over the bound of {:.6g}", what, measured, unit, bound));
    };
    const Bounds& bounds = options_.bounds;
    const auto millis = [](Nanos nanos) { return static_cast<double>(nanos) / kMillisecond; };
    check(maxOutsideOutage, millis(bounds.maxPropagationTime), "longest propagation time", "ms");
    check(result.propagationMaxMsDuringOutage, millis(bounds.maxPropagationTimeDuringOutage),
          "longest propagation time during a distributor outage", "ms");
    check(result.routerBytesPerSecond, bounds.maxRouterBytesPerSecond, "control traffic of a router",
          "bytes per second");
    check(result.routerProcessorShare, bounds.maxRouterProcessorShare, "processor time of a router",
          "of a core");
    check(result.routerMemoryKib, bounds.maxRouterMemoryKib, "memory of a router", "KiB");
    if (result.lost > 0)
        result.violations.push_back(
            fmt::format("{} (router, change) pairs where the change never came into force", result.lost));
    if (result.moduleMismatches > 0)
        result.violations.push_back(fmt::format(
            "{} stub routers: the decision module's servers differ from the list", result.moduleMismatches));
    if (result.stale > 0)
        result.violations.push_back(
            fmt::format("{} lists used by a router after it had used a newer version", result.stale));
}

}  // namespace

Result runScaleTest(const Options& options) { return ScaleRun(options).run(); }

std::string lineOf(const Result& result) {
    return fmt::format(
        "routers={} caches={} in_force_p50_ms={:.2f} in_force_max_ms={:.2f} bytes_per_second_router={:.1f} "
        "cpu_share_router={:.6f} memory_kb_router={:.0f} cpu_share_control={:.4f} "
        "messages_per_second_control={:.1f} stale={} lost={}",
        result.routers, result.caches, result.propagationP50Ms, result.propagationMaxMs,
        result.routerBytesPerSecond, result.routerProcessorShare, result.routerMemoryKib,
        result.controlProcessorShare, result.controlMessagesPerSecond, result.stale, result.lost);
}

std::string jsonOf(const Result& result) {
    const nlohmann::json json{{"routers", result.routers},
                              {"caches", result.caches},
                              {"in_force_p50_ms", result.propagationP50Ms},
                              {"in_force_max_ms", result.propagationMaxMs},
                              {"in_force_through_loss_max_ms", result.propagationMaxMsDuringOutage},
                              {"bytes_per_second_router", result.routerBytesPerSecond},
                              {"peak_bytes_per_second_router", result.routerPeakBytesPerSecond},
                              {"messages_per_second_router", result.routerMessagesPerSecond},
                              {"cpu_share_router", result.routerProcessorShare},
                              {"memory_kb_router", result.routerMemoryKib},
                              {"bytes_per_second_real", result.realBytesPerSecond},
                              {"messages_per_second_real", result.realMessagesPerSecond},
                              {"cpu_share_real", result.realProcessorShare},
                              {"memory_kb_real", result.realMemoryKib},
                              {"cpu_share_control", result.controlProcessorShare},
                              {"memory_kb_control", result.controlMemoryKib},
                              {"messages_per_second_control", result.controlMessagesPerSecond},
                              {"delivered", result.delivered},
                              {"stale", result.stale},
                              {"modules_disagreeing", result.moduleMismatches},
                              {"lost", result.lost},
                              {"measured_seconds", result.measuredSeconds},
                              {"broken", result.violations}};
    return json.dump();
}

}  // namespace poppyscale::testbed::scale
