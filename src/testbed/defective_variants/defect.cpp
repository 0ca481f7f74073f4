#include "testbed/defective_variants/defect.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

#include "process/command_line.hpp"
#include "proxy/request_dispatcher.hpp"

namespace poppyscale::testbed {
namespace {

using proxy::PendingRequest;
using Kind = DefectiveVariant::Kind;

constexpr double kDefaultExitDelayS = 3;
// So short that each connection serves only the attempt that it was opened for.
constexpr Nanos kIdleTimeout = 5 * kMillisecond;
constexpr Nanos kCutInterval = 20 * kMillisecond;

class DefectiveDispatcher : public proxy::RequestDispatcher {
  public:
    DefectiveDispatcher(transport::EventLoop& loop, transport::BufferPool& pool,
                        const protocol::StartupConfig& start, std::size_t maxConnections, proxy::Log log,
                        const DefectiveVariant& variant)
        : RequestDispatcher(loop, pool, start, maxConnections, std::move(log)),
          variant_(variant),
          random_(static_cast<std::mt19937::result_type>(start.policy.seed +
                                                         static_cast<std::uint64_t>(::getpid()))),
          delayTimer_(loop, [this] { deliverDelayed(); }),
          exitTimer_(loop, [] { std::_Exit(1); }),
          cutTimer_(loop, [this] { cutResponses(); }) {
        const double after = variant.size > 0 ? variant.size : kDefaultExitDelayS;
        if (variant.kind == Kind::exitsEarly)
            exitTimer_.start(transport::EventLoop::now() + static_cast<Nanos>(after * 1e9));
    }

    AcceptResult accept(proxy::ResponseSink& sink, protocol::Request message, Nanos now,
                        proxy::RequestBody* body) override {
        if (variant_.kind == Kind::leaksMemory)
            leaked_.emplace_back(static_cast<std::size_t>(variant_.size * 1024), 'x');
        if (variant_.kind == Kind::connectionPerAttempt) setIdleTimeout(kIdleTimeout);
        if (shouldMisbehave(Kind::rejects) && metrics()) {
            metrics()->recordAccepted(message.requestClass);
            metrics()->recordRejected(message.requestClass, metrics::Rejection::beforeFirstAttempt);
            return {};
        }
        if (body || !shouldMisbehave(Kind::dropsRequests))
            return RequestDispatcher::accept(sink, std::move(message), now, body);
        if (metrics()) metrics()->recordAccepted(message.requestClass);
        auto ownedRequest = std::make_unique<PendingRequest>();
        ownedRequest->message = std::move(message);
        PendingRequest* const request = ownedRequest.get();
        unanswered_.emplace(request, std::move(ownedRequest));
        return {request, {}};
    }
    void onClientDisconnected(PendingRequest& request) override {
        const auto it = unanswered_.find(&request);
        if (it == unanswered_.end()) return RequestDispatcher::onClientDisconnected(request);
        if (metrics()) metrics()->recordAbandoned(request.message.requestClass);
        unanswered_.erase(it);
    }
    void onEndpointList(EndpointUpdateKind kind, const protocol::EndpointList& list) override {
        if (variant_.kind != Kind::ignoresDraining) return RequestDispatcher::onEndpointList(kind, list);
        protocol::EndpointList altered = list;
        for (auto& entry : altered.entries)
            if (entry.endpoint.state == EndpointState::draining) entry.endpoint.state = EndpointState::ready;
        RequestDispatcher::onEndpointList(kind, altered);
    }

