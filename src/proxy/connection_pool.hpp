// The connections to one cache or to the origin, and the relays that are out on them.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy/routing_policy.hpp"
#include "protocol/request.hpp"
#include "proxy/body_stream.hpp"
#include "proxy/invariant_guard.hpp"
#include "transport/connection.hpp"

namespace poppyscale::proxy {

class Link;
class Upstream;
struct Relay;

class RelayOwner {
  public:
    virtual ~RelayOwner() = default;
    // It answers with a value that comes in pieces; null when nobody waits for it any more.
    virtual Taker* relayGives(Relay& relay, std::size_t length, Giver& from) = 0;
    // Somebody still waits for what a relay brings; asked before its command is written.
    virtual bool awaited(Relay& relay) = 0;
    // The relay is gone after this.
    virtual void relayEnded(Relay& relay, protocol::Outcome outcome) = 0;
};

struct Relay {
    Relay(transport::Loop& loop, const protocol::Command& said, Upstream& to);
    CommandId command = 0;
    const protocol::Command& said;
    Upstream& to;
    int number = 0;
    Nanos sentAt = 0;
    Nanos giveUpAt = 0;
    Nanos startBy = kNever;  // not written after it
    Nanos answeredAt = 0;    // where the value comes in pieces: when the first one did
    Body* body = nullptr;    // what it writes, where that comes in pieces
    Link* on = nullptr;      // null while it waits for a connection
    transport::Alarm alarm;
};

// What all upstreams of a router share: the loop, and how many connections there may be.
struct Links {
    transport::Loop& loop;
    transport::Pool& pool;
    RelayOwner& owner;
    Guard& guard;
    std::size_t most = 0;
    Nanos keepIdle = 0;
    Nanos connectWithin = 0;
    std::vector<Upstream*> upstreams;
    std::size_t mostHeld = 0;  // bytes of answers that are not whole yet
    std::size_t held = 0;
    std::size_t count = 0;
    std::uint64_t opened = 0;  // since the start
    // A connection is free or there is room for one. Relays that wait for that go with the next turn and not
    // at once: what else came on a connection, or that it has ended, is only read by then.
    bool freed = false;

    bool makeRoom();  // closes the connection that has idled longest, if it must
    void trim();      // the same while there are more than may be
    void tend();      // to the relays that wait

  private:
    bool closeIdlest();
};

class Upstream {
  public:
    Upstream(Links& links, bool origin);
    ~Upstream();
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;

    void listed(Presence presence, const std::optional<transport::Address>& address, const std::string& host);
    // Nothing goes there, whatever it is listed as, until this is undone.
    void bar(bool on);
    void send(Relay& relay);
    void giveUp(Relay& relay);
    // Nobody waits for it any more: it ends as never sent, unless it was written.
    void withdraw(Relay& relay);
    bool origin() const { return origin_; }
    bool usable() const { return presence_ == Presence::ready && !barred_; }
    bool leaving() const { return presence_ == Presence::draining; }
    std::uint64_t relays() const { return relays_; }  // that it was given since it was first listed
    bool unused() const { return presence_ == Presence::gone && links_.empty() && waiting_.empty(); }

  private:
    friend class Link;
    friend struct Links;
    friend struct Relay;

    // Why a relay that has waited for a connection may not be written on it now; none if it may.
    std::optional<Refusal> whyNotWrite(Relay& relay) const;
    void shut();
    void tend();
    void shed();
    std::size_t opening() const;
    void drop(Link& link);  // which is gone after this
    Relay* nextWaiting();
    Link* idle();
    Nanos longestIdle() const;

    Links& shared_;
    bool origin_;
    Presence presence_ = Presence::gone;
    bool barred_ = false;
    std::optional<transport::Address> address_;
    std::string host_;
    Nanos heardAt_ = 0;  // when a byte last came from there, or a connection came up
    std::vector<std::unique_ptr<Link>> links_;
    std::deque<Relay*> waiting_;
    std::uint64_t relays_ = 0;
};

}  // namespace poppyscale::proxy
