// The request classes of the settings, and how long their clients wait.
#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace poppyscale::policy {

// Owns the classes, which requests share, and for each the median of its clients' timeouts.
class RequestClasses {
  public:
    explicit RequestClasses(const PolicySettings& settings) : settings_(settings) { applySettings(); }

    // Takes over the classes of the settings, and forgets the timeouts.
    void applySettings();
    // A class of its own, without any promise, for an unknown name.
    std::shared_ptr<const RequestClass> find(std::string_view name) const;
    // Takes in the timeout of a request, and returns by when a response to it meets the latency objective.
    // All retries of a client share its timeout: the deadline of one that comes late shows when the first
    // came.
    Nanos objectiveDeadline(const RequestClass& requestClass, const IncomingRequest& incoming, Nanos now);

  private:
    const PolicySettings& settings_;
    std::vector<std::shared_ptr<const RequestClass>> classes_;  // in the order of the settings
    const std::shared_ptr<const RequestClass> unknown_ = std::make_shared<const RequestClass>();
    // Running medians over the first attempts of clients, in nanoseconds.
    std::unordered_map<const RequestClass*, double> medianTimeouts_;
};

}  // namespace poppyscale::policy
