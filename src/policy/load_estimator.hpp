// Derives the load of servers from listed weights that fall with load.
#pragma once

#include "base/time.hpp"
#include "policy/settings.hpp"

namespace poppyscale::policy {

class EndpointRegistry;
class Server;

// One server's load, as last reported in the endpoint list. Each server has one.
class LoadReport {
  public:
    // `weight` as listed: full weight / (1 + requests per core). 0 means no report and is ignored.
    void setListedWeight(double weight);
    double listedWeight() const { return listedWeight_; }
    // Updates load() from the listed weight of a server whose weight without load is `fullWeight`.
    // Ignores implausible loads.
    void update(double fullWeight);
    // Requests per core, smoothed over reports.
    double load() const { return load_; }

  private:
    double listedWeight_ = 0;
    double load_ = 0;
};

// Where listed weights follow load, splits each into a full weight, which the ranking uses, and a
// load. The full weight is the largest plausible weight listed for usable servers of the same
// shape. It never falls, so that a change in load does not change the ranking. Owns the mean load;
// each server has its LoadReport.
class LoadEstimator {
  public:
    LoadEstimator(const PolicySettings& settings, const EndpointRegistry& registry)
        : settings_(settings), registry_(registry) {}

    // Evaluates the listed weights after an update of the endpoint list. Returns whether a full
    // weight has changed. Does nothing where weights do not follow load.
    bool update();
    // Whether a request should avoid `server` because of its load. All routers get the same delayed
    // report and would move their requests at the same time without `sample`, a random number in
    // [0, 1).
    bool isBusyByLoadReport(const Server& server, double sample, Nanos latencyObjective,
                            Nanos meanLatency) const;

  private:
    const PolicySettings& settings_;
    const EndpointRegistry& registry_;
    double meanLoad_ = 0;  // mean load of the usable cache servers
};

}  // namespace poppyscale::policy
