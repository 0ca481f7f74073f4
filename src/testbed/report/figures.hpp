// Figures of a run from its event log: shares, durations and loads, per second and over the whole run.
#pragma once

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "testbed/audit/slow_start_load.hpp"
#include "testbed/emulator/event_log.hpp"

namespace poppyscale::testbed {

// Exact quantiles: the durations of a run are few enough to keep them all, so there is no histogram.
class DurationSamples {
  public:
    void add(Nanos duration) { samples_.push_back(duration); }
    double quantileMs(double quantile);  // 0 without samples
    std::size_t count() const { return samples_.size(); }

  private:
    std::vector<Nanos> samples_;
};

class Figures {
  public:
    explicit Figures(const nlohmann::json& head);
    void onEvent(const LogEvent& entry);
    // To be called after the last entry. All figures by name, in the order in which they are printed.
    const std::vector<std::pair<std::string, double>>& finish();
    double valueOf(const std::string& name) const;
    // The scenario's bounds that are not met, each as "bound-NAME".
    std::vector<std::string> unmetBounds() const;

    struct Second {
        int asked = 0, answered = 0, rejected = 0, failed = 0, attempts = 0, misses = 0;
        double originLoad = 0;  // share of its capacity
        DurationSamples times;
        std::map<int, int> attemptsByServer;
    };
    std::vector<Second>& seconds() { return seconds_; }
    struct Annotation {
        double atSeconds;
        std::string text;
    };
    const std::vector<Annotation>& annotations() const { return annotations_; }
    const std::vector<std::string>& serverNames() const { return serverNames_; }
    nlohmann::json json() const;

  private:
    // One request of a client with all its tries.
    struct RequestState {
        int requestClass = 0;
        Nanos dueAt = 0;
        bool isOpen = true;
        bool isDuringRollout = false;  // first tried after a rollout began
        bool isLoadWeighted = false;   // the first try went to a router with load-following weights
    };
    Second& second(Nanos at);

    nlohmann::json head_;
    std::vector<std::string> requestClassNames_;
    std::unordered_map<std::uint64_t, std::uint64_t> firstTries_;  // the first try's id by each try's id
    std::unordered_map<std::uint64_t, RequestState> requests_;     // requests by the first try's id
    std::vector<Second> seconds_;
    std::vector<Annotation> annotations_;
    std::vector<std::string> serverNames_, serverZones_;
    std::map<int, std::string> routerZones_;
    std::vector<double> capacities_;
    std::vector<int> askedByClass_, inGoalByClass_;
    // [1] at routers with load-following weights, [0] at the others.
    std::array<int, 2> askedByLoadWeighted_{}, inGoalByLoadWeighted_{};
    DurationSamples times_, lateness_;
    long asked_ = 0, answered_ = 0, inGoal_ = 0, tries_ = 0, rejected_ = 0, failed_ = 0, attempts_ = 0,
         hits_ = 0, reads_ = 0, connectionsOpened_ = 0, crossZoneAttempts_ = 0, busy_ = 0, errors_ = 0,
         unsent_ = 0, unanswered_ = 0;
    std::unordered_set<std::uint64_t> forwarded_;  // tries that have had an attempt
    // When the client left, for tries that had no attempt until then.
    std::unordered_map<std::uint64_t, Nanos> leftAt_;
    // Number of those tries, and of those with an attempt over kAbandonedGrace after the client left.
    long leftWaiting_ = 0, sentOn_ = 0;
    double originWork_ = 0, utility_ = 0, maxUtility_ = 0;
    Nanos lastAt_ = 0;
    // Requests since a rollout began, and the outcome that its coordinator reported.
    long askedInRollout_ = 0, inGoalInRollout_ = 0, exposed_ = 0;
    bool hasRolloutBegun_ = false;
    std::string rolloutOutcome_;
    std::map<int, bool> runsChange_;
    SlowStartLoad slowStartLoad_;
    std::vector<std::pair<std::string, double>> figures_;
};

}  // namespace poppyscale::testbed
