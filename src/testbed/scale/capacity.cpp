#include "testbed/scale/capacity.hpp"

#include <algorithm>
#include <cmath>

namespace poppyscale::testbed::scale {
namespace {

constexpr double kSecondsOfHour = 3600;
constexpr double kSecondsOfDay = 86'400;
constexpr double kBytesOfKilobyte = 1000;
constexpr double kBytesOfMegabyte = 1e6;
constexpr double kBytesOfKib = 1024;
constexpr double kPercentOfMicrosASecond = 100 / 1e6;
constexpr double kPercentOfMillisASecond = 100 / 1e3;
constexpr double kMegabytesOfKib = kBytesOfKib / kBytesOfMegabyte;
constexpr double kOrdinaryConnections =
    16;                             // that a router has beside those to caches: listener, discovery ...
constexpr double kSameSize = 0.01;  // a count within this of the largest measured is that size

constexpr const char* kOrdinary = "ordinary second";
constexpr const char* kRestart = "restart wave";
constexpr const char* kRelease = "release";
constexpr const char* kRack = "rack lost";
constexpr const char* kZone = "zone lost";
constexpr const char* kZoneBack = "zone back, cold";
constexpr const char* kPartition = "partition";
constexpr const char* kPartitionEnd = "partition's end";
constexpr const char* kControlLost = "control machine lost";
constexpr const char* kBurst = "burst";

// Adds rows; every one names its role, formula and what carries it.
class Builder {
  public:
    Builder(const Target& target, const Slopes& slopes) : t_(target), slopes_(slopes) {}

    std::vector<Row> build() {
        ordinaryRouter();
        ordinarySite();
        ordinaryControl();
        ordinaryCache();
        restartWave();
        release();
        rackLost();
        zoneLost();
        zoneBack();
        partition();
        controlLost();
        burst();
        return std::move(rows_);
    }

  private:
    struct Budget {
        std::optional<double> value;
        std::string text;
    };

    Row& add(const char* situation, const char* role, std::string quantity, Estimate estimate,
             const char* unit, std::string formula, const Budget& budget, Mechanism mechanism) {
        Row row;
        row.situation = situation;
        row.role = role;
        row.quantity = std::move(quantity);
        row.estimate = std::move(estimate);
        row.unit = unit;
        row.formula = std::move(formula);
        row.budget = budget.value;
        row.budgetText = budget.text;
        row.mechanism = mechanism;
        rows_.push_back(std::move(row));
        return rows_.back();
    }
    // What the program can't do at all.
    void addNoPath(const char* situation, const char* role, const char* quantity, const Budget& budget,
                   Mechanism mechanism) {
        Estimate nothing;
        nothing.missing = "no path";
        add(situation, role, quantity, nothing, "s", "no message carries it", budget, mechanism).noPath =
            true;
    }

    Estimate slope(std::string_view name, double count) const { return estimate(slopes_, name, count); }

    Budget noBudget() const { return {}; }
    Budget processorBudget() const { return {t_.routerProcessorPercent, "a router, for control"}; }
    Budget memoryBudget() const { return {t_.routerMegabytes, "a router, for control"}; }
    Budget bytesBudget() const { return {t_.routerKilobytesPerSecond, "a router, for control"}; }
    Budget inForceBudget() const { return {t_.inForceSeconds, "in force everywhere"}; }
    Budget purgeBudget() const { return {t_.purgeSeconds, "purge done everywhere"}; }
    Budget controlBudget() const { return {t_.controlProcessorPercent, "a control process, assumed"}; }
    Budget descriptorsBudget() const { return {t_.descriptors, "a process, assumed"}; }

