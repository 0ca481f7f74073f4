#include "policy/outlier_detector.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <string>

#include "policy/endpoint_registry.hpp"
#include "policy/random.hpp"
#include "policy/server.hpp"

namespace poppyscale::policy {
namespace {

constexpr Nanos kEjectionDuration = 4'000 * kMillisecond;
constexpr double kMinFailures = 1.5;
// A server's failure rate counts towards the median from this many recent outcomes on.
constexpr double kMinOutcomes = 0.5;
constexpr double kMinMedianRate = 0.02;  // lower bound of the median rate in the standard deviation
constexpr double kStandardDeviations = 1.5;
// Failure rates up to this much above twice the median rate are tolerated.
constexpr double kMinExcessRate = 0.1;

// The largest number of failures among `outcomes` that is still likely at the median failure rate.
double likelyFailures(double medianRate, double outcomes) {
    const double deviation = std::sqrt(outcomes * std::max(medianRate, kMinMedianRate));
    const double byChance = medianRate * outcomes + kMinFailures + kStandardDeviations * deviation;
    return std::max(byChance, (2 * medianRate + kMinExcessRate) * outcomes);
}

std::string withOneDecimal(double value) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << value;
    return text.str();
}

}  // namespace

bool OutcomeHistory::noteEnd(Nanos now) {
    const bool isFirst = lastEndAt_ != now;
    lastEndAt_ = now;
    return isFirst;
}

void OutcomeHistory::record(AttemptOutcome outcome, double latencyRatio, Nanos now) {
    const bool isAnswer = outcome == AttemptOutcome::succeeded || outcome == AttemptOutcome::cacheMiss;
    if (isAnswer)
        consecutiveTimeouts_ = 0;
    else if (outcome == AttemptOutcome::timedOut)
        ++consecutiveTimeouts_;
    outcomes_.add(now, 1);
    latencyRatios_.add(now, latencyRatio);
}

void OutcomeHistory::eject(Nanos until) {
    ejectedUntil_ = until;
    clearSums();
}

void OutcomeHistory::restart() {
    clearSums();
    ejectedUntil_ = 0;
    consecutiveTimeouts_ = 0;
}

void OutcomeHistory::clearSums() {
    outcomes_.clear();
    latencyRatios_.clear();
    failures_.clear();
}

bool OutlierDetector::recordFailure(Server& server, Nanos now) {
    server.outcomes.recordFailure(now);
    const double failures = server.outcomes.failures(now);
    const double outcomes = std::max(server.outcomes.outcomes(now), failures);
    if (server.isOrigin() || server.outcomes.isEjected(now) || failures <= kMinFailures) return false;
    Population all = population(now);
    std::vector<double>& rates = all.failureRates;
    if (rates.empty() || (all.ejected + 1) * 2 > all.usable) return false;
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    if (failures <= likelyFailures(*middle, outcomes)) return false;
    eject(server, failures, outcomes, now);
    return true;
}

OutlierDetector::Population OutlierDetector::population(Nanos now) const {
    Population all;
    for (Server* server : registry_.cacheServers()) {
        if (!registry_.isUsable(*server)) continue;
        ++all.usable;
        if (server->outcomes.isEjected(now)) ++all.ejected;
        const double outcomes = server->outcomes.outcomes(now);
        if (outcomes >= kMinOutcomes) all.failureRates.push_back(server->outcomes.failures(now) / outcomes);
    }
    return all;
}

void OutlierDetector::eject(Server& server, double failures, double outcomes, Nanos now) {
    host_.log("ejected cache server " + server.name() + " as an outlier: " + withOneDecimal(failures) +
              " of " + withOneDecimal(outcomes) + " recent attempts failed (older attempts weigh less)");
    server.outcomes.eject(now + kEjectionDuration + random_.jitter(kEjectionDuration / 4));
    server.limiter.setLimit(1);
}

}  // namespace poppyscale::policy
