#include "proxy/invariant_guard.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace poppyscale::proxy {
namespace {

// Keys of the JSON, in the order of the enumerations.
constexpr std::array<std::string_view, static_cast<std::size_t>(Invariant::count)> kInvariantKeys{
    "sending", "repeating", "closing", "starting"};
constexpr std::array<std::string_view, static_cast<std::size_t>(BlockedAction::count)> kBlockedActionKeys{
    "server_leaves", "client_left", "no_time_left", "may_not_repeat", "request_closed", "still_owed"};

}  // namespace

void InvariantGuard::reportViolation(Invariant invariant, const std::string& subject) {
    const auto index = static_cast<std::size_t>(invariant);
    ++violated_[index];
    log_(fmt::format("invariant violated: {}: {}", kInvariantKeys[index], subject));
}

nlohmann::json InvariantGuard::json() const {
    auto blocked = nlohmann::json::object();
    for (std::size_t i = 0; i < blocked_.size(); ++i)
        blocked[std::string(kBlockedActionKeys[i])] = blocked_[i];
    auto violated = nlohmann::json::object();
    for (std::size_t i = 0; i < violated_.size(); ++i)
        violated[std::string(kInvariantKeys[i])] = violated_[i];
    return {{"refused", std::move(blocked)}, {"violated", std::move(violated)}};
}

}  // namespace poppyscale::proxy
