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
// The module reads 0 as long ago, so its clock starts far from it.
constexpr Nanos kClockStart = 1'000'000 * kSecond;
constexpr Nanos kAnswerTime = 2 * kMillisecond;
constexpr Nanos kLatencyTarget = 100 * kMillisecond;
constexpr Nanos kTimeout = 1 * kSecond;
constexpr int kKeys = 200'000;
constexpr int kHotKeys = 100;
constexpr double kHotShare = 0.3;  // of requests that go to the hot keys
constexpr double kSkew = 0.9;      // Zipf exponent of the others
constexpr int kRepeatsOfList = 5;

double threadMicros() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

double heapKib() { return static_cast<double>(mallinfo2().uordblks) / 1024; }

// Keeps the last attempt, which the caller ends.
class RespondingHost : public PolicyHost {
  public:
    void startAttempt(RequestId, std::string_view, Nanos, Nanos) override { attempted = true; }
    void reject(RequestId, Nanos) override { ++refused; }
    void fail(RequestId) override { ++refused; }
    void scheduleWakeup(Nanos) override {}
    void pollEndpoints() override {}
    void log(std::string_view) override {}

    bool attempted = false;
    int refused = 0;
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

std::vector<Endpoint> wholeList(const ModuleOptions& o) {
    std::vector<Endpoint> list;
    for (int i = 0; i < o.caches; ++i) list.push_back(endpoint(i, o.zones));
    return list;
}

PolicySettings settingsOf(const ModuleOptions& o) {
    PolicySettings terms;
    terms.seed = o.seed;
    terms.routerCount = o.routers;
    terms.zone = zoneName(0, o.zones);
    terms.crossZoneCost = 0.05;
    terms.retryAfterAllowed = true;
    terms.maxAttempts = 3;
    terms.maxRetryAfter = kSecond;
    terms.pollInterval = 5 * kSecond;
    terms.rampDuration = 30 * kSecond;
    terms.initialFraction = 0.1;
    terms.overloadMultiple = 2;
    terms.overloadWindow = kSecond;
    RequestClass read;
    read.name = "read";
    read.idempotency = Idempotency::safe;
    read.latencyObjective = kLatencyTarget;
    read.timeout = kTimeout;
    terms.requestClasses = {read};
    return terms;
}

std::vector<std::string> drawKeys(const ModuleOptions& o) {
    std::mt19937_64 random(o.seed);
    std::vector<double> cumulative(kKeys);
    double sum = 0;
    for (int i = 0; i < kKeys; ++i) cumulative[i] = sum += std::pow(i + 1, -kSkew);
    std::uniform_real_distribution<double> zipf(0, sum);
    std::bernoulli_distribution hot(kHotShare);
    std::uniform_int_distribution<int> hotKey(0, kHotKeys - 1);
    std::vector<std::string> keys;
    for (int i = 0; i < o.requests; ++i) {
        const auto rank = std::lower_bound(cumulative.begin(), cumulative.end(), zipf(random));
        const auto key = hot(random) ? hotKey(random) : kHotKeys + (rank - cumulative.begin());
        keys.push_back(fmt::format("object/{:016x}", key));
    }
    return keys;
}

// A router's module that is asked one request after another.
class PolicyUnderLoad {
  public:
    explicit PolicyUnderLoad(const ModuleOptions& o)
        : gap_(static_cast<Nanos>(1e9 / o.requestsPerSecond)), router_(settingsOf(o), host_, now_) {}

