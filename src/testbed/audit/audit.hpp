// Checks the rules of a run from its event log alone. It shares no code with the router or its policy: each
// rule is implemented here a second time on purpose, so that a mistake in one does not hide in the other.
#pragma once

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "testbed/audit/fault_intervals.hpp"
#include "testbed/emulator/event_log.hpp"

namespace poppyscale::testbed {

struct Violation {
    std::string rule;  // lost, cut, twice, foreign, drain, cold, time, crash or roll
    Nanos at = 0;
    std::string description;
    int router = -1;
    Nanos deadline = 0;  // deadline of the request; `at` if no request is known
};

class Audit {
  public:
    // `tolerance` is the longest time by which events of two sockets may be logged in the wrong order.
    explicit Audit(const nlohmann::json& head, Nanos tolerance = 0);

    void onEvent(const LogEvent& entry);
    // To be called after the last entry. The violations are sorted by time.
    const std::vector<Violation>& finish();

  private:
    struct RequestClassRules {
        std::string name;
        int effect = 2;  // 0: safe to repeat, 1: idempotent with key, 2: not idempotent
        int group = 0;  // servers that share idempotency keys: 0: all, 1: those of a zone, 2: those of a cell
        Nanos idempotencyKeyTtl = 0;
    };
    struct Attempt {
        std::uint64_t id = 0;
        int server = 0;
        Nanos sentAt = 0;
        Nanos endedAt = -1;  // -1: in flight
        bool neverExecuted = false;
        bool hasExecuted = false;
        std::string valueToken;
    };
    struct Request {
        const RequestClassRules* requestClass = nullptr;
        int router = 0;
        Nanos issuedAt = 0;
        Nanos deadline = 0;
        int finalResponses = 0;
        bool hasClientLeft = false;
        bool isUnanswered = false;
        Nanos responseBegunAt = -1;  // when the client got the first byte of a response; -1: not yet
        std::int64_t slowReplyLength =
            0;                           // bytes of the value of the last reply that was sent late or slowly
        bool isSlowReplyBroken = false;  // by the server or the network
        bool isSlowReplyClosed = false;  // by the router, before the deadline or with a part of the value
        bool missedAtColdCache = false;
        std::vector<Attempt> attempts;
    };
    struct Server {
        std::string name, zone, cell;
        bool origin = false;
        double capacity = 1;
        Nanos startedAt = 0;
        // Rule `cold` counts an attempt at a cache server whose router had been notified of the
        // server's last start, and an attempt at the origin whose request had missed at a cold
        // cache server.
        struct RecentAttempt {
            Nanos at;
            double work;
            bool isCounted;  // rule `cold` counts the attempt
        };
        std::deque<RecentAttempt> recentAttempts;
    };
    struct KnownEndpoint {
        // Since when the router has known that the server is draining or gone; -1: it is ready.
        Nanos leavingSince = -1;
        Nanos startedAt = -1;
    };

    void addViolation(const char* rule, const LogEvent& entry, std::string description);
    void onAttemptSent(const LogEvent& entry);
    void judgeForwardedTimeout(const LogEvent& entry, const Request& request);
    void onAnswered(const LogEvent& entry);
    void onRejected(const LogEvent& entry);
    void onServerOverloaded(const LogEvent& entry);
    Attempt* attemptOf(const LogEvent& entry);
    Request* requestOf(const LogEvent& entry);
    void onSlowReplyBegun(const LogEvent& entry);
    void onSlowReplyCut(const LogEvent& entry);
    void onUnsent(const LogEvent& entry);
    void onFinalResponse(const LogEvent& entry, Request& request);
    bool mayHaveExecuted(const Request& request) const;

    Nanos tolerance_;
    Nanos deadlineSlack_;
    Nanos drainGrace_;
    Nanos overloadWindow_;
    Nanos slowStartTime_;
    std::vector<RequestClassRules> requestClasses_;
    std::unordered_map<std::uint64_t, Request> requests_;
    std::vector<Server> servers_;
    std::map<std::pair<int, int>, KnownEndpoint> knownEndpoints_;
    // By router: when its process last ended or was asked to stop; no entry while the router is up.
    std::map<int, Nanos> downSince_;
    // By router: when it was asked to stop; no entry once it has come up again.
    std::map<int, Nanos> stoppingSince_;
    std::map<int, Nanos> upSince_;  // by router: when it last became reachable

    FaultIntervals faults_;
    void onClaim(const LogEvent& entry);
    bool isExcused(const Violation& violation) const;
    bool hasMachines_ = false, hasHarmfulChange_ = false;
    Nanos longestTimeout_ = 0;
    // By router, as its agent and the testbed report it: when it was away (down, stopping or suspended), and
    // when it ran the change.
    std::map<int, std::vector<Interval>> awayIntervals_, changedIntervals_;
    std::map<int, std::string> runningProgram_;  // by router: its program, "change" or "before"
    std::string rolloutOutcome_;
    std::vector<Violation> violations_;
};

}  // namespace poppyscale::testbed
