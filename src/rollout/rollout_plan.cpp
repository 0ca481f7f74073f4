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

constexpr int kMaxInstances = 10'000'000;  // limit over all machines; also of the batch size

bool growsBeyond(const Stage& before, const Stage& stage) {
    if (before.share > 0) return stage.instances <= 0 && stage.share > before.share;
    const bool hasBothCounts = before.instances > 0 && stage.instances > 0;
    return !hasBothCounts || stage.instances > before.instances;
}

Stage readStage(TomlTable& table) {
    Stage stage;
    if (table.has("instances") == table.has("share"))
        table.problem("instances", "exactly one of instances and share must be set");
    if (table.has("instances")) stage.instances = table.integer("instances", 1, 1, kMaxInstances);
    if (table.has("share")) stage.share = table.fraction("share", 1.0);
    if (table.has("share") && stage.share <= 0) table.problem("share", "is not greater than 0");
    return stage;
}

void readStages(TomlTable& plan, std::vector<Stage>& stages) {
    plan.each("stages", false, [&](TomlTable& table) {
        const Stage stage = readStage(table);
        if (!stages.empty() && !growsBeyond(stages.back(), stage))
            table.problem(stage.share > 0 ? "share" : "instances", "does not grow beyond the previous stage");
        stages.push_back(stage);
    });
    if (stages.empty()) stages = {{1, 0}, {0, 0.05}, {0, 0.25}, {0, 1}};
}

void readThresholds(TomlTable& table, Thresholds& thresholds) {
    thresholds.falseAlarms = table.number("false_alarms", thresholds.falseAlarms, 1e-6, 0.2);
    thresholds.harm = table.number("harm", thresholds.harm, 0.0005, 0.5);
    thresholds.neverAnsweredHarm = table.number("silent", thresholds.neverAnsweredHarm, 0.0001, 0.5);
    thresholds.allowance = table.number("allowance", thresholds.allowance, 0, 0.1);
    thresholds.ratio = table.number("ratio", thresholds.ratio, 1, 10);
    thresholds.slower = table.number("slower", thresholds.slower, 1, 10);
    thresholds.slowHarm = table.number("slow_harm", thresholds.slowHarm, 0.005, 0.5);
    thresholds.pressure = table.number("pressure", thresholds.pressure, 1, 100);
    thresholds.growth = table.number("growth", thresholds.growth, 1, 100);
    if (thresholds.allowance >= thresholds.harm) table.problem("allowance", "is not less than harm");
}

void readAgents(TomlTable& plan, std::vector<RolloutPlan::Agent>& agents) {
    std::set<std::string> names;
    std::set<std::string> sockets;
    plan.each("agents", true, [&](TomlTable& table) {
        RolloutPlan::Agent agent;
        agent.name = table.string("name", std::nullopt);
        agent.socket = table.string("socket", std::nullopt);
        const bool isNewName = names.insert(agent.name).second;
        if (!isNewName) table.problem("name", "is also the name of another agent: '" + agent.name + "'");
        if (!agent.socket.starts_with('/'))
            table.problem("socket", "is not an absolute path: found '" + agent.socket + "'");
        const bool isNewSocket = sockets.insert(agent.socket).second;
        if (!isNewSocket)
            table.problem("socket", "is also the socket of another agent: '" + agent.socket + "'");
        agents.push_back(std::move(agent));
    });
    if (agents.empty()) plan.problem("agents", "at least one agent is required");
}

bool isExecutableFile(const std::string& path) {
    struct stat status {};
    if (::stat(path.c_str(), &status) != 0) return false;
    return S_ISREG(status.st_mode) && ::access(path.c_str(), X_OK) == 0;
}

void checkProgram(TomlTable& change, const std::string& path) {
    if (path.empty()) return;
    if (!path.starts_with('/'))
        change.problem("program", "is not an absolute path: found '" + path + "'");
    else if (!isExecutableFile(path))
        change.problem("program", "is not an executable file: '" + path + "'");
}

