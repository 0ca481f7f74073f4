// The policy's host: collects the events of an event-loop iteration, passes them to the policy, and executes
// the actions that it answers with.
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
#include "proxy/attempt_handler.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/dispatcher_events.hpp"
#include "proxy/invariant_guard.hpp"
#include "proxy/pending_request.hpp"
#include "proxy/request_table.hpp"
#include "proxy/response_sink.hpp"
#include "proxy/upstream_registry.hpp"
#include "transport/buffer_pool.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::proxy {

using Log = std::function<void(std::string_view)>;

// Decides nothing itself, and does not know what clients and servers speak. Guarantees that each accepted
// request gets exactly one final response, unless its client has disconnected; that it has at most one
// attempt in flight; and that what may have executed is repeated only if the request's class allows it.
//
// Owns the requests with their attempts, the upstream servers and the policy. Response sinks belong to the
// clients' side, which calls `onClientDisconnected` before a sink goes away. One thread: that of the loop.
//
// Virtual functions are for the testbed, whose defective variants are this class with one defect.
class RequestDispatcher : private PolicyHost, protected AttemptHandler {
  public:
    RequestDispatcher(transport::EventLoop& loop, transport::BufferPool& buffers,
                      const protocol::StartupConfig& config, std::size_t maxConnections, Log log);
    ~RequestDispatcher() override = default;

    // ---- Requests

    // Without a request, `problem` says what is wrong with the message; without that as well, the router
    // holds as many requests as it may.
    struct AcceptResult {
        PendingRequest* request = nullptr;
        std::optional<protocol::RequestProblem> problem;
    };
    // `arrivedAt` is when the client's timeout began; `body` is the value of a write that is streamed.
    virtual AcceptResult accept(ResponseSink& sink, protocol::Request message, Nanos arrivedAt,
                                RequestBody* body = nullptr);
    // The sink of that request goes away.
    virtual void onClientDisconnected(PendingRequest& request);
    // Accepted and not yet forgotten.
    std::size_t openRequests() const { return requests_.size(); }
    // The oldest first.
    std::vector<RequestStatus> requestStatuses() const;
    // Completes all requests within this call: rejects those without an attempt, fails the others.
    void failAll();

    // ---- Upstream servers

    std::size_t connectionCount() const { return pool_.connectionCount(); }
    std::uint64_t connectionsOpened() const { return pool_.connectionsOpened(); }
    std::map<std::string, ServerAttempts> attemptsByServer() const { return servers_.attemptsByServer(); }
    std::vector<EndpointStatus> endpointStatuses() {
        return policy_.endpointStatuses(transport::EventLoop::now());
    }
    // Why an operator can't eject or readmit that server; empty if he can.
    std::string ejectionProblem(const std::string& name) const { return servers_.ejectionProblem(name); }
    // Ejects a cache server for an operator, or readmits it. No attempt starts there once this returns.
    void setEjected(const std::string& name, bool ejected);

    // ---- Discovery

    virtual void onEndpointList(EndpointUpdateKind kind, const protocol::EndpointList& list);
    void onPollFailed();
    // Polls go to another address from now on, so that earlier failures don't count.
    void onDiscoveryMoved();
    // Called when the policy wants the endpoint list to be polled.
    std::function<void()> requestPoll;

    // ---- Operation

    // Counts from now on; `metrics` is null until then.
    void enableMetrics(const std::vector<RequestClass>& requestClasses);
    metrics::RouterMetrics* metrics() { return metrics_.get(); }
    InvariantGuard& guard() { return guard_; }
    // Requests that are open end by the settings under which they were accepted.
    void applyConfig(const protocol::StartupConfig& config);
    // `memory` in bytes, of the whole process.
    void setLimits(std::size_t memory, std::size_t maxConnections);
    // Processes events until none is left.
    void runIteration();

  protected:
    void onAttemptEnded(Attempt& attempt, protocol::AttemptResponse response) override;
    void setIdleTimeout(Nanos timeout) { pool_.setIdleTimeout(timeout); }

  private:
    // As the policy's host.
    void startAttempt(RequestId id, std::string_view server, Nanos deadline, Nanos latestStart) override;
    void reject(RequestId id, Nanos retryAfter) override;
    void fail(RequestId id) override;
    void scheduleWakeup(Nanos at) override { wakeup_.start(at); }
    void pollEndpoints() override { isPollRequested_ = true; }
    void log(std::string_view text) override { log_(text); }

    // As the handler of attempts.
    BodySink* onStreamBegins(Attempt& attempt, std::size_t length, BodySource& source) override;
    bool isAwaited(Attempt& attempt) override { return isAwaited(requests_.at(attempt.requestId())); }

    bool isAwaited(PendingRequest& request);
    void abandon(PendingRequest& request);
    void complete(PendingRequest& request, FinalResponse response);
    void recordFinalResponse(const PendingRequest& request, FinalResponse::Kind kind);

    template <class What>
    void addEvent(Nanos at, What what) {
        events_.push_back({at, std::move(what)});
    }
    void applyEvents();
    void apply(Nanos at, const RequestArrived& event);
    void apply(Nanos at, const AttemptEnded& event);
    void apply(Nanos at, const ClientDisconnected& event);
    void apply(Nanos at, const EndpointsUpdated& event);
    void apply(Nanos at, const SettingsChanged& event);
    void apply(Nanos at, const EjectionChanged& event);

    void executeActions();
    void execute(PendingRequest& request, StartAttempt& action);
    void execute(PendingRequest& request, FinalResponse& response);

    // Why an attempt may not start; none if it may.
    std::optional<BlockedAction> blockedBy(const StartAttempt& action, PendingRequest& request,
                                           Nanos deadline, Nanos now);
    // Whether the next attempt of a request may be executed beside an earlier one.
    static bool mayRepeat(const PendingRequest& request, Nanos now);

    transport::EventLoop& loop_;
    Log log_;
    InvariantGuard guard_;
    ConnectionPool pool_;
    std::size_t maxOpenRequests_;
    std::size_t maxBufferedBytes_;  // of the requests' messages
    std::unordered_map<std::string, RequestClass> requestClasses_;
    std::unique_ptr<metrics::RouterMetrics> metrics_;
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