    void request(std::string_view key) {
        now_ += gap_;
        IncomingRequest arrival;
        arrival.id = ++id_;
        arrival.requestClass = "read";
        arrival.key = key;
        arrival.deadline = now_ + kTimeout;
        host_.attempted = false;
        router_.onRequest(now_, arrival);
        router_.reconcile(now_);
        if (!host_.attempted) return;
        AttemptResult end;
        end.id = id_;
        end.requestCompleted = true;
        end.duration = kAnswerTime;
        router_.onAttemptEnded(now_, end);
        router_.reconcile(now_);
    }
    void news(EndpointUpdateKind kind, const std::vector<Endpoint>& entries) {
        router_.onEndpointUpdate(now_, kind, entries);
        router_.reconcile(now_);
    }
    int refused() const { return host_.refused; }

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

void measureList(const ModuleOptions& o, const std::vector<Endpoint>& list, ModuleCost& cost) {
    const std::string json = endpointListJson(list, true);
    cost.listBytes = static_cast<double>(json.size());
    std::vector<double> parsing;
    std::vector<double> taking;
    for (int i = 0; i < kRepeatsOfList; ++i) {
        const double start = threadMicros();
        const protocol::EndpointList roster = protocol::readEndpointList(json);
        parsing.push_back(threadMicros() - start);
        if (roster.entries.size() != list.size()) throw std::logic_error("the list was not read whole");
        PolicyUnderLoad asked(o);
        const double taken = threadMicros();
        asked.news(EndpointUpdateKind::complete, list);
        asked.request("object/first");
        taking.push_back(threadMicros() - taken);
    }
    cost.parseMillis = medianOf(parsing) / 1e3;
    cost.wholeListMillis = medianOf(taking) / 1e3;
}

// The same server leaves and comes back in turn, so that the fleet keeps its size.
double measureChanges(const ModuleOptions& o, const std::vector<std::string>& keys, double requestMicros,
                      PolicyUnderLoad& asked) {
    std::vector<double> times;
    for (int i = 0; i < o.changes; ++i) {
        Endpoint changed = endpoint(i / 2 % o.caches, o.zones);
        changed.state = i % 2 == 0 ? EndpointState::removed : EndpointState::ready;
        const double start = threadMicros();
        asked.news(EndpointUpdateKind::delta, {changed});
        asked.request(keys[i % keys.size()]);
        times.push_back(threadMicros() - start);
    }
    return std::max(medianOf(times) - requestMicros, 0.0);
}

}  // namespace

ModuleCost measureModule(const ModuleOptions& o) {
    if (o.caches < 2 || o.zones < 1 || o.requests < 1 || o.changes < 1 || !(o.requestsPerSecond > 0))
        throw std::invalid_argument("two caches, a zone, a request and a change are the least to measure");
    ModuleCost cost;
    const std::vector<Endpoint> list = wholeList(o);
    measureList(o, list, cost);
    const std::vector<std::string> keys = drawKeys(o);
    const double before = heapKib();
    PolicyUnderLoad asked(o);
    asked.news(EndpointUpdateKind::complete, list);
    asked.request(keys.front());
    cost.listMemoryKib = heapKib() - before;
    const double start = threadMicros();
    for (const std::string& key : keys) asked.request(key);
    cost.requestMicros = (threadMicros() - start) / o.requests;
    cost.usedMemoryKib = heapKib() - before;
    // A refused request costs less than one that is served: then the figure would flatter.
    if (asked.refused() > o.requests / 100)
        throw std::runtime_error(fmt::format("{} of {} requests were refused", asked.refused(), o.requests));
    cost.changeMicros = measureChanges(o, keys, cost.requestMicros, asked);
    return cost;
}

bool measureSeries(const ModuleSeries& wanted) {
    using Column = Quantity<ModuleCost>;
    static const std::array<Column, 7> columns = {{{"request", "us", &ModuleCost::requestMicros},
                                                   {"change", "us", &ModuleCost::changeMicros},
                                                   {"whole_list", "ms", &ModuleCost::wholeListMillis},
                                                   {"parse", "ms", &ModuleCost::parseMillis},
                                                   {"list", "bytes", &ModuleCost::listBytes},
                                                   {"list_memory", "KiB", &ModuleCost::listMemoryKib},
                                                   {"used_memory", "KiB", &ModuleCost::usedMemoryKib}}};
    const auto measure = [&](double size, std::uint64_t seed) {
        ModuleOptions options = wanted.options;
        options.caches = static_cast<int>(size);
        options.seed = seed;
        return measureModule(options);
    };
    const std::vector<double> sizes(wanted.sizes.begin(), wanted.sizes.end());
    return runSeries<ModuleCost>("caches", sizes, wanted.seeds, wanted.factor,
                                 std::vector<Column>(columns.begin(), columns.end()), measure);
}

}  // namespace poppyscale::testbed::scale
