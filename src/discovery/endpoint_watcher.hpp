// Keeps the endpoint list current: polls its source and passes each response to the request
// dispatcher.
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

// A poll without a response stays in flight beside newer ones, and the first response with a newer
// list is applied, so that the list of a slow source is received, too. With several sources, the
// watcher moves to another source after a failure and asks it for the changes since the known
// version. `PollPacing` decides when to poll and `SourceSelector` which source; this class applies
// their decisions to connections.
//
// Owns its polls. Loop, pool and dispatcher have to outlive the watcher. All calls are made on the
// loop's thread.
class EndpointWatcher : private EndpointPoll::Handler {
  public:
    struct Settings {
        std::vector<EndpointSource> sources;  // at least one source
        std::uint64_t sourceSeed = 0;         // seed for the random order of several sources
        std::int64_t version = 0;             // version of the list that is known at the start
        Nanos maxPollWait = 0;                // how long a long poll may wait at its source
        std::uint64_t seed = 0;               // seed for random pauses
        std::int64_t routerCount = 1;         // routers in the fleet
        std::size_t maxListBytes = 0;
        // The router counts as notified of a change as soon as the source has it, even without a
        // poll in flight.
        bool isPushed = false;
    };

    EndpointWatcher(transport::EventLoop& loop, transport::BufferPool& pool,
                    proxy::RequestDispatcher& dispatcher, Settings settings, proxy::Log log);

    // Polls now, unless the newest poll still awaits its response, or the next poll is scheduled
    // and the source is overloaded or one of several. Nothing is polled before the first call;
    // after it, the watcher repeats its polls without further calls.
    void pollNow();
    // Replaces the sources. If the current source is among the new ones, its polls stay in flight.
    // Otherwise polls at once for the complete list, as the new sources may number their versions
    // differently.
    void setSources(std::vector<EndpointSource> sources);
    void setRouterCount(std::int64_t routers) { pacing_.setRouterCount(routers); }

    // The source in use, or the next one to be polled.
    const std::string& currentSource() const { return source_.host; }
    std::size_t sourceCount() const { return sourceSet_ ? sourceSet_->sources.size() : 1; }
    // Number of polls sent since the start.
    std::uint64_t pollCount() const { return pollsSent_; }
    // Why the list is unavailable, from the first failure until the next usable response; empty
    // while it is available.
    const std::string& lastFailure() const { return lastFailure_; }
    // When the last usable response arrived, on the loop's clock.
    Nanos lastResponseAt() const { return lastResponseAt_; }

  private:
    // The state of choosing among several sources.
    struct SourceSet {
        std::vector<EndpointSource> sources;
        SourceSelector selector;
        Nanos logWindowStart = 0;         // start of the current kMoveLogWindow
        int loggedMoves = 0;              // logged source changes within the current window
        std::uint64_t unloggedMoves = 0;  // source changes since the last logged one
    };

    void onResponse(EndpointPoll& poll) override;
    void onFailed(EndpointPoll& poll, std::string_view reason) override;
    void onRequestSent() override { ++pollsSent_; }

    void replaceSources(std::vector<EndpointSource> sources);
    // Whether there are several sources, and the current one has not responded since it became
    // current.
    bool isProbing() const { return sourceSet_ && !sourceSet_->selector.isConfirmed(); }
    EndpointPoll::Request nextRequest();
    // Polls on a new connection, beside the polls in flight.
    void beginPoll();
    // Polls again on the connection of a poll that has its response.
    void pollAgain(EndpointPoll& poll);
    // Sets the timer to the time at which `poll` is overdue.
    void scheduleOverdue(const EndpointPoll& poll, const EndpointPoll::Request& request);
    // Called when the pause after a failure has ended, or when the newest poll is overdue.
    void onPollDue();
    void removePoll(EndpointPoll& poll);
    // Ends a poll that has its response, and polls an overloaded source again after a while.
    void pollLater(EndpointPoll& poll);
    void retryAfterPause();
    // Returns false if the list was refused for its version; the poll no longer exists then.
    bool applyResponse(EndpointPoll& poll);
    // Returns whether to apply a list older than the known one; if not, the poll has failed.
    bool acceptOlderVersion(EndpointPoll& poll, const protocol::EndpointList& list);
    // Makes the source of `poll` current again if another one was tried in the meantime.
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
    EndpointSource source_;
    std::unique_ptr<SourceSet> sourceSet_;  // null with a single source
    std::int64_t version_;
    bool needsCompleteList_ = false;  // the next poll requests the complete list, without a wait
    const bool isPushed_;
    PollPacing pacing_;
    transport::Timer nextPoll_;                         // fires when another poll is due
    std::vector<std::unique_ptr<EndpointPoll>> polls_;  // the oldest first
    EndpointPoll* longPoll_ = nullptr;  // the poll that waits for a change, until it is overdue
    // The newest poll, until it has its response, is overdue or has failed.
    const EndpointPoll* awaitedPoll_ = nullptr;
    std::uint64_t pollsSent_ = 0;
    std::string lastFailure_;
    Nanos lastResponseAt_;
};

}  // namespace poppyscale::discovery
