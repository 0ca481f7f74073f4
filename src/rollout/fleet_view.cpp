#include "rollout/fleet_view.hpp"

#include <algorithm>

namespace poppyscale::rollout {
namespace {

constexpr Nanos kMaxReportAge = 2'500 * kMillisecond;  // an older report says nothing about the present
// A gap of this length or more between two samples of an instance means that its machine was interrupted.
constexpr Nanos kMaxSampleGap = 1'900 * kMillisecond;

}  // namespace

FleetView::FleetView(const RolloutPlan& plan) : plan_(plan), agents_(plan.agents.size()) {}

void FleetView::recordReport(Nanos now, int agentIndex, const Report& report) {
    AgentView& reporter = agent(agentIndex);
    const bool hasOtherInstances =
        reporter.report && reporter.report->instances.size() != report.instances.size();
    if (!instances_.empty() && hasOtherInstances) return;
    reporter.report = report;
    reporter.lastReportAt = now;
    reporter.rejection = report.problem;
    if (report.problem.empty())
        reporter.rejectedSince = 0;
    else
        recordRejection(now, agentIndex, report.problem);
}

void FleetView::recordRejection(Nanos now, int agentIndex, std::string_view reason) {
    AgentView& rejecting = agent(agentIndex);
    if (rejecting.rejectedSince == 0) rejecting.rejectedSince = now;
    rejecting.rejection = reason;
}

void FleetView::buildInstances() {
    for (std::size_t a = 0; a < agents_.size(); ++a) {
        const auto& reports = agents_[a].report->instances;
        for (std::size_t i = 0; i < reports.size(); ++i) {
            InstanceView instance;
            instance.agent = static_cast<int>(a);
            instance.position = static_cast<int>(i);
            instance.name = plan_.agents[a].name + "/" + reports[i].name;
            instance.zone = reports[i].zone;
            instances_.push_back(std::move(instance));
            // An old program may not report its zone, but its agent does.
            zones_.insert(reports[i].zone);
            if (reports[i].metrics) zones_.insert(reports[i].metrics->zone);
        }
    }
}

bool FleetView::sampleWindows(Nanos now) {
    bool wasInterrupted = false;
    for (InstanceView& instance : instances_) {
        instance.window.reset();
        const InstanceReport* const report = reportOf(instance);
        if (!report || !report->metrics || !hasRecentReport(now, instance.agent)) {
            instance.lastSample.reset();
            continue;
        }
        const Nanos sampledAt = agentOf(instance).lastReportAt;
        const Nanos elapsed = sampledAt - instance.lastSampleAt;
        if (instance.lastSample && elapsed >= kMaxSampleGap) wasInterrupted = true;
        if (instance.lastSample && elapsed > 0)
            instance.window = windowOf(*instance.lastSample, *report->metrics, elapsed);
        instance.lastSample = report->metrics;
        instance.lastSampleAt = sampledAt;
    }
    return wasInterrupted;
}

const AgentView& FleetView::agentOf(const InstanceView& instance) const {
    return agents_.at(static_cast<std::size_t>(instance.agent));
}

const std::string& FleetView::agentName(int agentIndex) const {
    return plan_.agents.at(static_cast<std::size_t>(agentIndex)).name;
}

const InstanceReport* FleetView::reportOf(const InstanceView& instance) const {
    const auto& report = agentOf(instance).report;
    return report ? &report->instances[static_cast<std::size_t>(instance.position)] : nullptr;
}

bool FleetView::hasRecentReport(Nanos now, int agentIndex) const {
    const AgentView& reporter = agents_.at(static_cast<std::size_t>(agentIndex));
    return reporter.report && now - reporter.lastReportAt <= kMaxReportAge;
}

std::string FleetView::unreachableAgents(Nanos now) const {
    std::string names;
    for (std::size_t a = 0; a < agents_.size(); ++a) {
        if (hasRecentReport(now, static_cast<int>(a))) continue;
        if (!names.empty()) names += ", ";
        names += plan_.agents[a].name;
        // Distinguishes an agent that answers with an error from one that does not answer.
        if (!agents_[a].rejection.empty()) names += " (" + agents_[a].rejection + ")";
    }
    return names;
}

bool FleetView::areAllReady() const {
    return std::all_of(instances_.begin(), instances_.end(), [this](const InstanceView& instance) {
        const InstanceReport* const report = reportOf(instance);
        return report && report->ready;
    });
}

bool FleetView::isSettled(const InstanceView& instance) const {
    const InstanceReport* const report = reportOf(instance);
    return report && report->ready && report->state == InstanceState::changed &&
           report->timeInState >= plan_.settleTime;
}

bool FleetView::isChanged(const InstanceView& instance) const {
    return instance.window && isSettled(instance);
}

bool FleetView::isUnchanged(const InstanceView& instance) const {
    const InstanceReport* const report = reportOf(instance);
    return instance.window && report && report->ready && report->state == InstanceState::original;
}

bool FleetView::hasUnchanged() const {
    return std::any_of(instances_.begin(), instances_.end(),
                       [this](const InstanceView& instance) { return isUnchanged(instance); });
}

}  // namespace poppyscale::rollout
