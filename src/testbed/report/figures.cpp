#include "testbed/report/figures.hpp"

#include <algorithm>
#include <cstdlib>

namespace poppyscale::testbed {
namespace {

constexpr double kNanos = 1e9;
constexpr Nanos kSentOn = 300 * kMillisecond;  // a command whose client has left for longer is of no use

double share(double part, double all) { return all > 0 ? part / all : 0; }

}  // namespace

double Times::ms(double part) {
    if (all_.empty()) return 0;
    const auto rank =
        std::min(static_cast<std::size_t>(part * static_cast<double>(all_.size())), all_.size() - 1);
    const auto at = all_.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(all_.begin(), at, all_.end());
    return static_cast<double>(*at) / 1e6;
}

Figures::Figures(const nlohmann::json& head) : head_(head), coldLoad_(head) {
    for (const auto& v : head_.at("verbs")) requestClassNames_.push_back(v.at("name").get<std::string>());
    perVerb_.resize(requestClassNames_.size());
    inGoalOfVerb_.resize(requestClassNames_.size());
}

Figures::Second& Figures::second(Nanos at) {
    const auto index = static_cast<std::size_t>(std::max<Nanos>(at, 0) / (1'000 * kMillisecond));
    if (seconds_.size() <= index) seconds_.resize(index + 1);
    return seconds_[index];
}

void Figures::onEvent(const LogEvent& e) {
    coldLoad_.onEvent(e);
    if (e.kind != EventKind::server) lastAt_ = std::max(lastAt_, e.at);
    const auto wishOf = [&]() -> OpenDemand* {
        const auto first = firsts_.find(e.command);
        return first == firsts_.end() ? nullptr : &wishes_.at(first->second);
    };
    switch (e.kind) {
        case EventKind::server:
            names_.emplace_back(wordAt(e.text, 0));
            zones_.emplace_back(wordAt(e.text, 1));
            capacities_.push_back(std::atof(std::string(wordAt(e.text, 4)).c_str()));
            break;
        case EventKind::asked: {
            const std::uint64_t first = std::strtoull(std::string(wordAt(e.text, 3)).c_str(), nullptr, 16);
            firsts_[e.command] = first;
            ++tries_;
            if (wordAt(e.text, 4) != "1") break;
            const auto requestClass =
                std::find(requestClassNames_.begin(), requestClassNames_.end(), wordAt(e.text, 0));
            const auto index = static_cast<int>(requestClass - requestClassNames_.begin());
            const bool moved = e.router >= head_.at("routers").get<int>() - head_.value("moved", 0);
            wishes_[first] = {index, static_cast<Nanos>(e.run), true, rolling_, moved};
            rollAsked_ += rolling_;
            exposed_ += rolling_ && changedNow_[e.router];
            ++askedBy_[moved];
            ++asked_;
            ++perVerb_.at(static_cast<std::size_t>(index));
            utilityMost_ += head_["verbs"][static_cast<std::size_t>(index)]["utility"].get<double>();
            ++second(e.at).asked;
            break;
        }
        case EventKind::answered:
            if (OpenDemand* const wish = wishOf(); wish && std::exchange(wish->open, false)) {
                const auto& requestClass = head_["verbs"][static_cast<std::size_t>(wish->requestClass)];
                const Nanos took = e.at - wish->dueAt;
                const bool withinObjective = took <= requestClass["goal"].get<Nanos>();
                ++answered_;
                inGoal_ += withinObjective;
                rollInGoal_ += withinObjective && wish->rolling;
                inGoalBy_[wish->moved] += withinObjective;
                inGoalOfVerb_[static_cast<std::size_t>(wish->requestClass)] += withinObjective;
                utility_ += requestClass["utility"].get<double>() *
                            (withinObjective ? 1 : requestClass["late"].get<double>());
                times_.add(took);
                Second& s = second(e.at);
                ++s.answered;
                s.times.add(took);
            }
            break;
        case EventKind::declined:
            ++declined_;
            ++second(e.at).declined;
            break;
        case EventKind::terminated:
            ++terminated_;
            ++second(e.at).terminated;
            break;
        case EventKind::unsent:
            ++unsent_;
            break;
        case EventKind::silent:
            ++silent_;
            break;
        case EventKind::left:
            if (relayed_.contains(e.command)) break;
            leftAt_[e.command] = e.at;
            ++leftWaiting_;
            break;
        case EventKind::sent: {
            ++relays_;
            relayed_.insert(e.command);
            if (const auto left = leftAt_.find(e.command); left != leftAt_.end()) {
                sentOn_ += e.at - left->second > kSentOn;
                leftAt_.erase(left);
            }
            crossed_ += zones_.at(static_cast<std::size_t>(e.server)) != routerZones_[e.router];
            Second& s = second(e.at);
            ++s.attempts;
            ++s.relaysOf[e.server];
            if (e.server != 0) break;
            originWork_ += static_cast<double>(e.number);
            s.originLoad += static_cast<double>(e.number) / kNanos / capacities_.at(0);
            break;
        }
        case EventKind::ended: {
            const auto how = wordAt(e.text, 0);
            busy_ += how == "busy";
            errors_ += how == "error" || how == "spoilt";
            if (e.server == 0) break;
            hits_ += how == "value";
            reads_ += how == "value" || how == "miss";
            if (how == "miss") ++second(e.at).misses;
            break;
        }
        case EventKind::up:
            routerZones_[e.router] = e.text;
            break;
        case EventKind::opened:
            ++opened_;
            break;
        case EventKind::fault:
            marks_.push_back({static_cast<double>(e.at) / kNanos, e.text});
            break;
        case EventKind::claims:
            if (e.text == "roll begins") rolling_ = true;
            if (e.text.starts_with("roll ends ")) rolled_ = e.text.substr(10);
            if (e.text.starts_with("change ")) changedNow_[e.router] = e.text == "change begins";
            break;
        case EventKind::late:
            lateness_.add(e.number);
            break;
        default:
            break;
    }
}

const std::vector<std::pair<std::string, double>>& Figures::finish() {
    const double length = static_cast<double>(head_.at("length").get<Nanos>()) / kNanos;
    all_ = {{"asked", asked_},
            {"goal", share(static_cast<double>(inGoal_), static_cast<double>(asked_))},
            {"answered", share(static_cast<double>(answered_), static_cast<double>(asked_))},
            {"utility", share(utility_, utilityMost_)},
            {"declined", share(static_cast<double>(declined_), static_cast<double>(tries_))},
            {"terminated", share(static_cast<double>(terminated_), static_cast<double>(tries_))},
            {"unsent", unsent_},
            {"silent", silent_},
            {"p50_ms", times_.ms(0.5)},
            {"p99_ms", times_.ms(0.99)},
            {"p999_ms", times_.ms(0.999)},
            {"relays", share(static_cast<double>(relays_), static_cast<double>(tries_))},
            {"connections", share(static_cast<double>(opened_), static_cast<double>(asked_))},
            {"crossings", share(static_cast<double>(crossed_), static_cast<double>(asked_))},
            {"hits", share(static_cast<double>(hits_), static_cast<double>(reads_))},
            {"busy", share(static_cast<double>(busy_), static_cast<double>(relays_))},
            {"errors", share(static_cast<double>(errors_), static_cast<double>(relays_))},
            {"origin_mean",
             capacities_.empty() || length <= 0 ? 0 : originWork_ / kNanos / capacities_[0] / length}};
    for (std::size_t v = 0; v < requestClassNames_.size(); ++v)
        all_.emplace_back("goal_" + requestClassNames_[v], share(inGoalOfVerb_[v], perVerb_[v]));
    if (leftWaiting_ > 0) {
        all_.emplace_back("left_waiting", leftWaiting_);
        all_.emplace_back("sent_on", share(static_cast<double>(sentOn_), static_cast<double>(leftWaiting_)));
    }
    if (askedBy_[0] > 0 && askedBy_[1] > 0) {
        const auto of = [&](int moved) { return share(inGoalBy_[moved], askedBy_[moved]); };
        all_.emplace_back("goal_stayed", of(0));
        all_.emplace_back("goal_moved", of(1));
        all_.emplace_back("apart", std::abs(of(0) - of(1)));
    }
    if (coldLoad_.servers() > 0) {
        all_.emplace_back("cold_servers", coldLoad_.servers());
        all_.emplace_back("cold_most_sent", coldLoad_.largest().sent);
        all_.emplace_back("cold_most_allowed", coldLoad_.largest().allowed);
        all_.emplace_back("cold_load", coldLoad_.largestShare());
        all_.emplace_back("cold_load_mean", coldLoad_.meanSent());
        all_.emplace_back("cold_excess", coldLoad_.largestExcess());
        all_.emplace_back("cold_untold", coldLoad_.untoldShare());
        all_.emplace_back("cold_falls", coldLoad_.falls());
    }
    if (rolling_) {
        const bool back = rolled_ == "undone" || rolled_ == "notundone";
        all_.emplace_back("went", rolled_ == "went");
        all_.emplace_back("stopped", back);
        all_.emplace_back("undone", rolled_ == "undone");
        all_.emplace_back(
            "harmed", share(static_cast<double>(rollAsked_ - rollInGoal_), static_cast<double>(rollAsked_)));
        all_.emplace_back("exposed", share(static_cast<double>(exposed_), static_cast<double>(rollAsked_)));
    }
    if (lateness_.count() > 0) {
        all_.emplace_back("late_p50_ms", lateness_.ms(0.5));
        all_.emplace_back("late_p99_ms", lateness_.ms(0.99));
        all_.emplace_back("late_most_ms", lateness_.ms(1));
    }
    return all_;
}

double Figures::of(const std::string& name) const {
    for (const auto& [n, value] : all_)
        if (n == name) return value;
    return 0;
}

std::vector<std::string> Figures::missed() const {
    std::vector<std::string> missed;
    const auto& bounds = head_.at("bounds");
    for (const auto& [name, bound] : bounds.items()) {
        const bool least = name == "goal" || name == "answered" || name == "went" || name == "undone";
        const double is = of(name), wanted = bound.get<double>();
        if (least ? is < wanted : is > wanted) missed.push_back("bound-" + name);
    }
    return missed;
}

nlohmann::json Figures::json() const {
    nlohmann::json out{{"scenario", head_.at("scenario")}, {"seed", head_.at("seed")}};
    for (const auto& [name, value] : all_) out["figures"][name] = value;
    return out;
}

}  // namespace poppyscale::testbed
