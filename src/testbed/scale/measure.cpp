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
class AnsweringHost : public Host {
  public:
    void relay(CommandId, std::string_view, Nanos, Nanos) override { attempted = true; }
    void decline(CommandId, Nanos) override { ++refused; }
    void terminate(CommandId) override { ++refused; }
    void wake(Nanos) override {}
    void subscribe() override {}
    void log(std::string_view) override {}

    bool attempted = false;
    int refused = 0;
};

std::string zoneName(int cache, int zones) { return fmt::format("zone-{:02}", cache % zones); }

Listed endpoint(int cache, int zones) {
    Listed listed;
    listed.name = fmt::format("cache-{:06}", cache);
    listed.zone = zoneName(cache, zones);
    listed.shape = "store";
    listed.cell = cache % zones;
    listed.size = 1 + cache % 4;
    return listed;
}

std::vector<Listed> wholeList(const ModuleOptions& o) {
    std::vector<Listed> list;
    for (int i = 0; i < o.caches; ++i) list.push_back(endpoint(i, o.zones));
    return list;
}

Terms termsOf(const ModuleOptions& o) {
    Terms terms;
    terms.seed = o.seed;
    terms.routers = o.routers;
    terms.zone = zoneName(0, o.zones);
    terms.crossPrice = 0.05;
    terms.comeBackAllowed = true;
    terms.maxRelays = 3;
    terms.maxComeBack = kSecond;
    terms.askWithin = 5 * kSecond;
    terms.ramp = 30 * kSecond;
    terms.startShare = 0.1;
    terms.tipMultiple = 2;
    terms.fallSpan = kSecond;
    Verb read;
    read.name = "read";
    read.effect = Effect::pure;
    read.goal = kLatencyTarget;
    read.limit = kTimeout;
    terms.verbs = {read};
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
class Asked {
  public:
    explicit Asked(const ModuleOptions& o)
        : gap_(static_cast<Nanos>(1e9 / o.requestsPerSecond)), router_(termsOf(o), host_, now_) {}

    void request(std::string_view key) {
        now_ += gap_;
        Arrival arrival;
        arrival.id = ++id_;
        arrival.verb = "read";
        arrival.key = key;
        arrival.giveUpAt = now_ + kTimeout;
        host_.attempted = false;
        router_.arrival(now_, arrival);
        router_.settle(now_);
        if (!host_.attempted) return;
        RelayEnd end;
        end.id = id_;
        end.over = true;
        end.spent = kAnswerTime;
        router_.ended(now_, end);
        router_.settle(now_);
    }
    void news(NewsKind kind, const std::vector<Listed>& entries) {
        router_.news(now_, kind, entries);
        router_.settle(now_);
    }
    int refused() const { return host_.refused; }

  private:
    Nanos gap_;
    Nanos now_ = kClockStart;
    CommandId id_ = 0;
    AnsweringHost host_;
    Router router_;
};

std::string entryJson(const Listed& e) {
    return fmt::format(
        R"({{"id":"{}","state":"Ready","zone":"{}","kind":"{}","cell":{},"weight":{},"addr":"10.{}.{}.{}:6379","started_ms":1764633600000}})",
        e.name, e.zone, e.shape, e.cell, e.size, e.cell, e.cell * 7 % 250, e.cell * 13 % 250);
}

std::string rosterJson(const std::vector<Listed>& entries, bool full) {
    std::string json = fmt::format(R"({{"version":1234567,"full":{},"servers":[)", full);
    for (const Listed& e : entries) {
        if (json.back() != '[') json += ',';
        json += entryJson(e);
    }
    return json + "]}";
}

void measureList(const ModuleOptions& o, const std::vector<Listed>& list, ModuleCost& cost) {
    const std::string json = rosterJson(list, true);
    cost.listBytes = static_cast<double>(json.size());
    std::vector<double> parsing;
    std::vector<double> taking;
    for (int i = 0; i < kRepeatsOfList; ++i) {
        const double start = threadMicros();
        const protocol::Roster roster = protocol::readRoster(json);
        parsing.push_back(threadMicros() - start);
        if (roster.places.size() != list.size()) throw std::logic_error("the list was not read whole");
        Asked asked(o);
        const double taken = threadMicros();
        asked.news(NewsKind::whole, list);
        asked.request("object/first");
        taking.push_back(threadMicros() - taken);
    }
    cost.parseMillis = medianOf(parsing) / 1e3;
    cost.wholeListMillis = medianOf(taking) / 1e3;
}

// The same server leaves and comes back in turn, so that the fleet keeps its size.
double measureChanges(const ModuleOptions& o, const std::vector<std::string>& keys, double requestMicros,
                      Asked& asked) {
    std::vector<double> times;
    for (int i = 0; i < o.changes; ++i) {
        Listed changed = endpoint(i / 2 % o.caches, o.zones);
        changed.presence = i % 2 == 0 ? Presence::gone : Presence::ready;
        const double start = threadMicros();
        asked.news(NewsKind::changes, {changed});
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
    const std::vector<Listed> list = wholeList(o);
    measureList(o, list, cost);
    const std::vector<std::string> keys = drawKeys(o);
    const double before = heapKib();
    Asked asked(o);
    asked.news(NewsKind::whole, list);
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
