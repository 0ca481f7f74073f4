// Encodes and decodes orders, reports and instance metrics as JSON. Their keys and state names are
// defined only here. Unknown fields are ignored; other format versions are rejected.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <vector>

#include "rollout/instance_metrics.hpp"
#include "rollout/messages.hpp"

namespace poppyscale::rollout {

nlohmann::json toJson(const Order& order);
// Throws std::runtime_error that names the format or the field.
Order readOrder(const nlohmann::json& json);

// `metrics` holds each instance's metrics as the instance wrote them; missing ones are written as null.
nlohmann::json toJson(const Report& report, const std::vector<nlohmann::json>& metrics);
// Throws std::runtime_error that names the format or the field.
Report readReport(const nlohmann::json& json);

// Reads an instance's answer to the console command `figures`. Returns nothing if the answer comes
// from an older program, has another format version or is malformed.
std::optional<InstanceMetrics> readInstanceMetrics(const nlohmann::json& json);

// The state's name in reports and in what poppyctl prints.
std::string_view nameOf(InstanceState state);

}  // namespace poppyscale::rollout
