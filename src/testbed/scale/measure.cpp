#include "testbed/scale/measure.hpp"

#include <fmt/format.h>
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <stdexcept>

#include "policy/routing_policy.hpp"
#include "protocol/endpoint_list.hpp"
#include "testbed/scale/series.hpp"

namespace poppyscale::testbed::scale {
namespace {

constexpr Nanos kSecond = 1'000 * kMillisecond;
// To the module a time near 0 means long ago, so its clock starts far above 0.
constexpr Nanos kClockStart = 1'000'000 * kSecond;
constexpr Nanos kResponseTime = 2 * kMillisecond;
constexpr Nanos kLatencyObjective = 100 * kMillisecond;
constexpr Nanos kTimeout = 1 * kSecond;
constexpr int kKeys = 200'000;
constexpr int kHotKeys = 100;
constexpr double kHotShare = 0.3;      // share of the requests that go to the hot keys
constexpr double kZipfExponent = 0.9;  // Zipf exponent of the other keys
constexpr int kListRepeats = 5;

double threadCpuMicros() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

double heapKib() { return static_cast<double>(mallinfo2().uordblks) / 1024; }

// Notes whether the policy started an attempt, which the caller then completes, and counts requests
// that were rejected or failed.
class RespondingHost : public PolicyHost {
  public:
    void startAttempt(RequestId, std::string_view, Nanos, Nanos) override { wasAttempted = true; }
    void reject(RequestId, Nanos) override { ++unserved; }
    void fail(RequestId) override { ++unserved; }
    void scheduleWakeup(Nanos) override {}
    void pollEndpoints() override {}
    void log(std::string_view) override {}

    bool wasAttempted = false;
    int unserved = 0;
};

std::string zoneName(int cache, int zones) { return fmt::format("zone-{:02}", cache % zones); }

Endpoint endpoint(int cache, int zones) {
    Endpoint listed;
    listed.name = fmt::format("cache-{:06}", cache);
    listed.zone = zoneName(cache, zones);
    listed.shape = "store";
    listed.cell = cache % zones;
    listed.weight = 1 + cache % 4;
    return listed;
}

std::vector<Endpoint> completeList(const ModuleOptions& options) {
    std::vector<Endpoint> list;
    for (int i = 0; i < options.caches; ++i) list.push_back(endpoint(i, options.zones));
    return list;
}

PolicySettings policySettingsOf(const ModuleOptions& options) {
    PolicySettings settings;
    settings.seed = options.seed;
    settings.routerCount = options.routers;
    settings.zone = zoneName(0, options.zones);
    settings.crossZoneCost = 0.05;
    settings.retryAfterAllowed = true;
    settings.maxAttempts = 3;
    settings.maxRetryAfter = kSecond;
    settings.pollInterval = 5 * kSecond;
    settings.rampDuration = 30 * kSecond;
    settings.initialFraction = 0.1;
    settings.overloadMultiple = 2;
    settings.overloadWindow = kSecond;
    RequestClass read;
    read.name = "read";
    read.idempotency = Idempotency::safe;
    read.latencyObjective = kLatencyObjective;
    read.timeout = kTimeout;
    settings.requestClasses = {read};
    return settings;
}

std::vector<std::string> drawKeys(const ModuleOptions& options) {
    std::mt19937_64 random(options.seed);
    std::vector<double> cumulative(kKeys);
    double sum = 0;
    for (int i = 0; i < kKeys; ++i) cumulative[i] = sum += std::pow(i + 1, -kZipfExponent);
    std::uniform_real_distribution<double> zipf(0, sum);
    std::bernoulli_distribution hot(kHotShare);
    std::uniform_int_distribution<int> hotKey(0, kHotKeys - 1);
    std::vector<std::string> keys;
    for (int i = 0; i < options.requests; ++i) {
        const auto rank = std::lower_bound(cumulative.begin(), cumulative.end(), zipf(random));
        const auto key = hot(random) ? hotKey(random) : kHotKeys + (rank - cumulative.begin());
        keys.push_back(fmt::format("object/{:016x}", key));
    }
    return keys;
}

// A routing policy that handles one request after another in virtual time.
class PolicyUnderLoad {
  public:
    explicit PolicyUnderLoad(const ModuleOptions& options)
        : gap_(static_cast<Nanos>(1e9 / options.requestsPerSecond)),
          router_(policySettingsOf(options), host_, now_) {}

    void handleRequest(std::string_view key) {
        now_ += gap_;
        IncomingRequest request;
        request.id = ++id_;
        request.requestClass = "read";
        request.key = key;
        request.deadline = now_ + kTimeout;
        host_.wasAttempted = false;
        router_.onRequest(now_, request);
        router_.reconcile(now_);
        if (!host_.wasAttempted) return;
        AttemptResult end;
        end.id = id_;
        end.requestCompleted = true;
        end.duration = kResponseTime;
        router_.onAttemptEnded(now_, end);
        router_.reconcile(now_);
    }
    void updateEndpoints(EndpointUpdateKind kind, const std::vector<Endpoint>& entries) {
        router_.onEndpointUpdate(now_, kind, entries);
        router_.reconcile(now_);
    }
    int unservedCount() const { return host_.unserved; }