  private:
    Nanos responseDeadline(const PendingRequest& request) const override {
        const auto grace = static_cast<Nanos>(variant_.size * kMillisecond);
        return request.deadline + (variant_.kind == Kind::givesUpLate ? grace : 0);
    }
    bool isAwaited(proxy::Attempt& attempt) override {
        if (variant_.kind == Kind::cutsResponses) {
            written_.insert(&attempt);
            if (!cutTimer_.isActive()) cutTimer_.start(transport::EventLoop::now() + kCutInterval);
        }
        return RequestDispatcher::isAwaited(attempt);
    }
    // Ends attempts of a certain age whose response is arriving.
    void cutResponses() {
        const Nanos now = transport::EventLoop::now();
        const auto age = static_cast<Nanos>(variant_.size * kMillisecond);
        const std::vector<proxy::Attempt*> written(written_.begin(), written_.end());
        for (proxy::Attempt* const attempt : written) {
            const bool isReceiving = attempt->progress().phase() == proxy::AttemptPhase::receivingResponse;
            if (isReceiving && now - attempt->startedAt() >= age) attempt->server().endTimedOut(*attempt);
        }
        cutTimer_.start(now + kCutInterval);
    }
    struct DelayedResponse {
        proxy::Attempt* attempt;
        protocol::AttemptResponse outcome;
    };
    bool shouldMisbehave(Kind kind) {
        return variant_.kind == kind && std::generate_canonical<double, 32>(random_) < variant_.size;
    }
    void onAttemptEnded(proxy::Attempt& attempt, protocol::AttemptResponse outcome) override {
        written_.erase(&attempt);
        if (variant_.kind != Kind::slower || outcome.outcome != AttemptOutcome::succeeded ||
            attempt.firstByteAt())
            return RequestDispatcher::onAttemptEnded(attempt, std::move(outcome));
        // The connection is free by now. The attempt stays in flight until its response is passed on.
        attempt.stopTimeout();
        const Nanos now = transport::EventLoop::now();
        const auto delay = static_cast<Nanos>(variant_.size * static_cast<double>(now - attempt.sentAt()));
        delayed_.emplace(now + delay, DelayedResponse{&attempt, std::move(outcome)});
        delayTimer_.start(delayed_.begin()->first);
    }
    void deliverDelayed() {
        while (!delayed_.empty() && delayed_.begin()->first <= transport::EventLoop::now()) {
            auto delayedResponse = delayed_.extract(delayed_.begin());
            RequestDispatcher::onAttemptEnded(*delayedResponse.mapped().attempt,
                                              std::move(delayedResponse.mapped().outcome));
        }
        if (!delayed_.empty()) delayTimer_.start(delayed_.begin()->first);
    }

    DefectiveVariant variant_;
    std::mt19937 random_;
    std::multimap<Nanos, DelayedResponse> delayed_;
    std::unordered_map<PendingRequest*, std::unique_ptr<PendingRequest>> unanswered_;
    std::vector<std::string> leaked_;
    std::set<proxy::Attempt*> written_;  // attempts that were written, in the variant `cutsResponses`
    transport::Timer delayTimer_, exitTimer_, cutTimer_;
};

}  // namespace

DefectiveVariant::Kind parseDefectiveVariant(const std::string& name) {
    static const std::vector<std::pair<std::string, Kind>> all{{"none", Kind::none},
                                                               {"stillborn", Kind::failsToStart},
                                                               {"hangs", Kind::hangs},
                                                               {"ends", Kind::exitsEarly},
                                                               {"declines", Kind::rejects},
                                                               {"slower", Kind::slower},
                                                               {"lossy", Kind::dropsRequests},
                                                               {"leaks", Kind::leaksMemory},
                                                               {"connections", Kind::connectionPerAttempt},
                                                               {"drains", Kind::ignoresDraining},
                                                               {"cuts", Kind::cutsResponses},
                                                               {"late", Kind::givesUpLate}};
    std::string known;
    for (const auto& [n, kind] : all) {
        if (n == name) return kind;
        known += (known.empty() ? "" : ", ") + n;
    }
    throw std::runtime_error(
        fmt::format("POPPYSCALE_TESTBED_PROGRAM_HARM: unknown defect '{}'; known are {}", name, known));
}

int runDefectiveVariant(int argc, char** argv, const DefectiveVariant& variant) {
    if (variant.kind == Kind::failsToStart) return 1;
    while (variant.kind == Kind::hangs) ::pause();
    return process::runCommandLine(
        argc, argv,
        [variant](auto& loop, auto& pool, const auto& start, std::size_t maxConnections, auto log) {
            return std::make_unique<DefectiveDispatcher>(loop, pool, start, maxConnections, std::move(log),
                                                         variant);
        });
}

}  // namespace poppyscale::testbed
