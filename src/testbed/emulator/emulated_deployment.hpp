// The deployment around the routers: clients, cache servers, the origin, discovery and the network,
// as one model without I/O and without a clock. A driver either puts it behind sockets or runs it
// in virtual time.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "testbed/emulator/event_log.hpp"
#include "testbed/emulator/event_queue.hpp"
#include "testbed/emulator/random.hpp"
#include "testbed/emulator/reply_delivery.hpp"
#include "testbed/emulator/scenario.hpp"
#include "testbed/emulator/server_model.hpp"

namespace poppyscale::testbed {

using ConnectionId = std::uint64_t;

// One try of a client's request, sent to a router.
struct ClientRequest {
    RequestId id = 0;
    int router = 0;
    int requestClass = 0;
    int tenant = -1;
    std::string key;
    std::string idempotencyKey;  // the same for all tries; empty for classes without idempotency keys
    Nanos deadline = 0;
    Nanos patience = 0;  // how long after the deadline the client leaves
    RequestId firstTryId = 0;
    int tryNumber = 1;
    Nanos dueAt = 0;
    Nanos finalDeadline = 0;  // deadline of all tries together
    double work = 0;          // core-ns
};

// An attempt as a server reads it.
struct ReceivedAttempt {
    RequestId requestId = 0;
    std::string key;
    std::string requestClass;
    std::string idempotencyKey;
    bool write = false;
    // Item `d` of the attempt's info list: the time that is left until the client's deadline.
    std::optional<std::int64_t> forwardedTimeoutMs = {};
    Nanos maxReadDelay = 0;  // longest time that the attempt may have waited before it was read
};

// Fills up a value after its token.
constexpr char kFiller = '~';

struct Reply {
    enum class Kind : std::uint8_t { value, miss, error, busy, malformed };
    Kind kind = Kind::error;
    std::string token;
    ReplyDelivery delivery = {};
    RequestId requestId = 0;
    int server = 0;
};

// The state of a server as discovery lists it.
struct ListedEndpoint {
    int server = 0;
    EndpointState state = EndpointState::ready;
    Nanos startedAt = 0;         // start on the deployment's clock; 0: long ago
    double requestsPerCore = 0;  // requests running and queued per core, for weights that follow load
};
struct EndpointListMessage {
    std::int64_t version = 0;
    bool full = false;
    std::vector<ListedEndpoint> lines;
};

// A router's poll for the endpoint list. A router may have several in flight.
using PollId = std::uint64_t;

// How a server's address responds to connects.
enum class AddressState : std::uint8_t { open, refused, silent };

// What the deployment does to the routers. A driver implements it.
class Transport {
  public:
    virtual ~Transport() = default;
    virtual void sendRequest(const ClientRequest& request) = 0;
    virtual void disconnectClient(int router, RequestId id) = 0;
    // Whether a client has an open connection to the router on which no request is open.
    virtual bool hasIdleClient(int /*router*/) const { return false; }
    virtual void onConnectionOpened(ConnectionId connection, bool up) = 0;
    virtual void sendReply(ConnectionId connection, const Reply& reply) = 0;
    virtual void breakConnection(ConnectionId connection) = 0;  // the id is not valid after this
    virtual void setAddressState(int router, int addressIndex, AddressState state) = 0;
    // A poll ends with a list, with a 503 or with the end of its connection.
    virtual void sendEndpointList(int router, PollId poll, const EndpointListMessage& list) = 0;
    virtual void refusePoll(int router, PollId poll) { failPoll(router, poll); }
    virtual void failPoll(int router, PollId poll) = 0;
    virtual void moveDiscovery(int addressIndex) = 0;
    // Control of the router's process.
    virtual void killRouter(int router) = 0;
    virtual void startRouter(int router) = 0;
    virtual void terminateRouter(int router) = 0;
    virtual void reloadRouter(int router) = 0;
    virtual void upgradeRouter(int router) = 0;
    // Connects `count` clients that send nothing to each router; 0 disconnects them.
    virtual void setCrowd(int /*count*/) {}
    // A fault of the routers' processes begins or ends.
    virtual void injectProcessFault(const FaultPlan& /*fault*/, bool /*begins*/) {}
    // A fault of a machine begins or ends. `machine` is the machine that the plan names, or else a
    // drawn machine; coordinators' faults concern no machine in particular.
    virtual void injectMachineFault(const FaultPlan& /*fault*/, int /*machine*/, bool /*begins*/) {}
};

class EmulatedDeployment {
  public:
    struct EmulatedServer {
        std::string name;
        int addressIndex = 0;  // a replacement takes over the address
        std::string zone;
        std::int64_t cell = 0;
        bool origin = false;
        const CachePlan* plan = nullptr;
        double speed = 1;
        Nanos startedAt = 0;
        Nanos wallClockOffset = 0;  // wall clock's offset when `startedAt` was set
    };

    EmulatedDeployment(const Scenario& scenario, std::uint64_t seed, EventLog& eventLog,
                       Transport& transport);
    ~EmulatedDeployment();

