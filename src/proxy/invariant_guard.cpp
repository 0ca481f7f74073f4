#include "proxy/invariant_guard.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace poppyscale::proxy {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(Invariant::count)> kInvariants{
    "sending", "repeating", "closing", "starting"};
constexpr std::array<std::string_view, static_cast<std::size_t>(BlockedAction::count)> kRefusals{
    "server_leaves", "client_left", "no_time_left", "may_not_repeat", "request_closed", "still_owed"};

}  // namespace

void InvariantGuard::reportViolation(Invariant invariant, const std::string& what) {
    const auto index = static_cast<std::size_t>(invariant);
    ++violated_[index];
    log_(fmt::format("invariant violated: {}: {}", kInvariants[index], what));
}

nlohmann::json InvariantGuard::json() const {
    auto refused = nlohmann::json::object(), violated = nlohmann::json::object();
    for (std::size_t i = 0; i < blocked_.size(); ++i) refused[std::string(kRefusals[i])] = blocked_[i];
    for (std::size_t i = 0; i < violated_.size(); ++i) violated[std::string(kInvariants[i])] = violated_[i];
    return {{"refused", std::move(refused)}, {"violated", std::move(violated)}};
}

}  // namespace poppyscale::proxy
