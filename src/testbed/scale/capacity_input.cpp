#include "testbed/scale/capacity_input.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "config/toml_table.hpp"

namespace poppyscale::testbed::scale {
namespace {

constexpr double kSecondsPerDay = 86'400;
constexpr double kMinCount = 1;
constexpr double kMaxCount = 1e12;
constexpr double kMaxValue = 1e12;

double count(config::TomlTable& table, std::string_view key) {
    return table.number(key, std::nullopt, kMinCount, kMaxCount);
}

// Reads `{ value = 32, unit = "MB" }`. The unit is required, so that a bound given in another unit
// is an error instead of being off by a factor of a thousand.
double boundInUnit(config::TomlTable& table, std::string_view key, std::string_view unit) {
    double value = 0;
    table.one(key, true, [&](config::TomlTable& bound) {
        value = bound.number("value", std::nullopt, 1e-9, kMaxValue);
        const std::string found = bound.string("unit", std::nullopt);
        if (!found.empty() && found != unit)
            bound.problem("unit", fmt::format("is '{}' where '{}' is expected", found, unit));
    });
    return value;
}

Target readTargetTable(config::TomlTable& root) {
    Target t;
    t.name = root.string("name", std::nullopt);
    root.one("fleet", true, [&](config::TomlTable& fleet) {
        t.routers = count(fleet, "routers");
        t.sites = count(fleet, "sites");
        t.caches = count(fleet, "caches");
        t.regions = count(fleet, "regions");
        t.zones = count(fleet, "zones");
    });
    root.one("load", true, [&](config::TomlTable& load) {
        t.requestsPerSecond = count(load, "requests_per_second");
        t.terabitsPerSecond = load.number("terabits_per_second", std::nullopt, 1e-6, 1e6);
        t.objects = count(load, "objects");
        t.purgesPerSecond = load.number("purges_per_second", std::nullopt);
        t.changesPerDay = load.number("changes_per_day", std::nullopt);
    });
    root.one("failures", true, [&](config::TomlTable& failures) {
        t.failuresPerDay = failures.number("machines_per_day", std::nullopt);
        t.restartsPerDay = failures.number("restarts_per_day", std::nullopt);
        t.partitionHours = failures.number("partition_hours", std::nullopt, 0, 1000);
    });
    root.one("bounds", true, [&](config::TomlTable& bounds) {
        t.maxPurgeSeconds = boundInUnit(bounds, "purge", "s");
        t.maxPropagationSeconds = boundInUnit(bounds, "in_force", "s");
        t.maxRouterProcessorPercent = boundInUnit(bounds, "router_processor", "% of a core");
        t.maxRouterMegabytes = boundInUnit(bounds, "router_memory", "MB");
        t.maxRouterKilobytesPerSecond = boundInUnit(bounds, "router_bytes", "KB/s");
        t.controlMachines = boundInUnit(bounds, "control", "machines");
    });
    root.one("assumed", true, [&](config::TomlTable& assumed) {
        t.maxControlProcessorPercent = boundInUnit(assumed, "control_processor", "% of a core");
        t.maxDescriptors = count(assumed, "descriptors");
        t.connectionBytes = count(assumed, "connection_bytes");
        t.purgeBytes = count(assumed, "purge_bytes");
        t.callBytes = count(assumed, "call_bytes");
        t.releaseHours = assumed.number("release_hours", std::nullopt, 0.01, 1000);
        t.rackCaches = count(assumed, "rack_caches");
    });
    return t;
}

const KnownSlope* knownSlope(std::string_view name) {
    const auto& all = knownSlopes();
    const auto it = std::find_if(all.begin(), all.end(), [&](const KnownSlope& k) { return k.name == name; });
    return it == all.end() ? nullptr : &*it;
}

std::string nonEmpty(config::TomlTable& table, std::string_view key) {
    const std::string value = table.string(key, std::nullopt);
    if (table.has(key) && value.empty()) table.problem(key, "is empty");
    return value;
}

void requireEqual(config::TomlTable& table, std::string_view key, std::string_view found,
                  std::string_view expected) {
    if (found.empty() || found == expected) return;
    table.problem(key, fmt::format("is '{}' where '{}' is expected", found, expected));
}

Slope readSlope(config::TomlTable& table) {
    Slope s;
    s.name = nonEmpty(table, "name");
    s.unit = nonEmpty(table, "unit");
    s.variedQuantity = nonEmpty(table, "of");
    s.base = table.number("base", std::nullopt, -kMaxValue, kMaxValue);
    s.valuePerCount = table.number("value", std::nullopt, -kMaxValue, kMaxValue);
    s.spread = table.number("spread", std::nullopt, 0, 100);
    s.largestSize = count(table, "largest");
    s.run = nonEmpty(table, "run");
    if (table.has("at_largest"))
        s.atLargest = table.number("at_largest", std::nullopt, -kMaxValue, kMaxValue);
    s.canExtrapolate = table.boolean("used", true);
    const KnownSlope* known = knownSlope(s.name);
    if (!known && !s.name.empty()) table.problem("name", "'" + s.name + "' is not a known slope");
    if (!known) return s;
    requireEqual(table, "unit", s.unit, known->unit);
    requireEqual(table, "of", s.variedQuantity, known->variedQuantity);
    return s;
}

template <class Read>
auto readFile(std::string_view toml, const std::string& file, Read read) {
    config::ConfigProblems problems(file);
    const auto parsed = config::parseToml(toml, file, problems);
    decltype(read(std::declval<config::TomlTable&>())) result;
    if (parsed) {
        config::TomlTable root(*parsed, problems);
        result = read(root);
        root.finish();
    }
    if (!problems.none()) throw CapacityInputError(problems.text());
    return result;
}

}  // namespace

double Target::changesPerSecond() const { return changesPerDay / kSecondsPerDay; }

const std::vector<KnownSlope>& knownSlopes() {
    static const std::vector<KnownSlope> all = {
        {"module.request", "us", "caches", "arrival, cache selection and end of one request"},
        {"module.change", "us", "caches",
         "one changed entry, and the extra work it causes in the next request"},
        {"module.whole_list", "ms", "caches", "a complete list and the first request, in an empty module"},
        {"module.parse", "ms", "caches", "a complete list parsed from JSON"},
        {"module.list", "bytes", "caches", "JSON of that many entries of discovery's list"},
        {"module.list_memory", "KiB", "caches", "heap of the module after applying a list"},
        {"module.used_memory", "KiB", "caches", "heap of the module after the run's requests"},
        {"scale.control_processor", "% of a core", "routers", "discovery process, at one change per second"},
        {"scale.control_memory", "KiB", "routers", "discovery process"},
        {"scale.router_bytes", "bytes/s", "changes/s", "control bytes of one router"},
        {"scale.router_processor", "% of a core", "caches",
         "one router without clients, at one change per second"},
        {"scale.router_memory", "KiB", "caches", "one router without clients"},
    };
    return all;
}

Target readTarget(std::string_view toml, const std::string& file) {
    return readFile(toml, file, [](config::TomlTable& root) { return readTargetTable(root); });
}

Slopes readSlopes(std::string_view toml, const std::string& file) {
    return readFile(toml, file, [](config::TomlTable& root) {
        Slopes slopes;
        root.each("slope", true, [&](config::TomlTable& table) {
            const Slope slope = readSlope(table);
            const bool added = slopes.emplace(slope.name, slope).second;
            if (!added && !slope.name.empty()) table.problem("name", "'" + slope.name + "' is defined twice");
        });
        return slopes;
    });
}

}  // namespace poppyscale::testbed::scale
