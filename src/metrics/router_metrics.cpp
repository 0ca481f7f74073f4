#include "metrics/router_metrics.hpp"

#include <algorithm>

namespace poppyscale::metrics {

Counts::Counts(const std::vector<Verb>& verbs) { changed(verbs); }

void Counts::changed(const std::vector<Verb>& verbs) {
    for (const Verb& verb : verbs) of(verb.name).goal = verb.goal;
}

Counts::OfVerb& Counts::of(std::string_view verb) {
    const auto it = verbs_.find(verb);
    if (it != verbs_.end()) return it->second;
    OfVerb made;
    made.times = boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(kClasses, kLeastMs,
                                                                                        kMostMs));
    return verbs_.emplace(std::string(verb), std::move(made)).first->second;
}

void Counts::taken(std::string_view verb) { ++of(verb).taken; }

void Counts::answered(std::string_view verb, Nanos took) {
    OfVerb& v = of(verb);
    ++(took <= v.goal ? v.inGoal : v.late);
    v.times(static_cast<double>(std::max<Nanos>(took, 1)) / 1e6);
}

void Counts::declined(std::string_view verb, Declined why) {
    OfVerb& v = of(verb);
    ++(why == Declined::full ? v.full : why == Declined::unsent ? v.unsent : v.after);
}

void Counts::terminated(std::string_view verb) { ++of(verb).terminated; }
void Counts::left(std::string_view verb) { ++of(verb).left; }

void Counts::relay(bool toOrigin) {
    ++relays_;
    originRelays_ += toOrigin;
}

void Counts::relayEnded(Ending how, Nanos spent) {
    relayMs_ += static_cast<double>(spent) / 1e6;
    errored_ += how == Ending::errored;
    timedOut_ += how == Ending::timedOut;
    cut_ += how == Ending::cut || how == Ending::undone;
    turnedAway_ += how == Ending::noRoom;
    foundDead_ += how == Ending::noRoute || how == Ending::notSent;
}

void Counts::turn(Nanos took) { longestTurn_ = std::max(longestTurn_, took); }

nlohmann::json Counts::json() const {
    auto verbs = nlohmann::json::object();
    for (const auto& [name, v] : verbs_) {
        auto times = nlohmann::json::array();  // from the fastest class that was met, then one by one
        int first = 0;
        for (int i = -1; i <= kClasses; ++i) {
            const auto count = static_cast<std::uint64_t>(v.times.at(i));
            if (times.empty() && count == 0) continue;
            if (times.empty()) first = i;
            times.push_back(count);
        }
        while (!times.empty() && times.back() == 0) times.erase(times.size() - 1);
        verbs[name] = {{"goal_ms", v.goal / kMillisecond},
                       {"taken", v.taken},
                       {"in_goal", v.inGoal},
                       {"late", v.late},
                       {"declined", {{"full", v.full}, {"unsent", v.unsent}, {"after", v.after}}},
                       {"terminated", v.terminated},
                       {"left", v.left},
                       {"times_from", first},
                       {"times", std::move(times)}};
    }
    return {{"format", kFormat},
            {"verbs", std::move(verbs)},
            {"relays", relays_},
            {"origin_relays", originRelays_},
            {"relay_ms", relayMs_},
            {"relays_errored", errored_},
            {"relays_timed_out", timedOut_},
            {"relays_cut", cut_},
            {"relays_turned_away", turnedAway_},
            {"relays_found_dead", foundDead_},
            {"longest_turn_us", longestTurn_ / 1000}};
}

}  // namespace poppyscale::metrics
