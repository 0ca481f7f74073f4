#include "ctl/fleet_status.hpp"

#include <utility>

#include "ctl/async_result.hpp"
#include "ctl/instance_client.hpp"
#include "ctl/monotonic_clock.hpp"
#include "rollout/messages_codec.hpp"

namespace poppyscale::ctl {

FleetStatus::FleetStatus(const FleetDescription& description, const rollout::RolloutAgent& agent,
                         const InstanceProcesses& processes)
    : description_(description), agent_(agent), processes_(processes) {}

void FleetStatus::recordEvent(int instance, std::string what) {
    const rollout::Version& version = agent_.versionOf(instance);
    ++lastNumber_;
    events_.push_back({lastNumber_, monotonicNow(), instance, processes_.pid(instance), std::move(what),
                       version.program + "/" + version.templateDigest});
    if (events_.size() > kMaxEvents) events_.pop_front();
}

std::vector<FleetEvent> FleetStatus::eventsAfter(std::uint64_t number) const {
    std::vector<FleetEvent> later;
    for (const FleetEvent& event : events_)
        if (event.number > number) later.push_back(event);
    return later;
}

void FleetStatus::startReport() {
    std::vector<std::string> sockets;
    for (int i = 0; i < description_.supervisor.instanceCount; ++i)
        sockets.push_back(socketOf(description_, i));
    metrics_ =
        std::async(std::launch::async, [sockets = std::move(sockets)] { return requestMetrics(sockets); });
}

std::optional<nlohmann::json> FleetStatus::takeReport() {
    if (!metrics_.valid() || !isDone(metrics_)) return std::nullopt;
    const std::vector<nlohmann::json> metrics = metrics_.get();
    rollout::Report report = agent_.report(monotonicNow());
    for (int i = 0; i < description_.supervisor.instanceCount; ++i) {
        rollout::InstanceReport& instance = report.instances[static_cast<std::size_t>(i)];
        instance.name = nameOf(description_, i);
        instance.zone = description_.zone;
    }
    return rollout::toJson(report, metrics);
}

}  // namespace poppyscale::ctl
