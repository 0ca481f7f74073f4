// The watch on discovery's list: one call after the other, each told to the core.
#pragma once

#include <memory>
#include <random>
#include <string>

#include "protocol/http.hpp"
#include "routing/core.hpp"
#include "transport/connection.hpp"

namespace poppyscale::routing {

class Watch : private transport::Connection::Owner {
  public:
    Watch(transport::Loop& loop, transport::Pool& pool, Core& core, transport::Address at, std::string host,
          std::int64_t version, Nanos wait, std::uint64_t seed, std::size_t longestList, Log log);

    // Nothing is asked before the first call of this. After a failure the module decides when to ask again,
    // by calling this; the watch asks by itself where that takes longer than a failed call allows.
    void want();
    // Discovery is to be had elsewhere. Asked at once and for all of its list: its versions may not be those
    // that were counted before. Where it is already, a call that is out stays.
    void moveTo(transport::Address at, std::string host);
    std::uint64_t calls() const { return calls_; }  // since the start
    // Why the list can't be had, from the first failure until an answer that can be used; empty while it can.
    const std::string& trouble() const { return trouble_; }
    // When discovery last said what holds, if only that nothing has changed.
    Nanos heardAt() const { return heardAt_; }

  private:
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
    void fail(std::string_view why);

    transport::Loop& loop_;
    transport::Pool& pool_;
    Core& core_;
    transport::Address at_;
    std::string host_;
    std::int64_t version_;
    Nanos wait_;  // the longest
    std::mt19937 chance_;
    std::uint64_t calls_ = 0;
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
};

}  // namespace poppyscale::routing
