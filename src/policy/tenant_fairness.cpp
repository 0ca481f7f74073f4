#include "policy/tenant_fairness.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace poppyscale::policy {
namespace {

// Over a shorter time, a router with little traffic cannot tell a tenant over its quota from random
// variation.
constexpr Nanos kTimeConstant = 10'000 * kMillisecond;
constexpr Nanos kSecond = 1'000 * kMillisecond;

}  // namespace

TenantFairness::TenantFairness(const PolicySettings& settings, Nanos now)
    : settings_(settings), startedAt_(now) {
    applySettings();
}

void TenantFairness::applySettings() {
    const auto previous = std::move(usages_);
    usages_ = {};
    for (const Tenant& tenant : settings_.tenants) {
        const auto known = std::find_if(previous.begin(), previous.end(),
                                        [&](const auto& usage) { return usage->tenant.name == tenant.name; });
        if (known != previous.end())
            usages_.push_back(*known);
        else
            usages_.push_back(std::make_shared<TenantUsage>(TenantUsage{tenant, DecayingSum(kTimeConstant)}));
        usages_.back()->tenant = tenant;
    }
}

std::shared_ptr<TenantUsage> TenantFairness::find(std::string_view name) const {
    std::shared_ptr<TenantUsage> found;
    for (const auto& usage : usages_)
        if (usage->tenant.name == name) found = usage;
    return found;
}

bool TenantFairness::isOverQuota(TenantUsage* usage, Nanos now) {
    if (!usage || usage->tenant.quotaPerSecond <= 0) return false;
    const double evenFraction =
        effectiveDuration(kTimeConstant, now - startedAt_) / kSecond / settings_.routerCount;
    const double expected = std::max(evenFraction, medianFractionOfQuota(now)) * usage->tenant.quotaPerSecond;
    return usage->forwarded.read(now) > expected + std::max(std::sqrt(expected), expected / 3);
}

double TenantFairness::medianFractionOfQuota(Nanos now) {
    std::vector<double> fractions;
    for (const auto& usage : usages_) {
        const double quota = usage->tenant.quotaPerSecond;
        if (quota > 0) fractions.push_back(usage->forwarded.read(now) / quota);
    }
    const auto middle = fractions.begin() + static_cast<std::ptrdiff_t>((fractions.size() - 1) / 2);
    std::nth_element(fractions.begin(), middle, fractions.end());
    return *middle;
}

}  // namespace poppyscale::policy