    // Bytes that one answer with `entries` changed entries takes: the call, and the JSON.
    Estimate answerBytes(double entries) const {
        return slope("module.list", entries) + reasoned(t_.callBytes);
    }
    Estimate listBytes() const { return slope("module.list", t_.caches) + reasoned(t_.callBytes); }
    // The time that bytes take at the router's bound.
    Estimate secondsAtBound(const Estimate& bytes) const {
        return bytes * (1 / (t_.routerKilobytesPerSecond * kBytesOfKilobyte));
    }
    Estimate changeProcessor() const {
        return slope("module.change", t_.caches) * (t_.changesPerSecond() * kPercentOfMicrosASecond);
    }
    // The slope is that of one change a second.
    Estimate discoveryProcessor(double watches, double changesPerSecond) const {
        return slope("scale.control_processor", watches) * changesPerSecond;
    }

    void ordinaryRouter() {
        const double rate = t_.changesPerSecond();
        add(kOrdinary, "router", "state: list entries", reasoned(t_.caches), "entries", "caches", noBudget(),
            Mechanism::listWatch);
        add(kOrdinary, "router", "list messages", reasoned(rate), "1/s", "changes/day / 86,400", noBudget(),
            Mechanism::listWatch);
        add(kOrdinary, "router", "list bytes", answerBytes(1) * (rate / kBytesOfKilobyte), "KB/s",
            "(list(1) + call) x changes/s", bytesBudget(), Mechanism::listWatch);
        add(kOrdinary, "router", "processor, list changes", changeProcessor(), "% of a core",
            "change(caches) x changes/s", processorBudget(), Mechanism::decisionModule);
        add(kOrdinary, "router", "processor, choice of a cache",
            slope("module.request", t_.caches) * (t_.requestsOfRouter() * kPercentOfMicrosASecond),
            "% of a core", "request(caches) x requests/s of a router", processorBudget(),
            Mechanism::boundedChoice);
        add(kOrdinary, "router", "memory, list", slope("module.list_memory", t_.caches) * kMegabytesOfKib,
            "MB", "list_memory(caches)", memoryBudget(), Mechanism::decisionModule);
        add(kOrdinary, "router", "list bytes, on sockets",
            slope("scale.router_bytes", rate) * (1 / kBytesOfKilobyte), "KB/s", "router_bytes(changes/s)",
            bytesBudget(), Mechanism::listWatch);
        add(kOrdinary, "router", "processor, list, on sockets",
            slope("scale.router_processor", t_.caches) * rate, "% of a core",
            "router_processor(caches) x changes/s", processorBudget(), Mechanism::listWatch);
        add(kOrdinary, "router", "memory, list, on sockets",
            slope("scale.router_memory", t_.caches) * kMegabytesOfKib, "MB", "router_memory(caches)",
            memoryBudget(), Mechanism::listWatch);
        add(kOrdinary, "router", "memory, list and hints",
            slope("module.used_memory", t_.caches) * kMegabytesOfKib, "MB", "used_memory(caches)",
            memoryBudget(), Mechanism::decisionModule);
        add(kOrdinary, "router", "memory, connections to caches",
            reasoned(t_.caches * t_.connectionBytes / kBytesOfMegabyte), "MB", "caches x connection_bytes",
            memoryBudget(), Mechanism::scopedView);
        add(kOrdinary, "router", "descriptors", reasoned(t_.caches + kOrdinaryConnections), "descriptors",
            "caches + 16", descriptorsBudget(), Mechanism::scopedView);
        add(kOrdinary, "router", "purge bytes, each once",
            reasoned(t_.purgesPerSecond * t_.purgeBytes / kBytesOfKilobyte), "KB/s", "purges/s x purge_bytes",
            bytesBudget(), Mechanism::purgeStream);
        addNoPath(kOrdinary, "router", "time of a purge everywhere", purgeBudget(), Mechanism::purgeStream);
    }

    void ordinarySite() {
        const double routers = t_.routers / t_.sites;
        add(kOrdinary, "site", "list bytes",
            answerBytes(1) * (routers * t_.changesPerSecond() / kBytesOfKilobyte), "KB/s",
            "routers of a site x one router's", {routers * t_.routerKilobytesPerSecond, "its routers'"},
            Mechanism::listWatch);
        add(kOrdinary, "site", "connections to caches", reasoned(routers * t_.caches), "connections",
            "routers of a site x caches", noBudget(), Mechanism::scopedView);
    }

