// The module's host: gathers what a turn of the loop brings, hands it over, carries out what comes back.
// Decides nothing, and knows nothing of what fronts and caches speak.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "discovery/removed_endpoints.hpp"
#include "discovery/server_start_times.hpp"
#include "metrics/router_metrics.hpp"
#include "policy/routing_policy.hpp"
#include "protocol/endpoint_list.hpp"
#include "protocol/request.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/invariant_guard.hpp"
#include "transport/buffer_pool.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::proxy {

// The one final answer of a command.
struct Final {
    enum class Kind : std::uint8_t { answered, declined, terminated };
    Kind kind = Kind::terminated;
    std::string value;
    Nanos comeBack = 0;
};

// Who waits for it, at a front.
class Asker {
  public:
    virtual ~Asker() = default;
    virtual void tell(Final final) = 0;
    // The client has not closed its connection, by a look that is recent enough for an attempt to begin. Once
    // this returns false, the asker has let go of the command.
    virtual bool present() = 0;
    // Or a value that is too long to be kept: its first piece is at hand, and it is answered with that.
    virtual Taker& begin(std::size_t length, Giver& from) = 0;
};

struct Command {
    CommandId id = 0;
    Nanos takenAt = 0;
    protocol::Command said;
    Asker* asker = nullptr;  // null once told, or when the client has left
    Body* body = nullptr;    // of a write that is too long to be kept
    Nanos giveUpAt = 0;
    int relays = 0;
    std::unique_ptr<Relay> out;
    // By the terms under which it was taken.
    Effect effect = Effect::effectful;
    Nanos remembered = 0;
    Nanos firstMayHaveRunAt = kNever;  // when the first attempt was sent that may have run
};

// A command as it stands, to be looked at.
struct Standing {
    std::string id, verb, customer, key;
    Nanos since = 0;
    Nanos giveUpAt = 0;
    int relays = 0;
    bool asked = false;  // somebody still waits for its answer
    std::string at;      // where a relay is out, or empty
    Nanos sentAt = 0;
};

using Log = std::function<void(std::string_view)>;

class Core : private Host, protected RelayOwner {
  public:
    Core(transport::Loop& loop, transport::Pool& pool, const protocol::Start& start, std::size_t mostLinks,
         Log log);
    ~Core() override = default;

    // What is virtual from here on is so for the lab, whose harmful versions are this router but for their
    // harm.

    // Without a command, the asker is to be told: what is wrong with it, or else that the router holds as
    // many as it may.
    struct Taken {
        Command* command = nullptr;
        std::string_view wrong;
    };
    virtual Taken take(Asker& asker, protocol::Command said, Nanos now, Body* body = nullptr);
    virtual void left(Command& command);
    std::size_t open() const { return commands_.size(); }
    // The end of all: whoever still waits is told, in the turn that this is called in.
    void giveUpAll();
    std::size_t links() const { return links_.count; }
    std::uint64_t linksOpened() const { return links_.opened; }
    // By the server's name: how many relays it was given, and whether it is listed as leaving.
    struct Given {
        std::uint64_t relays;
        bool leaving;
    };
    std::map<std::string, Given> given() const;
    // From now on what is done is counted; null until then.
    void count(const std::vector<Verb>& verbs);
    metrics::Counts* counts() { return counts_.get(); }
    // The oldest first.
    std::vector<Standing> standing() const;
    std::vector<Belief> beliefs() { return router_.beliefs(transport::Loop::now()); }
    // Other verbs, customers and figures from the next turn on; what is open ends by what it came under.
    void changed(const protocol::Start& start);

    Guard& guard() { return guard_; }

    // Why an operator can't take that server out, or let it in; or nothing.
    std::string whyNoBan(const std::string& name) const;
    // Takes a cache out by an operator's word, or lets it serve again; binding when this returns.
    void ban(const std::string& name, bool on);
    // Other bounds than at the start, while another process has a part of them.
    void bound(std::size_t memory, std::size_t mostLinks);
    virtual void listed(NewsKind kind, const protocol::Roster& roster);
    void listFailed();
    void listMoved();  // what failed before was another discovery's
    std::function<void()> askForList;

    // Hands over what has been gathered, until nothing is left of it.
    void turn();

  protected:
    void relayEnded(Relay& relay, protocol::Outcome outcome) override;
    void keepIdle(Nanos time) { links_.keepIdle = time; }

  private:
    struct Arrived {
        Command* command;
    };
    struct Ended {
        RelayEnd end;
    };
    struct Left {
        CommandId id;
    };
    struct News {
        NewsKind kind;
        std::vector<Listed> entries;
    };
    struct Changed {
        Terms terms;
    };
    struct Banned {
        std::string name;
        bool on;
    };
    struct Event {
        Nanos at;
        std::variant<Arrived, Ended, Left, News, Changed, Banned> what;
    };
    struct Send {
        Upstream* to;
        Nanos giveUpAt, startBy;
    };
    struct Action {
        CommandId id;
        std::variant<Send, Final> what;
    };

    void relay(CommandId id, std::string_view cache, Nanos giveUpAt, Nanos startBy) override;
    void decline(CommandId id, Nanos comeBack) override;
    void terminate(CommandId id) override;
    void wake(Nanos at) override { wakeUp_.set(at); }
    void subscribe() override { subscribe_ = true; }
    void log(std::string_view text) override { log_(text); }

    Taker* relayGives(Relay& relay, std::size_t length, Giver& from) override;
    bool awaited(Relay& relay) override { return awaited(*commands_.at(relay.command)); }
    bool awaited(Command& command);
    void nobodyWaits(Command& command);

    void lookAtClock(Nanos now);
    void handOver(const Event& event);
    void carryOut(Action& action);
    void tell(Command& command, Final final);
    void forget(CommandId id);

    // Why that attempt may not begin; none if it may.
    std::optional<Refusal> whyNotSend(const Send& send, Command& command, Nanos giveUpAt, Nanos now);
    // Whether the next attempt of a command may take effect beside an earlier one.
    static bool mayRepeat(const Command& command, Nanos now);

    transport::Loop& loop_;
    Log log_;
    Guard guard_;
    Links links_;
    std::size_t mostOpen_;
    std::size_t mostHeld_;  // bytes of what clients sent
    std::size_t held_ = 0;
    discovery::StartTimes startTimes_;
    Nanos clockLookedAt_ = 0;
    std::string originShape_;
    bool aside_;
    bool due_ = true;
    bool subscribe_ = false;
    CommandId lastId_ = 0;
    std::unordered_map<std::string, Verb> verbs_;
    std::unique_ptr<metrics::Counts> counts_;
    std::unordered_map<CommandId, std::unique_ptr<Command>> commands_;
    std::unordered_set<std::string_view> ids_;  // that clients gave the commands
    std::unordered_map<std::string, std::unique_ptr<Upstream>> upstreams_;
    std::set<std::string> bans_;
    discovery::KnownServers known_;  // that were listed and are gone
    std::vector<Event> events_;
    std::vector<Action> actions_;
    transport::Alarm wakeUp_;
    Router router_;
};

}  // namespace poppyscale::proxy
