#include "rollout/messages_codec.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <stdexcept>

namespace poppyscale::rollout {
namespace {

using nlohmann::json;

// Names in reports, indexed by InstanceState.
constexpr std::array<std::string_view, 5> kStateNames = {"before", "changing", "changed", "back", "stuck"};

// Latency buckets are numbered from -1: bucket -1 holds responses faster than those of all other
// buckets.
constexpr int kBucketOffset = 1;
constexpr int kMaxBuckets = 512;

void checkFormat(const json& input) {
    const int format = input.value("format", 0);
    if (format != kFormat)
        throw std::runtime_error(fmt::format("unsupported format {}, expected {}", format, kFormat));
}

// Throws std::runtime_error.
InstanceState readState(const std::string& name) {
    const auto found = std::find(kStateNames.begin(), kStateNames.end(), name);
    if (found == kStateNames.end())
        throw std::runtime_error(fmt::format("unknown instance state '{}'", name));
    return static_cast<InstanceState>(std::distance(kStateNames.begin(), found));
}

InstanceReport readInstanceReport(const json& input) {
    InstanceReport report;
    report.name = input.at("name").get<std::string>();
    report.zone = input.at("zone").get<std::string>();
    report.state = readState(input.at("stand").get<std::string>());
    report.ready = input.at("ready").get<bool>();
    report.timeInState = input.at("since_ms").get<std::int64_t>() * kMillisecond;
    report.unexpectedExits = input.at("ends").get<int>();
    report.problem = input.value("problem", "");
    if (input.contains("figures")) report.metrics = readInstanceMetrics(input.at("figures"));
    return report;
}

std::uint64_t readCount(const json& input, const char* key) { return input.at(key).get<std::uint64_t>(); }

// Returns nothing if the latency buckets are out of range.
std::optional<RequestClassMetrics> readRequestClass(const json& input) {
    RequestClassMetrics metrics;
    metrics.accepted = readCount(input, "taken");
    metrics.withinObjective = readCount(input, "in_goal");
    metrics.late = readCount(input, "late");
    for (const auto& [reason, count] : input.at("declined").items())
        metrics.rejected += count.get<std::uint64_t>();
    metrics.failed = readCount(input, "terminated");
    metrics.abandoned = readCount(input, "left");
    const int firstBucket = input.at("times_from").get<int>() + kBucketOffset;
    const auto& buckets = input.at("times");
    if (firstBucket < 0 || firstBucket + static_cast<int>(buckets.size()) > kMaxBuckets) return std::nullopt;
    metrics.latencies.assign(static_cast<std::size_t>(firstBucket), 0);
    for (const auto& count : buckets) metrics.latencies.push_back(count.get<std::uint64_t>());
    return metrics;
}

void readAttempts(const json& input, InstanceMetrics& metrics) {
    metrics.attempts = readCount(input, "relays");
    metrics.originAttempts = readCount(input, "origin_relays");
    for (const char* key : {"relays_errored", "relays_timed_out", "relays_cut", "relays_turned_away"})
        metrics.unsuccessfulAttempts += readCount(input, key);
    metrics.unsuccessfulAttempts += readCount(input, "relays_found_dead");
    metrics.connectionsOpened = readCount(input, "links_opened");
    metrics.endpointPolls = input.value("list_calls", std::uint64_t{0});
    metrics.attemptMs = input.value("relay_ms", 0.0);
}

void readLevels(const json& input, InstanceMetrics& metrics) {
    metrics.memoryKb = input.at("memory_kb").get<double>();
    metrics.descriptors = input.at("descriptors").get<double>();
    metrics.connections = input.at("links").get<double>();
    metrics.openRequests = input.at("open").get<double>();
    metrics.cachesReady = input.at("caches_ready").get<int>();
    metrics.cachesListed = input.at("caches_listed").get<int>();
    metrics.longestIteration = input.at("longest_turn_us").get<std::int64_t>() * 1000;
}

bool isPlausible(const InstanceMetrics& metrics) {
    return metrics.memoryKb >= 0 && metrics.descriptors >= 0 && metrics.connections >= 0 && metrics.up >= 0 &&
           metrics.cachesReady >= 0;
}

}  // namespace

std::string_view nameOf(InstanceState state) { return kStateNames.at(static_cast<std::size_t>(state)); }

json toJson(const Order& order) {
    return {{"do", "roll"},
            {"format", kFormat},
            {"number", order.number},
            {"step", order.step},
            {"digest", order.digest},
            {"program", order.program},
            {"program_digest", order.programDigest},
            {"form", order.templateText},
            {"changed", order.changed},
            {"held", order.held},
            {"keep_ms", order.holdDuration / kMillisecond},
            {"batch", order.batch},
            {"over", order.isFinished}};
}

Order readOrder(const json& input) try {
    checkFormat(input);
    Order order;
    order.number = input.at("number").get<std::uint64_t>();
    order.step = input.at("step").get<std::uint64_t>();
    order.digest = input.at("digest").get<std::string>();
    order.program = input.at("program").get<std::string>();
    order.programDigest = input.value("program_digest", "");
    order.templateText = input.at("form").get<std::string>();
    order.changed = input.at("changed").get<std::set<int>>();
    order.held = input.at("held").get<std::set<int>>();
    order.holdDuration = input.at("keep_ms").get<std::int64_t>() * kMillisecond;
    order.batch = input.at("batch").get<int>();
    order.isFinished = input.at("over").get<bool>();
    const bool isInRange = order.number > 0 && order.holdDuration >= 0 && order.batch >= 1;
    if (!isInRange)
        throw std::runtime_error(fmt::format("order out of range: number {}, keep_ms {}, batch {}",
                                             order.number, order.holdDuration / kMillisecond, order.batch));
    return order;
} catch (const json::exception& problem) {
    throw std::runtime_error(fmt::format("malformed order: {}", problem.what()));
}

json toJson(const Report& report, const std::vector<json>& metrics) {
    json instances = json::array();
    for (std::size_t i = 0; i < report.instances.size(); ++i) {
        const InstanceReport& instance = report.instances[i];
        instances.push_back({{"name", instance.name},
                             {"zone", instance.zone},
                             {"stand", nameOf(instance.state)},
                             {"ready", instance.ready},
                             {"since_ms", instance.timeInState / kMillisecond},
                             {"ends", instance.unexpectedExits},
                             {"problem", instance.problem},
                             {"figures", i < metrics.size() ? metrics[i] : json()}});
    }
    return {{"format", kFormat},
            {"number", report.number},
            {"digest", report.digest},
            {"over", report.isFinished},
            {"went_back", report.hasRolledBack},
            {"problem", report.problem},
            {"instances", std::move(instances)}};
}

Report readReport(const json& input) try {
    checkFormat(input);
    Report report;
    report.number = input.at("number").get<std::uint64_t>();
    report.digest = input.at("digest").get<std::string>();
    report.isFinished = input.at("over").get<bool>();
    report.hasRolledBack = input.value("went_back", false);
    report.problem = input.value("problem", "");
    for (const auto& instance : input.at("instances"))
        report.instances.push_back(readInstanceReport(instance));
    return report;
} catch (const json::exception& problem) {
    throw std::runtime_error(fmt::format("malformed report: {}", problem.what()));
}

std::optional<InstanceMetrics> readInstanceMetrics(const json& input) try {
    if (!input.is_object() || input.value("format", 0) != kFormat) return std::nullopt;
    InstanceMetrics metrics;
    metrics.incarnation = input.at("pid").get<std::int64_t>();
    metrics.up = input.at("up_ms").get<std::int64_t>() * kMillisecond;
    metrics.program = input.value("program", "");
    metrics.zone = input.value("zone", "");
    readAttempts(input, metrics);
    readLevels(input, metrics);
    for (const auto& [name, requestClass] : input.at("verbs").items()) {
        auto read = readRequestClass(requestClass);
        if (!read) return std::nullopt;
        metrics.requestClasses[name] = std::move(*read);
    }
    if (input.contains("caches"))
        for (const auto& [name, cache] : input["caches"].items())
            metrics.caches[name] = {cache.at(0).get<std::uint64_t>(), cache.at(1).get<bool>()};
    if (!isPlausible(metrics)) return std::nullopt;
    return metrics;
} catch (const json::exception&) {
    return std::nullopt;
}

}  // namespace poppyscale::rollout
