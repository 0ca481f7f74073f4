#include "testbed/audit/slow_start_load.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

namespace poppyscale::testbed {

double SlowStartLoad::Window::excess() const { return (sent - allowed) / (2 * std::sqrt(allowed) + 2); }

SlowStartLoad::SlowStartLoad(const nlohmann::json& head)
    : largestExcess_(std::numeric_limits<double>::lowest()) {
    const auto cold = head.value("cold", nlohmann::json::object());
    startShare_ = cold.value("share", 1.0);
    slowStartTime_ = cold.value("ramp", Nanos{0});
    overloadMultiple_ = cold.value("tip", 0.0);
    overloadWindow_ = cold.value("span", Nanos{0});
}

double SlowStartLoad::largestRatio() const {
    return largest_.allowed > 0 ? largest_.sent / largest_.allowed : 0;
}

double SlowStartLoad::meanRatio() const {
    return windowsJudged_ > 0 ? ratioSum_ / static_cast<double>(windowsJudged_) : 0;
}

double SlowStartLoad::shareBeforeNotification() const {
    const auto all = static_cast<double>(windowsJudged_ + attemptsBeforeNotification_);
    return all > 0 ? static_cast<double>(attemptsBeforeNotification_) / all : 0;
}

bool SlowStartLoad::wasNotified(int router, int server) const {
    const auto knownStart = knownStarts_.find({router, server});
    return knownStart != knownStarts_.end() &&
           knownStart->second == servers_.at(static_cast<std::size_t>(server)).startedAt;
}

bool SlowStartLoad::isCold(const Server& server, Nanos now) const {
    return !server.origin && server.startedAt > 0 && now - server.startedAt < slowStartTime_;
}

double SlowStartLoad::capacityShare(const Server& server, Nanos now) const {
    const double elapsedShare =
        static_cast<double>(now - server.startedAt) / static_cast<double>(slowStartTime_);
    return startShare_ + (1 - startShare_) * std::clamp(elapsedShare, 0.0, 1.0);
}

void SlowStartLoad::onEvent(const LogEvent& entry) {
    if (entry.kind == EventKind::serverAdded) {
        Server server;
        server.origin = wordAt(entry.text, 3) == "origin";
        server.capacity = std::atof(std::string(wordAt(entry.text, 4)).c_str());
        servers_.push_back(std::move(server));
        return;
    }
    if (entry.kind == EventKind::killed)
        std::erase_if(knownStarts_, [&](const auto& known) { return known.first.first == entry.router; });
    if (entry.server < 0) return;
    if (entry.kind == EventKind::listed && entry.text.starts_with("ready"))
        knownStarts_[{entry.router, entry.server}] = entry.number;
    if (entry.kind == EventKind::started) {
        Server& server = servers_.at(static_cast<std::size_t>(entry.server));
        server.startedAt = entry.number;
        server.recentAttempts.clear();
        server.recentWork = 0;
        coldStarts_ += !server.origin;
    } else if (entry.kind == EventKind::serverOverloaded) {
        overloadStops_ += isCold(servers_.at(static_cast<std::size_t>(entry.server)), entry.at);
    } else if (entry.kind == EventKind::attemptSent) {
        onAttemptSent(entry, servers_.at(static_cast<std::size_t>(entry.server)));
    }
}

void SlowStartLoad::onAttemptSent(const LogEvent& entry, Server& server) {
    if (server.origin) return;
    const auto work = static_cast<double>(entry.number);
    ++totalAttempts_;
    totalWork_ += work;
    if (!isCold(server, entry.at)) return;
    if (!wasNotified(entry.router, entry.server)) {
        ++attemptsBeforeNotification_;
        return;
    }
    server.recentAttempts.push_back({entry.at, work});
    server.recentWork += work;
    while (server.recentAttempts.front().at <= entry.at - overloadWindow_ &&
           server.recentAttempts.size() > 1) {
        server.recentWork -= server.recentAttempts.front().work;
        server.recentAttempts.pop_front();
    }
    judge(server, entry.at);
}

void SlowStartLoad::judge(const Server& server, Nanos now) {
    const double meanWork = totalWork_ / totalAttempts_;
    const double workCapacity =
        server.capacity * capacityShare(server, now) * static_cast<double>(overloadWindow_);
    const Window window{server.recentWork / meanWork, overloadMultiple_ * workCapacity / meanWork};
    if (window.allowed <= 0) return;
    ++windowsJudged_;
    ratioSum_ += window.sent / window.allowed;
    largestExcess_ = std::max(largestExcess_, window.excess());
    if (window.sent / window.allowed > largestRatio()) largest_ = window;
}

}  // namespace poppyscale::testbed
