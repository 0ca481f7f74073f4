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
struct FinalResponse {
    enum class Kind : std::uint8_t { succeeded, rejected, failed };
    Kind kind = Kind::failed;
    std::string value;
    Nanos retryAfter = 0;
};

// Who waits for it, at a front.
class ResponseSink {
  public:
    virtual ~ResponseSink() = default;
    virtual void complete(FinalResponse final) = 0;
    // The client has not closed its connection, by a look that is recent enough for an attempt to begin. Once
    // this returns false, the asker has let go of the command.
    virtual bool isClientConnected() = 0;
    // Or a value that is too long to be kept: its first piece is at hand, and it is answered with that.
    virtual BodySink& beginStream(std::size_t length, BodySource& from) = 0;
};

struct PendingRequest {
    RequestId id = 0;
    Nanos acceptedAt = 0;
    protocol::Request message;
    ResponseSink* sink = nullptr;  // null once told, or when the client has left
    RequestBody* body = nullptr;   // of a write that is too long to be kept
    Nanos deadline = 0;
    int attemptCount = 0;
    std::unique_ptr<Attempt> attempt;
    // By the terms under which it was taken.
    Idempotency idempotency = Idempotency::nonIdempotent;
    Nanos idempotencyKeyTtl = 0;
    Nanos firstPossiblyExecutedAt = kNever;  // when the first attempt was sent that may have run
};

// A command as it stands, to be looked at.
struct RequestStatus {
    std::string id, requestClass, tenant, key;
    Nanos since = 0;
    Nanos deadline = 0;
    int attemptCount = 0;
    bool isAwaited = false;  // somebody still waits for its answer
    std::string server;      // where a relay is out, or empty
    Nanos sentAt = 0;
};

using Log = std::function<void(std::string_view)>;

class RequestDispatcher : private PolicyHost, protected AttemptHandler {
  public:
    RequestDispatcher(transport::EventLoop& loop, transport::BufferPool& pool,
                      const protocol::StartupConfig& start, std::size_t mostLinks, Log log);
    ~RequestDispatcher() override = default;

    // What is virtual from here on is so for the lab, whose harmful versions are this router but for their
    // harm.

    // Without a command, the asker is to be told: what is wrong with it, or else that the router holds as
    // many as it may.
    struct AcceptResult {
        PendingRequest* request = nullptr;
        std::string_view problem;
    };
    virtual AcceptResult accept(ResponseSink& asker, protocol::Request said, Nanos now,
                                RequestBody* body = nullptr);
    virtual void onClientDisconnected(PendingRequest& command);
    std::size_t openRequests() const { return requests_.size(); }
    // The end of all: whoever still waits is told, in the turn that this is called in.
    void failAll();
    std::size_t connectionCount() const { return pool_.connectionCount; }
    std::uint64_t connectionsOpened() const { return pool_.connectionsOpened; }
    // By the server's name: how many relays it was given, and whether it is listed as leaving.
    struct ServerAttempts {
        std::uint64_t attempts;
        bool isDraining;
    };
    std::map<std::string, ServerAttempts> attemptsByServer() const;
    // From now on what is done is counted; null until then.
    void enableMetrics(const std::vector<RequestClass>& requestClasses);
    metrics::RouterMetrics* metrics() { return metrics_.get(); }
    // The oldest first.
    std::vector<RequestStatus> requestStatuses() const;
    std::vector<EndpointStatus> endpointStatuses() {
        return policy_.endpointStatuses(transport::EventLoop::now());
    }
    // Other verbs, customers and figures from the next turn on; what is open ends by what it came under.
    void applyConfig(const protocol::StartupConfig& start);

    InvariantGuard& guard() { return guard_; }

