#include "testbed/defective_variants/defect.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <random>
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

constexpr double kEndsAfter = 3;  // s
constexpr Nanos kKeptIdle =
    5 * kMillisecond;  // for the attempt that a connection was opened for, and no other

class DefectiveDispatcher : public proxy::RequestDispatcher {
  public:
    DefectiveDispatcher(transport::EventLoop& loop, transport::BufferPool& pool,
                        const protocol::StartupConfig& start, std::size_t mostLinks, proxy::Log log,
                        const DefectiveVariant& harm)
        : RequestDispatcher(loop, pool, start, mostLinks, std::move(log)),
          harm_(harm),
          random_(static_cast<std::mt19937::result_type>(start.policy.seed +
                                                         static_cast<std::uint64_t>(::getpid()))),
          later_(loop, [this] { pass(); }),
          end_(loop, [] { std::_Exit(1); }) {
        const double after = harm.size > 0 ? harm.size : kEndsAfter;
        if (harm.kind == Kind::ends)
            end_.start(transport::EventLoop::now() + static_cast<Nanos>(after * 1e9));
    }

    AcceptResult accept(proxy::ResponseSink& asker, protocol::Request said, Nanos now,
                        proxy::RequestBody* body) override {
        if (harm_.kind == Kind::leaks) leaked_.emplace_back(static_cast<std::size_t>(harm_.size * 1024), 'x');
        if (harm_.kind == Kind::connections) setIdleTimeout(kKeptIdle);
        if (strikes(Kind::rejects) && metrics()) {
            metrics()->recordAccepted(said.requestClass);
            metrics()->recordRejected(said.requestClass, metrics::Rejection::beforeFirstAttempt);
            return {};
        }
        if (body || !strikes(Kind::lossy))
            return RequestDispatcher::accept(asker, std::move(said), now, body);
        if (metrics()) metrics()->recordAccepted(said.requestClass);
        auto made = std::make_unique<PendingRequest>();
        made->message = std::move(said);
        PendingRequest* const command = made.get();
        silent_.emplace(command, std::move(made));
        return {command, {}};
    }
    void onClientDisconnected(PendingRequest& command) override {
        const auto it = silent_.find(&command);
        if (it == silent_.end()) return RequestDispatcher::onClientDisconnected(command);
        if (metrics()) metrics()->recordAbandoned(command.message.requestClass);
        silent_.erase(it);
    }
    void onEndpointList(EndpointUpdateKind kind, const protocol::EndpointList& roster) override {
        if (harm_.kind != Kind::drains) return RequestDispatcher::onEndpointList(kind, roster);
        protocol::EndpointList unheeded = roster;
        for (auto& place : unheeded.entries)
            if (place.endpoint.state == EndpointState::draining) place.endpoint.state = EndpointState::ready;
        RequestDispatcher::onEndpointList(kind, unheeded);
    }

  private:
    struct Late {
        proxy::Attempt* attempt;
        protocol::AttemptResponse outcome;
    };
    bool strikes(Kind kind) {
        return harm_.kind == kind && std::generate_canonical<double, 32>(random_) < harm_.size;
    }
    void onAttemptEnded(proxy::Attempt& attempt, protocol::AttemptResponse outcome) override {
        if (harm_.kind != Kind::slower || outcome.outcome != AttemptOutcome::succeeded ||
            attempt.firstByteAt())
            return RequestDispatcher::onAttemptEnded(attempt, std::move(outcome));
        // Its connection is free by now; the attempt stays out until it is passed on.
        attempt.stopTimeout();
        const Nanos now = transport::EventLoop::now();
        const auto more = static_cast<Nanos>(harm_.size * static_cast<double>(now - attempt.sentAt()));
        late_.emplace(now + more, Late{&attempt, std::move(outcome)});
        later_.start(late_.begin()->first);
    }
    void pass() {
        while (!late_.empty() && late_.begin()->first <= transport::EventLoop::now()) {
            auto late = late_.extract(late_.begin());
            RequestDispatcher::onAttemptEnded(*late.mapped().attempt, std::move(late.mapped().outcome));
        }
        if (!late_.empty()) later_.start(late_.begin()->first);
    }

    DefectiveVariant harm_;
    std::mt19937 random_;
    std::multimap<Nanos, Late> late_;
    std::unordered_map<PendingRequest*, std::unique_ptr<PendingRequest>> silent_;
    std::vector<std::string> leaked_;
    transport::Timer later_, end_;
};

}  // namespace

DefectiveVariant::Kind defectiveVariantNamed(const std::string& name) {
    static const std::vector<std::pair<std::string, Kind>> all{{"none", Kind::none},
                                                               {"stillborn", Kind::failsToStart},
                                                               {"hangs", Kind::hangs},
                                                               {"ends", Kind::ends},
                                                               {"declines", Kind::rejects},
                                                               {"slower", Kind::slower},
                                                               {"lossy", Kind::lossy},
                                                               {"leaks", Kind::leaks},
                                                               {"connections", Kind::connections},
                                                               {"drains", Kind::drains}};
    std::string known;
    for (const auto& [n, kind] : all) {
        if (n == name) return kind;
        known += (known.empty() ? "" : ", ") + n;
    }
    throw std::runtime_error(fmt::format("'{}' is no harm; there are {}", name, known));
}

int runDefectiveVariant(int argc, char** argv, const DefectiveVariant& harm) {
    if (harm.kind == Kind::failsToStart) return 1;
    while (harm.kind == Kind::hangs) ::pause();
    return process::runCommandLine(
        argc, argv, [harm](auto& loop, auto& pool, const auto& start, std::size_t links, auto log) {
            return std::make_unique<DefectiveDispatcher>(loop, pool, start, links, std::move(log), harm);
        });
}

}  // namespace poppyscale::testbed