    // Schedules the first request and the faults from `now` on. The routers must be up.
    void begin(Nanos now);
    Nanos nextEventAt() const { return events_.next(); }
    bool step(Nanos now) { return events_.step(now); }
    // Schedules an action of the driver's own.
    void schedule(Nanos when, std::function<void(Nanos)> action) {
        events_.schedule(when, std::move(action));
    }
    // Sets the time from which no more requests are generated. A run with a rollout postpones it
    // until the rollout has ended.
    void setLoadEnd(Nanos now) { loadUntil_ = now; }
    // Returns true once no more requests are generated and none is open.
    bool hasEnded(Nanos now) const;

    // Calls from routers, through the driver.
    ConnectionId beginConnect(Nanos now, int router, int addressIndex);
    void onAttemptReceived(Nanos now, ConnectionId connection, const ReceivedAttempt& received);
    void onConnectionClosed(Nanos now, ConnectionId connection);
    PollId beginPoll(Nanos now, int router, std::optional<std::int64_t> after, Nanos wait);
    void endPoll(PollId poll);
    // `unsent` with a non-empty token: the router went away while it held the request.
    enum class ClientOutcome : std::uint8_t { answered, rejected, failed, unsent };
    void onClientOutcome(Nanos now, RequestId id, ClientOutcome outcome, const std::string& token,
                         Nanos retryAfter);
    // The client has received the first byte of a response that is not complete.
    void onResponseBegun(Nanos now, RequestId id);
    // A slow reply ended early: the router closed its connection, or else the server or the network did.
    void onSlowReplyCut(Nanos now, int router, const Reply& reply, std::size_t sentBytes, bool byRouter);
    // A router's process has come up, or has ended.
    void onRouterUp(Nanos now, int router);
    void onRouterGone(Nanos now, int router);
    // A router was asked to stop, or is about to be killed, at `since`. Requests that it leaves
    // without an answer are then no violation.
    void onRouterStopping(Nanos now, int router, Nanos since);
    // Logs an event of a router.
    void logRouterEvent(Nanos now, EventKind kind, int router, std::int64_t number, const std::string& text) {
        log(now, kind, 0, router, -1, 0, number, text);
    }

    // The endpoint list that a router starts with: the list that it knew last, or else discovery's.
    EndpointListMessage initialEndpointList(int router) const;
    const std::vector<EmulatedServer>& servers() const { return servers_; }
    int addressCount() const { return static_cast<int>(serverAtAddress_.size()); }
    std::optional<int> findServer(const std::string& name) const;
    const std::string& routerZone(int router) const {
        return routers_[static_cast<std::size_t>(router)].zone;
    }
    AddressState addressState(int router, int addressIndex) const;
    // Draws a one-way network delay between two zones.
    Nanos drawNetworkDelay(const std::string& from, const std::string& to);
    // The head of the event log.
    nlohmann::json head(std::uint64_t seed) const;
    const Scenario& scenario() const { return scenario_; }

  private:
    // Time until the clients' load balancer stops using a router that got SIGTERM.
    static constexpr Nanos kTerminationDetectionDelay = 300 * kMillisecond;

    enum class ServerCondition : std::uint8_t { up, hung, down, gone };
    struct ServerState;  // a server's process and the faults that affect it
    struct AttemptInFlight {
        std::uint64_t id = 0;
        ConnectionId connection = 0;
        ReceivedAttempt received;
        int server = 0;
        bool hasBegun = false;
        bool isHit = false;
        double work = 0;
    };
    struct ServerConnection {
        ConnectionId id;
        int router;
        int server;
        bool isUp = false;
        Nanos lastArrival = 0;
        struct PendingReply {
            std::uint64_t attemptId;
            std::optional<Reply> reply;
        };
        std::deque<PendingReply> pendingReplies;  // replies are sent in the order of the requests
    };
    struct RouterState {
        std::string zone;
        bool isUp = false;
        bool isAssumedUp = true;  // the clients' load balancer considers the router up
        std::uint64_t incarnation = 0;
        bool isEnding = false;  // the router was asked to stop, or killed
        std::map<int, ListedEndpoint> knownEndpoints;
        // By server: the version of the list from which the router knows the server.
        std::map<int, std::int64_t> knownVersion;
    };
    struct PendingPoll {
        int router = 0;
        std::optional<std::int64_t> after;
        Nanos waitsUntil = 0;  // end of the poll's wait for a change; 0 if it does not wait
    };
    struct EndpointChange {
        std::int64_t version;
        ListedEndpoint line;
    };
    struct ActiveFaults {  // the shares and factors of the faults that are active now
        double hotKeyShare = 0, heavyShare = 0, scanShare = 0, loadFactor = 1, malformedShare = 0;
        double refusedPollShare = 0;  // polls answered 503
        Nanos pollDelay = 0;          // added to discovery's answers, less up to a quarter at random
        std::string cutZone;
        Nanos loopDelay = 0;  // longest delay of an iteration of the routers' event loops
    };

