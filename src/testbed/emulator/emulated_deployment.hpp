// The deployment round the routers: clients, caches, origin, discovery and network, as one model free of I/O
// and clock. A driver puts it behind sockets or plays it in virtual time; both see the same world.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "testbed/emulator/event_log.hpp"
#include "testbed/emulator/event_queue.hpp"
#include "testbed/emulator/random.hpp"
#include "testbed/emulator/scenario.hpp"
#include "testbed/emulator/server_model.hpp"

namespace poppyscale::testbed {

using ConnectionId = std::uint64_t;

// A client's command, given to a router.
struct ClientRequest {
    RequestId id = 0;
    int router = 0;
    int requestClass = 0;
    int tenant = -1;
    std::string key;
    std::string mark;  // of a receipted one, the same with each try
    Nanos deadline = 0;
    RequestId first = 0;  // the id of its first try
    int retries = 1;
    Nanos dueAt = 0;
    Nanos firstLimit = 0;  // of all tries together
    double work = 0;       // core-ns
};

// An attempt as a server reads it.
struct ServerCall {
    RequestId command = 0;
    std::string key;
    std::string requestClass;
    std::string mark;
    bool write = false;
    std::optional<std::int64_t> forwardedTimeoutMs =
        {};               // `d` of its info list: the time that is left to the client
    Nanos delayedBy = 0;  // how long before it was read it may have arrived
};

struct Reply {
    enum class Kind : std::uint8_t { value, miss, error, busy, spoilt };
    Kind kind = Kind::error;
    std::string token;
};

// One state of one server as discovery tells it.
struct EndpointLine {
    int server = 0;
    EndpointState state = EndpointState::ready;
    Nanos startedAt = 0;      // the world's time; 0 for long ago
    double heldCommands = 0;  // commands a core, where sizes move with load
};
struct EndpointListMessage {
    std::int64_t version = 0;
    bool full = false;
    std::vector<EndpointLine> lines;
};

// A call for the list of servers; a router may have several out.
using PollId = std::uint64_t;

// How a server's address answers those who connect.
enum class AddressState : std::uint8_t { open, refused, silent };

class Transport {
  public:
    virtual ~Transport() = default;
    virtual void sendRequest(const ClientRequest& ask) = 0;
    virtual void disconnectClient(int router, RequestId id) = 0;
    virtual void onConnectionOpened(ConnectionId conn, bool up) = 0;
    virtual void sendReply(ConnectionId conn, const Reply& reply) = 0;
    virtual void breakConnection(ConnectionId conn) = 0;  // the connection is gone after this
    virtual void setAddressState(int router, int door, AddressState state) = 0;
    // What becomes of a call for the list: answered, answered 503, or its connection ended.
    virtual void sendEndpointList(int router, PollId call, const EndpointListMessage& list) = 0;
    virtual void refusePoll(int router, PollId call) { failPoll(router, call); }
    virtual void failPoll(int router, PollId call) = 0;
    virtual void moveDiscovery(int door) = 0;
    // To the router's process.
    virtual void killRouter(int router) = 0;
    virtual void startRouter(int router) = 0;
    virtual void terminateRouter(int router) = 0;
    virtual void reloadRouter(int router) = 0;
    virtual void upgradeRouter(int router) = 0;
    // A fault of the routers' processes begins or ends.
    virtual void injectProcessFault(const FaultPlan& /*fault*/, bool /*begins*/) {}
    // A fault of machines begins or ends; `machine` is drawn where the plan names none, below 0 for a
    // coordinator's.
    virtual void injectMachineFault(const FaultPlan& /*fault*/, int /*machine*/, bool /*begins*/) {}
};

class EmulatedDeployment {
  public:
    struct Server {
        std::string name;
        int door = 0;
        std::string zone;
        std::int64_t cell = 0;
        bool origin = false;
        const CachePlan* plan = nullptr;
        double speed = 1;
        Nanos startedAt = 0;
        Nanos wallStep = 0;  // of the clock that its start was written down by
    };

