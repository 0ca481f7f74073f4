#include "policy/request_classes.hpp"

#include <algorithm>

namespace poppyscale::policy {
namespace {

constexpr double kMedianStep = 0.01;
// A retry with at least this fraction of the median timeout left is treated like a first request.
constexpr double kFullTimeout = 0.98;

}  // namespace

void RequestClasses::applySettings() {
    classes_.clear();
    for (const RequestClass& requestClass : settings_.requestClasses)
        classes_.push_back(std::make_shared<const RequestClass>(requestClass));
    medianTimeouts_.clear();
}

std::shared_ptr<const RequestClass> RequestClasses::find(std::string_view name) const {
    std::shared_ptr<const RequestClass> found = unknown_;
    for (const auto& requestClass : classes_)
        if (requestClass->name == name) found = requestClass;
    return found;
}

Nanos RequestClasses::objectiveDeadline(const RequestClass& requestClass, const IncomingRequest& incoming,
                                        Nanos now) {
    const Nanos fromNow = now + requestClass.latencyObjective;
    const auto timeout = static_cast<double>(incoming.deadline - now);
    double& median = medianTimeouts_[&requestClass];
    if (!incoming.isRetry) {
        if (median == 0)
            median = timeout;
        else
            median *= timeout > median ? 1 + kMedianStep : 1 - kMedianStep;
        return fromNow;
    }
    if (requestClass.timeout <= 0 || timeout >= kFullTimeout * median) return fromNow;
    const Nanos firstAttemptAt = incoming.deadline - requestClass.timeout;
    return std::min(fromNow, firstAttemptAt + requestClass.latencyObjective);
}

}  // namespace poppyscale::policy
