#include "testbed/soak/command.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <string_view>

#include "testbed/drivers/live/live_run.hpp"
#include "testbed/report/verdict.hpp"
#include "testbed/soak/draw.hpp"

namespace poppyscale::testbed::soak {
namespace {

constexpr int kKept = 0;
constexpr int kBroken = 1;
constexpr int kVoid = 3;
constexpr double kMaxLateShare = 0.05;  // share of a day's tenths of a second; above it the day is void
// Begins a line of a router's log about a violated invariant of the router.
constexpr std::string_view kViolationPrefix = "invariant violated: ";

Scenario baseScenario(const SoakOptions& options) {
    Scenario base = readScenario(options.file);
    if (options.seconds > 0) base.length = static_cast<Nanos>(options.seconds * 1e9);
    if (options.routers > 0) base.routers.count = options.routers;
    return base;
}

std::vector<std::string> invariantViolationsIn(const std::string& folder) {
    std::vector<std::string> lines;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() != ".log") continue;
        std::ifstream file(entry.path());
        for (std::string line; std::getline(file, line);)
            if (line.find(kViolationPrefix) != std::string::npos)
                lines.push_back(entry.path().filename().string() + ": " + line);
    }
    return lines;
}

std::string faultCounts(const Scenario& day) {
    std::map<std::string, int> counts;
    for (const FaultPlan& fault : day.faults) ++counts[std::string(nameOf(fault.kind))];
    std::string text;
    for (const auto& [kind, count] : counts) text += fmt::format(" {}={}", kind, count);
    return text;
}

struct SoakResult {
    bool kept = false;
    bool late = false;
};

SoakResult runDay(const SoakOptions& options, const Scenario& day, std::uint64_t seed,
                  const std::string& folder) {
    Verdict verdict(kLiveTolerance);
    LiveResult result;
    {
        EventLog eventLog(folder + "/log.tsv");
        verdict.observe(eventLog);
        LiveRunOptions live;
        live.program = options.program;
        live.folder = folder;
        result = runLive(day, seed, eventLog, live);
    }
    verdict.addFigure("late_part", result.lateShare);
    fmt::print("seed {}: faults{}\nseed {}: happened", seed, faultCounts(day), seed);
    for (const auto& [name, count] : result.processFaults) fmt::print(" {}={}", name, count);
    fmt::print("\n");
    SoakResult dayResult;
    dayResult.kept = verdict.writeReport(folder);
    for (const std::string& line : invariantViolationsIn(folder)) {
        dayResult.kept = false;
        fmt::print("{}\n", line);
    }
    dayResult.late = result.lateShare > kMaxLateShare;
    return dayResult;
}

}  // namespace

int run(const SoakOptions& options) {
    const Scenario base = baseScenario(options);
    int broken = 0, late = 0;
    for (int i = 0; i < options.seeds; ++i) {
        const std::uint64_t seed = options.first + static_cast<std::uint64_t>(i);
        const bool keepsFolder = !options.out.empty();
        const std::string folder = keepsFolder ? fmt::format("{}/{}", options.out, seed)
                                               : (std::filesystem::temp_directory_path() /
                                                  fmt::format("poppyscale_testbed-soak-{}", ::getpid()))
                                                     .string();
        std::filesystem::create_directories(folder);
        const SoakResult dayResult = runDay(options, drawScenario(base, seed), seed, folder);
        if (!keepsFolder) std::filesystem::remove_all(folder);
        late += dayResult.late;
        broken += !dayResult.late && !dayResult.kept;
        fmt::print("seed {}: {}\n", seed,
                   dayResult.late   ? "void, the testbed ran late"
                   : dayResult.kept ? "kept"
                                    : "BROKEN");
        std::fflush(stdout);
    }
    fmt::print("{} seeds: {} kept, {} broken, {} void\n", options.seeds, options.seeds - broken - late,
               broken, late);
    if (broken > 0) return kBroken;
    return late > 0 ? kVoid : kKept;
}

}  // namespace poppyscale::testbed::soak