    void ordinaryControl() {
        const double rate = t_.changesPerSecond();
        add(kOrdinary, "discovery, no distributors", "watches", reasoned(t_.routers), "connections",
            "routers", descriptorsBudget(), Mechanism::listDistributors);
        add(kOrdinary, "discovery, no distributors", "list messages", reasoned(t_.routers * rate), "1/s",
            "routers x changes/s", noBudget(), Mechanism::listDistributors);
        add(kOrdinary, "discovery, no distributors", "list bytes",
            answerBytes(1) * (t_.routers * rate / kBytesOfMegabyte), "MB/s", "routers x one router's",
            noBudget(), Mechanism::listDistributors);
        add(kOrdinary, "discovery, no distributors", "processor", discoveryProcessor(t_.routers, rate),
            "% of a core", "control_processor(routers) x changes/s", controlBudget(),
            Mechanism::listDistributors);
        // A share of a core at one change a second is the seconds of processor time that one change takes.
        add(kOrdinary, "discovery, no distributors", "processor time of one change to all",
            discoveryProcessor(t_.routers, 1) * (1.0 / 100), "s", "control_processor(routers)",
            inForceBudget(), Mechanism::listDistributors);
        add(kOrdinary, "discovery, no distributors", "memory",
            slope("scale.control_memory", t_.routers) * kMegabytesOfKib, "MB", "control_memory(routers)",
            noBudget(), Mechanism::listDistributors);
        add(kOrdinary, "discovery, with distributors", "watches", reasoned(t_.controlMachines), "connections",
            "control machines", descriptorsBudget(), Mechanism::listDistributors);
        add(kOrdinary, "control machine", "watches", reasoned(t_.routers / t_.controlMachines), "connections",
            "routers / control machines", descriptorsBudget(), Mechanism::listDistributors);
        add(kOrdinary, "control machine", "processor",
            discoveryProcessor(t_.routers / t_.controlMachines, rate), "% of a core",
            "control_processor(routers / control machines) x changes/s", controlBudget(),
            Mechanism::listDistributors);
        add(kOrdinary, "zone or region helper (distributor)", "watches", reasoned(t_.routersOfRegion()),
            "connections", "routers of a region", descriptorsBudget(), Mechanism::listDistributors);
        add(kOrdinary, "zone or region helper (distributor)", "list messages",
            reasoned(t_.routersOfRegion() * rate), "1/s", "routers of a region x changes/s", noBudget(),
            Mechanism::listDistributors);
        add(kOrdinary, "zone or region helper (distributor)", "processor",
            discoveryProcessor(t_.routersOfRegion(), rate), "% of a core",
            "control_processor(routers of a region) x changes/s", controlBudget(),
            Mechanism::listDistributors);
        add(kOrdinary, "control machine", "purge messages",
            reasoned(t_.routers * t_.purgesPerSecond / t_.controlMachines), "1/s",
            "routers x purges/s / control machines", noBudget(), Mechanism::purgeStream);
    }

    void ordinaryCache() {
        add(kOrdinary, "cache", "requests", reasoned(t_.requestsOfCache()), "1/s", "requests/s / caches",
            noBudget(), Mechanism::none);
        add(kOrdinary, "cache", "connections from routers", reasoned(t_.routers), "connections", "routers",
            descriptorsBudget(), Mechanism::scopedView);
        add(kOrdinary, "cache", "memory, connections",
            reasoned(t_.routers * t_.connectionBytes / kBytesOfMegabyte), "MB", "routers x connection_bytes",
            noBudget(), Mechanism::scopedView);
        add(kOrdinary, "all", "connections, full mesh", reasoned(t_.routers * t_.caches / 1e6), "million",
            "routers x caches", noBudget(), Mechanism::scopedView);
        add(kOrdinary, "cache", "purges", reasoned(t_.purgesPerSecond), "1/s", "purges/s", noBudget(),
            Mechanism::purgeStream);
        add(kOrdinary, "cache", "state: objects", reasoned(t_.objects / t_.caches / 1e6), "million",
            "objects / caches, one copy each", noBudget(), Mechanism::copies);
        add(kOrdinary, "origin", "requests if all missed", reasoned(t_.requestsPerSecond), "1/s",
            "requests/s", noBudget(), Mechanism::hotKeys);
    }