void readTemplate(TomlTable& change, RolloutPlan& plan) {
    if (plan.templatePath.empty()) return;
    std::ifstream file(plan.templatePath, std::ios::binary);
    plan.templateText.assign(std::istreambuf_iterator<char>(file), {});
    if (!file)
        return change.problem("operator", "names a file that can't be read: '" + plan.templatePath + "'");
    for (const char* placeholder : {"{name}", "{listen}", "{socket}"})
        if (plan.templateText.find(placeholder) == std::string::npos)
            change.problem("operator",
                           fmt::format("{} lacks the placeholder {}", plan.templatePath, placeholder));
}

void readChange(TomlTable& change, RolloutPlan& plan) {
    plan.program = change.string("program", "");
    plan.templatePath = change.string("operator", "");
    if (plan.program.empty() && plan.templatePath.empty())
        change.problem("program", "neither program nor operator is set: nothing would change");
    checkProgram(change, plan.program);
    readTemplate(change, plan);
}

void readStageLimits(TomlTable& table, RolloutPlan& plan) {
    plan.minStageDuration = table.millis("least_ms", 60'000.0);
    plan.maxStageDuration = table.millis("longest_ms", 600'000.0);
    plan.settleTime = table.millis("settle_ms", 5'000.0);
    plan.baselineTime = table.millis("watch_ms", 30'000.0);
    if (plan.maxStageDuration < plan.minStageDuration) table.problem("longest_ms", "is less than least_ms");
    plan.batchSize = table.integer("batch", 1, 1, kMaxInstances);
    plan.continueUndecided = table.word<bool>("untold", {{"stop", false}, {"go", true}}, false);
}

}  // namespace

RolloutPlan readRolloutPlan(std::string_view text, const std::string& file,
                            config::ConfigProblems& problems) {
    RolloutPlan plan;
    const auto parsed = config::parseToml(text, file, problems);
    if (!parsed) return plan;
    TomlTable root(*parsed, problems);
    plan.name = root.string("name", "roll");
    readAgents(root, plan.agents);
    root.one("change", true, [&](TomlTable& table) { readChange(table, plan); });
    readStages(root, plan.stages);
    root.one("stage", false, [&](TomlTable& table) { readStageLimits(table, plan); });
    root.one("keep", false, [&](TomlTable& table) {
        plan.agentHoldDuration = table.millis("without_word_ms", 15'000.0);
        if (plan.agentHoldDuration < 1'000 * kMillisecond)
            table.problem("without_word_ms", "is less than 1000");
    });
    root.one("back", false, [&](TomlTable& table) {
        plan.rollbackBatchSize = table.integer("batch", 2, 1, kMaxInstances);
        plan.rollbackTimeout = table.millis("within_ms", 120'000.0);
    });
    root.one("worse", false, [&](TomlTable& table) { readThresholds(table, plan.thresholds); });
    root.finish();
    return plan;
}

RolloutPlan loadRolloutPlan(const std::string& file) {
    std::ifstream stream(file, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    if (!stream) throw std::runtime_error(file + ":1: can't be read");
    config::ConfigProblems problems(file);
    RolloutPlan plan = readRolloutPlan(text, file, problems);
    if (!problems.none()) throw std::runtime_error(problems.text());
    return plan;
}

std::vector<int> stagesOf(const RolloutPlan& plan, int instances) {
    std::vector<int> sizes;
    for (const Stage& stage : plan.stages) {
        // Subtracting 1e-9 keeps rounding errors from adding an instance.
        const int wanted = stage.instances > 0 ? stage.instances
                                               : static_cast<int>(std::ceil(stage.share * instances - 1e-9));
        const int minSize = sizes.empty() ? 1 : sizes.back() + 1;
        const int size = std::min(std::max(wanted, minSize), instances);
        if (sizes.empty() || size > sizes.back()) sizes.push_back(size);
    }
    if (sizes.empty() || sizes.back() < instances) sizes.push_back(instances);
    return sizes;
}

}  // namespace poppyscale::rollout
