// The request classes of the settings, and the timeouts of their clients.
#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace poppyscale::policy {

// Owns the classes, which requests share, and the median client timeout of each class.
class RequestClasses {
  public:
    explicit RequestClasses(const PolicySettings& settings) : settings_(settings) { applySettings(); }

    // Applies the classes of the settings, and forgets the timeouts.
    void applySettings();
    // For an unknown name, returns a default class that guarantees nothing.
    std::shared_ptr<const RequestClass> find(std::string_view name) const;
    // Returns until when a response meets the latency objective. Also records the client's timeout
    // unless the request is a client's retry. The timeout covers a request and all its retries, so
    // that the deadline of a late retry shows when the first request came.
    Nanos objectiveDeadline(const RequestClass& requestClass, const IncomingRequest& incoming, Nanos now);

  private:
    const PolicySettings& settings_;
    // Request classes in the order of the settings.
    std::vector<std::shared_ptr<const RequestClass>> classes_;
    const std::shared_ptr<const RequestClass> unknown_ = std::make_shared<const RequestClass>();
    // Running medians of the time left to the client's deadline when a request that is not a retry
    // arrives, in nanoseconds.
    std::unordered_map<const RequestClass*, double> medianTimeouts_;
};

}  // namespace poppyscale::policy
