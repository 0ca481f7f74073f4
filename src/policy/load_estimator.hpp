// Weights that fall with load, read as load reports.
#pragma once

#include "base/time.hpp"
#include "policy/settings.hpp"

namespace poppyscale::policy {

class EndpointRegistry;
class Server;

// What the endpoint list last reported of one server's load. One for each server.
class LoadReport {
  public:
    // As listed: full weight / (1 + requests for each core). 0 is no report.
    void setListedWeight(double weight);
    double listedWeight() const { return listedWeight_; }
    // Follows the report of a server whose weight without load is `fullWeight`; an absurd one is ignored.
    void update(double fullWeight);
    // Requests for each core, smoothed over reports.
    double load() const { return load_; }

  private:
    double listedWeight_ = 0;
    double load_ = 0;
};

// Where listed weights follow load, splits them into a full weight, which the ranking uses, and a load: a
// weight that moves with load must not move the ranking, so the largest listed of a shape stands for it. Owns
// the mean load; each server has its LoadReport.
class LoadEstimator {
  public:
    LoadEstimator(const PolicySettings& settings, const EndpointRegistry& registry)
        : settings_(settings), registry_(registry) {}

    // Takes in the listed weights after an update of the endpoint list. Whether a full weight has changed.
    // Does nothing where weights do not follow load.
    bool update();
    // Whether a request should leave `server` to others for its load. The report is late and the same at all
    // routers, which would swing together if it were not for `sample`, a random number in [0, 1).
    bool isBusyByLoadReport(const Server& server, double sample, Nanos latencyObjective,
                            Nanos meanLatency) const;

  private:
    const PolicySettings& settings_;
    const EndpointRegistry& registry_;
    double meanLoad_ = 0;  // of the usable cache servers
};

}  // namespace poppyscale::policy
