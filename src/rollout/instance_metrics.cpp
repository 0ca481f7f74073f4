#include "rollout/instance_metrics.hpp"

#include <algorithm>

namespace poppyscale::rollout {
namespace {

constexpr int kUnder = 1;  // a class below the first one, for what is faster than any
constexpr int kMostClasses = 512;
constexpr Nanos kClockSlack = 1'500 * kMillisecond;  // an answer may have been on its way for so long

std::uint64_t countOf(const nlohmann::json& said, const char* key) {
    return said.at(key).get<std::uint64_t>();
}

}  // namespace

std::optional<InstanceMetrics> readInstanceMetrics(const nlohmann::json& said) try {
    if (!said.is_object() || said.value("format", 0) != kFormat) return std::nullopt;
    InstanceMetrics f;
    f.incarnation = said.at("pid").get<std::int64_t>();
    f.up = said.at("up_ms").get<std::int64_t>() * kMillisecond;
    f.program = said.value("program", "");
    f.zone = said.value("zone", "");
    f.attempts = countOf(said, "relays");
    f.originAttempts = countOf(said, "origin_relays");
    for (const char* lost : {"relays_errored", "relays_timed_out", "relays_cut", "relays_turned_away"})
        f.attemptsLost += countOf(said, lost);
    f.attemptsLost += countOf(said, "relays_found_dead");
    f.connectionsOpened = countOf(said, "links_opened");
    f.endpointPolls = said.value("list_calls", std::uint64_t{0});
    f.attemptMs = said.value("relay_ms", 0.0);
    f.memoryKb = said.at("memory_kb").get<double>();
    f.descriptors = said.at("descriptors").get<double>();
    f.connections = said.at("links").get<double>();
    f.openRequests = said.at("open").get<double>();
    f.cachesReady = said.at("caches_ready").get<int>();
    f.cachesListed = said.at("caches_listed").get<int>();
    f.longestIteration = said.at("longest_turn_us").get<std::int64_t>() * 1000;
    for (const auto& [name, v] : said.at("verbs").items()) {
        RequestClassMetrics& requestClass = f.requestClasses[name];
        requestClass.accepted = countOf(v, "taken");
        requestClass.withinObjective = countOf(v, "in_goal");
        requestClass.late = countOf(v, "late");
        for (const auto& [why, count] : v.at("declined").items())
            requestClass.rejected += count.get<std::uint64_t>();
        requestClass.failed = countOf(v, "terminated");
        requestClass.abandoned = countOf(v, "left");
        const int from = v.at("times_from").get<int>() + kUnder;
        const auto& times = v.at("times");
        if (from < 0 || from + static_cast<int>(times.size()) > kMostClasses) return std::nullopt;
        requestClass.latencies.assign(static_cast<std::size_t>(from), 0);
        for (const auto& count : times) requestClass.latencies.push_back(count.get<std::uint64_t>());
    }
    if (said.contains("caches"))
        for (const auto& [name, c] : said["caches"].items())
            f.caches[name] = {c.at(0).get<std::uint64_t>(), c.at(1).get<bool>()};
    const bool negative =
        f.memoryKb < 0 || f.descriptors < 0 || f.connections < 0 || f.up < 0 || f.cachesReady < 0;
    if (negative) return std::nullopt;
    return f;
} catch (const nlohmann::json::exception&) {
    return std::nullopt;
}

std::optional<InstanceMetrics> windowOf(const InstanceMetrics& before, const InstanceMetrics& after,
                                        Nanos between) {
    if (before.incarnation != after.incarnation) return std::nullopt;
    // From the future: more of its time has gone by than of ours.
    if (after.up < before.up || after.up - before.up > between + kClockSlack) return std::nullopt;
    bool fell = false;
    const auto less = [&](std::uint64_t a, std::uint64_t b) {
        fell |= a < b;
        return a - b;
    };
    InstanceMetrics w = after;
    w.up = after.up - before.up;
    w.attempts = less(after.attempts, before.attempts);
    w.originAttempts = less(after.originAttempts, before.originAttempts);
    w.attemptsLost = less(after.attemptsLost, before.attemptsLost);
    w.connectionsOpened = less(after.connectionsOpened, before.connectionsOpened);
    // A process that is new opens what it goes on to keep; that presses on nobody for long.
    const auto more = static_cast<std::uint64_t>(std::max(after.connections - before.connections, 0.0));
    w.churned = w.connectionsOpened - std::min(w.connectionsOpened, more);
    w.endpointPolls = less(after.endpointPolls, before.endpointPolls);
    w.attemptMs = after.attemptMs - before.attemptMs;
    fell |= w.attemptMs < 0;
    for (const auto& [name, b] : before.requestClasses) {
        const auto it = w.requestClasses.find(name);
        if (it == w.requestClasses.end()) return std::nullopt;  // what was counted is not forgotten
        RequestClassMetrics& a = it->second;
        a.accepted = less(a.accepted, b.accepted);
        a.withinObjective = less(a.withinObjective, b.withinObjective);
        a.late = less(a.late, b.late);
        a.rejected = less(a.rejected, b.rejected);
        a.failed = less(a.failed, b.failed);
        a.abandoned = less(a.abandoned, b.abandoned);
        a.latencies.resize(std::max(a.latencies.size(), b.latencies.size()));
        for (std::size_t i = 0; i < b.latencies.size(); ++i)
            a.latencies[i] = less(a.latencies[i], b.latencies[i]);
    }
    // One that was forgotten in between counts anew: what it has now came since.
    for (auto& [name, c] : w.caches) {
        const auto it = before.caches.find(name);
        if (it != before.caches.end() && it->second.attempts <= c.attempts) c.attempts -= it->second.attempts;
    }
    if (fell) return std::nullopt;
    return w;
}

}  // namespace poppyscale::rollout
