#include "testbed/report/figures.hpp"

#include <algorithm>
#include <cstdlib>

namespace poppyscale::testbed {
namespace {

constexpr double kNanosPerSecond = 1e9;
// An attempt later than this after the client has left is wasted.
constexpr Nanos kAbandonedGrace = 300 * kMillisecond;

double share(double part, double total) { return total > 0 ? part / total : 0; }

}  // namespace

double DurationSamples::quantileMs(double quantile) {
    if (samples_.empty()) return 0;
    const auto rank = std::min(static_cast<std::size_t>(quantile * static_cast<double>(samples_.size())),
                               samples_.size() - 1);
    const auto at = samples_.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(samples_.begin(), at, samples_.end());
    return static_cast<double>(*at) / 1e6;
}

Figures::Figures(const nlohmann::json& head) : head_(head), slowStartLoad_(head) {
    for (const auto& v : head_.at("verbs")) requestClassNames_.push_back(v.at("name").get<std::string>());
    askedByClass_.resize(requestClassNames_.size());
    inGoalByClass_.resize(requestClassNames_.size());
}

Figures::Second& Figures::second(Nanos at) {
    const auto index = static_cast<std::size_t>(std::max<Nanos>(at, 0) / (1'000 * kMillisecond));
    if (seconds_.size() <= index) seconds_.resize(index + 1);
    return seconds_[index];
}

void Figures::onEvent(const LogEvent& entry) {
    slowStartLoad_.onEvent(entry);
    if (entry.kind != EventKind::serverAdded) lastAt_ = std::max(lastAt_, entry.at);
    const auto requestOf = [&]() -> RequestState* {
        const auto first = firstTries_.find(entry.requestId);
        return first == firstTries_.end() ? nullptr : &requests_.at(first->second);
    };
    switch (entry.kind) {
        case EventKind::serverAdded:
            serverNames_.emplace_back(wordAt(entry.text, 0));
            serverZones_.emplace_back(wordAt(entry.text, 1));
            capacities_.push_back(std::atof(std::string(wordAt(entry.text, 4)).c_str()));
            break;
        case EventKind::requestSent: {
            const std::uint64_t first =
                std::strtoull(std::string(wordAt(entry.text, 3)).c_str(), nullptr, 16);
            firstTries_[entry.requestId] = first;
            ++tries_;
            if (wordAt(entry.text, 4) != "1") break;
            const auto requestClass =
                std::find(requestClassNames_.begin(), requestClassNames_.end(), wordAt(entry.text, 0));
            const auto index = static_cast<int>(requestClass - requestClassNames_.begin());
            const bool isLoadWeighted =
                entry.router >= head_.at("routers").get<int>() - head_.value("moved", 0);
            requests_[first] = {index, static_cast<Nanos>(entry.attemptId), true, hasRolloutBegun_,
                                isLoadWeighted};
            askedInRollout_ += hasRolloutBegun_;
            exposed_ += hasRolloutBegun_ && runsChange_[entry.router];
            ++askedByLoadWeighted_[isLoadWeighted];
            ++asked_;
            ++askedByClass_.at(static_cast<std::size_t>(index));
            maxUtility_ += head_["verbs"][static_cast<std::size_t>(index)]["utility"].get<double>();
            ++second(entry.at).asked;
            break;
        }
        case EventKind::answered:
            if (RequestState* const request = requestOf(); request && std::exchange(request->isOpen, false)) {
                const auto& requestClass = head_["verbs"][static_cast<std::size_t>(request->requestClass)];
                const Nanos took = entry.at - request->dueAt;
                const bool isInGoal = took <= requestClass["goal"].get<Nanos>();
                ++answered_;
                inGoal_ += isInGoal;
                inGoalInRollout_ += isInGoal && request->isDuringRollout;
                inGoalByLoadWeighted_[request->isLoadWeighted] += isInGoal;
                inGoalByClass_[static_cast<std::size_t>(request->requestClass)] += isInGoal;
                utility_ += requestClass["utility"].get<double>() *
                            (isInGoal ? 1 : requestClass["late"].get<double>());
                times_.add(took);
                Second& secondStats = second(entry.at);
                ++secondStats.answered;
                secondStats.times.add(took);
            }
            break;
        case EventKind::rejected:
            ++rejected_;
            ++second(entry.at).rejected;
            break;
        case EventKind::failed:
            ++failed_;
            ++second(entry.at).failed;
            break;
        case EventKind::unsent:
            ++unsent_;
            break;
        case EventKind::unanswered:
            ++unanswered_;
            break;
        case EventKind::clientDisconnected:
            if (forwarded_.contains(entry.requestId)) break;
            leftAt_[entry.requestId] = entry.at;
            ++leftWaiting_;
            break;
        case EventKind::attemptSent: {
            ++attempts_;
            forwarded_.insert(entry.requestId);
            if (const auto left = leftAt_.find(entry.requestId); left != leftAt_.end()) {
                sentOn_ += entry.at - left->second > kAbandonedGrace;
                leftAt_.erase(left);
            }
            crossZoneAttempts_ +=
                serverZones_.at(static_cast<std::size_t>(entry.server)) != routerZones_[entry.router];
            Second& secondStats = second(entry.at);
            ++secondStats.attempts;
            ++secondStats.attemptsByServer[entry.server];
            if (entry.server != 0) break;
            originWork_ += static_cast<double>(entry.number);
            secondStats.originLoad += static_cast<double>(entry.number) / kNanosPerSecond / capacities_.at(0);
            break;
        }
        case EventKind::attemptEnded: {
            const auto outcome = wordAt(entry.text, 0);
            busy_ += outcome == "busy";
            errors_ += outcome == "error" || outcome == "spoilt";
            if (entry.server == 0) break;
            hits_ += outcome == "value";
            reads_ += outcome == "value" || outcome == "miss";
            if (outcome == "miss") ++second(entry.at).misses;
            break;
        }
        case EventKind::up:
            routerZones_[entry.router] = entry.text;
            break;
        case EventKind::opened:
            ++connectionsOpened_;
            break;
        case EventKind::fault:
            annotations_.push_back({static_cast<double>(entry.at) / kNanosPerSecond, entry.text});
            break;
        case EventKind::statement:
            if (entry.text == "roll begins") hasRolloutBegun_ = true;
            if (entry.text.starts_with("roll ends ")) rolloutOutcome_ = entry.text.substr(10);
            if (entry.text.starts_with("change ")) runsChange_[entry.router] = entry.text == "change begins";
            break;
        case EventKind::testbedLateness:
            lateness_.add(entry.number);
            break;
        default:
            break;
    }
}

const std::vector<std::pair<std::string, double>>& Figures::finish() {
    const double length = static_cast<double>(head_.at("length").get<Nanos>()) / kNanosPerSecond;
    figures_ = {
        {"asked", asked_},
        {"goal", share(static_cast<double>(inGoal_), static_cast<double>(asked_))},
        {"answered", share(static_cast<double>(answered_), static_cast<double>(asked_))},
        {"utility", share(utility_, maxUtility_)},
        {"declined", share(static_cast<double>(rejected_), static_cast<double>(tries_))},
        {"terminated", share(static_cast<double>(failed_), static_cast<double>(tries_))},
        {"unsent", unsent_},
        {"silent", unanswered_},
        {"p50_ms", times_.quantileMs(0.5)},
        {"p99_ms", times_.quantileMs(0.99)},
        {"p999_ms", times_.quantileMs(0.999)},
        {"relays", share(static_cast<double>(attempts_), static_cast<double>(tries_))},
        {"connections", share(static_cast<double>(connectionsOpened_), static_cast<double>(asked_))},
        {"crossings", share(static_cast<double>(crossZoneAttempts_), static_cast<double>(asked_))},
        {"hits", share(static_cast<double>(hits_), static_cast<double>(reads_))},
        {"busy", share(static_cast<double>(busy_), static_cast<double>(attempts_))},
        {"errors", share(static_cast<double>(errors_), static_cast<double>(attempts_))},
        {"origin_mean",
         capacities_.empty() || length <= 0 ? 0 : originWork_ / kNanosPerSecond / capacities_[0] / length}};
    for (std::size_t v = 0; v < requestClassNames_.size(); ++v)
        figures_.emplace_back("goal_" + requestClassNames_[v], share(inGoalByClass_[v], askedByClass_[v]));
    if (leftWaiting_ > 0) {
        figures_.emplace_back("left_waiting", leftWaiting_);
        figures_.emplace_back("sent_on",
                              share(static_cast<double>(sentOn_), static_cast<double>(leftWaiting_)));
    }
    if (askedByLoadWeighted_[0] > 0 && askedByLoadWeighted_[1] > 0) {
        const auto of = [&](int isLoadWeighted) {
            return share(inGoalByLoadWeighted_[isLoadWeighted], askedByLoadWeighted_[isLoadWeighted]);
        };
        figures_.emplace_back("goal_stayed", of(0));
        figures_.emplace_back("goal_moved", of(1));
        figures_.emplace_back("apart", std::abs(of(0) - of(1)));
    }
    if (slowStartLoad_.coldStarts() > 0) {
        figures_.emplace_back("cold_servers", slowStartLoad_.coldStarts());
        figures_.emplace_back("cold_most_sent", slowStartLoad_.largest().sent);
        figures_.emplace_back("cold_most_allowed", slowStartLoad_.largest().allowed);
        figures_.emplace_back("cold_load", slowStartLoad_.largestRatio());
        figures_.emplace_back("cold_load_mean", slowStartLoad_.meanRatio());
        figures_.emplace_back("cold_excess", slowStartLoad_.largestExcess());
        figures_.emplace_back("cold_untold", slowStartLoad_.shareBeforeNotification());
        figures_.emplace_back("cold_falls", slowStartLoad_.overloadStops());
    }
    if (hasRolloutBegun_) {
        const bool wasStopped = rolloutOutcome_ == "undone" || rolloutOutcome_ == "notundone";
        figures_.emplace_back("went", rolloutOutcome_ == "went");
        figures_.emplace_back("stopped", wasStopped);
        figures_.emplace_back("undone", rolloutOutcome_ == "undone");
        figures_.emplace_back("harmed", share(static_cast<double>(askedInRollout_ - inGoalInRollout_),
                                              static_cast<double>(askedInRollout_)));
        figures_.emplace_back("exposed",
                              share(static_cast<double>(exposed_), static_cast<double>(askedInRollout_)));
    }
    if (lateness_.count() > 0) {
        figures_.emplace_back("late_p50_ms", lateness_.quantileMs(0.5));
        figures_.emplace_back("late_p99_ms", lateness_.quantileMs(0.99));
        figures_.emplace_back("late_most_ms", lateness_.quantileMs(1));
    }
    return figures_;
}

double Figures::valueOf(const std::string& name) const {
    for (const auto& [n, value] : figures_)
        if (n == name) return value;
    return 0;
}

std::vector<std::string> Figures::unmetBounds() const {
    std::vector<std::string> missed;
    const auto& bounds = head_.at("bounds");
    for (const auto& [name, bound] : bounds.items()) {
        const bool isLowerBound = name == "goal" || name == "answered" || name == "went" || name == "undone";
        const double value = valueOf(name), limit = bound.get<double>();
        if (isLowerBound ? value < limit : value > limit) missed.push_back("bound-" + name);
    }
    return missed;
}

nlohmann::json Figures::json() const {
    nlohmann::json out{{"scenario", head_.at("scenario")}, {"seed", head_.at("seed")}};
    for (const auto& [name, value] : figures_) out["figures"][name] = value;
    return out;
}

}  // namespace poppyscale::testbed
