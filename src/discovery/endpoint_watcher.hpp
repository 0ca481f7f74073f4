// The watch on the server list: calls to its source, each answer told to the core. A call without an answer
// stays out beside newer ones, and whichever tells more is taken. With several sources of the list, a failure
// moves it on to another one, which is asked for what is newer than the known version.
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

class EndpointWatcher : private EndpointPoll::Handler {
  public:
    struct Settings {
        std::vector<DiscoveryAddress> sources;  // at least one
        std::uint64_t sourceSeed = 0;           // what the choice among several is drawn from
        std::int64_t version = 0;               // of the list that is known
        Nanos maxPollWait = 0;                  // of a call at its source
        std::uint64_t seed = 0;
        std::int64_t routerCount = 1;  // in the fleet
        std::size_t maxListBytes = 0;  // bytes
        bool isPushed = false;         // what the source has counts as told at once
    };

    EndpointWatcher(transport::EventLoop& loop, transport::BufferPool& pool, proxy::RequestDispatcher& core,
                    Settings settings, proxy::Log log);

    // Nothing is asked before the first call of this; from then on the watch asks by itself.
    void start();
    // The list is to be had elsewhere. Asked at once and for all of the list: its versions may not be those
    // that were counted before. Where the source in use is among the new ones, calls that are out to it stay.
    void setSources(std::vector<DiscoveryAddress> sources);
    void setRouterCount(std::int64_t routers) { pacing_.setRouterCount(routers); }

    const std::string& currentSource() const { return source_.host; }  // in use, or the next to be asked
    std::size_t sourceCount() const { return sourceSet_ ? sourceSet_->addresses.size() : 1; }
    std::uint64_t pollCount() const { return pollsSent_; }  // since the start
    // Why the list can't be had, from the first failure until an answer that can be used; empty while it can.
    const std::string& lastFailure() const { return lastFailure_; }
    // When discovery last said what holds, if only that nothing has changed.
    Nanos lastHeardAt() const { return lastHeardAt_; }

  private:
    // What is needed to choose among several sources; a single one is asked without it.
    struct SourceSet {
        std::vector<DiscoveryAddress> addresses;
        SourceSelector selector;
        Nanos logWindowBegan = 0;    // of the bound on logged moves
        int logged = 0;              // moves within that window
        std::uint64_t unlogged = 0;  // moves since the last logged one
    };

    void onResponse(EndpointPoll& call) override;
    void onFailed(EndpointPoll& call, std::string_view why) override;
    void onRequestSent() override { ++pollsSent_; }

    void replaceSources(std::vector<DiscoveryAddress> sources);
    // An attempt at a source that has not answered since it was chosen.
    bool isProbing() const { return sourceSet_ && !sourceSet_->selector.isConfirmed(); }
    EndpointPoll::Request nextRequest();
    // A new connection with a call on it, beside those that are out.
    void beginPoll();
    // Another call on the connection of one that was answered.
    void pollAgain(EndpointPoll& call);
    void scheduleOverdue(const EndpointPoll& call, const EndpointPoll::Request& request);
    // The pause after a failure is over, or the newest call has no answer in time.
    void onPollDue();
    void drop(EndpointPoll& call);
    void pollLater(EndpointPoll& call);
    void retryAfterPause();
    bool applyResponse(EndpointPoll& call);
    // Whether an answer of a version below the known one is to be taken; where not, its call has failed.
    bool acceptsOlderVersion(EndpointPoll& call, const protocol::EndpointList& roster);
    void resumeAtSourceOf(const EndpointPoll& call);
    void recordFailure(std::string_view why, const EndpointPoll& call);
    void moveToNextSource(std::string_view why);
    void logMove(std::string_view why);

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
    bool needsCompleteList_ = false;  // the whole list, and no waiting for a change
    const bool isPushed_;
    PollPacing pacing_;
    transport::Timer nextPoll_;                         // rings when another call is due
    std::vector<std::unique_ptr<EndpointPoll>> polls_;  // the oldest first
    EndpointPoll* longPoll_ = nullptr;                  // the one that waits for changes, until it is overdue
    const EndpointPoll* unanswered_ =
        nullptr;  // the newest call, until it is answered, overdue or has failed
    std::uint64_t pollsSent_ = 0;
    std::string lastFailure_;
    Nanos lastHeardAt_;
};

}  // namespace poppyscale::discovery
