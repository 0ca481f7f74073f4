#include "rollout/draining_caches.hpp"

#include <set>

namespace poppyscale::rollout {
namespace {

// Every instance is notified of a drain within this many windows.
constexpr int kMaxNotificationWindows = 2;

}  // namespace

void DrainingCaches::observe(const FleetView& fleet) {
    std::set<std::string> draining;
    for (const InstanceView& instance : fleet.instances()) {
        if (!fleet.isUnchanged(instance)) continue;
        for (const auto& [name, cache] : instance.window->caches)
            if (cache.isDraining) draining.insert(name);
    }
    std::erase_if(windowsDraining_, [&](const auto& entry) { return !draining.contains(entry.first); });
    for (const std::string& name : draining) ++windowsDraining_[name];
}

bool DrainingCaches::isKnownToAll(const std::string& cache) const {
    const auto found = windowsDraining_.find(cache);
    return found != windowsDraining_.end() && found->second > kMaxNotificationWindows;
}

}  // namespace poppyscale::rollout
