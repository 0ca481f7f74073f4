// Counts the events of one instance's window by kind, for the comparison of the changed with the
// unchanged side.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "rollout/draining_caches.hpp"
#include "rollout/instance_metrics.hpp"
#include "rollout/slow_latency_tracker.hpp"

namespace poppyscale::rollout {

// Kinds of events. These names appear in reasons for a rollback and in the status, where programs
// read them.
namespace event_kind {
// Also counted by request class: the name of the class follows the kind after a space.
inline constexpr std::string_view kUnanswered = "unanswered";
inline constexpr std::string_view kNeverAnswered = "never answered";
// Also counted by request class: the name of the class follows the kind after a space.
inline constexpr std::string_view kLate = "late";
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
    double total = 0;  // total of which `bad` is a part, or the denominator of a rate
};

using EventCounts = std::map<std::string, EventCount, std::less<>>;  // counts by kind of event

EventCounts countEvents(const InstanceMetrics& window, const SlowLatencyTracker& slowLatencies,
                        const DrainingCaches& drainingCaches);

}  // namespace poppyscale::rollout
