// The plan of a staged rollout, read from a TOML file.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "config/toml_table.hpp"

namespace poppyscale::rollout {

// How many instances have the change at the end of a stage. One of the two is set.
struct Stage {
    int instances = 0;  // instances with the change in the whole fleet; 0 if `share` is set
    double share = 0;   // fraction of the fleet's instances, up to 1; 0 if `instances` is set
};

// Limits beyond which the changed side counts as worse than the unchanged side. Shares are fractions
// of requests or responses; a ratio of 1.2 is a fifth more.
struct Thresholds {
    double falseAlarms = 0.01;  // probability that a change without any effect is rolled back
    double harm = 0.02;         // share of unanswered or late requests to rule out before a stage completes
    // Share of never answered requests to rule out, from the second stage on.
    double neverAnsweredHarm = 0.003;
    double allowance = 0.002;  // tolerated share of additional bad requests, on top of `ratio`
    double ratio = 1.2;        // tolerated ratio of bad requests, changed to unchanged side
    double slower = 1.05;      // tolerated ratio of slow responses: the unchanged side's slowest quarter
    double slowHarm = 0.05;    // share of additional slow responses to rule out
    // Tolerated ratio of attempts per request, connections per attempt, and endpoint polls.
    double pressure = 1.5;
    double growth = 1.3;  // tolerated ratio of memory, descriptors and connections
};

struct RolloutPlan {
    struct Agent {
        std::string name;
        std::string socket;
    };
    std::string name;
    std::vector<Agent> agents;
    std::string program;       // path, the same on every machine; empty: the program stays
    std::string templatePath;  // path on this machine; empty: the configuration template stays
    std::string templateText;
    std::vector<Stage> stages;
    Nanos minStageDuration = 0;   // time for which a stage has to be judged before it completes
    Nanos maxStageDuration = 0;   // limit for each of changing and judging a stage's instances
    Nanos settleTime = 0;         // time from an instance's change until it is compared
    Nanos baselineTime = 0;       // time for which the fleet is observed before the first stage
    Nanos agentHoldDuration = 0;  // time without orders after which an agent rolls back
    // Limit for the rollback, after which instances that are not rolled back are named, and for the
    // agents' confirmations that the rollout has ended.
    Nanos rollbackTimeout = 0;
    int batchSize = 1;               // instances of an agent in transition at once
    int rollbackBatchSize = 2;       // instances of the fleet that roll back at once
    bool continueUndecided = false;  // whether a stage that stays undecided passes if no fault is active
    Thresholds thresholds;
};

// Reads the whole plan and adds all errors to `problems`. Paths are checked; agents are not
// contacted.
RolloutPlan readRolloutPlan(std::string_view text, const std::string& file, config::ConfigProblems& problems);
// Throws std::runtime_error with all problems, a line each.
RolloutPlan loadRolloutPlan(const std::string& file);

// How many of `instances` have the change at the end of each stage. The numbers grow; the last one
// is `instances`.
std::vector<int> stagesOf(const RolloutPlan& plan, int instances);

}  // namespace poppyscale::rollout
