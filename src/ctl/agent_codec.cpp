#include "ctl/agent_codec.hpp"

#include <fmt/format.h>

#include <set>
#include <stdexcept>

#include "rollout/messages.hpp"

namespace poppyscale::ctl {
namespace {

using nlohmann::json;
using rollout::Version;

constexpr std::size_t kMaxEchoedName = 40;  // bytes of an unknown request's name quoted in the answer

json encodeVersion(const Version& version) { return json::array({version.program, version.templateDigest}); }

Version decodeVersion(const json& versions, const char* key) {
    const json& version = versions.at(key);
    return {version[0], version[1]};
}

}  // namespace

json encodeReportRequest() { return {{"do", "look"}}; }

json encodePreviewRequest(const PreviewRequest& request) {
    return {{"do", "way"},
            {"format", rollout::kFormat},
            {"form", request.templateText},
            {"program_digest", request.programDigest}};
}

AgentRequest readAgentRequest(const json& request) {
    const auto name = request.value("do", "");
    if (name == "look") return ReportRequest{};
    if (name == "events") return EventsRequest{request.value("after", std::uint64_t{0})};
    if (name == "way") return PreviewRequest{request.value("form", ""), request.value("program_digest", "")};
    if (name == "roll") return OrderRequest{request};
    return UnknownRequest{name};
}

std::optional<AgentError> readAgentError(const json& answer) {
    if (!answer.contains("error")) return std::nullopt;
    return AgentError{answer["error"].get<std::string>(), answer.value("overtaken", false),
                      answer.value("busy", false)};
}

std::vector<InstancePreview> readPreviewAnswer(const json& answer) {
    std::vector<InstancePreview> previews;
    for (const json& preview : answer.at("ways"))
        previews.push_back({preview.at("name").get<std::string>(), preview.at("zone").get<std::string>(),
                            preview.at("way").get<std::string>()});
    return previews;
}

json errorAnswer(std::string_view problem) { return {{"error", problem}}; }

json unknownRequestAnswer(std::string_view name) {
    return errorAnswer(fmt::format("unknown request '{}'", name.substr(0, kMaxEchoedName)));
}

json busyAnswer() { return {{"error", "another order is still being prepared"}, {"busy", true}}; }

json rejectedOrderAnswer(std::string_view reason) {
    return {{"error", reason}, {"overtaken", reason.starts_with("overtaken")}};
}

json eventsAnswer(const std::vector<FleetEvent>& events) {
    json encoded = json::array();
    for (const FleetEvent& event : events)
        encoded.push_back({{"number", event.number},
                           {"at_ns", event.at},
                           {"instance", event.instance},
                           {"pid", event.pid},
                           {"what", event.what},
                           {"version", event.version}});
    return {{"format", rollout::kFormat}, {"events", std::move(encoded)}};
}

json previewAnswer(const std::vector<InstancePreview>& previews) {
    json encoded = json::array();
    for (const InstancePreview& preview : previews)
        encoded.push_back({{"name", preview.name}, {"zone", preview.zone}, {"way", preview.means}});
    return {{"format", rollout::kFormat}, {"ways", std::move(encoded)}};
}

std::string encodeAgentState(const StoredAgentState& stored) {
    const rollout::AgentState& state = stored.state;
    const json encoded{{"format", rollout::kFormat},
                       {"number", state.number},
                       {"digest", state.digest},
                       {"before", encodeVersion(state.before)},
                       {"change", encodeVersion(state.change)},
                       {"described", encodeVersion(stored.described)},
                       {"changed", state.changed},
                       {"held", state.held},
                       {"keep_ms", state.holdDuration / kMillisecond},
                       {"batch", state.batch},
                       {"over", state.isFinished}};
    return encoded.dump(1);
}

StoredAgentState decodeAgentState(std::string_view text, const std::string& path) {
    const json encoded = json::parse(text);
    if (encoded.at("format") != rollout::kFormat)
        throw std::runtime_error(fmt::format("{}: unsupported format {}", path, encoded["format"].dump()));
    StoredAgentState stored;
    rollout::AgentState& state = stored.state;
    state.number = encoded.at("number");
    state.digest = encoded.at("digest");
    state.before = decodeVersion(encoded, "before");
    state.change = decodeVersion(encoded, "change");
    state.changed = encoded.at("changed").get<std::set<int>>();
    state.held = encoded.at("held").get<std::set<int>>();
    state.holdDuration = encoded.at("keep_ms").get<std::int64_t>() * kMillisecond;
    state.batch = encoded.at("batch");
    state.isFinished = encoded.at("over");
    stored.described = decodeVersion(encoded, "described");
    return stored;
}

}  // namespace poppyscale::ctl