    // Why an operator can't take that server out, or let it in; or nothing.
    std::string ejectionProblem(const std::string& name) const;
    // Takes a cache out by an operator's word, or lets it serve again; binding when this returns.
    void setEjected(const std::string& name, bool on);
    // Other bounds than at the start, while another process has a part of them.
    void setLimits(std::size_t memory, std::size_t mostLinks);
    virtual void onEndpointList(EndpointUpdateKind kind, const protocol::EndpointList& roster);
    void onPollFailed();
    void onDiscoveryMoved();  // what failed before was another discovery's
    std::function<void()> requestPoll;

    // Hands over what has been gathered, until nothing is left of it.
    void runIteration();

  protected:
    void onAttemptEnded(Attempt& attempt, protocol::AttemptResponse outcome) override;
    void setIdleTimeout(Nanos time) { pool_.idleTimeout = time; }

  private:
    struct RequestArrived {
        PendingRequest* request;
    };
    struct AttemptEnded {
        AttemptResult end;
    };
    struct ClientDisconnected {
        RequestId id;
    };
    struct EndpointsUpdated {
        EndpointUpdateKind kind;
        std::vector<Endpoint> entries;
    };
    struct SettingsChanged {
        PolicySettings settings;
    };
    struct EjectionChanged {
        std::string name;
        bool isEjected;
    };
    struct Event {
        Nanos at;
        std::variant<RequestArrived, AttemptEnded, ClientDisconnected, EndpointsUpdated, SettingsChanged,
                     EjectionChanged>
            what;
    };
    struct StartAttempt {
        UpstreamServer* to;
        Nanos deadline, latestStart;
    };
    struct Action {
        RequestId id;
        std::variant<StartAttempt, FinalResponse> what;
    };

    void startAttempt(RequestId id, std::string_view cache, Nanos deadline, Nanos latestStart) override;
    void reject(RequestId id, Nanos retryAfter) override;
    void fail(RequestId id) override;
    void scheduleWakeup(Nanos at) override { wakeUp_.start(at); }
    void pollEndpoints() override { pollRequested_ = true; }
    void log(std::string_view text) override { log_(text); }

    BodySink* onStreamBegins(Attempt& attempt, std::size_t length, BodySource& from) override;
    bool isAwaited(Attempt& attempt) override { return isAwaited(*requests_.at(attempt.request)); }
    bool isAwaited(PendingRequest& command);
    void abandon(PendingRequest& command);

    void sampleClockOffset(Nanos now);
    void applyEvent(const Event& event);
    void execute(Action& action);
    void complete(PendingRequest& command, FinalResponse final);
    void forget(RequestId id);

    // Why that attempt may not begin; none if it may.
    std::optional<BlockedAction> blockedBy(const StartAttempt& send, PendingRequest& command, Nanos deadline,
                                           Nanos now);
    // Whether the next attempt of a command may take effect beside an earlier one.
    static bool mayRepeat(const PendingRequest& command, Nanos now);

    transport::EventLoop& loop_;
    Log log_;
    InvariantGuard guard_;
    ConnectionPool pool_;
    std::size_t maxOpenRequests_;
    std::size_t maxBufferedBytes_;  // bytes of what clients sent
    std::size_t bufferedBytes_ = 0;
    discovery::ServerStartTimes startTimes_;
    Nanos clockSampledAt_ = 0;
    std::string originShape_;
    bool cacheAside_;
    bool hasPendingWork_ = true;
    bool pollRequested_ = false;
    RequestId lastId_ = 0;
    std::unordered_map<std::string, RequestClass> requestClasses_;
    std::unique_ptr<metrics::RouterMetrics> metrics_;
    std::unordered_map<RequestId, std::unique_ptr<PendingRequest>> requests_;
    std::unordered_set<std::string_view> clientIds_;  // that clients gave the commands
    std::unordered_map<std::string, std::unique_ptr<UpstreamServer>> upstreams_;
    std::set<std::string> ejectedServers_;
    discovery::RemovedEndpoints removedEndpoints_;  // that were listed and are gone
    std::vector<Event> events_;
    std::vector<Action> actions_;
    transport::Timer wakeUp_;
    RoutingPolicy policy_;
};

}  // namespace poppyscale::proxy
