// What a fleet tells of itself: the history of its instances' events, and reports with their metrics.
#pragma once

#include <deque>
#include <future>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "ctl/fleet_description.hpp"
#include "ctl/instance_processes.hpp"
#include "rollout/rollout_agent.hpp"

namespace poppyscale::ctl {

// One event of an instance. Events are numbered from 1 in the order in which they happened.
struct FleetEvent {
    std::uint64_t number = 0;
    Nanos at = 0;  // monotonic clock
    int instance = 0;
    pid_t pid = -1;       // of the instance at that moment; -1: none
    std::string what;     // as it is answered to who asks for events
    std::string version;  // the digests that the instance is to run, joined by a slash
};

// Records the events of the instances and builds reports of them.
//
// Guarantees: keeps the latest kMaxEvents events, without gaps in their numbers; never blocks, as metrics are
// collected on a thread of its own. Owns the history and the collection in progress, for which it waits at
// its own end. All that is passed to the constructor must outlive it; it is used from the loop's thread
// alone.
class FleetStatus {
  public:
    static constexpr std::size_t kMaxEvents = 4'096;

    FleetStatus(const FleetDescription& description, const rollout::RolloutAgent& agent,
                const InstanceProcesses& processes);

    // Records an event of an instance, with its process and version of now.
    void recordEvent(int instance, std::string what);
    // The events with a higher number, oldest first.
    std::vector<FleetEvent> eventsAfter(std::uint64_t number) const;

    // Begins to collect the metrics of all instances for a report. Not while a collection is in progress.
    void startReport();
    bool isReportInProgress() const { return metrics_.valid(); }
    // The report that was started, as it is answered, once all metrics have come or their time is over;
    // nothing before, and where none was started.
    std::optional<nlohmann::json> takeReport();

  private:
    const FleetDescription& description_;
    const rollout::RolloutAgent& agent_;
    const InstanceProcesses& processes_;
    std::deque<FleetEvent> events_;
    std::uint64_t lastNumber_ = 0;
    std::future<std::vector<nlohmann::json>> metrics_;  // by instance, null where there are none
};

}  // namespace poppyscale::ctl
