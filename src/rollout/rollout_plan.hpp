// What a staged rollout is to do, as its plan file says.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "config/toml_table.hpp"

namespace poppyscale::rollout {

// How many instances have the change at the end of a stage. One of the two is set.
struct Stage {
    int instances = 0;  // of the whole fleet; or
    double share = 0;   // a part of it, up to 1
};

// What counts as worse. Shares are parts of requests or responses; a ratio of 1.2 is a fifth more.
struct Thresholds {
    double falseAlarms = 0.01;  // probability that a rollout without a difference stops
    double harm = 0.02;         // share of unanswered or late requests to rule out before a stage completes
    double silent = 0.003;      // share never answered to rule out, from the second stage on
    double allowance = 0.002;   // tolerated share of requests that do worse
    double ratio = 1.2;         // tolerated ratio of what goes wrong
    double slower = 1.05;    // tolerated ratio of responses slower than three quarters of the unchanged ones
    double slowHarm = 0.05;  // share of additional slow responses to rule out
    double pressure = 1.5;   // tolerated ratio of attempts per request, connections per attempt, and polls
    double growth = 1.3;     // tolerated ratio of memory, descriptors and connections
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
    Nanos minStageDuration = 0;      // time in which a stage can be judged
    Nanos maxStageDuration = 0;      // in all
    Nanos settleTime = 0;            // after an instance's change, before it is compared
    Nanos baselineTime = 0;          // before the first stage: how the fleet does as it is
    Nanos agentHoldDuration = 0;     // without orders, before an agent rolls back
    Nanos rollbackTimeout = 0;       // then what is not rolled back is named
    int batchSize = 1;               // instances of an agent in transition at once
    int rollbackBatchSize = 2;       // instances of the fleet that roll back at once
    bool continueUndecided = false;  // a stage without a fault that can't be judged in time: go on
    Thresholds thresholds;
};

// Reads the whole plan and adds what is wrong to `problems`. Paths are checked; agents are not contacted.
RolloutPlan readRolloutPlan(std::string_view text, const std::string& file, config::ConfigProblems& problems);
// Throws std::runtime_error with all problems, a line each.
RolloutPlan loadRolloutPlan(const std::string& file);

// How many of `instances` have the change at the end of each stage. They grow; the last one is all of them.
std::vector<int> stagesOf(const RolloutPlan& plan, int instances);

}  // namespace poppyscale::rollout
