#include "testbed/scale/capacity.hpp"

#include <algorithm>
#include <cmath>

namespace poppyscale::testbed::scale {
namespace {

constexpr double kSecondsPerHour = 3600;
constexpr double kSecondsPerDay = 86'400;
constexpr double kBytesPerKilobyte = 1000;
constexpr double kBytesPerMegabyte = 1e6;
constexpr double kBytesPerKib = 1024;
constexpr double kCorePercentPerMicrosecondPerSecond = 100 / 1e6;
constexpr double kCorePercentPerMillisecondPerSecond = 100 / 1e3;
constexpr double kMegabytesPerKib = kBytesPerKib / kBytesPerMegabyte;
// Descriptors of a router beside its connections to caches: listener, discovery ...
constexpr double kOtherDescriptors = 16;
// A count within 1% of the largest measured size is treated as that size.
constexpr double kSameSizeTolerance = 0.01;

constexpr const char* kOrdinarySecond = "normal operation";
constexpr const char* kRestartWave = "restart wave";
constexpr const char* kRelease = "release";
constexpr const char* kRackLost = "rack lost";
constexpr const char* kZoneLost = "zone lost";
constexpr const char* kZoneBack = "zone returns cold";
constexpr const char* kPartition = "partition";
constexpr const char* kPartitionEnd = "end of partition";
constexpr const char* kControlLost = "control machine lost";
constexpr const char* kBurst = "burst of changes";

// Builds the rows of the table, situation by situation.
class TableBuilder {
  public:
    TableBuilder(const Target& target, const Slopes& slopes) : target_(target), slopes_(slopes) {}

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
    // A row for something that the program has no way to do.
    void addNoPath(const char* situation, const char* role, const char* quantity, const Budget& budget,
                   Mechanism mechanism) {
        Estimate noEstimate;
        noEstimate.missingReason = "no path";
        add(situation, role, quantity, noEstimate, "s", "no message exists for it", budget, mechanism)
            .hasNoPath = true;
    }

    Estimate slope(std::string_view name, double count) const { return estimate(slopes_, name, count); }

    Budget noBudget() const { return {}; }
    Budget processorBudget() const { return {target_.maxRouterProcessorPercent, "per router, for control"}; }
    Budget memoryBudget() const { return {target_.maxRouterMegabytes, "per router, for control"}; }
    Budget bytesBudget() const { return {target_.maxRouterKilobytesPerSecond, "per router, for control"}; }
    Budget propagationBudget() const { return {target_.maxPropagationSeconds, "change in force everywhere"}; }
    Budget purgeBudget() const { return {target_.maxPurgeSeconds, "purge done everywhere"}; }
    Budget controlBudget() const {
        return {target_.maxControlProcessorPercent, "per control process, assumed"};
    }
    Budget descriptorsBudget() const { return {target_.maxDescriptors, "per process, assumed"}; }

    // Bytes of one poll whose response has `entries` changed entries: the request, and the JSON.
    Estimate answerBytes(double entries) const {
        return slope("module.list", entries) + withoutSlope(target_.callBytes);
    }
    Estimate listBytes() const {
        return slope("module.list", target_.caches) + withoutSlope(target_.callBytes);
    }
    // The time to transfer bytes at the router's bandwidth budget.
    Estimate secondsAtByteBudget(const Estimate& bytes) const {
        return bytes * (1 / (target_.maxRouterKilobytesPerSecond * kBytesPerKilobyte));
    }
    Estimate listChangeProcessor() const {
        return slope("module.change", target_.caches) *
               (target_.changesPerSecond() * kCorePercentPerMicrosecondPerSecond);
    }
    // The slope was measured at one change per second.
    Estimate discoveryProcessor(double watches, double changesPerSecond) const {
        return slope("scale.control_processor", watches) * changesPerSecond;
    }

