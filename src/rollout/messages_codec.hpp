// The JSON form of orders, reports and instance metrics: the one place that knows their words. Unknown fields
// are ignored; another format is rejected by its number.
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

// What an instance answers to the console command `figures`. Nothing if it is from an older program, of
// another format, or malformed.
std::optional<InstanceMetrics> readInstanceMetrics(const nlohmann::json& json);

// The state's name in reports and in what poppyctl prints.
std::string_view nameOf(InstanceState state);

}  // namespace poppyscale::rollout
