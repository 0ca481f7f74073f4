// The interface of the decisions: what a front tells them, and what they ask a front to do.
// Nothing here knows of any wire, socket or clock; a front keeps its protocol to itself.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace poppyscale {

using Nanos = std::int64_t;
using CommandId = std::uint64_t;

constexpr Nanos kMillisecond = 1'000'000;
constexpr Nanos kNever = std::numeric_limits<Nanos>::max();

enum class Effect : std::uint8_t { pure, receipted, effectful };
enum class Group : std::uint8_t { all, zone, cell };
enum class Presence : std::uint8_t { gone, ready, draining };
enum class NewsKind : std::uint8_t { changes, whole, cached, failed };
// How a relay ended. Those after `undone` prove that the command never ran there.
enum class Ending : std::uint8_t {
    answered,
    errored,
    timedOut,
    cut,
    undone,
    noRoom,
    noRoute,
    notSent,
    noneHere
};

// What a cache that fetches for itself told of a read.
enum class Found : std::uint8_t { untold, kept, fetched };

struct Verb {
    std::string name;
    Effect effect = Effect::effectful;
    Group group = Group::all;  // where repeats of a receipted command are dropped
    Nanos remembered = 0;      // and for how long after the first relay that may have run
    Nanos goal = 0;
    Nanos limit = 0;  // of a client, over all its tries; 0 if not known
    double utility = 1;
    double lateUtility = 0;  // the part of it that an answer after the goal still has
    bool operator==(const Verb&) const = default;
};

struct Customer {
    std::string name;
    double quotaPerSecond = 0;  // over all routers together
    bool operator==(const Customer&) const = default;
};

// What a deployment promises and allows, as far as the decisions read it.
struct Terms {
    std::uint64_t seed = 0;
    int routers = 1;
    bool aside = false;       // a cache that lacks a key says so, and the router asks the origin
    std::string originShape;  // the machine shape that marks the origin in the list
    std::string zone;         // this router's own
    double crossPrice = 0;    // of a relay to another zone, as a part of a command's utility
    bool listOnRequest = false;
    bool comeBackAllowed = false;
    int maxRelays = 1;
    Nanos maxComeBack = 0;
    Nanos askWithin = 0;
    Nanos firstAskWithin = kNever;  // by when after the start the list is first asked for
    bool sizesMove = false;         // a listed size falls with what the cache holds: size / (1 + held a core)
    double startShare = 1;
    Nanos ramp = 0;
    double tipMultiple = 1;
    Nanos fallSpan = 0;
    std::vector<Verb> verbs;
    std::vector<Customer> customers;
    bool operator==(const Terms&) const = default;
};

struct Listed {
    std::string name;
    std::string zone;
    std::string shape;
    Presence presence = Presence::ready;
    Nanos cameUp = 0;
    double size = 1;
    std::int64_t cell = 0;
};

struct Arrival {
    CommandId id = 0;
    std::string_view verb;
    std::string_view customer;
    std::string_view key;
    Nanos giveUpAt = 0;
    bool write = false;
    bool again = false;  // a client's further try, as it says itself
    bool once = false;   // it can be relayed one time only, since what it writes is kept nowhere
};

struct RelayEnd {
    CommandId id = 0;
    int relay = 0;
    Ending ending = Ending::answered;
    bool over = false;  // the client has its final answer, by this or by something earlier
    Nanos spent = 0;
    Found found = Found::untold;
};

// What a router believes of a server, to be looked at and nothing else.
struct Belief {
    std::string name;
    std::string zone;
    Presence presence = Presence::gone;
    bool banned = false;
    bool origin = false;
    int out = 0;
    double window = 0;       // relays that may be out
    double warmth = 1;       // of what it bears when warm
    double heard = 0;        // endings, a decaying sum
    double failed = 0;       // of these
    double lateness = 0;     // mean time as a part of the goal
    std::int64_t hints = 0;  // keys that it is held to have
    Nanos asideUntil = 0;    // past: not set aside
};

// What the decisions ask of whatever carries them out. Relays of a command count 0, 1, 2 ... as asked.
class Host {
  public:
    virtual ~Host() = default;
    // One that is not written by `startBy` isn't written at all: a repeat would not be known as one any more.
    virtual void relay(CommandId id, std::string_view cache, Nanos giveUpAt, Nanos startBy) = 0;
    virtual void decline(CommandId id, Nanos comeBack) = 0;
    virtual void terminate(CommandId id) = 0;
    virtual void wake(Nanos at) = 0;
    virtual void subscribe() = 0;
    virtual void log(std::string_view text) = 0;
};

class Router {
  public:
    Router(Terms terms, Host& host, Nanos now);
    ~Router();
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    void news(Nanos now, NewsKind kind, const std::vector<Listed>& entries);
    // An operator's word: nothing goes to that cache, whatever the list says, until it is lifted. It counts
    // as just started from then on.
    void banned(Nanos now, const std::string& name, bool on);
    void arrival(Nanos now, const Arrival& arrival);
    void ended(Nanos now, const RelayEnd& end);
    void left(Nanos now, CommandId id);
    // Other verbs, customers and figures from now on; `seed`, `aside`, `originShape`, `listOnRequest`,
    // `sizesMove` and `fallSpan` have to be those of the start. What has arrived ends by the verb it came
    // under, and by the smaller number of relays.
    void changed(Nanos now, Terms terms);
    // Once after all events of a moment (a wake-up has no call of its own): emits what should change.
    void settle(Nanos now);
    // In the order in which the servers were first heard of.
    std::vector<Belief> beliefs(Nanos now);

  private:
    struct Inside;
    std::unique_ptr<Inside> in_;
};

}  // namespace poppyscale
