// Tests of reading a staged rollout's plan.
#include "rollout/rollout_plan.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace poppyscale;
using namespace poppyscale::rollout;

// A plan that is misread rolls out to the wrong instances, and an operator who sees one error at a
// time needs several attempts to correct a plan.
TEST_CASE("Reports all errors of a plan at once, each with its line and key") {
    config::ConfigProblems problems("p.toml");
    readRolloutPlan(
        "[[agents]]\nname = \"a\"\nsocket = \"x\"\n[[agents]]\nname = \"a\"\nsocket = "
        "\"/b\"\n[change]\nprogram = "
        "\"/etc/passwd\"\n[[stages]]\nshare = 0.5\n[[stages]]\nshare = 0.25\n[[stages]]\nshare = "
        "1.5\n[stage]\nleast_ms = 5000\nlongest_ms = 1000\n[wurse]\n",
        "p.toml", problems);
    const std::string text = problems.text();
    for (const char* expected : {"p.toml:3: agents[0].socket: is not an absolute path: found 'x'",
                                 "p.toml:5: agents[1].name: is also the name of another agent: 'a'",
                                 "p.toml:8: change.program: is not an executable file",
                                 "p.toml:12: stages[1].share: does not grow", "p.toml:14: stages[2].share",
                                 "p.toml:17: stage.longest_ms: is less than least_ms", "wurse: is not a key"})
        CHECK_MESSAGE(text.find(expected) != std::string::npos, text);
    RolloutPlan plan;
    plan.stages = {{1, 0}, {0, 0.05}, {0, 0.25}, {0, 1}};
    CHECK(stagesOf(plan, 300) == std::vector<int>{1, 15, 75, 300});
    CHECK(stagesOf(plan, 3) == std::vector<int>{1, 2, 3});
    CHECK(stagesOf(plan, 1) == std::vector<int>{1});
}
