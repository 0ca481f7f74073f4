#include "rollout/resource_levels.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace poppyscale::rollout {
namespace {

// Tolerated on top of the ratio, so that small processes may differ by their start-up costs.
constexpr double kMemoryAllowanceKb = 16'000;
constexpr double kDescriptorAllowance = 48;
constexpr double kConnectionAllowance = 48;
constexpr int kMinExcessiveChecks = 3;

}  // namespace

void ResourceLevels::observe(const FleetView& fleet) {
    for (const InstanceView& instance : fleet.instances()) {
        if (!fleet.isUnchanged(instance)) continue;
        maxMemoryKb_ = std::max(maxMemoryKb_, instance.window->memoryKb);
        maxDescriptors_ = std::max(maxDescriptors_, instance.window->descriptors);
        maxConnections_ = std::max(maxConnections_, instance.window->connections);
    }
}

std::string ResourceLevels::findExcess(const FleetView& fleet) {
    for (int i = 0; i < fleet.instanceCount(); ++i) {
        const InstanceView& instance = fleet.instance(i);
        const std::string excess = fleet.isChanged(instance) ? describeExcess(*instance.window) : "";
        int& checks = excessiveChecks_[i];
        checks = excess.empty() ? 0 : checks + 1;
        if (checks >= kMinExcessiveChecks) return instance.name + ": " + excess;
    }
    return "";
}

std::string ResourceLevels::describeExcess(const InstanceMetrics& window) const {
    if (window.connections > growth_ * maxConnections_ + kConnectionAllowance)
        return fmt::format("{:.0f} connections, at most {:.0f} on unchanged instances", window.connections,
                           maxConnections_);
    if (window.descriptors > growth_ * maxDescriptors_ + kDescriptorAllowance)
        return fmt::format("{:.0f} descriptors, at most {:.0f} on unchanged instances", window.descriptors,
                           maxDescriptors_);
    if (window.memoryKb > growth_ * maxMemoryKb_ + kMemoryAllowanceKb)
        return fmt::format("{:.0f} kB memory, at most {:.0f} on unchanged instances", window.memoryKb,
                           maxMemoryKb_);
    return "";
}

}  // namespace poppyscale::rollout