    void ordinaryRouter() {
        const double rate = target_.changesPerSecond();
        add(kOrdinarySecond, "router", "state: list entries", withoutSlope(target_.caches), "entries",
            "caches", noBudget(), Mechanism::listWatch);
        add(kOrdinarySecond, "router", "list messages", withoutSlope(rate), "1/s", "changes/day / 86,400",
            noBudget(), Mechanism::listWatch);
        add(kOrdinarySecond, "router", "list bytes", answerBytes(1) * (rate / kBytesPerKilobyte), "KB/s",
            "(list(1) + call) x changes/s", bytesBudget(), Mechanism::listWatch);
        add(kOrdinarySecond, "router", "processor, list changes", listChangeProcessor(), "% of a core",
            "change(caches) x changes/s", processorBudget(), Mechanism::decisionModule);
        add(kOrdinarySecond, "router", "processor, choice of a cache",
            slope("module.request", target_.caches) *
                (target_.requestsPerRouter() * kCorePercentPerMicrosecondPerSecond),
            "% of a core", "request(caches) x requests/s of a router", processorBudget(),
            Mechanism::boundedChoice);
        add(kOrdinarySecond, "router", "memory, list",
            slope("module.list_memory", target_.caches) * kMegabytesPerKib, "MB", "list_memory(caches)",
            memoryBudget(), Mechanism::decisionModule);
        add(kOrdinarySecond, "router", "list bytes, on sockets",
            slope("scale.router_bytes", rate) * (1 / kBytesPerKilobyte), "KB/s", "router_bytes(changes/s)",
            bytesBudget(), Mechanism::listWatch);
        add(kOrdinarySecond, "router", "processor, list, on sockets",
            slope("scale.router_processor", target_.caches) * rate, "% of a core",
            "router_processor(caches) x changes/s", processorBudget(), Mechanism::listWatch);
        add(kOrdinarySecond, "router", "memory, list, on sockets",
            slope("scale.router_memory", target_.caches) * kMegabytesPerKib, "MB", "router_memory(caches)",
            memoryBudget(), Mechanism::listWatch);
        add(kOrdinarySecond, "router", "memory, list and hints",
            slope("module.used_memory", target_.caches) * kMegabytesPerKib, "MB", "used_memory(caches)",
            memoryBudget(), Mechanism::decisionModule);
        add(kOrdinarySecond, "router", "memory, connections to caches",
            withoutSlope(target_.caches * target_.connectionBytes / kBytesPerMegabyte), "MB",
            "caches x connection_bytes", memoryBudget(), Mechanism::scopedView);
        add(kOrdinarySecond, "router", "descriptors", withoutSlope(target_.caches + kOtherDescriptors),
            "descriptors", "caches + 16", descriptorsBudget(), Mechanism::scopedView);
        add(kOrdinarySecond, "router", "purge bytes, each purge sent once",
            withoutSlope(target_.purgesPerSecond * target_.purgeBytes / kBytesPerKilobyte), "KB/s",
            "purges/s x purge_bytes", bytesBudget(), Mechanism::purgeStream);
        addNoPath(kOrdinarySecond, "router", "time until a purge is done everywhere", purgeBudget(),
                  Mechanism::purgeStream);
    }

    void ordinarySite() {
        const double routers = target_.routers / target_.sites;
        add(kOrdinarySecond, "site", "list bytes",
            answerBytes(1) * (routers * target_.changesPerSecond() / kBytesPerKilobyte), "KB/s",
            "routers of a site x list bytes of a router",
            {routers * target_.maxRouterKilobytesPerSecond, "sum of its routers' budgets"},
            Mechanism::listWatch);
        add(kOrdinarySecond, "site", "connections to caches", withoutSlope(routers * target_.caches),
            "connections", "routers of a site x caches", noBudget(), Mechanism::scopedView);
    }

