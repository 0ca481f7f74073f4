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
constexpr Nanos kReadyWithin = 60 * kSecond;
constexpr Nanos kStopWithin = 20 * kSecond;
constexpr Nanos kSettleTime = 5 * kSecond;  // after the last change, for what is still under way
constexpr int kCallsOfSlowReader = 1'000;   // more answers than the kernel buffers take

std::int64_t monotonicNow() {
    timespec now{};
    ::clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * kSecond + now.tv_nsec;
}

void pause() { std::this_thread::sleep_for(std::chrono::nanoseconds(kPollInterval)); }

nlohmann::json readJson(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw std::runtime_error("a process left no totals: " + path);
    return nlohmann::json::parse(file);
}

// A connection that asks for the whole list again and again and reads nothing.
class SlowReader {
  public:
    explicit SlowReader(int port) : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return;
        std::string calls;
        for (int i = 0; i < kCallsOfSlowReader; ++i)
            calls += "GET /api/targets HTTP/1.1\r\nHost: slow\r\n\r\n";
        (void)::send(descriptor_, calls.data(), calls.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
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
    Result play();

  private:
    // Something that the driver does itself at a time of the run.
    struct Step {
        Nanos at;
        std::function<void()> act;
    };

    void prepare();
    void startAll();
    void awaitReady();
    void planEvents();
    void planDistributorLoss(const Event& event, Distributor& distributor);
    void killDistributor(Distributor& distributor);
    void measure();
    void awaitSettled();
    void stopAll();
    Result evaluate();
    void addDiscovery(Result& result) const;
    void addStubRouters(Result& result) const;
    void addReal(Result& result) const;
    void addControl(Result& result) const;
    void judgeBounds(Result& result, const PropagationStatistics& judged) const;

    void signalMeasured(int number);
    void checkAlive();
    void await(const char* what, Nanos within, const std::function<bool()>& done);
    void tell(std::string_view phase, Nanos at) {
        if (options_.progress) options_.progress(phase, at);
    }
    std::string path(const std::string& name) const { return options_.folder + "/" + name; }
    bool isThroughLoss(std::int64_t at) const;

    Options options_;
    std::unique_ptr<ChildProcess> discovery_;
    int discoveryPort_ = 0;
    std::vector<int> realPorts_;
    std::vector<Distributor> distributors_;
    std::vector<StubProcess> stubRouters_;
    std::vector<std::unique_ptr<ChildProcess>> real_;
    std::vector<double> realProcessor_;  // at the begin, then what was used
    double realMemoryKib_ = 0;
    double distributorProcessor_ = 0;
    double distributorMemoryKib_ = 0;
    std::unique_ptr<SlowReader> slowReader_;
    std::vector<Step> steps_;
    std::int64_t beganAt_ = 0;
    double seconds_ = 0;
};

Result ScaleRun::play() {
    rejectImpossible(options_);
    prepare();
    startAll();
    awaitReady();
    planEvents();
    measure();
    awaitSettled();
    stopAll();
    return evaluate();
}

void ScaleRun::prepare() {
    if (options_.folder.empty()) throw std::runtime_error("a run needs a folder for its files");
    std::filesystem::create_directories(options_.folder);
    options_.folder = std::filesystem::absolute(options_.folder).string();
    if (options_.folder.find('\'') != std::string::npos)
        throw std::runtime_error("a folder's name may not have a quote in it");
    // What an earlier run left would pass for this one's.
    for (const auto& entry : std::filesystem::directory_iterator(options_.folder)) {
        const auto extension = entry.path().extension();
        const bool ours = extension == ".records" || extension == ".ready" || extension == ".ports" ||
                          extension == ".log" || extension == ".tsv" || extension == ".json";
        if (ours && entry.is_regular_file()) std::filesystem::remove(entry.path());
    }
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    const auto wanted = static_cast<rlim_t>(demandOf(options_).descriptors);
    files.rlim_cur = std::max(files.rlim_cur, std::min(wanted, files.rlim_max));
    setrlimit(RLIMIT_NOFILE, &files);
}

void ScaleRun::startAll() {
    discovery_ = startDiscovery(options_);
    await("discovery", kReadyWithin, [this] { return std::filesystem::exists(path("discovery.ports")); });
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
        await("a distributor", kReadyWithin, [&] { return isListening(distributor.port); });
    if (upstreams.empty()) upstreams.push_back(discoveryPort_);
    stubRouters_ = startStubRouters(options_, upstreams);
    for (int i = 0; i < options_.realRouters; ++i)
        real_.push_back(startReal(options_, i, realPorts_[static_cast<std::size_t>(i)]));
}

void ScaleRun::awaitReady() {
    tell("routers start", 0);
    for (std::size_t i = 0; i < stubRouters_.size(); ++i)
        await("the hollow routers' first list", kReadyWithin,
              [&] { return std::filesystem::exists(path(fmt::format("hollow-{}.ready", i))); });
    if (real_.empty()) return;
    await("the real routers' first list", kReadyWithin,
          [this] { return std::filesystem::exists(path("real.ready")); });
}

void ScaleRun::planEvents() {
    std::size_t next = 0;  // distributors are lost in turn
    for (const Event& event : options_.events) {
        switch (event.kind) {
            case EventKind::killDistributor:
            case EventKind::stopDistributor:
                planDistributorLoss(event, distributors_[next++ % distributors_.size()]);
                break;
            case EventKind::slowReader: {
                const int port = distributors_.empty() ? discoveryPort_ : distributors_.front().port;
                steps_.push_back(
                    {event.at, [this, port] { slowReader_ = std::make_unique<SlowReader>(port); }});
                steps_.push_back({event.at + event.length, [this] { slowReader_.reset(); }});
                break;
            }
            case EventKind::restartRouters:  // the stubs processes and discovery were told at their start
            case EventKind::slowDiscovery:
            case EventKind::cutZone:  // refused before
            case EventKind::loseRack:
                break;
        }
    }
    std::stable_sort(steps_.begin(), steps_.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
}

void ScaleRun::planDistributorLoss(const Event& event, Distributor& distributor) {
    if (event.kind == EventKind::stopDistributor) {
        steps_.push_back({event.at, [&distributor] { distributor.process->signal(SIGSTOP); }});
        steps_.push_back({event.at + event.length, [&distributor] { distributor.process->signal(SIGCONT); }});
        return;
    }
    steps_.push_back({event.at, [this, &distributor] { killDistributor(distributor); }});
    steps_.push_back({event.at + event.length, [this, &distributor] {
                          const auto index = static_cast<int>(&distributor - distributors_.data());
                          distributor.process =
                              startDistributor(options_, index, distributor.port, discoveryPort_);
                          distributor.processorBefore = 0;
                      }});
}

void ScaleRun::killDistributor(Distributor& distributor) {
    distributorProcessor_ += processorSecondsOf(distributor.process->pid()) - distributor.processorBefore;
    distributor.process.reset();  // by SIGKILL
}

void ScaleRun::signalMeasured(int number) {
    for (const StubProcess& stubs : stubRouters_) stubs.process->signal(number);
    discovery_->signal(number);
}

void ScaleRun::measure() {
    beganAt_ = monotonicNow();
    signalMeasured(SIGUSR1);
    for (const auto& real : real_) realProcessor_.push_back(processorSecondsOf(real->pid()));
    for (Distributor& distributor : distributors_)
        distributor.processorBefore = processorSecondsOf(distributor.process->pid());
    Nanos told = 0;
    std::size_t step = 0;
    for (Nanos now = 0; now < options_.length; now = monotonicNow() - beganAt_) {
        for (; step < steps_.size() && steps_[step].at <= now; ++step) steps_[step].act();
        if (now - told >= kSecond) tell("measured", told = now);
        checkAlive();
        pause();
    }
    for (; step < steps_.size(); ++step) steps_[step].act();
    signalMeasured(SIGUSR2);
    seconds_ = static_cast<double>(monotonicNow() - beganAt_) / 1e9;
    for (std::size_t i = 0; i < real_.size(); ++i) {
        realProcessor_[i] = processorSecondsOf(real_[i]->pid()) - realProcessor_[i];
        realMemoryKib_ += residentKibOf(real_[i]->pid()) / static_cast<double>(real_.size());
    }
    for (const Distributor& distributor : distributors_) {
        distributorProcessor_ += processorSecondsOf(distributor.process->pid()) - distributor.processorBefore;
        distributorMemoryKib_ += residentKibOf(distributor.process->pid());
    }
}

void ScaleRun::awaitSettled() {
    tell("settles", 0);
    const std::int64_t until = monotonicNow() + kSettleTime;
    while (monotonicNow() < until) {
        checkAlive();
        pause();
    }
}

void ScaleRun::stopAll() {
    slowReader_.reset();
    const auto ends = [this](ChildProcess& process) {
        process.signal(SIGTERM);
        await("the end of a process", kStopWithin, [&process] { return process.hasExited(); });
    };
    for (const StubProcess& stubs : stubRouters_) stubs.process->signal(SIGTERM);
    for (const StubProcess& stubs : stubRouters_) ends(*stubs.process);
    real_.clear();
    distributors_.clear();
    ends(*discovery_);
}

void ScaleRun::checkAlive() {
    const auto check = [this](ChildProcess& process, const std::string& name) {
        if (process.hasExited())
            throw std::runtime_error(
                fmt::format("{} ended by itself with {}: {}", name, process.exitCode(), path(name + ".log")));
    };
    check(*discovery_, "discovery");
    for (std::size_t i = 0; i < stubRouters_.size(); ++i)
        check(*stubRouters_[i].process, fmt::format("hollow-{}", i));
    for (std::size_t i = 0; i < real_.size(); ++i) check(*real_[i], fmt::format("real-{}", i));
    for (std::size_t i = 0; i < distributors_.size(); ++i)
        if (distributors_[i].process) check(*distributors_[i].process, fmt::format("distributor-{}", i));
}

void ScaleRun::await(const char* what, Nanos within, const std::function<bool()>& done) {
    const std::int64_t until = monotonicNow() + within;
    while (!done()) {
        if (monotonicNow() > until)
            throw std::runtime_error(fmt::format("waited {} s in vain for {}; see the logs in {}",
                                                 within / kSecond, what, options_.folder));
        if (within == kReadyWithin) checkAlive();
        pause();
    }
}

// ---- what was measured

bool ScaleRun::isThroughLoss(std::int64_t at) const {
    const Nanos since = at - beganAt_;
    for (const Event& event : options_.events) {
        const bool loses =
            event.kind == EventKind::killDistributor || event.kind == EventKind::stopDistributor;
        // A change just before it may be caught on its way.
        const Nanos from = event.at - options_.bounds.inForce;
        if (loses && since >= from && since < event.at + event.length) return true;
    }
    return false;
}

Result ScaleRun::evaluate() {
    PropagationStatistics judged(readChanges(path("changes.tsv")));
    for (std::size_t i = 0; i < stubRouters_.size(); ++i) {
        const auto routers =
            readRecords(path(fmt::format("hollow-{}.records", i)),
                        static_cast<std::uint32_t>(stubRouters_[i].first), stubRouters_[i].routers);
        for (const auto& records : routers) judged.add(records);
    }
    for (const auto& records : readRecords(path("real.records"), 0, options_.realRouters))
        judged.add(records);
    Result result;
    result.routers = options_.stubRouters + options_.realRouters;
    result.caches = options_.caches;
    result.measuredSeconds = seconds_;
    result.inForceP50Ms = judged.quantileMs(0.5);
    result.inForceMaxMs = judged.quantileMs(1);
    result.delivered = judged.delivered();
    result.lost = judged.lost();
    result.stale = judged.stale();
    addDiscovery(result);
    addReal(result);
    addStubRouters(result);
    addControl(result);
    judgeBounds(result, judged);
    writeScaleReport(options_, result, judged, beganAt_);
    std::ofstream(path("result.json")) << jsonOf(result) << '\n';
    return result;
}

void ScaleRun::addDiscovery(Result& result) const {
    const auto totals = readJson(path("discovery.json"));
    const double seconds = std::max(totals.at("seconds").get<double>(), 1e-3);
    result.controlProcessorShare = totals.at("processor_seconds").get<double>() / seconds;
    result.controlMemoryKib = totals.at("memory_kib").get<double>();
    result.controlMessagesPerSecond = totals.at("messages").get<double>() / seconds;
    const auto real = static_cast<double>(options_.realRouters);
    if (options_.realRouters == 0) return;
    for (const auto& one : totals.at("real")) {
        const double bytes = one.at("bytes_in").get<double>() + one.at("bytes_out").get<double>();
        result.realBytesPerSecond += bytes / seconds / real;
        result.realMessagesPerSecond += one.at("messages").get<double>() / seconds / real;
        result.routerPeakBytesPerSecond =
            std::max(result.routerPeakBytesPerSecond, one.at("peak_bytes_per_second").get<double>());
    }
}

void ScaleRun::addReal(Result& result) const {
    if (options_.realRouters == 0) return;
    for (const double used : realProcessor_)
        result.realProcessorShare += used / seconds_ / static_cast<double>(options_.realRouters);
    result.realMemoryKib = realMemoryKib_;
    if (options_.stubRouters > 0) return;
    result.routerBytesPerSecond = result.realBytesPerSecond;
    result.routerProcessorShare = result.realProcessorShare;
    result.routerMemoryKib = result.realMemoryKib;
    result.routerMessagesPerSecond = result.realMessagesPerSecond;
}

void ScaleRun::addStubRouters(Result& result) const {
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
        result.modulesDisagreeing += totals.at("modules_disagreeing").get<int>();
    }
}

void ScaleRun::addControl(Result& result) const {
    if (options_.distributors == 0) return;
    result.controlProcessorShare += distributorProcessor_ / seconds_;
    result.controlMemoryKib += distributorMemoryKib_;
    // Each call of a router is answered once.
    result.controlMessagesPerSecond +=
        result.routerMessagesPerSecond * static_cast<double>(options_.stubRouters);
}

void ScaleRun::judgeBounds(Result& result, const PropagationStatistics& judged) const {
    double normal = 0;
    for (const PropagationStatistics::PerChange& change : judged.changes()) {
        if (change.milliseconds.empty()) continue;
        const auto slowest =
            static_cast<double>(*std::max_element(change.milliseconds.begin(), change.milliseconds.end()));
        double& most = isThroughLoss(change.at) ? result.inForceThroughLossMaxMs : normal;
        most = std::max(most, slowest);
    }
    const auto check = [&result](double measured, double bound, const char* what, const char* unit) {
        if (bound > 0 && measured > bound)
            result.broken.push_back(
                fmt::format("{}: {:.6g} {}, over the bound of {:.6g}", what, measured, unit, bound));
    };
    const Bounds& bounds = options_.bounds;
    const auto millis = [](Nanos nanos) { return static_cast<double>(nanos) / kMillisecond; };
    check(normal, millis(bounds.inForce), "in force at the slowest router", "ms");
    check(result.inForceThroughLossMaxMs, millis(bounds.inForceThroughLoss),
          "in force at the slowest router while a distributor was lost", "ms");
    check(result.routerBytesPerSecond, bounds.routerBytesPerSecond, "control bytes of a router",
          "bytes a second");
    check(result.routerProcessorShare, bounds.routerProcessorShare, "processor time of a router",
          "of a core");
    check(result.routerMemoryKib, bounds.routerMemoryKib, "memory of a router", "KiB");
    if (result.lost > 0)
        result.broken.push_back(
            fmt::format("{} pairs of a router and a change never came into force", result.lost));
    if (result.modulesDisagreeing > 0)
        result.broken.push_back(fmt::format(
            "the decision modules of {} routers hold other servers than listed", result.modulesDisagreeing));
    if (result.stale > 0)
        result.broken.push_back(fmt::format("versions fell at routers, {} times", result.stale));
}

}  // namespace

