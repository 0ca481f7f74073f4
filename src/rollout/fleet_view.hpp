// What the coordinator knows of the fleet: each agent's last report, and what each instance did in
// the last window between two samples.
//
// Missing data never counts as good: an instance without recent metrics, or whose metrics
// contradict the previous ones, has no window and counts for neither side of a comparison.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/messages.hpp"
#include "rollout/rollout_plan.hpp"

namespace poppyscale::rollout {

// The coordinator's view of one agent.
struct AgentView {
    std::optional<Report> report;  // the agent's last report
    Nanos lastReportAt = 0;
    std::string rejection;    // why the agent can't carry out its orders; empty: it can
    Nanos rejectedSince = 0;  // when the agent began to reject its orders; 0: it does not
};

// The coordinator's view of one instance.
struct InstanceView {
    int agent = 0;     // index in the plan
    int position = 0;  // index in its agent's report
    std::string name;  // "AGENT/INSTANCE"
    std::string zone;
    std::optional<InstanceMetrics> lastSample;
    Nanos lastSampleAt = 0;
    std::optional<InstanceMetrics> window;  // metrics between the last two samples; empty: unknown
};

class FleetView {
  public:
    // `plan` has to outlive the view.
    explicit FleetView(const RolloutPlan& plan);

    // Ignores a report whose number of instances changed after buildInstances().
    void recordReport(Nanos now, int agent, const Report& report);
    // Records that the agent answers but can't carry out its orders.
    void recordRejection(Nanos now, int agent, std::string_view reason);
    // Enumerates the instances. Requires a report of every agent.
    void buildInstances();
    // Takes a sample of each instance, which ends its window. Returns true if the last two samples
    // of an instance are so far apart that its machine was interrupted.
    bool sampleWindows(Nanos now);

    const std::vector<AgentView>& agents() const { return agents_; }
    const std::vector<InstanceView>& instances() const { return instances_; }
    const InstanceView& instance(int index) const { return instances_.at(static_cast<std::size_t>(index)); }
    int instanceCount() const { return static_cast<int>(instances_.size()); }
    const AgentView& agentOf(const InstanceView& instance) const;
    const std::string& agentName(int agent) const;
    // The instance's part of its agent's last report, however old; null without one.
    const InstanceReport* reportOf(const InstanceView& instance) const;

    bool hasRecentReport(Nanos now, int agent) const;
    // Names of the agents without a recent report, joined for a message, with the reason where an
    // agent rejects its orders; empty if there are none.
    std::string unreachableAgents(Nanos now) const;
    // Whether every instance was ready in its last report.
    bool areAllReady() const;
    // Whether the instance is ready and has run the change for the plan's settle time.
    bool isSettled(const InstanceView& instance) const;
    // Whether the instance is on the changed side of a comparison, with a known window.
    bool isChanged(const InstanceView& instance) const;
    // Whether the instance is on the unchanged side of a comparison, with a known window.
    bool isUnchanged(const InstanceView& instance) const;
    bool hasUnchanged() const;
    // Whether an instance was in that zone when the rollout began.
    bool isKnownZone(const std::string& zone) const { return zones_.contains(zone); }

  private:
    AgentView& agent(int index) { return agents_.at(static_cast<std::size_t>(index)); }

    const RolloutPlan& plan_;
    std::vector<AgentView> agents_;        // agents in the order of the plan
    std::vector<InstanceView> instances_;  // instances in the order of agent and position
    std::set<std::string> zones_;
};

}  // namespace poppyscale::rollout
