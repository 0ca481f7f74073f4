// Which tenants send more than their quota.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "base/decaying_sum.hpp"
#include "base/time.hpp"
#include "policy/settings.hpp"

namespace poppyscale::policy {

// One tenant, and the requests that were forwarded for it recently. Written by TenantFairness alone; requests
// share it, so that it outlives the tenant's removal from the settings.
struct TenantUsage {
    Tenant tenant;
    DecayingSum forwarded;
};

// Judges each tenant's recent requests against its quota. Owns the usage of all tenants. No router knows its
// part of all traffic, so the median tenant stands for it: what that one sent of its quota, each may.
class TenantFairness {
  public:
    TenantFairness(const PolicySettings& settings, Nanos now);

    // Takes over the tenants of the settings; those that stay keep their usage.
    void applySettings();
    // Null for an unknown tenant.
    std::shared_ptr<TenantUsage> find(std::string_view name) const;
    // `usage` may be null: without a tenant there is no quota.
    bool isOverQuota(TenantUsage* usage, Nanos now);
    void recordForwarded(TenantUsage& usage, Nanos now) { usage.forwarded.add(now, 1); }

  private:
    double medianFractionOfQuota(Nanos now);

    const PolicySettings& settings_;
    const Nanos startedAt_;
    std::vector<std::shared_ptr<TenantUsage>> usages_;  // in the order of the settings
};

}  // namespace poppyscale::policy
