#include "testbed/audit/slow_start_load.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

namespace poppyscale::testbed {

double SlowStartLoad::Span::excess() const { return (sent - allowed) / (2 * std::sqrt(allowed) + 2); }

SlowStartLoad::SlowStartLoad(const nlohmann::json& head)
    : largestExcess_(std::numeric_limits<double>::lowest()) {
    const auto cold = head.value("cold", nlohmann::json::object());
    startShare_ = cold.value("share", 1.0);
    ramp_ = cold.value("ramp", Nanos{0});
    tip_ = cold.value("tip", 0.0);
    span_ = cold.value("span", Nanos{0});
}

double SlowStartLoad::largestShare() const {
    return largest_.allowed > 0 ? largest_.sent / largest_.allowed : 0;
}

double SlowStartLoad::meanSent() const { return judged_ > 0 ? shareSum_ / static_cast<double>(judged_) : 0; }

double SlowStartLoad::untoldShare() const {
    const auto all = static_cast<double>(judged_ + beforeNotification_);
    return all > 0 ? static_cast<double>(beforeNotification_) / all : 0;
}

bool SlowStartLoad::wasNotified(int router, int server) const {
    const auto told = knownStarts_.find({router, server});
    return told != knownStarts_.end() && told->second == all_.at(static_cast<std::size_t>(server)).startedAt;
}

bool SlowStartLoad::isCold(const Server& server, Nanos now) const {
    return !server.origin && server.startedAt > 0 && now - server.startedAt < ramp_;
}

double SlowStartLoad::capacityShare(const Server& server, Nanos now) const {
    const double warmed = static_cast<double>(now - server.startedAt) / static_cast<double>(ramp_);
    return startShare_ + (1 - startShare_) * std::clamp(warmed, 0.0, 1.0);
}

void SlowStartLoad::onEvent(const LogEvent& e) {
    if (e.kind == EventKind::server) {
        Server server;
        server.origin = wordAt(e.text, 3) == "origin";
        server.capacity = std::atof(std::string(wordAt(e.text, 4)).c_str());
        all_.push_back(std::move(server));
        return;
    }
    if (e.kind == EventKind::killed)
        std::erase_if(knownStarts_, [&](const auto& t) { return t.first.first == e.router; });
    if (e.server < 0) return;
    if (e.kind == EventKind::listed && e.text.starts_with("ready"))
        knownStarts_[{e.router, e.server}] = e.number;
    if (e.kind == EventKind::started) {
        Server& server = all_.at(static_cast<std::size_t>(e.server));
        server.startedAt = e.number;
        server.recent.clear();
        server.recentWork = 0;
        servers_ += !server.origin;
    } else if (e.kind == EventKind::fell) {
        falls_ += isCold(all_.at(static_cast<std::size_t>(e.server)), e.at);
    } else if (e.kind == EventKind::sent) {
        sent(e, all_.at(static_cast<std::size_t>(e.server)));
    }
}

void SlowStartLoad::sent(const LogEvent& e, Server& server) {
    if (server.origin) return;
    const auto work = static_cast<double>(e.number);
    ++attempts_;
    work_ += work;
    if (!isCold(server, e.at)) return;
    if (!wasNotified(e.router, e.server)) {
        ++beforeNotification_;
        return;
    }
    server.recent.push_back({e.at, work});
    server.recentWork += work;
    while (server.recent.front().at <= e.at - span_ && server.recent.size() > 1) {
        server.recentWork -= server.recent.front().work;
        server.recent.pop_front();
    }
    judge(server, e.at);
}

void SlowStartLoad::judge(const Server& server, Nanos now) {
    const double meanWork = work_ / attempts_;
    const double bearable = server.capacity * capacityShare(server, now) * static_cast<double>(span_);
    const Span span{server.recentWork / meanWork, tip_ * bearable / meanWork};
    if (span.allowed <= 0) return;
    ++judged_;
    shareSum_ += span.sent / span.allowed;
    largestExcess_ = std::max(largestExcess_, span.excess());
    if (span.sent / span.allowed > largestShare()) largest_ = span;
}

}  // namespace poppyscale::testbed
