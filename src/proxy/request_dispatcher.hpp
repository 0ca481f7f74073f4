// The policy's host: collects the events of an event-loop iteration, passes them to the policy, and
// executes the actions that the policy asks for.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "metrics/router_metrics.hpp"
#include "policy/routing_policy.hpp"
#include "protocol/client_response.hpp"
#include "protocol/endpoint_list.hpp"
#include "protocol/request.hpp"
#include "protocol/startup_config.hpp"
#include "proxy/attempt_end.hpp"
#include "proxy/attempt_handler.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/dispatcher_events.hpp"
#include "proxy/invariant_guard.hpp"
#include "proxy/pending_request.hpp"
#include "proxy/recent_request_ids.hpp"
#include "proxy/request_end.hpp"
#include "proxy/request_table.hpp"
#include "proxy/response_budget.hpp"
#include "proxy/response_sink.hpp"
#include "proxy/upstream_registry.hpp"
#include "transport/buffer_pool.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::proxy {

using Log = std::function<void(std::string_view)>;

// Makes no routing decisions and does not depend on the protocols of clients and servers.
// Guarantees that each accepted request gets exactly one final response, unless its client has
// disconnected; that it has at most one attempt in flight; and that a request which may have
// executed is repeated only if its request class allows it.
//
// Owns the requests with their attempts, the upstream servers and the policy. Response sinks belong
// to the client connections, which call `onClientDisconnected` before a sink is destroyed. Must be
// used only on the event loop's thread.
//
// Functions are virtual for the testbed, whose defective variants derive from this class and add
// one defect each.
class RequestDispatcher : private PolicyHost, protected AttemptHandler {
  public:
    RequestDispatcher(transport::EventLoop& loop, transport::BufferPool& buffers,
                      const protocol::StartupConfig& config, std::size_t maxConnections, Log log);
    ~RequestDispatcher() override = default;

    // ---- Requests

    // If `request` is null, `problem` says what is wrong with the message. If `problem` is empty
    // too, the router is at its limit of open requests or of their memory.
    struct AcceptResult {
        PendingRequest* request = nullptr;
        std::optional<protocol::RequestProblem> problem;
    };
    // `arrivedAt` is when the client's timeout began; `body` is the value of a write that is streamed.
    virtual AcceptResult accept(ResponseSink& sink, protocol::Request message, Nanos arrivedAt,
                                RequestBody* body = nullptr);
    // The client of the request has disconnected; the request's sink is not called any more.
    virtual void onClientDisconnected(PendingRequest& request);
    // The number of requests that are accepted and still held.
    std::size_t openRequests() const { return requests_.size(); }
    // The statuses of all open requests, the oldest first.
    std::vector<RequestStatus> requestStatuses() const;
    // Completes all requests within this call: rejects those that had no attempt, fails the others.
    void failAll();

    // The memory of the responses of all requests.
    ResponseBudget& responseBudget() { return responses_; }

    // ---- Upstream servers

    std::size_t connectionCount() const { return pool_.connectionCount(); }
    std::uint64_t connectionsOpened() const { return pool_.connectionsOpened(); }
    std::map<std::string, ServerAttempts> attemptsByServer() const { return servers_.attemptsByServer(); }
    std::vector<EndpointStatus> endpointStatuses() {
        return policy_.endpointStatuses(transport::EventLoop::now());
    }
    const WarmupAttemptCounts& warmupAttemptCounts() const { return policy_.warmupAttemptCounts(); }
    // Why an operator can't eject or readmit that server; empty if that is possible.
    std::string ejectionProblem(const std::string& name) const { return servers_.ejectionProblem(name); }
    // Ejects a cache server for an operator, or readmits it. After an ejection, no attempt starts
    // there.
    void setEjected(const std::string& name, bool ejected);

    // ---- Discovery

    virtual void onEndpointList(EndpointUpdateKind kind, const protocol::EndpointList& list);
    void onPollFailed();
    // Discovery is polled at another address from now on, so that earlier failures no longer count.
    void onDiscoveryMoved();
    // Called when the policy wants the endpoint list to be polled.
    std::function<void()> onPollRequested;

    // ---- Operation

