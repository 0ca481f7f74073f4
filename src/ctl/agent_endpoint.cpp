#include "ctl/agent_endpoint.hpp"

#include <stdexcept>

#include "ctl/async_result.hpp"
#include "ctl/change_preview.hpp"
#include "ctl/monotonic_clock.hpp"
#include "rollout/messages_codec.hpp"

namespace poppyscale::ctl {
namespace {

template <typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

AgentEndpoint::AgentEndpoint(const FleetDescription& description, const VersionStore& versions,
                             rollout::RolloutAgent& agent, AgentStateStore& store, FleetStatus& status)
    : description_(description),
      versions_(versions),
      agent_(agent),
      store_(store),
      status_(status),
      listener_(agentSocketOf(description),
                [this](std::uint64_t client, const nlohmann::json& request) { onRequest(client, request); }) {
}

void AgentEndpoint::addPollDescriptors(std::vector<pollfd>& descriptors) const {
    listener_.addPollDescriptors(descriptors);
}

void AgentEndpoint::runIteration() {
    listener_.runIteration();
    answerReports();
}

// ---- requests

void AgentEndpoint::onRequest(std::uint64_t client, const nlohmann::json& request) {
    const AgentRequest decoded = readAgentRequest(request);
    std::visit(Overloaded{[&](const ReportRequest&) {
                              pendingReports_.push_back({client, true});
                          },
                          [&](const EventsRequest& events) {
                              listener_.answer(client, eventsAnswer(status_.eventsAfter(events.after)));
                          },
                          [&](const PreviewRequest& change) {
                              listener_.answer(client, previewAnswer(previewChange(description_, versions_,
                                                                                   agent_, change)));
                          },
                          [&](const OrderRequest& order) { onOrder(client, order.order); },
                          [&](const UnknownRequest& unknown) {
                              listener_.answer(client, unknownRequestAnswer(unknown.name));
                          }},
               decoded);
}

void AgentEndpoint::onOrder(std::uint64_t client, const nlohmann::json& request) {
    try {
        const rollout::Order order = rollout::readOrder(request);
        const rollout::AgentState& state = agent_.state();
        // The program and the template of a repeated order are stored already.
        if (order.digest == state.digest && !state.change.isEmpty()) {
            applyOrder({client, order, state.change, ""});
            return;
        }
        if (preparation_.valid()) {
            listener_.answer(client, busyAnswer());
            return;
        }
        preparation_ =
            std::async(std::launch::async, [versions = versions_, client, order, before = state.before] {
                return prepareOrder(versions, client, order, before);
            });
    } catch (const std::exception& problem) {
        listener_.answer(client, errorAnswer(problem.what()));
    }
}

AgentEndpoint::PreparedOrder AgentEndpoint::prepareOrder(const VersionStore& versions, std::uint64_t client,
                                                         const rollout::Order& order,
                                                         const rollout::Version& before) {
    PreparedOrder prepared{client, order, before, ""};
    try {
        if (before.isEmpty())
            throw std::runtime_error("the current version could not be stored, so no rollback is possible");
        if (!order.program.empty()) prepared.version.program = versions.storeProgram(order.program);
        if (!order.templateText.empty())
            prepared.version.templateDigest = versions.storeTemplate(order.templateText);
        if (!order.programDigest.empty() && order.programDigest != prepared.version.program)
            throw std::runtime_error(order.program + " differs from the coordinator's file at that path");
    } catch (const std::exception& problem) {
        prepared.problem = problem.what();
    }
    return prepared;
}

void AgentEndpoint::applyOrder(const PreparedOrder& prepared) {
    if (!prepared.problem.empty()) {
        listener_.answer(prepared.client, errorAnswer(prepared.problem));
        return;
    }
    const std::string rejection = agent_.onOrder(monotonicNow(), prepared.order, prepared.version);
    if (!rejection.empty()) {
        listener_.answer(prepared.client, rejectedOrderAnswer(rejection));
        return;
    }
    pendingReports_.push_back({prepared.client, !agent_.isPersisting()});
}

// ---- answers

void AgentEndpoint::collectResults() {
    if (preparation_.valid() && isDone(preparation_)) {
        const PreparedOrder prepared = preparation_.get();
        applyOrder(prepared);
    }
    const std::optional<std::string> problem = store_.takeResult();
    if (!problem) return;
    agent_.onPersisted(monotonicNow(), *problem);
    if (agent_.isPersisting()) return;
    for (PendingReport& pending : pendingReports_) pending.isDurable = true;
}

void AgentEndpoint::answerReports() {
    if (const auto report = status_.takeReport()) {
        for (const std::uint64_t client : reportClients_) listener_.answer(client, *report);
        reportClients_.clear();
    }
    if (status_.isReportInProgress()) return;
    takeDurableReports();
    if (!reportClients_.empty()) status_.startReport();
}

// Assigns all requests that may be answered now to the next report.
void AgentEndpoint::takeDurableReports() {
    std::vector<PendingReport> remaining;
    for (const PendingReport& pending : pendingReports_) {
        if (pending.isDurable)
            reportClients_.push_back(pending.client);
        else
            remaining.push_back(pending);
    }
    pendingReports_ = std::move(remaining);
}

}  // namespace poppyscale::ctl
