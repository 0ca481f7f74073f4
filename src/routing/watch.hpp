// The watch on discovery's list: one call after the other, each told to the core. With several sources of the
// list, a failure moves it on to another one, which is asked for what is newer than the known version.
#pragma once

#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/http.hpp"
#include "routing/core.hpp"
#include "sources/selector.hpp"
#include "transport/connection.hpp"

namespace poppyscale::routing {

// A source of the list: discovery itself, or a distributor that speaks its protocol.
struct DiscoveryAddress {
    transport::Address address;
    std::string host;  // as the request's Host names it
};

class Watch : private transport::Connection::Owner {
  public:
    // At least one source. `sourceSeed` is what the choice among several is drawn from.
    Watch(transport::Loop& loop, transport::Pool& pool, Core& core, std::vector<DiscoveryAddress> sources,
          std::uint64_t sourceSeed, std::int64_t version, Nanos wait, std::uint64_t seed,
          std::size_t longestList, Log log);

    // Nothing is asked before the first call of this. After a failure of a single source the module decides
    // when to ask again, by calling this; the watch asks by itself where that takes longer than a failed call
    // allows. Among several sources the selector decides when the next one is asked.
    void want();
    // The list is to be had elsewhere. Asked at once and for all of the list: its versions may not be those
    // that were counted before. Where the source in use is among the new ones, a call that is out stays.
    void moveTo(std::vector<DiscoveryAddress> sources);
    const std::string& source() const { return host_; }  // in use, or the next to be asked
    std::size_t sourceCount() const { return several_ ? several_->addresses.size() : 1; }
    std::uint64_t calls() const { return calls_; }  // since the start
    // Why the list can't be had, from the first failure until an answer that can be used; empty while it can.
    const std::string& trouble() const { return trouble_; }
    // When discovery last said what holds, if only that nothing has changed.
    Nanos heardAt() const { return heardAt_; }

  private:
    // What is needed to choose among several sources; a single one is asked without it.
    struct Several {
        std::vector<DiscoveryAddress> addresses;
        sources::SourceSelector selector;
        transport::Alarm retry;      // rings when the next source is to be asked
        Nanos logWindowBegan = 0;    // of the bound on logged moves
        int logged = 0;              // moves within that window
        std::uint64_t unlogged = 0;  // moves since the last logged one
    };

    void opened(bool up) override;
    void received(std::string_view bytes) override;
    void ended() override;

    void call();
    void write();
    void answered();
    // Drawn from the upper half of `longest`, so that routers that failed together don't ask together.
    Nanos jittered(Nanos longest);
    void silent();
    void note(std::string_view why);
    // How far the call got: its number, how long ago it began, in which state it is, what has come of it.
    std::string describeCall() const;
    void fail(std::string_view why);

    void setSources(std::vector<DiscoveryAddress> sources);
    // An attempt at a source that has not answered since it was chosen.
    bool isProbing() const { return several_ && !several_->selector.isConfirmed(); }
    // Whether an answer of a version below the known one is to be taken; where not, it has failed.
    bool takesOlder(const protocol::Roster& roster);
    void askNextSource(std::string_view why);
    void logMove(std::string_view why);

    transport::Loop& loop_;
    transport::Pool& pool_;
    Core& core_;
    transport::Address at_;
    std::string host_;
    std::int64_t version_;
    Nanos wait_;  // the longest
    std::uint64_t sourceSeed_;
    std::mt19937 chance_;
    std::uint64_t calls_ = 0;
    Nanos callBegan_ = 0;        // when the call that is out, or ended last, was begun
    std::size_t callBytes_ = 0;  // of its answer
    Log log_;
    std::string trouble_;
    Nanos heardAt_;
    // resting: until it is wanted. waiting: the call is out and nothing of its answer has come.
    enum class State : std::uint8_t { resting, connecting, waiting, reading };
    State state_ = State::resting;
    bool reopened_ = false;  // after a silence, and nothing has been heard since
    bool anew_ = false;      // the whole list, and no waiting for a change
    protocol::HttpAnswer answer_;
    transport::Alarm limit_;  // of what the state waits for, the pause included
    std::unique_ptr<transport::Connection> connection_;
    std::unique_ptr<Several> several_;  // null with a single source
};

}  // namespace poppyscale::routing