    void restartWave() {
        const double perSecond = t_.restartsPerDay / kSecondsOfDay;
        add(kRestart, "router", "time until its list is whole", secondsAtBound(listBytes()), "s",
            "(list(caches) + call) / router_bytes", inForceBudget(), Mechanism::scopedView);
        add(kRestart, "router", "processor in its first 5 s",
            (slope("module.parse", t_.caches) + slope("module.whole_list", t_.caches)) *
                (kPercentOfMillisASecond / t_.inForceSeconds),
            "% of a core", "(parse + whole_list) / in_force", processorBudget(), Mechanism::decisionModule);
        add(kRestart, "discovery, no distributors", "list bytes, spread over the day",
            listBytes() * (perSecond / kBytesOfMegabyte), "MB/s", "restarts/day / 86,400 x list", noBudget(),
            Mechanism::listDistributors);
        add(kRestart, "discovery, no distributors", "list bytes, a zone's routers at once",
            listBytes() * (t_.routersOfZone() / kBytesOfMegabyte), "MB", "routers of a zone x list",
            noBudget(), Mechanism::listDistributors);
        add(kRestart, "cache", "new connections within 5 s, a zone's routers at once",
            reasoned(t_.routersOfZone() / t_.inForceSeconds), "1/s", "routers of a zone / in_force",
            noBudget(), Mechanism::scopedView);
    }

    void release() {
        const double perSecond = t_.routers / (t_.releaseHours * kSecondsOfHour);
        add(kRelease, "router", "restarts", reasoned(perSecond), "1/s", "routers / release_hours", noBudget(),
            Mechanism::hotRestart);
        add(kRelease, "discovery, no distributors", "list bytes, if no list is handed over",
            listBytes() * (perSecond / kBytesOfMegabyte), "MB/s", "restarts/s x list", noBudget(),
            Mechanism::hotRestart);
        add(kRelease, "cache", "connections while old and new routers overlap",
            reasoned(t_.routers + t_.routersOfZone()), "connections", "routers + routers of a zone",
            descriptorsBudget(), Mechanism::scopedView);
    }

    void rackLost() {
        add(kRack, "router", "time of its entries' bytes", secondsAtBound(answerBytes(t_.rackCaches)), "s",
            "(list(rack_caches) + call) / router_bytes", inForceBudget(), Mechanism::listWatch);
        add(kRack, "discovery", "machines to notice as dead in a day", reasoned(t_.failuresPerDay),
            "machines", "machines/day", noBudget(), Mechanism::membership);
    }

    void zoneLost() {
        const double left = t_.cachesOfZone() * t_.requestsOfCache();
        const double ofRegion = t_.caches / t_.regions;
        add(kZone, "router", "time of its entries' bytes", secondsAtBound(answerBytes(t_.cachesOfZone())),
            "s", "(list(caches of a zone) + call) / router_bytes", inForceBudget(), Mechanism::listWatch);
        add(kZone, "cache", "requests, if its region takes all",
            reasoned(t_.requestsOfCache() + left / (ofRegion - t_.cachesOfZone())), "1/s",
            "a cache's + those of the zone / caches left in the region", noBudget(), Mechanism::copies);
        add(kZone, "cache", "requests, if all zones take them",
            reasoned(t_.requestsPerSecond / (t_.caches - t_.cachesOfZone())), "1/s",
            "requests/s / caches left", noBudget(), Mechanism::decisionModule);
        add(kZone, "cache", "objects to fetch anew", reasoned(t_.objects / t_.zones / 1e6), "million",
            "objects / zones, one copy each", noBudget(), Mechanism::copies);
    }