    // Clients
    void generateRequest(Nanos now);
    void abandonRequest(Nanos now, RequestId id);
    double rateAt(Nanos now);
    void sendRequest(Nanos now, ClientRequest request);
    // The client leaves, unless it has received a part of its response.
    void expireRequest(Nanos now, RequestId id);
    Nanos drawPatience();
    // By how much the routers' processes may be held up now.
    Nanos allowedHoldUp(Nanos now) const;
    void terminateRouters(Nanos now, int count);
    // Sends a router SIGHUP several times, before and after its SIGTERM.
    void reloadRepeatedly(Nanos now, int router);
    std::string drawKey(Nanos now);
    int pickRouter();
    void retryLater(Nanos now, const ClientRequest& last, Nanos after);
    // Servers
    void addServer(EmulatedServer server, Nanos now, bool isCold);
    void onRequestArrived(Nanos now, std::uint64_t attemptId);
    void startJobs(Nanos now, int server);
    void finishJob(Nanos now, std::uint64_t attemptId);
    void queueReply(Nanos now, std::uint64_t attemptId, Reply reply);
    void deliverReplies(Nanos now, ConnectionId id);
    void breakAllConnections(Nanos now, int server);
    void breakConnection(Nanos now, ConnectionId id);
    void stopServer(Nanos now, int server);
    void restartServer(Nanos now, int server);
    void updateAddressStates(Nanos now);
    bool isReachable(int router, int server) const;
    // Discovery
    EndpointListMessage completeList() const;
    void onEndpointListDelivered(Nanos now, int router, const EndpointListMessage& list);
    // Records a router's knowledge of a server from a list of this version. `isAssumed`: the router
    // is assumed to know the server's state, whether or not a list with it has arrived.
    void recordKnownEndpoint(Nanos now, int router, const ListedEndpoint& line, std::int64_t version,
                             bool isAssumed);
    void changeEndpoint(Nanos now, int server, EndpointState state, Nanos after);
    void updateWeights(Nanos now);  // lists how many requests each cache server holds
    void answerLongPolls(Nanos now);
    void answerPoll(Nanos now, PollId id);
    void failPolls();
    std::vector<PollId> pollsByRouter() const;
    Nanos drawPollDelay();
    Nanos pollServiceTime() const;
    void refuseAfterDelay(Nanos now, int router, PollId poll);
    void endOlderPolls(int router, PollId poll);
    // Records a change as known to all routers that are up, once they have had the time to poll for
    // it.
    void assumeKnown(Nanos now, const EndpointChange& change);
    bool isDiscoveryReachable() const { return !discoveryDown_ && !discoverySilent_; }
    // Faults
    void scheduleFaults(const FaultPlan& fault);
    void injectFault(Nanos now, const FaultPlan& fault);
    void clearFault(Nanos now, const FaultPlan& fault, const std::vector<int>& affected);
    std::vector<int> drawCaches(int count);
    void log(Nanos now, EventKind kind, std::uint64_t requestId, int router, int server,
             std::uint64_t attemptId, std::int64_t number, std::string text = {});

    Scenario scenario_;
    EventLog& eventLog_;
    Transport& transport_;
    EventQueue events_;
    Random arrivalRandom_, keyRandom_, networkRandom_, serviceRandom_, faultRandom_;
    Zipf zipf_;
    std::vector<EmulatedServer> servers_;
    std::vector<std::unique_ptr<ServerState>> serverStates_;
    std::vector<int> serverAtAddress_;
    std::vector<RouterState> routers_;
    std::unordered_map<ConnectionId, ServerConnection> connections_;
    std::unordered_map<std::uint64_t, AttemptInFlight> attempts_;
    std::unordered_map<RequestId, ClientRequest> openRequests_;
    std::unordered_set<RequestId> begunResponses_;  // open requests whose client has a part of the response
    // The cache servers that missed for a request; they are filled when the origin answers it.
    std::unordered_map<RequestId, std::vector<int>> missedAt_;
    std::unordered_map<RequestId, double> requestWork_;
    std::deque<RequestId> rememberedRequests_;  // bounds requestWork_ and missedAt_
    std::vector<EndpointChange> changes_;
    std::vector<ListedEndpoint> endpoints_;  // endpoints by server, as discovery lists them
    std::int64_t version_ = 1;
    Nanos discoveryFreeAt_ = 0;
    bool discoveryDown_ = false, discoverySilent_ = false;
    Nanos discoveryReachableSince_ = 0;
    Nanos wallClockOffset_ = 0;  // offset of the wall clock that all machines share
    std::map<PollId, PendingPoll> pendingPolls_;
    ActiveFaults activeFaults_;
    Nanos lastLoopDelay_ = 0, loopDelayEndedAt_ = 0;  // of the last fault that has ended
    std::uint64_t lastAttemptId_ = 0, lastConnectionId_ = 0, lastPollId_ = 0, lastScanKey_ = 0;
    int lastReplacement_ = 0, discoveryAddress_ = 0, keySwaps_ = 0;
    std::map<std::string, IdempotencyRecords> idempotencyRecords_;  // keyed by deduplication scope
    std::vector<int> keyOfRank_;
    Nanos beganAt_ = 0;
    Nanos loadUntil_ = 0;
};

}  // namespace poppyscale::testbed