  private:
    Nanos gap_;
    Nanos now_ = kClockStart;
    RequestId id_ = 0;
    RespondingHost host_;
    RoutingPolicy router_;
};

std::string entryJson(const Endpoint& e) {
    return fmt::format(
        R"({{"id":"{}","state":"Ready","zone":"{}","kind":"{}","cell":{},"weight":{},"addr":"10.{}.{}.{}:6379","started_ms":1764633600000}})",
        e.name, e.zone, e.shape, e.cell, e.weight, e.cell, e.cell * 7 % 250, e.cell * 13 % 250);
}

std::string endpointListJson(const std::vector<Endpoint>& entries, bool full) {
    std::string json = fmt::format(R"({{"version":1234567,"full":{},"servers":[)", full);
    for (const Endpoint& e : entries) {
        if (json.back() != '[') json += ',';
        json += entryJson(e);
    }
    return json + "]}";
}

void measureList(const ModuleOptions& options, const std::vector<Endpoint>& list, ModuleCost& cost) {
    const std::string json = endpointListJson(list, true);
    cost.listBytes = static_cast<double>(json.size());
    std::vector<double> parseTimes;
    std::vector<double> loadTimes;
    for (int i = 0; i < kListRepeats; ++i) {
        const double start = threadCpuMicros();
        const protocol::EndpointList parsed = protocol::readEndpointList(json);
        parseTimes.push_back(threadCpuMicros() - start);
        if (parsed.entries.size() != list.size()) throw std::logic_error("endpoint list parsed incompletely");
        PolicyUnderLoad policy(options);
        const double loadStart = threadCpuMicros();
        policy.updateEndpoints(EndpointUpdateKind::complete, list);
        policy.handleRequest("object/first");
        loadTimes.push_back(threadCpuMicros() - loadStart);
    }
    cost.parseMillis = medianOf(parseTimes) / 1e3;
    cost.wholeListMillis = medianOf(loadTimes) / 1e3;
}

// Each server is removed and added again before the next, so that the list keeps its size.
double measureChanges(const ModuleOptions& options, const std::vector<std::string>& keys,
                      double requestMicros, PolicyUnderLoad& policy) {
    std::vector<double> times;
    for (int i = 0; i < options.changes; ++i) {
        Endpoint changedEndpoint = endpoint(i / 2 % options.caches, options.zones);
        changedEndpoint.state = i % 2 == 0 ? EndpointState::removed : EndpointState::ready;
        const double start = threadCpuMicros();
        policy.updateEndpoints(EndpointUpdateKind::delta, {changedEndpoint});
        policy.handleRequest(keys[i % keys.size()]);
        times.push_back(threadCpuMicros() - start);
    }
    return std::max(medianOf(times) - requestMicros, 0.0);
}

}  // namespace

ModuleCost measureModule(const ModuleOptions& options) {
    if (options.caches < 2 || options.zones < 1 || options.requests < 1 || options.changes < 1 ||
        !(options.requestsPerSecond > 0))
        throw std::invalid_argument(
            "a measurement needs at least two caches, one zone, one request, one change and a request rate "
            "above 0");
    ModuleCost cost;
    const std::vector<Endpoint> list = completeList(options);
    measureList(options, list, cost);
    const std::vector<std::string> keys = drawKeys(options);
    const double before = heapKib();
    PolicyUnderLoad policy(options);
    policy.updateEndpoints(EndpointUpdateKind::complete, list);
    policy.handleRequest(keys.front());
    cost.listMemoryKib = heapKib() - before;
    const double start = threadCpuMicros();
    for (const std::string& key : keys) policy.handleRequest(key);
    cost.requestMicros = (threadCpuMicros() - start) / options.requests;
    cost.usedMemoryKib = heapKib() - before;
    // Rejected and failed requests cost less than served ones: with over 1% of them the figure is
    // too low.
    if (policy.unservedCount() > options.requests / 100)
        throw std::runtime_error(fmt::format("{} of {} requests were rejected or failed, over 1%",
                                             policy.unservedCount(), options.requests));
    cost.changeMicros = measureChanges(options, keys, cost.requestMicros, policy);
    return cost;
}

bool runModuleSeries(const ModuleSeries& series) {
    using Column = Quantity<ModuleCost>;
    static const std::array<Column, 7> columns = {{{"request", "us", &ModuleCost::requestMicros},
                                                   {"change", "us", &ModuleCost::changeMicros},
                                                   {"whole_list", "ms", &ModuleCost::wholeListMillis},
                                                   {"parse", "ms", &ModuleCost::parseMillis},
                                                   {"list", "bytes", &ModuleCost::listBytes},
                                                   {"list_memory", "KiB", &ModuleCost::listMemoryKib},
                                                   {"used_memory", "KiB", &ModuleCost::usedMemoryKib}}};
    const auto measure = [&](double size, std::uint64_t seed) {
        ModuleOptions options = series.options;
        options.caches = static_cast<int>(size);
        options.seed = seed;
        return measureModule(options);
    };
    const std::vector<double> sizes(series.sizes.begin(), series.sizes.end());
    return runSeries<ModuleCost>("caches", sizes, series.seeds, series.predictionFactor,
                                 std::vector<Column>(columns.begin(), columns.end()), measure);
}

}  // namespace poppyscale::testbed::scale