    void zoneBack() {
        add(kZoneBack, "origin", "requests while all its caches miss",
            reasoned(t_.cachesOfZone() * t_.requestsOfCache()), "1/s",
            "caches of a zone x requests of a cache", noBudget(), Mechanism::copies);
        add(kZoneBack, "router", "time of its entries' bytes", secondsAtBound(answerBytes(t_.cachesOfZone())),
            "s", "(list(caches of a zone) + call) / router_bytes", inForceBudget(), Mechanism::listWatch);
    }

    void partition() {
        const double seconds = t_.partitionHours * kSecondsOfHour;
        const double changes = t_.changesPerSecond() * seconds;
        const double purges = t_.purgesPerSecond * seconds;
        add(kPartition, "router", "changes missed", reasoned(changes), "changes", "changes/s x hours",
            noBudget(), Mechanism::listDistributors);
        add(kPartition, "router", "purges missed", reasoned(purges), "purges", "purges/s x hours", noBudget(),
            Mechanism::purgeStream);
        add(kPartitionEnd, "router", "time of the missed changes' bytes",
            secondsAtBound(answerBytes(std::min(changes, t_.caches))), "s",
            "(list(changes missed, at most caches) + call) / router_bytes", inForceBudget(),
            Mechanism::scopedView);
        add(kPartitionEnd, "router", "time of the missed purges' bytes",
            secondsAtBound(reasoned(purges * t_.purgeBytes)), "s", "purges x purge_bytes / router_bytes",
            purgeBudget(), Mechanism::purgeStream);
        add(kPartitionEnd, "discovery, no distributors", "list bytes, a region's routers at once",
            answerBytes(std::min(changes, t_.caches)) * (t_.routersOfRegion() / kBytesOfMegabyte), "MB",
            "routers of a region x the missed changes' bytes", noBudget(), Mechanism::listDistributors);
    }

    void controlLost() {
        addNoPath(kControlLost, "discovery, no distributors",
                  "time of a change while its one process is gone", inForceBudget(),
                  Mechanism::listDistributors);
        add(kControlLost, "discovery, no distributors", "watches that come back within 5 s",
            reasoned(t_.routers / t_.inForceSeconds), "1/s", "routers / in_force", noBudget(),
            Mechanism::listDistributors);
        add(kControlLost, "control machine, with distributors", "watches that come to each other one",
            reasoned(t_.routers / t_.controlMachines / (t_.controlMachines - 1)), "connections",
            "routers / control machines / the others", noBudget(), Mechanism::listDistributors);
    }

    void burst() {
        const double entries = t_.cachesOfZone();
        add(kBurst, "router", "time of its entries' bytes", secondsAtBound(answerBytes(entries)), "s",
            "(list(caches of a zone) + call) / router_bytes", inForceBudget(), Mechanism::listWatch);
        add(kBurst, "router", "processor, one entry an answer, over 5 s",
            slope("scale.router_processor", t_.caches) * (entries / t_.inForceSeconds), "% of a core",
            "router_processor(caches) x caches of a zone / in_force", processorBudget(),
            Mechanism::listWatch);
        add(kBurst, "discovery, no distributors", "list bytes",
            answerBytes(entries) * (t_.routers / kBytesOfMegabyte), "MB", "routers x the entries' bytes",
            noBudget(), Mechanism::listDistributors);
        add(kBurst, "discovery, no distributors", "processor, one entry an answer, over 5 s",
            discoveryProcessor(t_.routers, entries / t_.inForceSeconds), "% of a core",
            "control_processor(routers) x caches of a zone / in_force", controlBudget(),
            Mechanism::listDistributors);
        add(kBurst, "zone or region helper (distributor)", "processor, one entry an answer, over 5 s",
            discoveryProcessor(t_.routersOfRegion(), entries / t_.inForceSeconds), "% of a core",
            "control_processor(routers of a region) x caches of a zone / in_force", controlBudget(),
            Mechanism::listDistributors);
    }