Result runScaleTest(const Options& options) { return ScaleRun(options).play(); }

std::string lineOf(const Result& result) {
    return fmt::format(
        "routers={} caches={} in_force_p50_ms={:.2f} in_force_max_ms={:.2f} bytes_per_second_router={:.1f} "
        "cpu_share_router={:.6f} memory_kb_router={:.0f} cpu_share_control={:.4f} "
        "messages_per_second_control={:.1f} stale={} lost={}",
        result.routers, result.caches, result.inForceP50Ms, result.inForceMaxMs, result.routerBytesPerSecond,
        result.routerProcessorShare, result.routerMemoryKib, result.controlProcessorShare,
        result.controlMessagesPerSecond, result.stale, result.lost);
}

std::string jsonOf(const Result& result) {
    const nlohmann::json json{{"routers", result.routers},
                              {"caches", result.caches},
                              {"in_force_p50_ms", result.inForceP50Ms},
                              {"in_force_max_ms", result.inForceMaxMs},
                              {"in_force_through_loss_max_ms", result.inForceThroughLossMaxMs},
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
                              {"modules_disagreeing", result.modulesDisagreeing},
                              {"lost", result.lost},
                              {"measured_seconds", result.measuredSeconds},
                              {"broken", result.broken}};
    return json.dump();
}

}  // namespace poppyscale::testbed::scale
