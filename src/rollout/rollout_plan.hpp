// What a staged change is to do, as its plan says it.
#pragma once

#include <string>
#include <vector>

#include "config/toml_table.hpp"
#include "policy/routing_policy.hpp"

namespace poppyscale::rollout {

struct Stage {
    int instances = 0;  // of the whole fleet, or
    double share = 0;   // a part of it; one of the two
};

// What counts as worse. Shares are of commands; a ratio of 1.2 is a fifth more.
struct Thresholds {
    double falseAlarms = 0.01;  // of a roll that changes nothing, over all that is compared
    double harm = 0.02;         // share of commands harmed that has to be ruled out before a stage holds
    double silent = 0.003;      // share never answered that has to be, from the second stage on
    double allowance = 0.002;   // share of commands that may be answered worse without being told apart
    double ratio = 1.2;         // of what goes wrong, that is let be
    double slower = 1.05;       // of answers slower than the unchanged side's slowest quarter, that is let be
    double slowHarm = 0.05;     // share of answers that may move into the slowest quarter, at most
    double pressure = 1.5;      // of relays a command and connections a relay, that is let be
    double growth = 1.3;        // of memory, descriptors and connections beside the unchanged side's, let be
};

struct RolloutPlan {
    struct Agent {
        std::string name;
        std::string socket;
    };
    std::string name;
    std::vector<Agent> agents;
    std::string program;       // a path, the same on every machine; empty: stays
    std::string templatePath;  // a path here; its text goes to the agents; empty: stays
    std::string templateText;
    std::vector<Stage> stages;
    Nanos minStageDuration = 0, maxStageDuration = 0;  // of a stage, of time in which it can be judged
    Nanos settleTime = 0;                              // after an instance's change, before it counts
    Nanos baselineTime = 0;                            // before the first stage: how the fleet does as it is
    Nanos agentHoldDuration = 0;                       // an agent that hears nothing for so long goes back
    Nanos rollbackTimeout = 0;                         // the way back, then what is not back is told
    int batchSize = 1;                                 // instances of an agent that change at once
    int rollbackBatchSize = 2;                         // instances of the fleet that go back at once
    bool continueUndecided = false;  // where a stage could not be told in its longest time: go on
    Thresholds thresholds;
};

// Reads it whole; what is wrong is noted in `problems`. Paths are checked here, agents when they are asked.
RolloutPlan readRolloutPlan(std::string_view text, const std::string& file, config::ConfigProblems& problems);
// Throws std::runtime_error with all problems, a line each.
RolloutPlan loadRolloutPlan(const std::string& file);

// How many instances of `all` have the change at the end of each stage; the last one is all of them.
std::vector<int> stagesOf(const RolloutPlan& plan, int all);

}  // namespace poppyscale::rollout