    EmulatedDeployment(const Scenario& scenario, std::uint64_t seed, EventLog& ledger, Transport& driver);
    ~EmulatedDeployment();

    // Plays the first arrivals and the faults from `now` on; routers are up by then.
    void begin(Nanos now);
    Nanos next() const { return events_.next(); }
    bool step(Nanos now) { return events_.step(now); }
    // For a driver's own alarms, on the same time.
    void at(Nanos when, std::function<void(Nanos)> what) { events_.schedule(when, std::move(what)); }
    // Nothing more is asked from then on, or for so long: a day with a roll lasts as long as that does.
    void endLoad(Nanos now) { loadUntil_ = now; }
    // All has been asked, and what was asked has its end.
    bool isOver(Nanos now) const;

    // From routers, through the driver.
    ConnectionId connect(Nanos now, int router, int door);
    void call(Nanos now, ConnectionId conn, const ServerCall& call);
    void closed(Nanos now, ConnectionId conn);
    PollId beginPoll(Nanos now, int router, std::optional<std::int64_t> after, Nanos wait);
    void endPoll(PollId call);
    // `unsent` with a token: the router went while it had the command.
    enum class ClientOutcome : std::uint8_t { answered, declined, terminated, unsent };
    void onClientOutcome(Nanos now, RequestId id, ClientOutcome how, const std::string& token,
                         Nanos retryAfter);
    // A router's process has come up, or has ended.
    void routerUp(Nanos now, int router);
    void routerGone(Nanos now, int router);
    // It was told to stop, or is about to be killed: what it does not answer is no violation of its own.
    void routerLeaves(Nanos now, int router, Nanos since);
    void note(Nanos now, EventKind what, int router, std::int64_t number, const std::string& text) {
        log(now, what, 0, router, -1, 0, number, text);
    }

    // What a router starts with: the list as it stands in discovery.
    EndpointListMessage lastList(int router) const;
    const std::vector<Server>& servers() const { return servers_; }
    int addresses() const { return static_cast<int>(occupants_.size()); }
    std::optional<int> serverNamed(const std::string& name) const;
    const std::string& routerZone(int router) const {
        return routers_[static_cast<std::size_t>(router)].zone;
    }
    AddressState addressState(int router, int door) const;
    Nanos delay(const std::string& from, const std::string& to);
    nlohmann::json head(std::uint64_t seed) const;
    const Scenario& scenario() const { return scenario_; }

  private:
    enum class ServerCondition : std::uint8_t { up, hung, down, gone };
    struct ServerState;  // a server's process and what ails it
    struct ExecutionInFlight {
        std::uint64_t run = 0;
        ConnectionId conn = 0;
        ServerCall call;
        int server = 0;
        bool begun = false;
        bool hit = false;
        double work = 0;
    };
    struct ServerConnection {
        ConnectionId id;
        int router;
        int server;
        bool up = false;
        Nanos lastArrival = 0;
        struct PendingReply {
            std::uint64_t run;
            std::optional<Reply> reply;
        };
        std::deque<PendingReply> owed;  // answers go out in the order of the commands
    };
    struct RouterState {
        std::string zone;
        bool up = false;
        bool assumedUp = true;  // by the front
        std::uint64_t life = 0;
        bool ending = false;  // it was told to, or killed
        std::map<int, EndpointLine> knownEndpoints;
        std::map<int, std::int64_t> knownVersion;  // of the list that each line was told with
    };
    struct PendingPoll {
        int router = 0;
        std::optional<std::int64_t> after;
        Nanos until = 0;  // while it waits for a change; else 0
    };
    struct Change {
        std::int64_t version;
        EndpointLine line;
    };
    struct ActiveFaults {  // of faults, as a share or factor at this time
        double hotKey = 0, heavy = 0, scan = 0, load = 1, spoil = 0;
        double listRefused = 0;  // share of calls to discovery that are answered 503
        Nanos listLate = 0;      // added to each answer of discovery, a quarter less at random
        std::string cutZone;
    };

