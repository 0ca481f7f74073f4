// The JSON of a machine's agent, for both sides: the requests to its socket, its answers, and its state on
// disk. No other file of this folder knows these keys; the codec of orders and reports is rollout's.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "ctl/fleet_status.hpp"
#include "rollout/rollout_agent.hpp"

namespace poppyscale::ctl {

// ---- requests

struct ReportRequest {};
// Events with a number above `after`.
struct EventsRequest {
    std::uint64_t after = 0;
};
// By which means each instance would get a change; nothing is begun.
struct PreviewRequest {
    std::string templateText;   // empty: stays as it is
    std::string programDigest;  // empty: stays as it is
};
// An order of a coordinator; read by rollout::readOrder, whose errors are answered.
struct OrderRequest {
    nlohmann::json order;
};
struct UnknownRequest {
    std::string name;
};
using AgentRequest = std::variant<ReportRequest, EventsRequest, PreviewRequest, OrderRequest, UnknownRequest>;

nlohmann::json encodeReportRequest();
nlohmann::json encodePreviewRequest(const PreviewRequest& request);
// Throws nlohmann::json::exception where a field is not of its type.
AgentRequest readAgentRequest(const nlohmann::json& request);

// ---- answers

// By which means one instance would get a change.
struct InstancePreview {
    std::string name;
    std::string zone;
    std::string means;  // as it is printed by `poppyctl roll --dry`
};

// An answer that states why a request was not carried out.
struct AgentError {
    std::string problem;
    bool isSuperseded = false;  // a coordinator with a higher number acts there, or a later order was first
    bool isBusy = false;        // the request may be repeated
};
// Nothing where the answer states no error.
std::optional<AgentError> readAgentError(const nlohmann::json& answer);
// Throws nlohmann::json::exception where the answer is of another form.
std::vector<InstancePreview> readPreviewAnswer(const nlohmann::json& answer);

nlohmann::json errorAnswer(std::string_view problem);
nlohmann::json unknownRequestAnswer(std::string_view name);
// The agent still prepares another order: the coordinator sends this one again.
nlohmann::json busyAnswer();
// The agent rejects an order.
nlohmann::json rejectedOrderAnswer(std::string_view reason);
nlohmann::json eventsAnswer(const std::vector<FleetEvent>& events);
nlohmann::json previewAnswer(const std::vector<InstancePreview>& previews);

// ---- state on disk

// What an agent's process leaves to the next one.
struct StoredAgentState {
    rollout::AgentState state;
    rollout::Version described;  // by the fleet's description when it was written
};

std::string encodeAgentState(const StoredAgentState& stored);
// Throws std::exception where the text is of another format, or a field is missing or not of its type.
StoredAgentState decodeAgentState(std::string_view text, const std::string& path);

}  // namespace poppyscale::ctl