    void ordinaryControl() {
        const double rate = target_.changesPerSecond();
        add(kOrdinarySecond, "discovery, no distributors", "watches", withoutSlope(target_.routers),
            "connections", "routers", descriptorsBudget(), Mechanism::listDistributors);
        add(kOrdinarySecond, "discovery, no distributors", "list messages",
            withoutSlope(target_.routers * rate), "1/s", "routers x changes/s", noBudget(),
            Mechanism::listDistributors);
        add(kOrdinarySecond, "discovery, no distributors", "list bytes",
            answerBytes(1) * (target_.routers * rate / kBytesPerMegabyte), "MB/s",
            "routers x list bytes of a router", noBudget(), Mechanism::listDistributors);
        add(kOrdinarySecond, "discovery, no distributors", "processor",
            discoveryProcessor(target_.routers, rate), "% of a core",
            "control_processor(routers) x changes/s", controlBudget(), Mechanism::listDistributors);
        // The share of a core used at one change per second equals the processor seconds of one
        // change.
        add(kOrdinarySecond, "discovery, no distributors", "processor time to send one change to all routers",
            discoveryProcessor(target_.routers, 1) * (1.0 / 100), "s", "control_processor(routers)",
            propagationBudget(), Mechanism::listDistributors);
        add(kOrdinarySecond, "discovery, no distributors", "memory",
            slope("scale.control_memory", target_.routers) * kMegabytesPerKib, "MB",
            "control_memory(routers)", noBudget(), Mechanism::listDistributors);
        add(kOrdinarySecond, "discovery, with distributors", "watches", withoutSlope(target_.controlMachines),
            "connections", "control machines", descriptorsBudget(), Mechanism::listDistributors);
        add(kOrdinarySecond, "control machine", "watches",
            withoutSlope(target_.routers / target_.controlMachines), "connections",
            "routers / control machines", descriptorsBudget(), Mechanism::listDistributors);
        add(kOrdinarySecond, "control machine", "processor",
            discoveryProcessor(target_.routers / target_.controlMachines, rate), "% of a core",
            "control_processor(routers / control machines) x changes/s", controlBudget(),
            Mechanism::listDistributors);
        add(kOrdinarySecond, "distributor of a zone or region", "watches",
            withoutSlope(target_.routersPerRegion()), "connections", "routers of a region",
            descriptorsBudget(), Mechanism::listDistributors);
        add(kOrdinarySecond, "distributor of a zone or region", "list messages",
            withoutSlope(target_.routersPerRegion() * rate), "1/s", "routers of a region x changes/s",
            noBudget(), Mechanism::listDistributors);
        add(kOrdinarySecond, "distributor of a zone or region", "processor",
            discoveryProcessor(target_.routersPerRegion(), rate), "% of a core",
            "control_processor(routers of a region) x changes/s", controlBudget(),
            Mechanism::listDistributors);
        add(kOrdinarySecond, "control machine", "purge messages",
            withoutSlope(target_.routers * target_.purgesPerSecond / target_.controlMachines), "1/s",
            "routers x purges/s / control machines", noBudget(), Mechanism::purgeStream);
    }

    void ordinaryCache() {
        add(kOrdinarySecond, "cache", "requests", withoutSlope(target_.requestsPerCache()), "1/s",
            "requests/s / caches", noBudget(), Mechanism::none);
        add(kOrdinarySecond, "cache", "connections from routers", withoutSlope(target_.routers),
            "connections", "routers", descriptorsBudget(), Mechanism::scopedView);
        add(kOrdinarySecond, "cache", "memory, connections",
            withoutSlope(target_.routers * target_.connectionBytes / kBytesPerMegabyte), "MB",
            "routers x connection_bytes", noBudget(), Mechanism::scopedView);
        add(kOrdinarySecond, "all", "connections, full mesh",
            withoutSlope(target_.routers * target_.caches / 1e6), "million", "routers x caches", noBudget(),
            Mechanism::scopedView);
        add(kOrdinarySecond, "cache", "purges", withoutSlope(target_.purgesPerSecond), "1/s", "purges/s",
            noBudget(), Mechanism::purgeStream);
        add(kOrdinarySecond, "cache", "state: objects", withoutSlope(target_.objects / target_.caches / 1e6),
            "million", "objects / caches, one copy each", noBudget(), Mechanism::copies);
        add(kOrdinarySecond, "origin", "requests if all caches miss", withoutSlope(target_.requestsPerSecond),
            "1/s", "requests/s", noBudget(), Mechanism::hotKeys);
    }

