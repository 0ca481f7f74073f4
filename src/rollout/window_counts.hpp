// The events of one instance's window by kind: what is compared between the changed and the unchanged side.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "rollout/draining_caches.hpp"
#include "rollout/instance_metrics.hpp"
#include "rollout/slow_latency_tracker.hpp"

namespace poppyscale::rollout {

// Kinds of events. They appear in reasons for a rollback and in the status, so they are output.
namespace event_kind {
inline constexpr std::string_view kUnanswered = "unanswered";  // also by request class, after a space
inline constexpr std::string_view kNeverAnswered = "never answered";
inline constexpr std::string_view kLate = "late";  // also by request class, after a space
inline constexpr std::string_view kSlower = "slower";
inline constexpr std::string_view kAttemptsLost = "relays lost";
inline constexpr std::string_view kAttemptsPerRequest = "relays a command";
inline constexpr std::string_view kOriginAttemptsPerRequest = "origin's relays a command";
inline constexpr std::string_view kConnectionsPerAttempt = "connections a relay";
inline constexpr std::string_view kAttemptsToDraining = "relays to who leaves";
inline constexpr std::string_view kEndpointPolls = "calls for lists";
}  // namespace event_kind

struct EventCount {
    double bad = 0;
    double total = 0;  // what `bad` is a part of, or a rate's denominator
};

using EventCounts = std::map<std::string, EventCount, std::less<>>;  // by kind

EventCounts countEvents(const InstanceMetrics& window, const SlowLatencyTracker& slowLatencies,
                        const DrainingCaches& drainingCaches);

}  // namespace poppyscale::rollout
