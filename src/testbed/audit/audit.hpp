// The rules of a day, judged from a log alone. Shares nothing with the router or the module: what is written
// here of a rule is written a second time on purpose.
#pragma once

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "testbed/emulator/event_log.hpp"

namespace poppyscale::testbed {

struct Violation {
    std::string rule;  // lost, twice, foreign, drain, cold, time, crash or roll
    Nanos at = 0;
    std::string what;
    int router = -1;
    Nanos until = 0;  // of a command: by when it was to have its answer
};

class Audit {
  public:
    // `tolerance`: by how much what two sockets tell may be seen in the wrong order.
    explicit Audit(const nlohmann::json& head, Nanos tolerance = 0);

    void onEvent(const LogEvent& entry);
    // After the last entry.
    const std::vector<Violation>& finish();

  private:
    struct RequestClassRules {
        std::string name;
        int effect = 2;  // 0 pure, 1 receipted, 2 effectful
        int group = 0;   // 0 all, 1 zone, 2 cell
        Nanos remembered = 0;
    };
    struct Run {
        std::uint64_t run = 0;
        int server = 0;
        Nanos sentAt = 0;
        Nanos outUntil = -1;  // -1: still out
        bool neverRan = false;
        bool began = false;
        std::string token;
    };
    struct Command {
        const RequestClassRules* requestClass = nullptr;
        int router = 0;
        Nanos askedAt = 0;
        Nanos limit = 0;
        int finals = 0;
        bool left = false;
        bool silent = false;
        bool missedCold = false;
        std::vector<Run> runs;
    };
    struct Server {
        std::string name, zone, cell;
        bool origin = false;
        double capacity = 1;
        Nanos startedAt = 0;
        struct Piece {
            Nanos at;
            double work;
            bool counts;  // told of its start, or at the origin a miss at a cold cache made it
        };
        std::deque<Piece> recent;
    };
    struct KnownEndpoint {
        Nanos awayAt = -1;  // draining or gone since
        Nanos startedAt = -1;
    };

    void addViolation(const char* rule, const LogEvent& entry, std::string what);
    void onAttemptSent(const LogEvent& entry);
    void judgeForwardedTimeout(const LogEvent& entry, const Command& command);
    void noteClockFault(const LogEvent& entry);
    void onAnswered(const LogEvent& entry);
    void onRejected(const LogEvent& entry);
    void onServerFell(const LogEvent& entry);
    Run* runOf(const LogEvent& entry);
    Command* commandOf(const LogEvent& entry);
    void onFinalResponse(const LogEvent& entry, Command& command);
    bool mayHaveExecuted(const Command& command) const;

    Nanos tolerance_;
    Nanos slack_;
    Nanos grace_;
    Nanos span_;
    Nanos ramp_;
    std::vector<RequestClassRules> requestClasses_;
    std::unordered_map<std::uint64_t, Command> commands_;
    std::vector<Server> servers_;
    std::map<std::pair<int, int>, KnownEndpoint> knownEndpoints_;
    std::map<int, Nanos> goneAt_;  // routers: when last killed or told to stop
    std::map<int, Nanos> upAt_;    // and when last up
    // On machines: since when a router was away, or ran the change, by what its agent and the testbed say.
    struct Span {
        Nanos from, to;
    };
    std::vector<Span> clockFaults_;  // while some machine's monotonic clock goes wrong
    static bool within(const std::vector<Span>& spans, Nanos from, Nanos to);
    void claims(const LogEvent& entry);
    bool excused(const Violation& breach) const;
    bool machines_ = false, harmful_ = false;
    Nanos longest_ = 0;
    std::map<int, std::vector<Span>> away_, changed_;
    std::map<int, std::string> runs_;
    std::string rolled_;
    std::vector<Violation> violations_;
};

}  // namespace poppyscale::testbed
