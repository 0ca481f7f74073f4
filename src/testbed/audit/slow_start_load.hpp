// How much work cold cache servers got from all routers together, beside what their settings allow.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <utility>
#include <vector>

#include "testbed/emulator/event_log.hpp"

namespace poppyscale::testbed {

// Told of the log's entries in their order. A cache server is cold from its start until its ramp is over.
// Each attempt that is written to one by a router that was told of its start is judged with those of the span
// before it, as the server's own fall is: by their work beside `tip` times what it can do in a span at its
// present share of its capacity. Both are counted in attempts of the mean work seen so far. A miss counts
// whole, though it takes less: what is told here is at least what the server judges.
class SlowStartLoad {
  public:
    explicit SlowStartLoad(const nlohmann::json& head);
    void onEvent(const LogEvent& entry);

    // One span at one cold cache server.
    struct Span {
        double sent = 0;     // attempts, of all routers
        double allowed = 0;  // N: as many as its settings allow then
        // Of what chance may add to N, 2 * sqrt(N) + 2, the part that was used; below 0 if N was not reached.
        double excess() const;
    };
    int servers() const { return servers_; }          // times that a cache server came up cold
    int falls() const { return falls_; }              // of cold cache servers
    const Span& largest() const { return largest_; }  // by sent / allowed
    double largestShare() const;                      // its sent / allowed
    double largestExcess() const { return judged_ > 0 ? largestExcess_ : 0; }  // of all spans
    double meanSent() const;  // sent / allowed, over all spans
    // Of the attempts at cold cache servers those of routers that weren't told of the start yet, as where a
    // new server has the address of an old one. No budget can hold them, so they count in no span.
    double untoldShare() const;

  private:
    struct Attempt {
        Nanos at;
        double work;  // core-ns
    };
    struct Server {
        bool origin = false;
        double capacity = 0;  // core-ns a ns, when warm
        Nanos startedAt = 0;  // 0: long ago
        std::deque<Attempt> recent;
        double recentWork = 0;
    };
    bool wasNotified(int router, int server) const;
    bool isCold(const Server& server, Nanos now) const;
    double capacityShare(const Server& server, Nanos now) const;
    void sent(const LogEvent& entry, Server& server);
    void judge(const Server& server, Nanos now);

    double startShare_ = 1;
    Nanos ramp_ = 0;
    double tip_ = 0;
    Nanos span_ = 0;
    std::vector<Server> all_;
    std::map<std::pair<int, int>, Nanos> knownStarts_;  // by router and server: the start that it was told of
    double attempts_ = 0, work_ = 0;                    // at all cache servers
    int servers_ = 0, falls_ = 0;
    Span largest_;
    double largestExcess_ = 0, shareSum_ = 0;
    std::int64_t judged_ = 0, beforeNotification_ = 0;
};

}  // namespace poppyscale::testbed