    void restartWave() {
        const double perSecond = target_.restartsPerDay / kSecondsPerDay;
        add(kRestartWave, "router", "time until its list is complete", secondsAtByteBudget(listBytes()), "s",
            "(list(caches) + call) / router_bytes", propagationBudget(), Mechanism::scopedView);
        add(kRestartWave, "router", "processor in its first 5 s",
            (slope("module.parse", target_.caches) + slope("module.whole_list", target_.caches)) *
                (kCorePercentPerMillisecondPerSecond / target_.maxPropagationSeconds),
            "% of a core", "(parse + whole_list) / in_force", processorBudget(), Mechanism::decisionModule);
        add(kRestartWave, "discovery, no distributors", "list bytes, spread over the day",
            listBytes() * (perSecond / kBytesPerMegabyte), "MB/s", "restarts/day / 86,400 x list", noBudget(),
            Mechanism::listDistributors);
        add(kRestartWave, "discovery, no distributors", "list bytes, a zone's routers at once",
            listBytes() * (target_.routersPerZone() / kBytesPerMegabyte), "MB", "routers of a zone x list",
            noBudget(), Mechanism::listDistributors);
        add(kRestartWave, "cache", "new connections within 5 s, a zone's routers at once",
            withoutSlope(target_.routersPerZone() / target_.maxPropagationSeconds), "1/s",
            "routers of a zone / in_force", noBudget(), Mechanism::scopedView);
    }

    void release() {
        const double perSecond = target_.routers / (target_.releaseHours * kSecondsPerHour);
        add(kRelease, "router", "restarts", withoutSlope(perSecond), "1/s", "routers / release_hours",
            noBudget(), Mechanism::hotRestart);
        add(kRelease, "discovery, no distributors", "list bytes, if no list is handed over",
            listBytes() * (perSecond / kBytesPerMegabyte), "MB/s", "restarts/s x list", noBudget(),
            Mechanism::hotRestart);
        add(kRelease, "cache", "connections while old and new routers overlap",
            withoutSlope(target_.routers + target_.routersPerZone()), "connections",
            "routers + routers of a zone", descriptorsBudget(), Mechanism::scopedView);
    }

    void rackLost() {
        add(kRackLost, "router", "time to transfer the changed entries",
            secondsAtByteBudget(answerBytes(target_.rackCaches)), "s",
            "(list(rack_caches) + call) / router_bytes", propagationBudget(), Mechanism::listWatch);
        add(kRackLost, "discovery", "failed machines to detect in a day",
            withoutSlope(target_.failuresPerDay), "machines", "machines/day", noBudget(),
            Mechanism::membership);
    }

    void zoneLost() {
        const double lostRequestsPerSecond = target_.cachesPerZone() * target_.requestsPerCache();
        const double cachesInRegion = target_.caches / target_.regions;
        add(kZoneLost, "router", "time to transfer the changed entries",
            secondsAtByteBudget(answerBytes(target_.cachesPerZone())), "s",
            "(list(caches of a zone) + call) / router_bytes", propagationBudget(), Mechanism::listWatch);
        add(kZoneLost, "cache", "requests, if its region takes over the load",
            withoutSlope(target_.requestsPerCache() +
                         lostRequestsPerSecond / (cachesInRegion - target_.cachesPerZone())),
            "1/s", "requests of a cache + requests of the zone / remaining caches of the region", noBudget(),
            Mechanism::copies);
        add(kZoneLost, "cache", "requests, if all zones take over the load",
            withoutSlope(target_.requestsPerSecond / (target_.caches - target_.cachesPerZone())), "1/s",
            "requests/s / remaining caches", noBudget(), Mechanism::decisionModule);
        add(kZoneLost, "cache", "objects to fetch again", withoutSlope(target_.objects / target_.zones / 1e6),
            "million", "objects / zones, one copy each", noBudget(), Mechanism::copies);
    }

