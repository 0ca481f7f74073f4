// Detects tenants that send more than their quota.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "base/decaying_sum.hpp"
#include "base/time.hpp"
#include "policy/settings.hpp"

namespace poppyscale::policy {

// One tenant, and the requests that were forwarded for it recently. Only TenantFairness writes it;
// requests share ownership, so that it may outlive the tenant's removal from the settings.
struct TenantUsage {
    Tenant tenant;
    DecayingSum forwarded;
};

// Compares each tenant's recent requests with its quota. Owns the usage of all tenants. A router
// does not know its share of all traffic, so it allows each tenant the fraction of its quota that
// the median tenant has sent, or the quota divided by the number of routers if that is larger.
class TenantFairness {
  public:
    TenantFairness(const PolicySettings& settings, Nanos now);

    // Applies the tenants of the settings; tenants that remain keep their usage.
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
    // Usages of the tenants, in the order of the settings.
    std::vector<std::shared_ptr<TenantUsage>> usages_;
};

}  // namespace poppyscale::policy
