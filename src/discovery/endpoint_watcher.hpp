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

class Watch : private ListCall::Owner {
  public:
    struct Settings {
        std::vector<DiscoveryAddress> sources;  // at least one
        std::uint64_t sourceSeed = 0;           // what the choice among several is drawn from
        std::int64_t version = 0;               // of the list that is known
        Nanos longestWait = 0;                  // of a call at its source
        std::uint64_t seed = 0;
        std::int64_t routers = 1;     // in the fleet
        std::size_t longestList = 0;  // bytes
        bool pushed = false;          // what the source has counts as told at once
    };

    Watch(transport::Loop& loop, transport::Pool& pool, proxy::Core& core, Settings settings, proxy::Log log);

    // Nothing is asked before the first call of this; from then on the watch asks by itself.
    void want();
    // The list is to be had elsewhere. Asked at once and for all of the list: its versions may not be those
    // that were counted before. Where the source in use is among the new ones, calls that are out to it stay.
    void moveTo(std::vector<DiscoveryAddress> sources);
    void setRouters(std::int64_t routers) { pacing_.setRouters(routers); }

    const std::string& source() const { return source_.host; }  // in use, or the next to be asked
    std::size_t sourceCount() const { return several_ ? several_->addresses.size() : 1; }
    std::uint64_t calls() const { return callsWritten_; }  // since the start
    // Why the list can't be had, from the first failure until an answer that can be used; empty while it can.
    const std::string& trouble() const { return trouble_; }
    // When discovery last said what holds, if only that nothing has changed.
    Nanos heardAt() const { return heardAt_; }

  private:
    // What is needed to choose among several sources; a single one is asked without it.
    struct Several {
        std::vector<DiscoveryAddress> addresses;
        SourceSelector selector;
        Nanos logWindowBegan = 0;    // of the bound on logged moves
        int logged = 0;              // moves within that window
        std::uint64_t unlogged = 0;  // moves since the last logged one
    };

    void answered(ListCall& call) override;
    void failed(ListCall& call, std::string_view why) override;
    void written() override { ++callsWritten_; }

    void setSources(std::vector<DiscoveryAddress> sources);
    // An attempt at a source that has not answered since it was chosen.
    bool isProbing() const { return several_ && !several_->selector.isConfirmed(); }
    ListCall::Request nextRequest();
    // A new connection with a call on it, beside those that are out.
    void beginCall();
    // Another call on the connection of one that was answered.
    void callAgain(ListCall& call);
    void scheduleOverdue(const ListCall& call, const ListCall::Request& request);
    // The pause after a failure is over, or the newest call has no answer in time.
    void callDue();
    void drop(ListCall& call);
    void pollLater(ListCall& call);
    void retryAfterPause();
    bool take(ListCall& call);
    // Whether an answer of a version below the known one is to be taken; where not, its call has failed.
    bool takesOlder(ListCall& call, const protocol::Roster& roster);
    void resumeAtSourceOf(const ListCall& call);
    void note(std::string_view why, const ListCall& call);
    void moveToNextSource(std::string_view why);
    void logMove(std::string_view why);

    transport::Loop& loop_;
    transport::Pool& pool_;
    proxy::Core& core_;
    const Nanos longestWait_;
    const std::uint64_t sourceSeed_;
    const std::size_t longestList_;
    proxy::Log log_;
    DiscoveryAddress source_;
    std::unique_ptr<Several> several_;  // null with a single source
    std::int64_t version_;
    bool wholeWanted_ = false;  // the whole list, and no waiting for a change
    const bool pushed_;
    CallPacing pacing_;
    transport::Alarm next_;                         // rings when another call is due
    std::vector<std::unique_ptr<ListCall>> calls_;  // the oldest first
    ListCall* watch_ = nullptr;                     // the one that waits for changes, until it is overdue
    const ListCall* unanswered_ = nullptr;  // the newest call, until it is answered, overdue or has failed
    std::uint64_t callsWritten_ = 0;
    std::string trouble_;
    Nanos heardAt_;
};

}  // namespace poppyscale::discovery
