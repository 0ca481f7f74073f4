// The JSON of a machine's agent, for agent and coordinator: the requests to the agent's socket, its answers
// and its state on disk. No other file of this folder uses these keys, except for `error`, and for the JSON
// that `poppyctl roll --dry` prints. Orders and reports are encoded and decoded by
// rollout/messages_codec.hpp.
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
// Requests the events whose number is greater than `after`.
struct EventsRequest {
    std::uint64_t after = 0;
};
// Asks by which means (reload, upgrade or restart) each instance would get a change. Nothing is changed.
struct PreviewRequest {
    std::string templateText;   // empty: the template is not changed
    std::string programDigest;  // empty: the program is not changed
};
// An order of a coordinator, to be decoded by rollout::readOrder. The agent answers with its errors.
struct OrderRequest {
    nlohmann::json order;
};
struct UnknownRequest {
    std::string name;
};
using AgentRequest = std::variant<ReportRequest, EventsRequest, PreviewRequest, OrderRequest, UnknownRequest>;

nlohmann::json encodeReportRequest();
nlohmann::json encodePreviewRequest(const PreviewRequest& request);
// Throws nlohmann::json::exception if a field has the wrong type.
AgentRequest readAgentRequest(const nlohmann::json& request);

// ---- answers

// By which means one instance would get a change.
struct InstancePreview {
    std::string name;
    std::string zone;
    std::string means;  // printed by `poppyctl roll --dry`; starts with "can't" if the change is impossible
};

// An answer that states why a request was not carried out.
struct AgentError {
    std::string problem;
    bool isSuperseded = false;  // the agent has seen a higher rollout number or a later order of this rollout
    bool isBusy = false;        // the request may be repeated
};
// Returns nullopt if the answer states no error.
std::optional<AgentError> readAgentError(const nlohmann::json& answer);
// Throws nlohmann::json::exception if a field is missing or has the wrong type.
std::vector<InstancePreview> readPreviewAnswer(const nlohmann::json& answer);

nlohmann::json errorAnswer(std::string_view problem);
nlohmann::json unknownRequestAnswer(std::string_view name);
// The agent is still preparing another order. The coordinator sends its order again later.
nlohmann::json busyAnswer();
// The agent rejects an order, for a reason given by RolloutAgent::onOrder.
nlohmann::json rejectedOrderAnswer(std::string_view reason);
nlohmann::json eventsAnswer(const std::vector<FleetEvent>& events);
nlohmann::json previewAnswer(const std::vector<InstancePreview>& previews);

// ---- state on disk

// The agent's state that the next process of the agent restores.
struct StoredAgentState {
    rollout::AgentState state;
    rollout::Version described;  // the version that the fleet description named when the state was written
};

std::string encodeAgentState(const StoredAgentState& stored);
// `path` is named in errors. Throws std::exception if the format is not supported, or if a field is missing
// or has the wrong type.
StoredAgentState decodeAgentState(std::string_view text, const std::string& path);

}  // namespace poppyscale::ctl