    // clients
    void generateRequest(Nanos now);
    void clientLeaves(Nanos now, RequestId id);
    double rateAt(Nanos now);
    void sendRequest(Nanos now, ClientRequest ask);
    std::string drawKey(Nanos now);
    int pickRouter();
    void retryLater(Nanos now, const ClientRequest& last, Nanos after);
    // servers
    void addServer(Server server, Nanos now, bool cold);
    void onRequestArrived(Nanos now, std::uint64_t run);
    void serve(Nanos now, int server);
    void finish(Nanos now, std::uint64_t run);
    void queueReply(Nanos now, std::uint64_t run, Reply reply);
    void deliverReply(Nanos now, ConnectionId conn);
    void breakAllConnections(Nanos now, int server);
    void breakConnection(Nanos now, ConnectionId conn);
    void stopServer(Nanos now, int server);
    void restartServer(Nanos now, int server);
    void updateAddressStates(Nanos now);
    bool passes(int router, int server) const;
    // discovery
    EndpointListMessage completeList() const;
    void onEndpointListDelivered(Nanos now, int router, const EndpointListMessage& list);
    void sendEndpointList(Nanos now, int router, const EndpointLine& line, std::int64_t version,
                          bool counted);
    void changeEndpoint(Nanos now, int server, EndpointState presence, Nanos after);
    void updateWeights(Nanos now);  // lists what each cache holds
    void answerLongPolls(Nanos now);
    void answerPoll(Nanos now, PollId call);
    void failPolls();
    std::vector<PollId> pollsInOrder() const;  // of routers
    Nanos discoveryLateness();
    Nanos discoveryTurn() const;
    void refuseAfterDelay(Nanos now, int router, PollId call);
    void endOlderPolls(int router, PollId call);
    // A change that a router could have had by now counts as told, whether or not it arrived.
    void countAsKnown(Nanos now, const Change& change);
    bool isDiscoveryReachable() const { return !discoveryDown_ && !discoverySilent_; }
    // faults
    void scheduleFaults(const FaultPlan& fault);
    void injectFault(Nanos now, const FaultPlan& fault);
    void clearFault(Nanos now, const FaultPlan& fault, const std::vector<int>& hit);
    std::vector<int> drawCaches(int count);
    void log(Nanos at, EventKind what, std::uint64_t command, int router, int server, std::uint64_t run,
             std::int64_t number, std::string text = {});

    Scenario scenario_;
    EventLog& eventLog_;
    Transport& transport_;
    EventQueue events_;
    Random arrivals_, keys_, net_, service_, faults_;
    Zipf zipf_;
    std::vector<Server> servers_;
    std::vector<std::unique_ptr<ServerState>> serverStates_;
    std::vector<int> occupants_;  // of each address: a server
    std::vector<RouterState> routers_;
    std::unordered_map<ConnectionId, ServerConnection> connections_;
    std::unordered_map<std::uint64_t, ExecutionInFlight> executions_;
    std::unordered_map<RequestId, ClientRequest> openRequests_;
    std::unordered_map<RequestId, std::vector<int>> lacking_;  // caches that missed for an open command
    std::unordered_map<RequestId, double> works_;
    std::deque<RequestId> idempotencyRecords_;
    std::vector<Change> changes_;
    std::vector<EndpointLine> lines_;  // as discovery has them
    std::int64_t version_ = 1;
    Nanos discoveryFreeAt_ = 0;
    bool discoveryDown_ = false, discoverySilent_ = false;
    Nanos discoveryReachableSince_ = 0;
    Nanos wallStep_ = 0;  // of all machines' one wall clock
    std::map<PollId, PendingPoll> pendingPolls_;
    ActiveFaults now_;
    std::uint64_t lastRun_ = 0, lastConn_ = 0, lastCall_ = 0, lastScan_ = 0;
    int lastReplaced_ = 0, discoveryAddress_ = 0, drifted_ = 0;
    std::map<std::string, IdempotencyRecords> marks_;  // of each group that drops repeats
    std::vector<int> order_;                           // of the keys: rank to key
    Nanos beganAt_ = 0;
    Nanos loadUntil_ = 0;
};

}  // namespace poppyscale::testbed
