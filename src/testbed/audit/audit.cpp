#include "testbed/audit/audit.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <optional>
#include <tuple>

namespace poppyscale::testbed {
namespace {

constexpr Nanos kHotRestartOverlap = 600 * kMillisecond;
constexpr Nanos kForwardedTimeoutSlack = 150 * kMillisecond;
constexpr std::int64_t kMaxJudgedTimeoutMs = 1'000'000'000;  // above any deadline, and can't overflow in ns
constexpr std::size_t kMaxViolations = 1000;
// A longer value is passed on from its first byte on; a shorter one earns nothing once its deadline has
// passed.
constexpr std::int64_t kMaxCollectedValue = 64 * 1024;
// Clients tell their timeout in whole milliseconds, so that a deadline may be that much earlier at the
// router.
constexpr Nanos kTimeoutUnit = kMillisecond;
// A request on an open connection that is older has been read by its router.
constexpr Nanos kMaxReadDelay = 150 * kMillisecond;
// How late a router that is not held up gives its final responses, at most.
constexpr Nanos kMaxLateness = 20 * kMillisecond;
// How long, beyond the longest timeout, a router that is asked to stop passes on responses.
constexpr Nanos kMinStopTime = 500 * kMillisecond;

std::string toString(std::string_view word) { return std::string(word); }

// The number of the word `name=NUMBER` among `words`; nothing without that word.
std::optional<std::int64_t> fieldValue(std::string_view words, std::string_view name) {
    for (int at = 0; !wordAt(words, at).empty(); ++at) {
        const std::string_view word = wordAt(words, at);
        if (!word.starts_with(name) || word.substr(name.size(), 1) != "=") continue;
        return std::atoll(toString(word.substr(name.size() + 1)).c_str());
    }
    return std::nullopt;
}

}  // namespace

Audit::Audit(const nlohmann::json& head, Nanos tolerance)
    : tolerance_(tolerance),
      deadlineSlack_(head.at("slack").get<Nanos>()),
      drainGrace_(head.at("grace").get<Nanos>()),
      overloadWindow_(head.at("cold").at("span").get<Nanos>()),
      slowStartTime_(head.at("cold").at("ramp").get<Nanos>()),
      hasMachines_(head.value("machines", 0) > 0),
      hasHarmfulChange_(head.value("harmful", false)),
      longestTimeout_(head.value("longest", Nanos{0})) {
    for (const auto& rules : head.at("verbs"))
        requestClasses_.push_back({rules.at("name").get<std::string>(), rules.at("effect").get<int>(),
                                   rules.at("group").get<int>(), rules.at("remembered").get<Nanos>()});
}

void Audit::addViolation(const char* rule, const LogEvent& entry, std::string description) {
    if (violations_.size() >= kMaxViolations) return;
    const auto request = requests_.find(entry.requestId);
    const bool known = request != requests_.end();
    violations_.push_back({rule, entry.at, fmt::format("request {:x}: {}", entry.requestId, description),
                           known ? request->second.router : entry.router,
                           known ? request->second.deadline : entry.at});
}

Audit::Request* Audit::requestOf(const LogEvent& entry) {
    const auto it = requests_.find(entry.requestId);
    return it == requests_.end() ? nullptr : &it->second;
}

Audit::Attempt* Audit::attemptOf(const LogEvent& entry) {
    Request* const request = requestOf(entry);
    if (!request) return nullptr;
    for (Attempt& attempt : request->attempts)
        if (attempt.id == entry.attemptId) return &attempt;
    return nullptr;
}

bool Audit::mayHaveExecuted(const Request& request) const {
    for (const Attempt& attempt : request.attempts)
        if (!attempt.neverExecuted) return true;
    return false;
}

void Audit::onEvent(const LogEvent& entry) {
    switch (entry.kind) {
        case EventKind::serverAdded: {
            if (entry.server != static_cast<int>(servers_.size()))
                throw EventLogError(fmt::format("event log: server {} is listed out of order", entry.server));
            servers_.push_back({toString(wordAt(entry.text, 0)),
                                toString(wordAt(entry.text, 1)),
                                toString(wordAt(entry.text, 2)),
                                wordAt(entry.text, 3) == "origin",
                                std::atof(toString(wordAt(entry.text, 4)).c_str()),
                                entry.number,
                                {}});
            break;
        }
        case EventKind::requestSent: {
            Request request;
            for (const RequestClassRules& rules : requestClasses_)
                if (rules.name == wordAt(entry.text, 0)) request.requestClass = &rules;
            if (!request.requestClass)
                throw EventLogError("event log: a request has a class that the head's 'verbs' do not list");
            request.router = entry.router;
            request.issuedAt = entry.at;
            request.deadline = entry.number;
            if (!requests_.emplace(entry.requestId, std::move(request)).second)
                throw EventLogError("event log: two 'asked' entries have the same request");
            break;
        }
        case EventKind::answered:
            onAnswered(entry);
            break;
        case EventKind::rejected:
            onRejected(entry);
            break;
        case EventKind::failed:
            if (Request* const request = requestOf(entry)) onFinalResponse(entry, *request);
            break;
        case EventKind::unsent:
            onUnsent(entry);
            break;
        case EventKind::slowReplyBegun:
            onSlowReplyBegun(entry);
            break;
        case EventKind::slowReplyCut:
            onSlowReplyCut(entry);
            break;
        case EventKind::responseBegun:
            if (Request* const request = requestOf(entry)) request->responseBegunAt = entry.at;
            break;
        case EventKind::unanswered:
            if (Request* const request = requestOf(entry)) {
                request->isUnanswered = true;
                addViolation(
                    "lost", entry,
                    fmt::format("no answer by its deadline at {} ms", request->deadline / kMillisecond));
            }
            break;
        case EventKind::clientDisconnected:
            if (Request* const request = requestOf(entry)) request->hasClientLeft = true;
            break;
        case EventKind::attemptSent:
            onAttemptSent(entry);
            break;
        case EventKind::executionStarted:
            if (Request* const request = requestOf(entry)) {
                if (request->requestClass->effect == 0) break;
                for (Attempt& attempt : request->attempts) {
                    if (attempt.id == entry.attemptId) attempt.hasExecuted = true;
                    // A request with an idempotency key may execute again on a server that does not know
                    // the key; onAttemptSent() checks whether it may be sent there.
                    else if (attempt.hasExecuted && request->requestClass->effect == 2)
                        addViolation("twice", entry,
                                     fmt::format("executed at {} and at {}",
                                                 servers_.at(static_cast<std::size_t>(attempt.server)).name,
                                                 servers_.at(static_cast<std::size_t>(entry.server)).name));
                }
            }
            break;
        case EventKind::attemptEnded:
            if (Attempt* const attempt = attemptOf(entry)) {
                if (attempt->endedAt < 0) attempt->endedAt = entry.at;
                const auto outcome = wordAt(entry.text, 0);
                if (outcome == "value") attempt->valueToken = wordAt(entry.text, 1);
                attempt->neverExecuted = outcome == "busy" || outcome == "miss";
                const Server& server = servers_.at(static_cast<std::size_t>(attempt->server));
                if (outcome == "miss" && server.startedAt > 0 && entry.at - server.startedAt < slowStartTime_)
                    requestOf(entry)->missedAtColdCache = true;
            }
            break;
        case EventKind::closed:
        case EventKind::connectionBroken:
            if (Attempt* const attempt = attemptOf(entry); attempt && attempt->endedAt < 0)
                attempt->endedAt = entry.at;
            break;
        case EventKind::listed: {
            KnownEndpoint& endpoint = knownEndpoints_[{entry.router, entry.server}];
            if (entry.text.starts_with("ready")) {
                endpoint.leavingSince = -1;
                endpoint.startedAt = entry.number;
            } else if (endpoint.leavingSince < 0) {
                endpoint.leavingSince = entry.at;
            }
            break;
        }
        case EventKind::started: {
            Server& server = servers_.at(static_cast<std::size_t>(entry.server));
            server.startedAt = entry.number;
            server.recentAttempts.clear();
            break;
        }
        case EventKind::serverOverloaded:
            onServerOverloaded(entry);
            break;
        case EventKind::killed:
            downSince_[entry.router] = entry.at;
            if (entry.text == "by itself")
                addViolation("crash", entry, fmt::format("router {} exited unexpectedly", entry.router));
            for (auto it = knownEndpoints_.begin(); it != knownEndpoints_.end();)
                it = it->first.first == entry.router ? knownEndpoints_.erase(it) : std::next(it);
            break;
        case EventKind::stopping:
            downSince_[entry.router] = entry.at;
            stoppingSince_[entry.router] = entry.at;
            break;
        case EventKind::up:
            downSince_.erase(entry.router);
            stoppingSince_.erase(entry.router);
            upSince_[entry.router] = entry.at;
            break;
        case EventKind::statement:
            onClaim(entry);
            break;
        case EventKind::fault:
            faults_.note(entry);
            break;
        case EventKind::testbedLateness:
        case EventKind::opened:
            break;
    }
}

void Audit::onClaim(const LogEvent& entry) {
    const auto recordInterval = [&](auto& intervals, bool begins) {
        auto& ofRouter = intervals[entry.router];
        if (begins)
            ofRouter.push_back({entry.number, std::numeric_limits<Nanos>::max()});
        else if (!ofRouter.empty())
            ofRouter.back().to = entry.number;
    };
    const auto subject = wordAt(entry.text, 0), outcome = wordAt(entry.text, 1);
    if (subject == "away") recordInterval(awayIntervals_, outcome == "begins");
    if (subject == "change") recordInterval(changedIntervals_, outcome == "begins");
    if (subject == "runs") runningProgram_[entry.router] = toString(outcome);
    if (subject == "roll" && outcome == "ends") rolloutOutcome_ = toString(wordAt(entry.text, 2));
}

// Returns whether a violation does not count. These do not: a wrong forwarded timeout while a machine's clock
// was wrong, a missing answer of a router that was away, and anything that a router did while it ran a change
// that the scenario rolls out as harmful. Agents and testbed read the same clock, but their reports may be
// late by the tolerance.
bool Audit::isExcused(const Violation& violation) const {
    if (violation.router < 0) return false;
    const Nanos slack = 4 * std::max<Nanos>(tolerance_, kMillisecond);
    if (violation.rule == "time" &&
        faults_.areClocksWrong(violation.at - longestTimeout_ - slack, violation.at))
        return true;
    const auto away = awayIntervals_.find(violation.router);
    if (violation.rule == "lost" && away != awayIntervals_.end() &&
        overlapsAny(away->second, violation.at - longestTimeout_ - deadlineSlack_ - slack,
                    std::max(violation.deadline, violation.at) + slack))
        return true;
    const auto changed = changedIntervals_.find(violation.router);
    // After a hot restart back to the old program, the defective process still accepts requests on its open
    // connections for half a second.
    return hasHarmfulChange_ && changed != changedIntervals_.end() &&
           overlapsAny(changed->second,
                       violation.at - longestTimeout_ - deadlineSlack_ - slack - kHotRestartOverlap,
                       violation.at + slack);
}

// A request that its client sent to a router which was up, or which had just been asked to stop and read the
// request, has to be answered. A response may break off together with the reply that is passed on.
void Audit::onUnsent(const LogEvent& entry) {
    Request* const request = requestOf(entry);
    if (!request) return;
    const bool isBroken = (request->responseBegunAt >= 0 && request->isSlowReplyBroken) ||
                          (entry.text == "broken" && faults_.areConnectionsFailing(entry.at));
    const auto downSince = downSince_.find(request->router);
    // A request that was refused just before the router came up may be logged after that.
    const bool isUp = downSince == downSince_.end() && request->issuedAt >= upSince_[request->router];
    const auto stopping = stoppingSince_.find(request->router);
    const bool wasRead = entry.text == "broken" && entry.at - request->issuedAt > kMaxReadDelay;
    const bool wasStopping = wasRead && !hasMachines_ && stopping != stoppingSince_.end();
    // A process has to end some time after the longest timeout, even while it passes on a response.
    const bool isEndOfProcess = wasStopping && request->responseBegunAt >= 0 &&
                                entry.at >= stopping->second + longestTimeout_ + kMinStopTime;
    if (!isBroken && isUp)
        addViolation("lost", entry,
                     "its router was up, and closed or refused the connection without an answer");
    else if (!isBroken && wasStopping && !isEndOfProcess)
        addViolation("lost", entry, "its router closed the connection without an answer while it stopped");
    request->hasClientLeft = true;
}

// A server that stops in the middle of its reply breaks it.
void Audit::onSlowReplyBegun(const LogEvent& entry) {
    Request* const request = requestOf(entry);
    if (!request) return;
    request->slowReplyLength = fieldValue(entry.text, "length").value_or(0);
    const bool isStopped = fieldValue(entry.text, "stop").value_or(0) != 0;
    if (isStopped) request->isSlowReplyBroken = true;
}

// After the deadline, a router may give up a short reply, and a long one of which it has no byte of the
// value.
void Audit::onSlowReplyCut(const LogEvent& entry) {
    Request* const request = requestOf(entry);
    if (!request) return;
    if (entry.text == "broken" || faults_.areConnectionsFailing(entry.at)) {
        request->isSlowReplyBroken = true;
        return;
    }
    const bool canBePassedOn = request->slowReplyLength > kMaxCollectedValue && entry.number > 0;
    // A request that a router reads after a hold-up counts as having arrived when that began.
    const Nanos earlier = kTimeoutUnit + faults_.allowedHoldUp(request->issuedAt);
    const bool mayGiveUp = entry.at + earlier >= request->deadline && !canBePassedOn;
    if (entry.text == "closed" && !mayGiveUp) request->isSlowReplyClosed = true;
}

void Audit::onFinalResponse(const LogEvent& entry, Request& request) {
    ++request.finalResponses;
    if (request.hasClientLeft || request.isUnanswered) return;
    if (request.finalResponses > 1) addViolation("lost", entry, "a second final response");
    const Nanos at = request.responseBegunAt >= 0 ? request.responseBegunAt : entry.at;
    const Nanos holdUp = faults_.allowedHoldUp(request.deadline);
    const Nanos slack = holdUp > 0 ? std::max(deadlineSlack_, holdUp + kMaxLateness) : deadlineSlack_;
    if (at > request.deadline + slack)
        addViolation("lost", entry, "its final response came after its deadline");
    const bool isRefused = entry.kind == EventKind::rejected || entry.kind == EventKind::failed;
    if (isRefused && request.isSlowReplyClosed && !downSince_.contains(request.router))
        addViolation("cut", entry, "its router had closed the connection on which its reply was arriving");
}

void Audit::onAnswered(const LogEvent& entry) {
    Request* const request = requestOf(entry);
    if (!request) return addViolation("foreign", entry, "response to a request that no client sent");
    onFinalResponse(entry, *request);
    for (const Attempt& attempt : request->attempts)
        if (!attempt.valueToken.empty() && attempt.valueToken == entry.text) return;
    addViolation(
        "foreign", entry,
        fmt::format("answered with '{}', which no server returned for it", entry.text.substr(0, 40)));
}

void Audit::onRejected(const LogEvent& entry) {
    Request* const request = requestOf(entry);
    if (!request) return;
    onFinalResponse(entry, *request);
    // A rejection tells the client that it may safely send the request again.
    const bool mustNotRepeat = request->requestClass->effect == 2 ||
                               (request->requestClass->effect == 1 && request->requestClass->group != 0);
    if (mustNotRepeat && mayHaveExecuted(*request))
        addViolation("twice", entry, "rejected with Retry-After although it may have been executed");
}

void Audit::onAttemptSent(const LogEvent& entry) {
    const auto index = static_cast<std::size_t>(entry.server);
    Server& server = servers_.at(index);
    const auto endpoint = knownEndpoints_.find({entry.router, entry.server});
    if (endpoint != knownEndpoints_.end() && endpoint->second.leavingSince >= 0 &&
        entry.at > endpoint->second.leavingSince + drainGrace_ + tolerance_)
        addViolation(
            "drain", entry,
            fmt::format("attempt sent to {} {} ms after router {} was told that it is draining or gone",
                        server.name, (entry.at - endpoint->second.leavingSince) / kMillisecond,
                        entry.router));
    Request* const request = requestOf(entry);
    const bool knewStart =
        endpoint != knownEndpoints_.end() && endpoint->second.startedAt == server.startedAt;
    server.recentAttempts.push_back({entry.at, static_cast<double>(entry.number),
                                     server.origin ? request && request->missedAtColdCache : knewStart});
    while (!server.recentAttempts.empty() && server.recentAttempts.front().at <= entry.at - overloadWindow_)
        server.recentAttempts.pop_front();
    if (!request) return addViolation("foreign", entry, "attempt for a request that no client sent");
    judgeForwardedTimeout(entry, *request);
    for (const Attempt& earlier : request->attempts) {
        if (earlier.neverExecuted || request->requestClass->effect == 0) continue;
        const Server& earlierServer = servers_.at(static_cast<std::size_t>(earlier.server));
        if (request->requestClass->effect == 2) {
            addViolation("twice", entry,
                         fmt::format("sent to {} although it may have been executed at {}", server.name,
                                     earlierServer.name));
            break;
        }
        const bool sharesIdempotencyKeys =
            request->requestClass->group == 0 ||
            (request->requestClass->group == 1 && earlierServer.zone == server.zone) ||
            (request->requestClass->group == 2 && earlierServer.cell == server.cell);
        if (!sharesIdempotencyKeys ||
            entry.at > earlier.sentAt + request->requestClass->idempotencyKeyTtl + tolerance_) {
            addViolation("twice", entry,
                         fmt::format("sent to {}, which may not know the idempotency key that was sent to {}",
                                     server.name, earlierServer.name));
            break;
        }
    }
    request->attempts.push_back({entry.attemptId, entry.server, entry.at, -1, false, false, {}});
}

// The timeout that an attempt forwards to its server may be at most the time left until the client's
// deadline. An attempt without a timeout is not checked. An attempt that the testbed may have read late is
// checked against the time that was left when it may have arrived.
void Audit::judgeForwardedTimeout(const LogEvent& entry, const Request& request) {
    const auto forwardedMs = fieldValue(entry.text, "d");
    if (!forwardedMs) return;
    const Nanos delayedBy = fieldValue(entry.text, "held").value_or(0) * kMillisecond;
    const Nanos remaining = request.deadline - (entry.at - delayedBy);
    const Nanos forwarded = std::min(*forwardedMs, kMaxJudgedTimeoutMs) * kMillisecond;
    if (forwarded <= remaining + kForwardedTimeoutSlack) return;
    addViolation(
        "time", entry,
        fmt::format("attempt to {} forwards a timeout of {} ms, but {} ms are left until the deadline",
                    servers_.at(static_cast<std::size_t>(entry.server)).name, *forwardedMs,
                    remaining / kMillisecond));
}

void Audit::onServerOverloaded(const LogEvent& entry) {
    Server& server = servers_.at(static_cast<std::size_t>(entry.server));
    double totalWork = 0, countedWork = 0;
    for (const auto& attempt : server.recentAttempts) {
        if (attempt.at <= entry.at - overloadWindow_) continue;
        totalWork += attempt.work;
        if (attempt.isCounted) countedWork += attempt.work;
    }
    const double minCountedShare = server.origin ? 0.5 : 2.0 / 3;
    if (totalWork > 0 && countedWork >= minCountedShare * totalWork)
        addViolation("cold", entry,
                     fmt::format("{} stopped under overload, {:.0f}% of its recent work came from {}",
                                 server.name, 100 * countedWork / totalWork,
                                 server.origin ? "misses at cold cache servers"
                                               : "routers that had been told of its start"));
    server.recentAttempts.clear();
}

const std::vector<Violation>& Audit::finish() {
    for (const auto& [id, request] : requests_)
        for (std::size_t i = 1; i < request.attempts.size(); ++i)
            for (std::size_t j = 0; j < i; ++j)
                if (request.attempts[j].endedAt < 0 ||
                    request.attempts[j].endedAt > request.attempts[i].sentAt + tolerance_) {
                    LogEvent entry;
                    entry.requestId = id;
                    entry.at = request.attempts[i].sentAt;
                    addViolation("twice", entry, "two attempts in flight at once");
                }
    if (hasMachines_)
        std::erase_if(violations_, [this](const Violation& violation) { return isExcused(violation); });
    for (const auto& [router, program] : runningProgram_) {
        const bool contradicts = (rolloutOutcome_ == "went" && program != "change") ||
                                 (rolloutOutcome_ == "undone" && program != "before");
        if (contradicts)
            violations_.push_back({"roll", 0,
                                   fmt::format("the rollout ended as '{}', but router {} runs '{}'",
                                               rolloutOutcome_, router, program),
                                   router, 0});
    }
    std::sort(violations_.begin(), violations_.end(), [](const Violation& a, const Violation& b) {
        return std::tie(a.at, a.rule, a.description) < std::tie(b.at, b.rule, b.description);
    });
    return violations_;
}

}  // namespace poppyscale::testbed