    // Starts counting; `metrics` returns null before this call.
    void enableMetrics(const std::vector<RequestClass>& requestClasses);
    metrics::RouterMetrics* metrics() { return metrics_.get(); }
    InvariantGuard& guard() { return guard_; }
    const AttemptEndLog& attemptEnds() const { return attemptEnds_; }
    const RequestEndLog& requestEnds() const { return requestEnds_; }
    // Open requests keep the settings under which they were accepted.
    void applyConfig(const protocol::StartupConfig& config);
    // `memory` is the limit of the whole process, in bytes.
    void setLimits(std::size_t memory, std::size_t maxConnections);
    // Called in each event-loop iteration. Processes events until none is left.
    void runIteration();

  protected:
    void onAttemptEnded(Attempt& attempt, protocol::AttemptResponse response) override;
    // By when the response to an attempt must be complete, unless it is passed on as it arrives.
    virtual Nanos responseDeadline(const PendingRequest& request) const { return request.deadline; }
    bool isAwaited(Attempt& attempt) override { return isAwaited(requests_.at(attempt.requestId())); }
    void setIdleTimeout(Nanos timeout) { pool_.setIdleTimeout(timeout); }

  private:
    // PolicyHost
    void startAttempt(RequestId id, std::string_view server, Nanos deadline, Nanos latestStart) override;
    void reject(RequestId id, Nanos retryAfter) override;
    void fail(RequestId id) override;
    void scheduleWakeup(Nanos wakeupAt) override { wakeup_.start(wakeupAt); }
    void pollEndpoints() override { isPollRequested_ = true; }
    void log(std::string_view text) override { log_(text); }

    // AttemptHandler
    BodySink* onStreamBegins(Attempt& attempt, std::size_t length, BodySource& source) override;

    // Whether a request of this id may have been executed, or may be.
    bool isIdInUse(const std::string& id, Idempotency idempotency);
    // Removes a request that is over.
    void remove(PendingRequest& request);
    bool isAwaited(PendingRequest& request);
    void abandon(PendingRequest& request);
    void complete(PendingRequest& request, FinalResponse response);
    void recordFinalResponse(const PendingRequest& request, FinalResponse::Kind kind);

    template <class Payload>
    void addEvent(Nanos occurredAt, Payload payload) {
        events_.push_back({occurredAt, std::move(payload)});
    }
    void applyEvents();
    void apply(Nanos occurredAt, const RequestArrived& event);
    void apply(Nanos occurredAt, const AttemptEnded& event);
    void apply(Nanos occurredAt, const ClientDisconnected& event);
    void apply(Nanos occurredAt, const EndpointsUpdated& event);
    void apply(Nanos occurredAt, const SettingsChanged& event);
    void apply(Nanos occurredAt, const EjectionChanged& event);

    void executeActions();
    void execute(PendingRequest& request, StartAttempt& action);
    void execute(PendingRequest& request, FinalResponse& response);

    // Why an attempt may not start; empty if it may.
    std::optional<BlockedAction> blockedBy(const StartAttempt& action, PendingRequest& request,
                                           Nanos deadline, Nanos now);
    // Whether a request may be sent again, given that an earlier attempt may have executed.
    static bool mayRepeat(const PendingRequest& request, Nanos now);

    transport::EventLoop& loop_;
    Log log_;
    InvariantGuard guard_;
    AttemptEndLog attemptEnds_;
    RequestEndLog requestEnds_;
    ResponseBudget responses_;
    ConnectionPool pool_;
    std::size_t maxOpenRequests_;
    std::size_t maxBufferedBytes_;  // limit on the estimated memory of all open requests
    std::unordered_map<std::string, RequestClass> requestClasses_;
    std::unique_ptr<metrics::RouterMetrics> metrics_;
    RecentRequestIds recentIds_;
    RequestTable requests_;  // outlives the servers, whose connections refer to attempts
    UpstreamRegistry servers_;
    std::vector<DispatcherEvent> events_;
    std::vector<DispatcherAction> actions_;
    bool isWakeupDue_ = true;
    bool isPollRequested_ = false;
    transport::Timer wakeup_;
    RoutingPolicy policy_;
};

}  // namespace poppyscale::proxy
