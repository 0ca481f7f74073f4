// Staged rollouts with real processes: agents, coordinators and routers on the testbed's machines, with
// faults between them. The audit checks every request, and the coordinator's statements against what each
// router runs.
#include <doctest/doctest.h>
#include <sys/wait.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <future>
#include <iterator>
#include <semaphore>
#include <string>
#include <vector>

#include "testbed_fixture.hpp"

namespace {

using poppyscale::test::TemporaryFolder;

constexpr int kInconclusive = 3;  // exit code of a testbed that ran late: the run proves nothing
constexpr std::uintmax_t kMinFreeMemoryBytes =
    4ULL * 1024 * 1024 * 1024;  // programs, copies and logs of five scenarios

constexpr int kScenarioMs = 45'000;         // length_ms of the scenario roll-same
constexpr int kMinStageDurationMs = 3'000;  // least_ms
// The disk faults end with the scenario and must outlast the rollback that they prevent: under the limits of
// runRollout's [roll], it ends after 119 s at the latest, plus a few seconds for the agents' answers. The run
// itself ends 2 s after its rollout, so this length does not prolong it.
constexpr int kLongScenarioMs = 150'000;
// The disk faults begin after the first stage's order is written and before the second stage's. The first
// usually comes at 4.9 s, but later if the machine is busy and the fleet is watched for longer. A higher
// least_ms leaves room for that: with at_ms, watch_ms and settle_ms, the second can't come before 15.5 s.
constexpr int kLongMinStageDurationMs = 10'000;
constexpr int kDiskFaultBeginMs = 11'000;
constexpr int kDiskFaultLengthMs = kLongScenarioMs - kDiskFaultBeginMs;

struct RunResult {
    std::string name;
    int code = kInconclusive;
    std::string text, lastLine, coordinatorLog;
    bool contains(const std::string& expected) const { return text.find(expected) != std::string::npos; }
};

// The scenario roll-same with another change, with faults and possibly with other times.
struct RolloutScenario {
    std::string name;
    std::string change = "same";
    std::string faults;
    std::string rollSettings;  // further lines of [roll]
    int lengthMs = kScenarioMs;
    int minStageDurationMs = kMinStageDurationMs;
};

std::string fault(const std::string& kind, int at, int length, const std::string& settings = "") {
    return "[[faults]]\nkind = \"" + kind + "\"\nat_ms = " + std::to_string(at) +
           "\nfor_ms = " + std::to_string(length) + "\n" + settings + "\n";
}

class ScenarioRunner {
  public:
    // Twenty routers that are killed at random while they are upgraded in turn.
    RunResult runTwentyMinute() const {
        const std::string text = scenario(
            "twenty-minute", {{"per_second = 600", "per_second = 150"}, {"count = 60", "count = 24"}});
        return run("minute", text, " --operated");
    }
    // Runs all scenarios and runTwentyMinute, whose result comes last. Few run at a time: each has a dozen
    // processes, and a testbed that runs late proves nothing either way. A run that was late, because of
    // other runs or other work of the machine, is repeated with fewer other runs at a time, and then alone; a
    // conclusive run is never repeated.
    std::vector<RunResult> runAll(const std::vector<RolloutScenario>& rollouts) const {
        std::vector<RunResult> results(rollouts.size() + 1);
        for (const int concurrency : {5, 2, 1}) {
            std::counting_semaphore<> slots(concurrency);
            std::vector<std::future<void>> runs;
            // runTwentyMinute starts first, as it takes longest.
            for (std::size_t i = rollouts.size() + 1; i-- > 0;)
                if (results[i].code == kInconclusive)
                    runs.push_back(std::async(std::launch::async, [&, i] {
                        slots.acquire();
                        results[i] = i == rollouts.size() ? runTwentyMinute() : runRollout(rollouts[i]);
                        slots.release();
                    }));
            for (auto& pending : runs) pending.get();
        }
        return results;
    }

