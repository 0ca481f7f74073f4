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

std::optional<Figures> readFigures(const nlohmann::json& said) try {
    if (!said.is_object() || said.value("format", 0) != kFormat) return std::nullopt;
    Figures f;
    f.life = said.at("pid").get<std::int64_t>();
    f.up = said.at("up_ms").get<std::int64_t>() * kMillisecond;
    f.program = said.value("program", "");
    f.zone = said.value("zone", "");
    f.relays = countOf(said, "relays");
    f.originRelays = countOf(said, "origin_relays");
    for (const char* lost : {"relays_errored", "relays_timed_out", "relays_cut", "relays_turned_away"})
        f.relaysLost += countOf(said, lost);
    f.relaysLost += countOf(said, "relays_found_dead");
    f.opened = countOf(said, "links_opened");
    f.calls = said.value("list_calls", std::uint64_t{0});
    f.relayMs = said.value("relay_ms", 0.0);
    f.memoryKb = said.at("memory_kb").get<double>();
    f.descriptors = said.at("descriptors").get<double>();
    f.links = said.at("links").get<double>();
    f.open = said.at("open").get<double>();
    f.cachesReady = said.at("caches_ready").get<int>();
    f.cachesListed = said.at("caches_listed").get<int>();
    f.longestTurn = said.at("longest_turn_us").get<std::int64_t>() * 1000;
    for (const auto& [name, v] : said.at("verbs").items()) {
        OfVerb& verb = f.verbs[name];
        verb.taken = countOf(v, "taken");
        verb.inGoal = countOf(v, "in_goal");
        verb.late = countOf(v, "late");
        for (const auto& [why, count] : v.at("declined").items()) verb.declined += count.get<std::uint64_t>();
        verb.terminated = countOf(v, "terminated");
        verb.left = countOf(v, "left");
        const int from = v.at("times_from").get<int>() + kUnder;
        const auto& times = v.at("times");
        if (from < 0 || from + static_cast<int>(times.size()) > kMostClasses) return std::nullopt;
        verb.times.assign(static_cast<std::size_t>(from), 0);
        for (const auto& count : times) verb.times.push_back(count.get<std::uint64_t>());
    }
    if (said.contains("caches"))
        for (const auto& [name, c] : said["caches"].items())
            f.caches[name] = {c.at(0).get<std::uint64_t>(), c.at(1).get<bool>()};
    const bool negative = f.memoryKb < 0 || f.descriptors < 0 || f.links < 0 || f.up < 0 || f.cachesReady < 0;
    if (negative) return std::nullopt;
    return f;
} catch (const nlohmann::json::exception&) {
    return std::nullopt;
}

std::optional<Figures> windowOf(const Figures& before, const Figures& after, Nanos between) {
    if (before.life != after.life) return std::nullopt;
    // From the future: more of its time has gone by than of ours.
    if (after.up < before.up || after.up - before.up > between + kClockSlack) return std::nullopt;
    bool fell = false;
    const auto less = [&](std::uint64_t a, std::uint64_t b) {
        fell |= a < b;
        return a - b;
    };
    Figures w = after;
    w.up = after.up - before.up;
    w.relays = less(after.relays, before.relays);
    w.originRelays = less(after.originRelays, before.originRelays);
    w.relaysLost = less(after.relaysLost, before.relaysLost);
    w.opened = less(after.opened, before.opened);
    // A process that is new opens what it goes on to keep; that presses on nobody for long.
    const auto more = static_cast<std::uint64_t>(std::max(after.links - before.links, 0.0));
    w.churned = w.opened - std::min(w.opened, more);
    w.calls = less(after.calls, before.calls);
    w.relayMs = after.relayMs - before.relayMs;
    fell |= w.relayMs < 0;
    for (const auto& [name, b] : before.verbs) {
        const auto it = w.verbs.find(name);
        if (it == w.verbs.end()) return std::nullopt;  // what was counted is not forgotten
        OfVerb& a = it->second;
        a.taken = less(a.taken, b.taken);
        a.inGoal = less(a.inGoal, b.inGoal);
        a.late = less(a.late, b.late);
        a.declined = less(a.declined, b.declined);
        a.terminated = less(a.terminated, b.terminated);
        a.left = less(a.left, b.left);
        a.times.resize(std::max(a.times.size(), b.times.size()));
        for (std::size_t i = 0; i < b.times.size(); ++i) a.times[i] = less(a.times[i], b.times[i]);
    }
    // One that was forgotten in between counts anew: what it has now came since.
    for (auto& [name, c] : w.caches) {
        const auto it = before.caches.find(name);
        if (it != before.caches.end() && it->second.relays <= c.relays) c.relays -= it->second.relays;
    }
    if (fell) return std::nullopt;
    return w;
}

}  // namespace poppyscale::rollout
