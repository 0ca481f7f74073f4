// Keeps the endpoint list current: polls its source and passes each response to the request dispatcher.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/endpoint_poll.hpp"
#include "discovery/poll_pacing.hpp"
#include "discovery/source_selector.hpp"
#include "proxy/request_dispatcher.hpp"

namespace poppyscale::discovery {

// A poll without a response stays in flight beside newer ones, and whichever brings the newer list is
// applied: a slow source is heard all the same. With several sources, a failure moves the watcher on to
// another one, which is asked for what is newer than the known version. `PollPacing` and `SourceSelector`
// decide when and whom; this class joins them with connections.
//
// Owns its polls. Loop, pool and dispatcher have to outlive it; all is called on the loop's thread.
class EndpointWatcher : private EndpointPoll::Handler {
  public:
    struct Settings {
        std::vector<DiscoveryAddress> sources;  // at least one
        std::uint64_t sourceSeed = 0;           // for the random choice among several
        std::int64_t version = 0;               // of the list that is known at the start
        Nanos maxPollWait = 0;                  // that a long poll may wait at its source
        std::uint64_t seed = 0;                 // for random pauses
        std::int64_t routerCount = 1;           // in the fleet
        std::size_t maxListBytes = 0;
        bool isPushed =
            false;  // what the source has counts as known at once, whether or not a poll is in flight
    };

    EndpointWatcher(transport::EventLoop& loop, transport::BufferPool& pool, proxy::RequestDispatcher& core,
                    Settings settings, proxy::Log log);

    // Polls now, unless a poll is due anyway. Nothing is polled before the first call; from then on the
    // watcher goes on by itself.
    void start();
    // Replaces the sources and polls at once for the complete list, whose versions may be counted otherwise.
    // If the current source is among the new ones, its polls stay in flight.
    void setSources(std::vector<DiscoveryAddress> sources);
    void setRouterCount(std::int64_t routers) { pacing_.setRouterCount(routers); }

    // In use, or the next to be polled.
    const std::string& currentSource() const { return source_.host; }
    std::size_t sourceCount() const { return sourceSet_ ? sourceSet_->addresses.size() : 1; }
    // Polls sent since the start.
    std::uint64_t pollCount() const { return pollsSent_; }
    // Why the list is unavailable, from the first failure until the next usable response; empty while it is
    // available.
    const std::string& lastFailure() const { return lastFailure_; }
    // When the last usable response came, on the loop's clock.
    Nanos lastHeardAt() const { return lastHeardAt_; }

  private:
    // The state of choosing among several sources.
    struct SourceSet {
        std::vector<DiscoveryAddress> addresses;
        SourceSelector selector;
        Nanos logWindowStart = 0;         // of the bound on logged moves
        int loggedMoves = 0;              // within that window
        std::uint64_t unloggedMoves = 0;  // since the last logged one
    };

    void onResponse(EndpointPoll& poll) override;
    void onFailed(EndpointPoll& poll, std::string_view reason) override;
    void onRequestSent() override { ++pollsSent_; }

    void replaceSources(std::vector<DiscoveryAddress> sources);
    // The current source has not responded since it was chosen.
    bool isProbing() const { return sourceSet_ && !sourceSet_->selector.isConfirmed(); }
    EndpointPoll::Request nextRequest();
    // Polls on a new connection, beside the polls in flight.
    void beginPoll();
    // Polls again on the connection of a poll that has its response.
    void pollAgain(EndpointPoll& poll);
    void scheduleOverdue(const EndpointPoll& poll, const EndpointPoll::Request& request);
    // The pause after a failure has ended, or the newest poll has no response in time.
    void onPollDue();
    void drop(EndpointPoll& poll);
    void pollLater(EndpointPoll& poll);
    void retryAfterPause();
    // False when the poll has failed by what it brought.
    bool applyResponse(EndpointPoll& poll);
    // Whether a response of a version below the known one is applied; if not, its poll has failed.
    bool acceptOlderVersion(EndpointPoll& poll, const protocol::EndpointList& list);
    // A source that responds after another one was tried is the current one again.
    void resumeAtSourceOf(const EndpointPoll& poll);
    void recordFailure(std::string_view reason, const EndpointPoll& poll);
    void moveToNextSource(std::string_view reason);
    void logMove(std::string_view reason);

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    proxy::RequestDispatcher& dispatcher_;
    const Nanos maxPollWait_;
    const std::uint64_t sourceSeed_;
    const std::size_t maxListBytes_;
    proxy::Log log_;
    DiscoveryAddress source_;
    std::unique_ptr<SourceSet> sourceSet_;  // null with a single source
    std::int64_t version_;
    bool needsCompleteList_ = false;  // the next poll asks for the complete list, without waiting
    const bool isPushed_;
    PollPacing pacing_;
    transport::Timer nextPoll_;                         // fires when another poll is due
    std::vector<std::unique_ptr<EndpointPoll>> polls_;  // the oldest first
    EndpointPoll* longPoll_ = nullptr;  // the one that waits for a change, until it is overdue
    const EndpointPoll* unanswered_ =
        nullptr;  // the newest poll, until it has its response, is overdue or has failed
    std::uint64_t pollsSent_ = 0;
    std::string lastFailure_;
    Nanos lastHeardAt_;
};

}  // namespace poppyscale::discovery
