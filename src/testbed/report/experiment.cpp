#include "testbed/report/experiment.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "testbed/drivers/live/live_run.hpp"
#include "testbed/report/verdict.hpp"

namespace poppyscale::testbed {
namespace {

// Probability of a false "differs" over all scenarios of a comparison together.
constexpr double kSignificanceLevel = 0.05;
constexpr std::size_t kMaxPairs = 20;  // a permutation test tries up to 2^kMaxPairs sign patterns
// A run in which the testbed itself was late too often is repeated.
constexpr int kMaxTries = 2;
constexpr double kMaxLateShare = 0.05;  // share of a run's tenths of a second

double median(std::vector<double> all) {
    if (all.empty()) return 0;
    std::sort(all.begin(), all.end());
    const std::size_t half = all.size() / 2;
    return all.size() % 2 ? all[half] : (all[half - 1] + all[half]) / 2;
}

double spread(std::vector<double> all) {
    if (all.empty()) return 0;
    const auto [min, max] = std::minmax_element(all.begin(), all.end());
    return *max - *min;
}

}  // namespace

double RunResult::valueOf(const std::string& name) const {
    for (const auto& [n, value] : figures)
        if (n == name) return value;
    throw ScenarioError("unknown figure '" + name + "'");
}

double permutationPValue(const std::vector<double>& differences) {
    const std::size_t n = std::min(differences.size(), kMaxPairs);
    double observedSum = 0;
    for (std::size_t i = 0; i < n; ++i) observedSum += differences[i];
    std::size_t asExtreme = 0;
    const std::size_t patterns = std::size_t{1} << n;
    for (std::size_t signs = 0; signs < patterns; ++signs) {
        double sum = 0;
        for (std::size_t i = 0; i < n; ++i) sum += signs >> i & 1 ? -differences[i] : differences[i];
        asExtreme += std::abs(sum) >= std::abs(observedSum) - 1e-12;
    }
    return static_cast<double>(asExtreme) / static_cast<double>(patterns);
}

RunResult runOnce(const Scenario& scenario, std::uint64_t seed, const std::string& program) {
    for (int tries = 1;; ++tries) {
        Verdict verdict(kLiveTolerance);
        EventLog eventLog;
        verdict.observe(eventLog);
        LiveRunOptions options;
        options.program = program;
        const LiveResult result = runLive(scenario, seed, eventLog, options);
        if (result.wasInterrupted) throw RunError("interrupted");
        RunResult runResult;
        runResult.brokenRules = verdict.brokenRules();
        runResult.figures = verdict.figures().finish();
        runResult.figures.emplace_back("cpu_us",
                                       result.cpuSeconds * 1e6 / std::max(runResult.valueOf("asked"), 1.0));
        runResult.isLate = result.lateShare > kMaxLateShare;
        if (!runResult.isLate || tries >= kMaxTries) return runResult;
    }
}

bool compare(const std::vector<Scenario>& scenarios, const ComparisonOptions& options) {
    const double level = kSignificanceLevel / static_cast<double>(scenarios.size());
    if (2 * std::pow(0.5, options.runs) > level)
        fmt::print(
            "{} runs of each router are too few to tell a difference from noise over {} scenarios; {} are "
            "needed\n",
            options.runs, scenarios.size(), static_cast<int>(std::ceil(std::log2(2 / level))));
    bool isSame = true;
    for (const Scenario& s : scenarios) {
        std::vector<RunResult> a, b;
        int lateRuns = 0;
        for (int i = 0; i < options.runs; ++i) {
            const auto seed = static_cast<std::uint64_t>(i + 1);
            // The routers take turns in running first, so that other load on the machine affects both.
            if (i % 2) b.push_back(runOnce(s, seed, options.b));
            a.push_back(runOnce(s, seed, options.a));
            if (i % 2 == 0) b.push_back(runOnce(s, seed, options.b));
            lateRuns += a.back().isLate + b.back().isLate;
            fmt::print(stderr, "{}: {} of {} runs\n", s.name, i + 1, options.runs);
        }
        fmt::print("{}\n  {:<14}{:>10}{:>10}{:>10}{:>10}\n", s.name, "figure", "a", "b", "spread a",
                   "spread b");
        const auto column = [](const std::vector<RunResult>& runs, const std::string& name) {
            std::vector<double> all;
            for (const RunResult& run : runs) all.push_back(run.valueOf(name));
            return all;
        };
        for (const char* name : {"utility", "goal", "answered", "declined", "terminated", "p50_ms", "p99_ms",
                                 "relays", "hits", "origin_mean", "cpu_us"})
            fmt::print("  {:<14}{:>10.4g}{:>10.4g}{:>10.2g}{:>10.2g}\n", name, median(column(a, name)),
                       median(column(b, name)), spread(column(a, name)), spread(column(b, name)));
        int brokenA = 0, brokenB = 0;
        for (const RunResult& run : a) brokenA += !run.brokenRules.empty();
        for (const RunResult& run : b) brokenB += !run.brokenRules.empty();
        std::vector<double> differences;
        const auto left = column(a, options.figure), right = column(b, options.figure);
        for (std::size_t i = 0; i < left.size(); ++i) differences.push_back(right[i] - left[i]);
        const double pValue = permutationPValue(differences);
        const bool differs = pValue < level;
        isSame &= !differs;
        fmt::print("  not kept       {:>10}{:>10}\n  {}: b - a = {:+.4f}, p-value {:.3f}: {}{}\n", brokenA,
                   brokenB, options.figure, median(differences), pValue,
                   differs ? "significant difference" : "no significant difference",
                   lateRuns ? fmt::format(" ({} runs late)", lateRuns) : "");
        std::fflush(stdout);
    }
    return isSame;
}

void cost(const Scenario& scenario, std::uint64_t seed, const std::string& program,
          const std::string& testbedProgram) {
    const RunResult router = runOnce(scenario, seed, program);
    const RunResult proxy = runOnce(scenario, seed, testbedProgram + " proxy --policy pass-through");
    const double ratio = router.valueOf("cpu_us") / std::max(proxy.valueOf("cpu_us"), 1e-9);
    fmt::print("router_us={:.1f} proxy_us={:.1f} ratio={:.3f} router_relays={:.3f} proxy_relays={:.3f}\n",
               router.valueOf("cpu_us"), proxy.valueOf("cpu_us"), ratio, router.valueOf("relays"),
               proxy.valueOf("relays"));
}

}  // namespace poppyscale::testbed
