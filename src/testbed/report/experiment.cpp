#include "testbed/report/experiment.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "testbed/drivers/live/live_run.hpp"
#include "testbed/report/verdict.hpp"

namespace poppyscale::testbed {
namespace {

constexpr double kLevel = 0.05;  // of a wrong "differs" over all scenarios of a comparison together
constexpr std::size_t kMostExact = 20;
constexpr int kLateTries = 2;  // a play that the testbed spoilt is played again
constexpr double kLatePart = 0.05;

double median(std::vector<double> all) {
    if (all.empty()) return 0;
    std::sort(all.begin(), all.end());
    const std::size_t half = all.size() / 2;
    return all.size() % 2 ? all[half] : (all[half - 1] + all[half]) / 2;
}

double spread(std::vector<double> all) {
    if (all.empty()) return 0;
    const auto [least, most] = std::minmax_element(all.begin(), all.end());
    return *most - *least;
}

}  // namespace

double RunResult::of(const std::string& name) const {
    for (const auto& [n, value] : figures)
        if (n == name) return value;
    throw ScenarioError("there is no figure '" + name + "'");
}

double chanceOf(const std::vector<double>& differences) {
    const std::size_t n = std::min(differences.size(), kMostExact);
    double is = 0;
    for (std::size_t i = 0; i < n; ++i) is += differences[i];
    std::size_t asFar = 0;
    const std::size_t all = std::size_t{1} << n;
    for (std::size_t signs = 0; signs < all; ++signs) {
        double sum = 0;
        for (std::size_t i = 0; i < n; ++i) sum += signs >> i & 1 ? -differences[i] : differences[i];
        asFar += std::abs(sum) >= std::abs(is) - 1e-12;
    }
    return static_cast<double>(asFar) / static_cast<double>(all);
}

RunResult runOnce(const Scenario& scenario, std::uint64_t seed, const std::string& program) {
    for (int tries = 1;; ++tries) {
        Verdict judge(kLiveTolerance);
        EventLog ledger;
        judge.follow(ledger);
        LiveRunOptions wanted;
        wanted.program = program;
        const LiveResult result = runLive(scenario, seed, ledger, wanted);
        if (result.interrupted) throw RunError("interrupted");
        RunResult played;
        played.broken = judge.verdict();
        played.figures = judge.figures().finish();
        played.figures.emplace_back("cpu_us", result.cpuSeconds * 1e6 / std::max(played.of("asked"), 1.0));
        played.late = result.latePart > kLatePart;
        if (!played.late || tries >= kLateTries) return played;
    }
}

bool compare(const std::vector<Scenario>& scenarios, const ComparisonOptions& wanted) {
    const double level = kLevel / static_cast<double>(scenarios.size());
    if (2 * std::pow(0.5, wanted.plays) > level)
        fmt::print("{} plays can't tell a difference from noise over {} scenarios: {} are needed\n",
                   wanted.plays, scenarios.size(), static_cast<int>(std::ceil(std::log2(2 / level))));
    bool same = true;
    for (const Scenario& s : scenarios) {
        std::vector<RunResult> a, b;
        int late = 0;
        for (int i = 0; i < wanted.plays; ++i) {
            const auto seed = static_cast<std::uint64_t>(i + 1);
            // Who goes first changes, so that what the machine does meanwhile falls on both.
            if (i % 2) b.push_back(runOnce(s, seed, wanted.b));
            a.push_back(runOnce(s, seed, wanted.a));
            if (i % 2 == 0) b.push_back(runOnce(s, seed, wanted.b));
            late += a.back().late + b.back().late;
            fmt::print(stderr, "{}: {} of {} plays\n", s.name, i + 1, wanted.plays);
        }
        fmt::print("{}\n  {:<14}{:>10}{:>10}{:>10}{:>10}\n", s.name, "figure", "a", "b", "spread a",
                   "spread b");
        const auto column = [](const std::vector<RunResult>& plays, const std::string& name) {
            std::vector<double> all;
            for (const RunResult& p : plays) all.push_back(p.of(name));
            return all;
        };
        for (const char* name : {"utility", "goal", "answered", "declined", "terminated", "p50_ms", "p99_ms",
                                 "relays", "hits", "origin_mean", "cpu_us"})
            fmt::print("  {:<14}{:>10.4g}{:>10.4g}{:>10.2g}{:>10.2g}\n", name, median(column(a, name)),
                       median(column(b, name)), spread(column(a, name)), spread(column(b, name)));
        int brokenA = 0, brokenB = 0;
        for (const RunResult& p : a) brokenA += !p.broken.empty();
        for (const RunResult& p : b) brokenB += !p.broken.empty();
        std::vector<double> differences;
        const auto left = column(a, wanted.figure), right = column(b, wanted.figure);
        for (std::size_t i = 0; i < left.size(); ++i) differences.push_back(right[i] - left[i]);
        const double chance = chanceOf(differences);
        const bool differs = chance < level;
        same &= !differs;
        fmt::print("  not kept       {:>10}{:>10}\n  {}: b - a = {:+.4f}, by chance {:.3f}: {}{}\n", brokenA,
                   brokenB, wanted.figure, median(differences), chance,
                   differs ? "more than noise" : "no difference beyond noise",
                   late ? fmt::format(" ({} plays late)", late) : "");
        std::fflush(stdout);
    }
    return same;
}

void cost(const Scenario& scenario, std::uint64_t seed, const std::string& program, const std::string& lab) {
    const RunResult router = runOnce(scenario, seed, program);
    const RunResult proxy = runOnce(scenario, seed, lab + " proxy --policy pass-through");
    const double ratio = router.of("cpu_us") / std::max(proxy.of("cpu_us"), 1e-9);
    fmt::print("router_us={:.1f} proxy_us={:.1f} ratio={:.3f} router_relays={:.3f} proxy_relays={:.3f}\n",
               router.of("cpu_us"), proxy.of("cpu_us"), ratio, router.of("relays"), proxy.of("relays"));
}

}  // namespace poppyscale::testbed