  private:
    static std::string scenario(const std::string& name,
                                const std::vector<std::pair<std::string, std::string>>& changes) {
        std::ifstream file(SCENARIOS "/" + name + ".toml");
        std::string text{std::istreambuf_iterator<char>(file), {}};
        text.erase(text.find("[holds]"));
        for (const auto& [from, to] : changes) {
            const auto at = text.find(from);
            if (at != std::string::npos) text.replace(at, from.size(), to);
        }
        return text;
    }
    RunResult runRollout(const RolloutScenario& rollout) const {
        // Two machines and less load, as programs with sanitizers are slow.
        std::vector<std::pair<std::string, std::string>> changes{
            {"length_ms = " + std::to_string(kScenarioMs), "length_ms = " + std::to_string(rollout.lengthMs)},
            {"count = 4", "count = 2"},
            {"instances = 5", "instances = 3"},
            {"per_second = 500", "per_second = 150"},
            {"watch_ms = 4000", "watch_ms = 2500"},
            {"least_ms = 4000", "least_ms = " + std::to_string(rollout.minStageDurationMs)},
            {"settle_ms = 2000", "settle_ms = 1000"},
            {"0.25", "0.34"},
            {"harm = 0.03", "harm = 0.05"},
            {"change = \"same\"", "change = \"" + rollout.change + "\"\n" + rollout.rollSettings}};
        if (rollout.change == "deaf") changes.emplace_back("[routers]", "list = \"file\"\n[routers]");
        return run(rollout.name, scenario("roll-same", changes) + rollout.faults, " --ctl " POPPYCTL);
    }
    RunResult run(const std::string& name, const std::string& text, const std::string& arguments) const {
        const std::string path = folder_ / (name + ".toml"), out = folder_ / name;
        std::ofstream(path) << text;
        RunResult result{name, -1, "", "", ""};
        FILE* const pipe = popen((std::string(POPPYSCALE_TESTBED_PROGRAM " run ") + path +
                                  " --program " POPPYSCALE_PROGRAM + arguments + " --out " + out + " 2>&1")
                                     .c_str(),
                                 "r");
        std::array<char, 4096> buffer{};
        while (const std::size_t got = std::fread(buffer.data(), 1, buffer.size(), pipe))
            result.text.append(buffer.data(), got);
        const int status = pclose(pipe);
        result.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        const auto end = result.text.find_last_not_of('\n');
        result.lastLine = result.text.substr(result.text.find_last_of('\n', end) + 1);
        std::ifstream log(out + "/coordinator.log");
        result.coordinatorLog.assign(std::istreambuf_iterator<char>(log), {});
        result.text += result.coordinatorLog;
        return result;
    }

    // Each scenario copies programs for its machines.
    TemporaryFolder folder_{"poppyroll-", kMinFreeMemoryBytes};
};

}  // namespace

