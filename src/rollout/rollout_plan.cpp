#include "rollout/rollout_plan.hpp"

#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <set>
#include <stdexcept>

namespace poppyscale::rollout {
namespace {

using config::TomlTable;

constexpr int kMostInstances = 10'000'000;  // of all machines: a form's largest whole number

void readStages(TomlTable& t, RolloutPlan& plan) {
    t.each("stages", false, [&](TomlTable& s) {
        Stage stage;
        if (s.has("instances") == s.has("share"))
            s.problem("instances", "either instances or share has to be there");
        if (s.has("instances")) stage.instances = s.integer("instances", 1, 1, kMostInstances);
        if (s.has("share")) stage.share = s.fraction("share", 1.0);
        if (s.has("share") && stage.share <= 0) s.problem("share", "is not over 0");
        const Stage* const before = plan.stages.empty() ? nullptr : &plan.stages.back();
        const bool shrinks =
            before &&
            ((before->share > 0 && stage.instances > 0) ||
             (before->share > 0 && stage.share <= before->share) ||
             (before->instances > 0 && stage.instances > 0 && stage.instances <= before->instances));
        if (shrinks)
            s.problem(stage.share > 0 ? "share" : "instances", "does not grow over the stage before");
        plan.stages.push_back(stage);
    });
    if (plan.stages.empty()) plan.stages = {{1, 0}, {0, 0.05}, {0, 0.25}, {0, 1}};
}

void readWorse(TomlTable& t, Thresholds& w) {
    w.falseAlarms = t.number("false_alarms", w.falseAlarms, 1e-6, 0.2);
    w.harm = t.number("harm", w.harm, 0.0005, 0.5);
    w.silent = t.number("silent", w.silent, 0.0001, 0.5);
    w.allowance = t.number("allowance", w.allowance, 0, 0.1);
    w.ratio = t.number("ratio", w.ratio, 1, 10);
    w.slower = t.number("slower", w.slower, 1, 10);
    w.slowHarm = t.number("slow_harm", w.slowHarm, 0.005, 0.5);
    w.pressure = t.number("pressure", w.pressure, 1, 100);
    w.growth = t.number("growth", w.growth, 1, 100);
    if (w.allowance >= w.harm) t.problem("allowance", "is not under harm");
}

}  // namespace

RolloutPlan readRolloutPlan(std::string_view said, const std::string& file,
                            config::ConfigProblems& problems) {
    RolloutPlan plan;
    const auto table = config::parseToml(said, file, problems);
    if (!table) return plan;
    TomlTable t(*table, problems);
    plan.name = t.string("name", "roll");
    std::set<std::string> names, sockets;
    t.each("agents", true, [&](TomlTable& a) {
        RolloutPlan::Agent agent{a.string("name", std::nullopt), a.string("socket", std::nullopt)};
        if (!names.insert(agent.name).second) a.problem("name", "is another agent's too");
        if (!agent.socket.starts_with('/')) a.problem("socket", "is not an absolute path");
        if (!sockets.insert(agent.socket).second) a.problem("socket", "is another agent's too");
        plan.agents.push_back(std::move(agent));
    });
    if (plan.agents.empty()) t.problem("agents", "there is none");
    t.one("change", true, [&](TomlTable& c) {
        plan.program = c.string("program", "");
        plan.templatePath = c.string("operator", "");
        if (plan.program.empty() && plan.templatePath.empty())
            c.problem("program", "neither program nor operator is there: nothing would change");
        struct stat at {};
        const bool there = !plan.program.empty() && ::stat(plan.program.c_str(), &at) == 0;
        if (!plan.program.empty() && !plan.program.starts_with('/'))
            c.problem("program", "is not an absolute path");
        else if (!plan.program.empty() &&
                 !(there && S_ISREG(at.st_mode) && ::access(plan.program.c_str(), X_OK) == 0))
            c.problem("program", "is not a program that can be run: " + plan.program);
        if (plan.templatePath.empty()) return;
        std::ifstream form(plan.templatePath, std::ios::binary);
        plan.templateText.assign(std::istreambuf_iterator<char>(form), {});
        if (!form) return c.problem("operator", "names a file that can't be read: " + plan.templatePath);
        for (const char* part : {"{name}", "{listen}", "{socket}"})
            if (plan.templateText.find(part) == std::string::npos)
                c.problem("operator", fmt::format("{} has no {}", plan.templatePath, part));
    });
    readStages(t, plan);
    t.one("stage", false, [&](TomlTable& s) {
        plan.minStageDuration = s.millis("least_ms", 60'000.0);
        plan.maxStageDuration = s.millis("longest_ms", 600'000.0);
        plan.settleTime = s.millis("settle_ms", 5'000.0);
        plan.baselineTime = s.millis("watch_ms", 30'000.0);
        if (plan.maxStageDuration < plan.minStageDuration) s.problem("longest_ms", "is under least_ms");
        plan.batchSize = s.integer("batch", 1, 1, kMostInstances);
        plan.continueUndecided = s.word<bool>("untold", {{"stop", false}, {"go", true}}, false);
    });
    t.one("keep", false, [&](TomlTable& k) {
        plan.agentHoldDuration = k.millis("without_word_ms", 15'000.0);
        if (plan.agentHoldDuration < 1'000 * kMillisecond) k.problem("without_word_ms", "is under 1000");
    });
    t.one("back", false, [&](TomlTable& b) {
        plan.rollbackBatchSize = b.integer("batch", 2, 1, kMostInstances);
        plan.rollbackTimeout = b.millis("within_ms", 120'000.0);
    });
    t.one("worse", false, [&](TomlTable& w) { readWorse(w, plan.thresholds); });
    t.finish();
    return plan;
}

RolloutPlan loadRolloutPlan(const std::string& file) {
    std::ifstream stream(file, std::ios::binary);
    const std::string said{std::istreambuf_iterator<char>(stream), {}};
    if (!stream) throw std::runtime_error(file + ":1: can't be read");
    config::ConfigProblems problems(file);
    RolloutPlan plan = readRolloutPlan(said, file, problems);
    if (!problems.none()) throw std::runtime_error(problems.text());
    return plan;
}

std::vector<int> stagesOf(const RolloutPlan& plan, int all) {
    std::vector<int> counts;
    for (const Stage& s : plan.stages) {
        const int wanted = s.instances > 0 ? s.instances : static_cast<int>(std::ceil(s.share * all - 1e-9));
        const int count = std::min(std::max(wanted, counts.empty() ? 1 : counts.back() + 1), all);
        if (counts.empty() || count > counts.back()) counts.push_back(count);
    }
    if (counts.empty() || counts.back() < all) counts.push_back(all);
    return counts;
}

}  // namespace poppyscale::rollout
