// The status of a fleet: the history of its instances' events, and reports with the instances' metrics.
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
    Nanos at = 0;  // time of the monotonic clock
    int instance = 0;
    pid_t pid = -1;       // the instance's process at that moment; -1: none
    std::string what;     // the kind of event, a fixed text that the answer to an events request contains
    std::string version;  // program and template digests that the instance is to run, joined by a slash
};

// Records the events of the instances and builds reports of them.
//
// Guarantees: keeps the latest kMaxEvents events, without gaps in their numbers; never blocks, as metrics are
// collected on a separate thread. Owns the history and the collection in progress, and waits for the latter
// in the destructor. All constructor arguments must outlive it. Used only on the loop's thread.
class FleetStatus {
  public:
    static constexpr std::size_t kMaxEvents = 4'096;

    FleetStatus(const FleetDescription& description, const rollout::RolloutAgent& agent,
                const InstanceProcesses& processes);

    // Records an event of an instance, with the instance's current process and version.
    void recordEvent(int instance, std::string what);
    // The events whose number is greater than `number`, oldest first.
    std::vector<FleetEvent> eventsAfter(std::uint64_t number) const;

    // Begins to collect the metrics of all instances for a report. Must not be called while a collection is
    // in progress.
    void startReport();
    bool isReportInProgress() const { return metrics_.valid(); }
    // Takes the started report, encoded as an answer, once all metrics have arrived or the request for them
    // has timed out. Returns nullopt before that, or if no report was started.
    std::optional<nlohmann::json> takeReport();

  private:
    const FleetDescription& description_;
    const rollout::RolloutAgent& agent_;
    const InstanceProcesses& processes_;
    std::deque<FleetEvent> events_;
    std::uint64_t lastNumber_ = 0;
    // Metrics by instance; null for an instance that did not answer.
    std::future<std::vector<nlohmann::json>> metrics_;
};

}  // namespace poppyscale::ctl