    void zoneBack() {
        add(kZoneBack, "origin", "requests while all its caches miss",
            withoutSlope(target_.cachesPerZone() * target_.requestsPerCache()), "1/s",
            "caches of a zone x requests of a cache", noBudget(), Mechanism::copies);
        add(kZoneBack, "router", "time to transfer the changed entries",
            secondsAtByteBudget(answerBytes(target_.cachesPerZone())), "s",
            "(list(caches of a zone) + call) / router_bytes", propagationBudget(), Mechanism::listWatch);
    }

    void partition() {
        const double seconds = target_.partitionHours * kSecondsPerHour;
        const double missedChanges = target_.changesPerSecond() * seconds;
        const double missedPurges = target_.purgesPerSecond * seconds;
        add(kPartition, "router", "changes missed", withoutSlope(missedChanges), "changes",
            "changes/s x hours", noBudget(), Mechanism::listDistributors);
        add(kPartition, "router", "purges missed", withoutSlope(missedPurges), "purges", "purges/s x hours",
            noBudget(), Mechanism::purgeStream);
        add(kPartitionEnd, "router", "time to transfer the missed changes",
            secondsAtByteBudget(answerBytes(std::min(missedChanges, target_.caches))), "s",
            "(list(changes missed, at most caches) + call) / router_bytes", propagationBudget(),
            Mechanism::scopedView);
        add(kPartitionEnd, "router", "time to transfer the missed purges",
            secondsAtByteBudget(withoutSlope(missedPurges * target_.purgeBytes)), "s",
            "purges x purge_bytes / router_bytes", purgeBudget(), Mechanism::purgeStream);
        add(kPartitionEnd, "discovery, no distributors", "list bytes, a region's routers at once",
            answerBytes(std::min(missedChanges, target_.caches)) *
                (target_.routersPerRegion() / kBytesPerMegabyte),
            "MB", "routers of a region x bytes of the missed changes", noBudget(),
            Mechanism::listDistributors);
    }

    void controlLost() {
        addNoPath(kControlLost, "discovery, no distributors",
                  "time until a change is in force while the only process is down", propagationBudget(),
                  Mechanism::listDistributors);
        add(kControlLost, "discovery, no distributors", "watches that reconnect within 5 s",
            withoutSlope(target_.routers / target_.maxPropagationSeconds), "1/s", "routers / in_force",
            noBudget(), Mechanism::listDistributors);
        add(kControlLost, "control machine, with distributors", "watches that move to each remaining machine",
            withoutSlope(target_.routers / target_.controlMachines / (target_.controlMachines - 1)),
            "connections", "routers / control machines / remaining control machines", noBudget(),
            Mechanism::listDistributors);
    }

    void burst() {
        const double entries = target_.cachesPerZone();
        add(kBurst, "router", "time to transfer the changed entries",
            secondsAtByteBudget(answerBytes(entries)), "s", "(list(caches of a zone) + call) / router_bytes",
            propagationBudget(), Mechanism::listWatch);
        add(kBurst, "router", "processor, one entry per response, over 5 s",
            slope("scale.router_processor", target_.caches) * (entries / target_.maxPropagationSeconds),
            "% of a core", "router_processor(caches) x caches of a zone / in_force", processorBudget(),
            Mechanism::listWatch);
        add(kBurst, "discovery, no distributors", "list bytes",
            answerBytes(entries) * (target_.routers / kBytesPerMegabyte), "MB",
            "routers x bytes of the changed entries", noBudget(), Mechanism::listDistributors);
        add(kBurst, "discovery, no distributors", "processor, one entry per response, over 5 s",
            discoveryProcessor(target_.routers, entries / target_.maxPropagationSeconds), "% of a core",
            "control_processor(routers) x caches of a zone / in_force", controlBudget(),
            Mechanism::listDistributors);
        add(kBurst, "distributor of a zone or region", "processor, one entry per response, over 5 s",
            discoveryProcessor(target_.routersPerRegion(), entries / target_.maxPropagationSeconds),
            "% of a core", "control_processor(routers of a region) x caches of a zone / in_force",
            controlBudget(), Mechanism::listDistributors);
    }