// Guards against a harmful change that spreads, a harmless one that faults stop, and a rollback that is
// reported as complete although a full or read-only disk, or the loss of the old program, prevents it.
TEST_CASE(
    "Stops and rolls back harmful changes, and completes harmless ones despite faults of the machines") {
    struct Expected : RolloutScenario {
        std::string outcome;  // expected in the line of results
        std::string logText;  // expected in the coordinators' log
    };
    const std::string completed = " went=1 stopped=0 undone=0", rolledBack = " went=0 stopped=1 undone=1";
    const std::string rollbackIncomplete = " went=0 stopped=1 undone=0";
    const std::string killed =
        fault("coordinator_kill", 5500, 1000) + fault("agent_kill", 9000, 800, "machine = 1");
    const std::string twoCoordinators =
        fault("coordinator_twice", 6000, 1) + fault("machine_lost", 9000, 2000, "machine = 1");
    const std::string cutFrom = fault("machine_cut", 6000, 6000, "machine = 0\nway = \"from\"") +
                                fault("agent_stop", 9000, 5000, "machine = 1");
    // The coordinators run on two machines that are cut off from each other: the later one waits until it
    // reaches all agents.
    const std::string machinesCut = fault("machine_cut", 5000, 6000, "machine = 0\nothers = [1]") +
                                    fault("coordinator_twice", 6000, 1, "machine = 1");
    const std::string clocks = fault("clock_rate", 3000, 30000, "by = 1.08\nmachine = 0") +
                               fault("clock_rate", 3000, 30000, "by = 0.92\nmachine = 1") +
                               fault("clock_jump", 7000, 5000, "by = 3600000\nmachine = 0") +
                               fault("clock_jump", 8000, 5000, "by = -3600000\nmachine = 1");
    const std::string disks = fault("disk_slow", 3000, 35000, "by = 700\nmachine = 0") +
                              fault("sync_fails", 7000, 20000, "count = 2\nmachine = 1") +
                              fault("machine_sleep", 10000, 3000, "machine = 1");
    const std::string drained = fault("drain", 7000, 3000, "count = 4") +
                                fault("drain", 10500, 3000, "count = 4") +
                                fault("drain", 14000, 3000, "count = 4");
    const std::string diskFull = fault("disk_full", kDiskFaultBeginMs, kDiskFaultLengthMs, "machine = 0");
    const std::string diskReadOnly =
        fault("disk_read_only", kDiskFaultBeginMs, kDiskFaultLengthMs, "machine = 0");
    const std::vector<Expected> all{
        {{"coordinator-killed", "same", killed, ""}, completed, "number=2"},
        {{"two-coordinators", "same", twoCoordinators, ""}, completed, "overtaken"},
        {{"cut-from", "same", cutFrom, ""}, completed, "stage holds"},
        {{"apart", "same", machinesCut, "machine = 0\n"}, completed, "overtaken"},
        {{"clocks", "same", clocks, ""}, completed, "stage holds"},
        {{"disks", "same", disks, ""}, completed, "stage holds"},
        {{"machine-killed", "same", fault("machine_kill", 7000, 1500, "machine = 0"), ""},
         completed,
         "stage holds"},
        {{"ends", "ends", "", ""}, rolledBack, "unexpected exits on"},
        {{"ends-in-drain", "ends", "", "size = 0.3\n"}, rolledBack, "unexpected exits on"},
        {{"slower", "slower", "", "size = 0.6\n"}, rolledBack, "why=slower"},
        {{"lossy", "lossy", "", "size = 0.05\n"}, rolledBack, "answered"},
        {{"drains", "drains", drained, ""}, rolledBack, "relays"},
        {{"deaf", "deaf", "", ""}, rolledBack, "stops"},
        {{"disk-full", "same", diskFull, "", kLongScenarioMs, kLongMinStageDurationMs},
         rollbackIncomplete,
         "can't write"},
        {{"read-only", "same", diskReadOnly, "", kLongScenarioMs, kLongMinStageDurationMs},
         rollbackIncomplete,
         "Read-only file system"},
        {{"way-back-gone", "slower", fault("program_gone", 5500, 500, "machine = 0"), "size = 0.6\n"},
         rollbackIncomplete,
         "can't run"}};
    const ScenarioRunner runner;
    const auto results = runner.runAll({all.begin(), all.end()});
    const RunResult& twenty = results.back();
    CHECK_MESSAGE(twenty.code == 0, twenty.text);
    CHECK(twenty.lastLine.starts_with("verdict: kept"));
    for (std::size_t i = 0; i < all.size(); ++i) {
        const RunResult& result = results[i];
        CAPTURE(result.name);
        CHECK_MESSAGE(result.code == 0, result.text);
        CHECK(result.lastLine.starts_with("verdict: kept"));
        CHECK_MESSAGE(result.contains(all[i].outcome), result.text);
        CHECK_MESSAGE(result.coordinatorLog.find(all[i].logText) != std::string::npos, result.coordinatorLog);
        // A harmful change never reaches the third stage.
        if (all[i].outcome != completed)
            CHECK_MESSAGE(result.coordinatorLog.find("stage=3") == std::string::npos, result.coordinatorLog);
    }
}
