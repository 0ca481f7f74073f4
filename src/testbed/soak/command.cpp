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
constexpr double kMostLate = 0.05;  // of a day's tenths of a second, then it proves nothing
// What a router's log says of an invariant of its own that did not hold.
constexpr std::string_view kViolation = "invariant violated: ";

Scenario baseOf(const SoakOptions& wanted) {
    Scenario base = readScenario(wanted.file);
    if (wanted.seconds > 0) base.length = static_cast<Nanos>(wanted.seconds * 1e9);
    if (wanted.routers > 0) base.routers.count = wanted.routers;
    return base;
}

std::vector<std::string> violationsIn(const std::string& folder) {
    std::vector<std::string> lines;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() != ".log") continue;
        std::ifstream file(entry.path());
        for (std::string line; std::getline(file, line);)
            if (line.find(kViolation) != std::string::npos)
                lines.push_back(entry.path().filename().string() + ": " + line);
    }
    return lines;
}

std::string listOf(const Scenario& day) {
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

SoakResult play(const SoakOptions& wanted, const Scenario& day, std::uint64_t seed,
                const std::string& folder) {
    Verdict judge(kLiveTolerance);
    LiveResult result;
    {
        EventLog ledger(folder + "/log.tsv");
        judge.follow(ledger);
        LiveRunOptions live;
        live.program = wanted.program;
        live.folder = folder;
        result = runLive(day, seed, ledger, live);
    }
    judge.extra("late_part", result.latePart);
    fmt::print("seed {}: faults{}\nseed {}: happened", seed, listOf(day), seed);
    for (const auto& [name, count] : result.processFaults) fmt::print(" {}={}", name, count);
    fmt::print("\n");
    SoakResult played;
    played.kept = judge.close(folder);
    for (const std::string& line : violationsIn(folder)) {
        played.kept = false;
        fmt::print("{}\n", line);
    }
    played.late = result.latePart > kMostLate;
    return played;
}

}  // namespace

int run(const SoakOptions& wanted) {
    const Scenario base = baseOf(wanted);
    int broken = 0, late = 0;
    for (int i = 0; i < wanted.seeds; ++i) {
        const std::uint64_t seed = wanted.first + static_cast<std::uint64_t>(i);
        const bool kept = !wanted.out.empty();
        const std::string folder = kept ? fmt::format("{}/{}", wanted.out, seed)
                                        : (std::filesystem::temp_directory_path() /
                                           fmt::format("poppyscale_testbed-soak-{}", ::getpid()))
                                              .string();
        std::filesystem::create_directories(folder);
        const SoakResult played = play(wanted, drawScenario(base, seed), seed, folder);
        if (!kept) std::filesystem::remove_all(folder);
        late += played.late;
        broken += !played.late && !played.kept;
        fmt::print("seed {}: {}\n", seed,
                   played.late   ? "void, the lab ran late"
                   : played.kept ? "kept"
                                 : "BROKEN");
        std::fflush(stdout);
    }
    fmt::print("{} seeds: {} kept, {} broken, {} void\n", wanted.seeds, wanted.seeds - broken - late, broken,
               late);
    if (broken > 0) return kBroken;
    return late > 0 ? kVoid : kKept;
}

}  // namespace poppyscale::testbed::soak