    const Target& t_;
    const Slopes& slopes_;
    std::vector<Row> rows_;
};

}  // namespace

Estimate reasoned(double value) {
    Estimate e;
    e.value = value;
    return e;
}

Estimate estimate(const Slopes& slopes, std::string_view name, double count) {
    Estimate e;
    const auto it = slopes.find(name);
    if (it == slopes.end()) {
        e.missing = "not measured: " + std::string(name);
        return e;
    }
    const Slope& slope = it->second;
    e.runs = {slope.name};
    e.factor = count / slope.largest;
    const bool beyond = e.factor > 1 + kSameSize;
    if (beyond && !slope.used) {
        e.missing = "prediction failed: " + slope.name;
        return e;
    }
    const bool same = std::abs(e.factor - 1) <= kSameSize;
    e.value = same && slope.atLargest ? *slope.atLargest : slope.base + slope.value * count;
    return e;
}

Estimate operator*(Estimate estimate, double by) {
    if (estimate.value) *estimate.value *= by;
    return estimate;
}

Estimate operator+(Estimate left, const Estimate& right) {
    if (left.value && right.value) {
        *left.value += *right.value;
    } else {
        left.value.reset();
        if (left.missing.empty()) left.missing = right.missing;
    }
    left.factor = std::max(left.factor, right.factor);
    left.runs.insert(left.runs.end(), right.runs.begin(), right.runs.end());
    return left;
}

std::string_view nameOf(Mechanism mechanism) {
    switch (mechanism) {
        case Mechanism::none:
            return "none needed";
        case Mechanism::listWatch:
            return "list watch (built)";
        case Mechanism::decisionModule:
            return "decision module (built)";
        case Mechanism::hotRestart:
            return "hot restart (built)";
        case Mechanism::listDistributors:
            return "list distributors (built)";
        case Mechanism::scopedView:
            return "scoped view, bounded connections (missing: \"Connections and retries\")";
        case Mechanism::boundedChoice:
            return "choice that doesn't grow with the caches (missing: \"Connections and retries\")";
        case Mechanism::purgeStream:
            return "purge stream (missing: \"Invalidation\")";
        case Mechanism::membership:
            return "failure detection (missing: \"Who is there\")";
        case Mechanism::copies:
            return "copies in other zones (missing: \"Copies\")";
        case Mechanism::hotKeys:
            return "hot keys (missing: \"Hot keys\")";
    }
    return "";
}

bool isBuilt(Mechanism mechanism) {
    return mechanism == Mechanism::none || mechanism == Mechanism::listWatch ||
           mechanism == Mechanism::decisionModule || mechanism == Mechanism::hotRestart;
}

Verdict Row::verdict() const {
    if (noPath) return Verdict::noPath;
    if (!estimate.value) return Verdict::unknown;
    if (!budget) return Verdict::noBudget;
    return *estimate.value > *budget ? Verdict::over : Verdict::ok;
}

double Row::timesOver() const { return estimate.value && budget ? *estimate.value / *budget : 0; }

std::vector<Row> capacityTable(const Target& target, const Slopes& slopes) {
    return Builder(target, slopes).build();
}

std::vector<Absence> absences(const std::vector<Row>& rows) {
    std::vector<Absence> all;
    for (const Row& row : rows) {
        if (isBuilt(row.mechanism)) continue;
        auto it = std::find_if(all.begin(), all.end(), [&](auto& a) { return a.mechanism == row.mechanism; });
        if (it == all.end()) {
            all.push_back({});
            it = all.end() - 1;
            it->mechanism = row.mechanism;
        }
        const Verdict verdict = row.verdict();
        it->broken += verdict == Verdict::over || verdict == Verdict::noPath;
        it->noPath += verdict == Verdict::noPath;
        it->unknown += verdict == Verdict::unknown && row.budget;
        if (verdict != Verdict::over || row.timesOver() <= it->worstOver) continue;
        it->worstOver = row.timesOver();
        it->worst = row.situation + ", " + row.role + ": " + row.quantity;
    }
    std::stable_sort(all.begin(), all.end(), [](const Absence& a, const Absence& b) {
        if (a.broken != b.broken) return a.broken > b.broken;
        return a.worstOver > b.worstOver;
    });
    return all;
}

}  // namespace poppyscale::testbed::scale
