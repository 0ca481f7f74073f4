#include "testbed/scale/scenario.hpp"

#include <fstream>
#include <iterator>

#include "config/toml_table.hpp"
#include "testbed/emulator/scenario.hpp"

namespace poppyscale::testbed::scale {
namespace {

using config::TomlTable;

const config::NamedValues<EventKind>& eventNames() {
    static const config::NamedValues<EventKind> names{{"kill_distributor", EventKind::killDistributor},
                                                      {"stop_distributor", EventKind::stopDistributor},
                                                      {"restart_routers", EventKind::restartRouters},
                                                      {"cut_zone", EventKind::cutZone},
                                                      {"slow_discovery", EventKind::slowDiscovery},
                                                      {"lose_rack", EventKind::loseRack},
                                                      {"slow_reader", EventKind::slowReader}};
    return names;
}

void readEvent(TomlTable& table, ScaleScenario& scenario) {
    Event event;
    event.kind = table.word("kind", eventNames(), std::optional<EventKind>{});
    event.at = table.millis("at_ms", std::nullopt);
    const bool hasLength = event.kind != EventKind::restartRouters;
    if (hasLength) event.duration = table.millis("length_ms", std::nullopt);
    if (event.kind == EventKind::slowDiscovery) event.delay = table.millis("delay_ms", std::nullopt);
    if (event.kind == EventKind::restartRouters) event.fraction = table.fraction("part", 0.1);
    scenario.events.push_back(event);
}

void readBounds(TomlTable& table, Bounds& bounds) {
    bounds.maxPropagationTime = table.millis("in_force_ms", 0.0);
    bounds.maxPropagationTimeDuringOutage = table.millis("in_force_through_loss_ms", 0.0);
    bounds.maxRouterBytesPerSecond = table.number("router_bytes_per_second", 0.0);
    bounds.maxRouterProcessorShare = table.fraction("router_cpu_share", 0.0);
    bounds.maxRouterMemoryKib = table.number("router_memory_kib", 0.0);
}

}  // namespace

ScaleScenario readScaleScenario(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw ScenarioError(path + ": can't be read");
    const std::string content{std::istreambuf_iterator<char>(file), {}};
    config::ConfigProblems problems(path);
    ScaleScenario scenario;
    const auto parsed = config::parseToml(content, path, problems);
    if (parsed) {
        TomlTable table(*parsed, problems);
        table.one("bounds", false, [&](TomlTable& bounds) { readBounds(bounds, scenario.bounds); });
        table.each("events", false, [&](TomlTable& event) { readEvent(event, scenario); });
        table.finish();
    }
    if (!problems.none()) throw ScenarioError(problems.text());
    return scenario;
}

std::string_view nameOf(EventKind kind) {
    for (const auto& [name, value] : eventNames())
        if (value == kind) return name;
    return "";
}

}  // namespace poppyscale::testbed::scale
