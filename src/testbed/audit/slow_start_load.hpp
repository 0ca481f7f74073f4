// Compares the work that all routers together sent to cold cache servers with what the settings allow.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <utility>
#include <vector>

#include "testbed/emulator/event_log.hpp"

namespace poppyscale::testbed {

// Gets the log's entries in their order. A cache server is cold from its start until its slow start is over.
// Each attempt that a router sends to a cold cache server after being notified of the server's
// start is judged together with those of the overload window before it, by the rule by which the
// emulated server stops: their work is compared with the overload multiple ("tip") times the work
// that the server can do in a window at its present share of its capacity. Both are expressed in
// attempts of the mean work seen so far. A miss counts with its whole work though it takes less, so
// these figures are at least the load that reaches the server.
class SlowStartLoad {
  public:
    explicit SlowStartLoad(const nlohmann::json& head);
    void onEvent(const LogEvent& entry);

    // One overload window at one cold cache server.
    struct Window {
        double sent = 0;     // attempts of all routers
        double allowed = 0;  // attempts that the settings allow, N below
        // How far `sent` is above N, in units of 2 * sqrt(N) + 2, which chance may add; negative below N.
        double excess() const;
    };
    int coldStarts() const { return coldStarts_; }        // cold starts of cache servers
    int overloadStops() const { return overloadStops_; }  // overload stops of cold cache servers
    const Window& largest() const { return largest_; }    // the window with the largest sent / allowed
    double largestRatio() const;                          // sent / allowed of that window
    double largestExcess() const { return windowsJudged_ > 0 ? largestExcess_ : 0; }  // over all windows
    double meanRatio() const;  // mean of sent / allowed over all windows
    // Share of the attempts at cold cache servers that came from routers which had not been
    // notified of the start yet, as when a new server has the address of an old one. No slow start
    // can limit these attempts, so they count in no window.
    double shareBeforeNotification() const;

  private:
    struct Attempt {
        Nanos at;
        double work;  // work in core-ns
    };
    struct Server {
        bool origin = false;
        double capacity = 0;  // core-ns per ns when warm
        Nanos startedAt = 0;  // 0: warm from the beginning
        std::deque<Attempt> recentAttempts;
        double recentWork = 0;
    };
    bool wasNotified(int router, int server) const;
    bool isCold(const Server& server, Nanos now) const;
    double capacityShare(const Server& server, Nanos now) const;
    void onAttemptSent(const LogEvent& entry, Server& server);
    void judge(const Server& server, Nanos now);

    double startShare_ = 1;
    Nanos slowStartTime_ = 0;
    double overloadMultiple_ = 0;
    Nanos overloadWindow_ = 0;
    std::vector<Server> servers_;
    // By (router, server): the start of the server that the router was last notified of.
    std::map<std::pair<int, int>, Nanos> knownStarts_;
    double totalAttempts_ = 0, totalWork_ = 0;  // sums over all cache servers
    int coldStarts_ = 0, overloadStops_ = 0;
    Window largest_;
    double largestExcess_ = 0, ratioSum_ = 0;
    std::int64_t windowsJudged_ = 0, attemptsBeforeNotification_ = 0;
};

}  // namespace poppyscale::testbed