    const Target& target_;
    const Slopes& slopes_;
    std::vector<Row> rows_;
};

}  // namespace

Estimate withoutSlope(double value) {
    Estimate e;
    e.value = value;
    return e;
}

Estimate estimate(const Slopes& slopes, std::string_view name, double count) {
    Estimate e;
    const auto it = slopes.find(name);
    if (it == slopes.end()) {
        e.missingReason = "not measured: " + std::string(name);
        return e;
    }
    const Slope& slope = it->second;
    e.slopeNames = {slope.name};
    e.sizeRatio = count / slope.largestSize;
    const bool isExtrapolated = e.sizeRatio > 1 + kSameSizeTolerance;
    if (isExtrapolated && !slope.canExtrapolate) {
        e.missingReason = "prediction failed: " + slope.name;
        return e;
    }
    const bool isLargestSize = std::abs(e.sizeRatio - 1) <= kSameSizeTolerance;
    e.value = isLargestSize && slope.atLargest ? *slope.atLargest : slope.base + slope.valuePerCount * count;
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
        if (left.missingReason.empty()) left.missingReason = right.missingReason;
    }
    left.sizeRatio = std::max(left.sizeRatio, right.sizeRatio);
    left.slopeNames.insert(left.slopeNames.end(), right.slopeNames.begin(), right.slopeNames.end());
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
            return "cache selection whose cost doesn't grow with the caches (missing: \"Connections and "
                   "retries\")";
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
    if (hasNoPath) return Verdict::noPath;
    if (!estimate.value) return Verdict::unknown;
    if (!budget) return Verdict::noBudget;
    return *estimate.value > *budget ? Verdict::over : Verdict::ok;
}

double Row::budgetRatio() const { return estimate.value && budget ? *estimate.value / *budget : 0; }

std::vector<Row> capacityTable(const Target& target, const Slopes& slopes) {
    return TableBuilder(target, slopes).build();
}

std::vector<MissingMechanism> missingMechanisms(const std::vector<Row>& rows) {
    std::vector<MissingMechanism> all;
    for (const Row& row : rows) {
        if (isBuilt(row.mechanism)) continue;
        auto it = std::find_if(all.begin(), all.end(), [&](auto& a) { return a.mechanism == row.mechanism; });
        if (it == all.end()) {
            all.push_back({});
            it = all.end() - 1;
            it->mechanism = row.mechanism;
        }
        const Verdict verdict = row.verdict();
        it->exceededBudgets += verdict == Verdict::over || verdict == Verdict::noPath;
        it->noPathCount += verdict == Verdict::noPath;
        it->unknownCount += verdict == Verdict::unknown && row.budget;
        if (verdict != Verdict::over || row.budgetRatio() <= it->worstRatio) continue;
        it->worstRatio = row.budgetRatio();
        it->worstRow = row.situation + ", " + row.role + ": " + row.quantity;
    }
    std::stable_sort(all.begin(), all.end(), [](const MissingMechanism& a, const MissingMechanism& b) {
        if (a.exceededBudgets != b.exceededBudgets) return a.exceededBudgets > b.exceededBudgets;
        return a.worstRatio > b.worstRatio;
    });
    return all;
}

}  // namespace poppyscale::testbed::scale
