// Tests of line fits, predictions and the capacity table against values computed by hand.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "testbed/scale/capacity.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "testbed/scale/fit.hpp"
#include "testbed/scale/measure.hpp"
#include "testbed/scale/slopes.hpp"

using namespace poppyscale;
using namespace poppyscale::testbed;
using doctest::Approx;

TEST_CASE("Fits an exact line with its slope and intercept and no residual") {
    const scale::LineFit fit = scale::fitLine({{1, 5}, {2, 7}, {3, 9}, {4, 11}, {5, 13}});
    CHECK(fit.slope == Approx(2));
    CHECK(fit.intercept == Approx(3));
    CHECK(fit.rmsResidual == Approx(0));
    CHECK_FALSE(fit.isCurved);
    CHECK(fit.largestSize == 5);
}

TEST_CASE("Fits noisy samples by least squares, as computed by hand") {
    // Mean (2, 4); sum of products 1 x 2 + 0 + 1 x 1 = 3, sum of squares 2: slope 1.5, intercept 1.
    // Residuals -0.5, 1, -0.5: root mean square sqrt(1.5 / 3).
    const scale::LineFit fit = scale::fitLine({{1, 2}, {2, 5}, {3, 5}});
    CHECK(fit.slope == Approx(1.5));
    CHECK(fit.intercept == Approx(1));
    CHECK(fit.rmsResidual == Approx(std::sqrt(0.5)));
}

TEST_CASE("Detects quadratic growth as curvature, but not noise around a line") {
    std::vector<scale::Sample> square;
    std::vector<scale::Sample> noisy;
    const double noise[] = {0.3, -0.4, 0.1};
    for (int size = 100; size <= 500; size += 100)
        for (int seed = 0; seed < 3; ++seed) {
            square.push_back({1.0 * size, 1e-4 * size * size + noise[seed]});
            noisy.push_back({1.0 * size, 0.05 * size + noise[(seed + size / 100) % 3]});
        }
    CHECK(scale::fitLine(square).isCurved);
    CHECK_FALSE(scale::fitLine(noisy).isCurved);
}

TEST_CASE("A prediction holds only within 15% of the measured median") {
    const scale::LineFit fit = scale::fitLine({{1, 1}, {2, 2}, {3, 3}});
    CHECK(scale::checkPrediction(fit, 100, {114, 100, 90}).isWithinTolerance);
    CHECK(scale::checkPrediction(fit, 100, {100}).relativeError == Approx(0));
    CHECK(scale::checkPrediction(fit, 100, {88, 88, 500}).isWithinTolerance);
    CHECK_FALSE(scale::checkPrediction(fit, 100, {86}).isWithinTolerance);
    CHECK_FALSE(scale::checkPrediction(fit, 100, {120}).isWithinTolerance);
    CHECK_FALSE(scale::checkPrediction(fit, 100, {0}).isWithinTolerance);
}

TEST_CASE("Rejects a fit of fewer than three sizes or of NaN, and the median of no values") {
    CHECK_THROWS_AS(scale::fitLine({{1, 1}, {2, 2}, {2, 3}}), std::invalid_argument);
    CHECK_THROWS_AS(scale::fitLine({{1, 1}, {2, NAN}, {3, 3}}), std::invalid_argument);
    CHECK_THROWS_AS(scale::medianOf({}), std::invalid_argument);
}

TEST_CASE("Measures the decision module's request time and the size of the list's JSON") {
    scale::ModuleOptions options;
    options.caches = 20;
    options.requests = 500;
    options.changes = 4;
    const scale::ModuleCost cost = scale::measureModule(options);
    CHECK(cost.requestMicros > 0);
    CHECK(cost.listBytes > 20 * 100);
    CHECK(cost.listBytes < 20 * 200);
    options.caches = 1;
    CHECK_THROWS_AS(scale::measureModule(options), std::invalid_argument);
}

namespace {

const std::string kTargetFile = DOCS "/capacity-target.toml";
const std::string kSlopesFile = DOCS "/capacity-slopes.toml";

std::string contentOf(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    REQUIRE(!text.str().empty());
    return text.str();
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string problemsOf(const std::function<void()>& read) {
    try {
        read();
    } catch (const scale::CapacityInputError& problem) {
        return problem.what();
    }
    return "";
}

std::string targetProblems(const std::string& text) {
    return problemsOf([&] { scale::readTarget(text, "target.toml"); });
}

std::string slopesProblems(const std::string& text) {
    return problemsOf([&] { scale::readSlopes(text, "slopes.toml"); });
}

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

scale::Target target() { return scale::readTarget(contentOf(kTargetFile), kTargetFile); }

// One slope in the format of the slopes file.
std::string slopeText(const std::string& name, const std::string& unit, const std::string& of, double base,
                      double value, double largest, const std::string& more = "") {
    return fmt::format(
        "[[slope]]\nname = \"{}\"\nunit = \"{}\"\nof = \"{}\"\nbase = {}\nvalue = {}\nspread = 0.1\nlargest "
        "= {}\n"
        "run = \"by hand\"\n{}",
        name, unit, of, base, value, largest, more);
}

scale::Slopes slopesByHand() {
    return scale::readSlopes(slopeText("module.list", "bytes", "caches", 50, 100, 3100) +
                                 slopeText("module.request", "us", "caches", 2, 0.01, 3100) +
                                 slopeText("scale.control_processor", "% of a core", "routers", 1, 0.02, 250),
                             "slopes.toml");
}

const scale::Row& rowOf(const std::vector<scale::Row>& rows, const std::string& situation,
                        const std::string& role, const std::string& quantity) {
    const auto it = std::find_if(rows.begin(), rows.end(), [&](const scale::Row& r) {
        return r.situation == situation && r.role == role && r.quantity == quantity;
    });
    REQUIRE_MESSAGE(it != rows.end(), situation, ", ", role, ": ", quantity);
    return *it;
}

}  // namespace

TEST_CASE("The table in docs/CAPACITY.md equals the output of the capacity command") {
    const std::string page = contentOf(DOCS "/CAPACITY.md");
    const std::string begin = "<!-- capacity: begin -->\n";
    const std::string end = "<!-- capacity: end -->";
    const auto from = page.find(begin);
    const auto to = page.find(end);
    REQUIRE(from != std::string::npos);
    REQUIRE(to != std::string::npos);
    CHECK(page.substr(from + begin.size(), to - from - begin.size()) ==
          scale::capacityMarkdownOfFiles(kTargetFile, kSlopesFile));
}

TEST_CASE("The rows of the capacity table equal those computed by hand") {
    const auto rows = scale::capacityTable(target(), slopesByHand());
    // List of 50 + 100 x 3,100 bytes and request of 250 bytes, at 23,000 bytes per second.
    const scale::Row& restart = rowOf(rows, "restart wave", "router", "time until its list is complete");
    CHECK(*restart.estimate.value == Approx(310'300.0 / 23'000));
    CHECK(restart.verdict() == scale::Verdict::over);
    CHECK(restart.budgetRatio() == Approx(310'300.0 / 23'000 / 5));
    // 64,000 changes per day are 0.7407 per second, each with 150 bytes of list and 250 of request.
    const scale::Row& bytes = rowOf(rows, "normal operation", "router", "list bytes");
    CHECK(*bytes.estimate.value == Approx(64'000.0 / 86'400 * 400 / 1000));
    CHECK(bytes.verdict() == scale::Verdict::ok);
    // 2 + 0.01 x 3,100 = 33 us, 1,166.7 times per second: 3.85% of a core.
    const scale::Row& choice = rowOf(rows, "normal operation", "router", "processor, choice of a cache");
    CHECK(*choice.estimate.value == Approx(33.0 * 14e6 / 12'000 / 1e4));
    CHECK(choice.verdict() == scale::Verdict::over);
    // (1 + 0.02 x 12,000)% at one change per second, times 0.7407; 48 times the largest measured
    // size.
    const scale::Row& control = rowOf(rows, "normal operation", "discovery, no distributors", "processor");
    CHECK(*control.estimate.value == Approx(241 * 64'000.0 / 86'400));
    CHECK(control.estimate.basis() == "extrapolated by 48: scale.control_processor");
    // 170 purges per second of 100 bytes; those of an hour at 23,000 bytes per second.
    CHECK(*rowOf(rows, "normal operation", "router", "purge bytes, each purge sent once").estimate.value ==
          Approx(17));
    const scale::Row& purges =
        rowOf(rows, "end of partition", "router", "time to transfer the missed purges");
    CHECK(*purges.estimate.value == Approx(612'000.0 * 100 / 23'000));
    CHECK(purges.estimate.basis() == "calculated");
    CHECK(*rowOf(rows, "normal operation", "all", "connections, full mesh").estimate.value == Approx(37.2));
    // 3,100 connections of 8,192 bytes.
    CHECK(*rowOf(rows, "normal operation", "router", "memory, connections to caches").estimate.value ==
          Approx(25.3952));
    // 4,516 requests/s per cache; those of the zone's 36.05 caches go to the other 87.95 of the
    // region's 124.
    CHECK(*rowOf(rows, "zone lost", "cache", "requests, if its region takes over the load").estimate.value ==
          Approx(14e6 / 3100 * 124 / (124 - 3100.0 / 86)));
}

TEST_CASE("A row whose slope was not measured is unknown, not within its budget") {
    const auto rows = scale::capacityTable(target(), {});
    const scale::Row& row = rowOf(rows, "normal operation", "router", "memory, list");
    CHECK(row.verdict() == scale::Verdict::unknown);
    CHECK(row.estimate.missingReason == "not measured: module.list_memory");
}

TEST_CASE("A slope whose prediction failed is used up to its largest measured size only") {
    const auto slopes = scale::readSlopes(
        slopeText("module.request", "us", "caches", 2, 0.01, 775, "used = false\n"), "slopes.toml");
    CHECK_FALSE(scale::estimate(slopes, "module.request", 3100).value);
    CHECK(scale::estimate(slopes, "module.request", 3100).missingReason ==
          "prediction failed: module.request");
    CHECK(*scale::estimate(slopes, "module.request", 500).value == Approx(7));
    CHECK(scale::estimate(slopes, "module.request", 500).basis() == "measured: module.request");
}

TEST_CASE("Uses the measured median instead of the line at the largest measured size") {
    const auto slopes = scale::readSlopes(
        slopeText("module.request", "us", "caches", 2, 0.01, 3100, "at_largest = 40\n"), "slopes.toml");
    CHECK(*scale::estimate(slopes, "module.request", 3100).value == 40);
    CHECK(*scale::estimate(slopes, "module.request", 6200).value == Approx(64));
}

TEST_CASE("Sorts missing mechanisms by the number of exceeded budgets, then by the worst factor") {
    scale::Row row;
    row.situation = "s";
    row.role = "r";
    row.quantity = "q";
    row.budget = 10;
    const auto with = [&](scale::Mechanism mechanism, double value) {
        scale::Row r = row;
        r.mechanism = mechanism;
        r.estimate = scale::withoutSlope(value);
        return r;
    };
    scale::Row noPath = row;
    noPath.mechanism = scale::Mechanism::copies;
    noPath.hasNoPath = true;
    const auto all = scale::missingMechanisms(
        {with(scale::Mechanism::scopedView, 20), with(scale::Mechanism::purgeStream, 30),
         with(scale::Mechanism::listWatch, 990), noPath, with(scale::Mechanism::listDistributors, 11),
         with(scale::Mechanism::listDistributors, 12), with(scale::Mechanism::listDistributors, 9)});
    REQUIRE(all.size() == 4);  // listWatch is left out, since it is built
    CHECK(all[0].mechanism == scale::Mechanism::listDistributors);
    CHECK(all[0].exceededBudgets == 2);
    CHECK(all[0].worstRatio == Approx(1.2));
    CHECK(all[1].mechanism == scale::Mechanism::purgeStream);
    CHECK(all[2].mechanism == scale::Mechanism::scopedView);
    CHECK(all[3].noPathCount == 1);
}

TEST_CASE("Reports all slopes that lack a run, have a wrong unit, are unknown or defined twice") {
    const std::string text =
        replaced(slopeText("module.request", "us", "caches", 2, 1, 3100), "run = \"by hand\"\n", "") +
        slopeText("module.change", "ms", "caches", 2, 1, 3100) +
        slopeText("module.request", "us", "caches", 2, 1, 3100) +
        slopeText("module.speed", "us", "caches", 2, 1, 3100, "colour = 1\n");
    const std::string problems = slopesProblems(text);
    CHECK(has(problems, "slopes.toml:1: slope[0].run: is missing"));
    CHECK(has(problems, "slopes.toml:11: slope[1].unit: is 'ms' where 'us' is expected"));
    CHECK(has(problems, "slope[2].name: 'module.request' is defined twice"));
    CHECK(has(problems, "slope[3].name: 'module.speed' is not a known slope"));
    CHECK(has(problems, "slope[3].colour: is not a key that is known here"));
    CHECK(has(slopesProblems(slopeText("module.change", "us", "caches", 2, 1, 0)), "slope[0].largest"));
    const std::string named = slopeText("module.change", "us", "caches", 2, 1, 3100);
    CHECK(has(slopesProblems(replaced(named, "\"by hand\"", "\"\"")), "slope[0].run: is empty"));
    CHECK(slopesProblems(named).empty());
}

TEST_CASE("Reports all wrong units, invalid values and unknown keys of a target file") {
    std::string text = contentOf(kTargetFile);
    CHECK(targetProblems(text).empty());
    text = replaced(text, "value = 32, unit = \"MB\"", "value = 32, unit = \"GB\"");
    text = replaced(text, "value = 23, unit = \"KB/s\"", "value = 23");
    text = replaced(text, "caches = 3100", "caches = -3\ncashes = 1");
    text = replaced(text, "objects = 5.2e9", "objects = \"many\"");
    const std::string problems = targetProblems(text);
    CHECK(has(problems, "bounds.router_memory.unit: is 'GB' where 'MB' is expected"));
    CHECK(has(problems, "bounds.router_bytes.unit: is missing"));
    CHECK(has(problems, "target.toml:7: fleet.caches: is not from"));
    CHECK(has(problems, "target.toml:8: fleet.cashes: is not a key that is known here"));
    CHECK(has(problems, "load.objects: is not a number"));
    CHECK(std::count(problems.begin(), problems.end(), '\n') == 4);
    CHECK(has(targetProblems("name = "), "target.toml:1"));
}

TEST_CASE("The number of routers in the target scales the rows that depend on it") {
    const auto text = replaced(contentOf(kTargetFile), "routers = 12000", "routers = 120000");
    const auto rows = scale::capacityTable(scale::readTarget(text, "target.toml"), slopesByHand());
    const scale::Row& row = rowOf(rows, "normal operation", "cache", "connections from routers");
    CHECK(*row.estimate.value == 120'000);
    CHECK(row.verdict() == scale::Verdict::over);
}

TEST_CASE("A slope series varies one option and tests its prediction at 4 times the largest size") {
    scale::SlopeSeries series;
    series.options.realRouters = 2;
    series.options.caches = 300;
    series.options.folder = "runs";
    const scale::Options options = scale::optionsAt(series, 50, 7);
    CHECK(options.stubRouters == 48);
    CHECK(options.realRouters == 2);
    CHECK(options.caches == 300);
    CHECK(options.seed == 7);
    CHECK(options.folder == "runs/routers-50-7");
    series.varied = scale::Varied::rate;
    CHECK(scale::optionsAt(series, 2.5, 1).changesPerSecond == 2.5);

    series.varied = scale::Varied::routers;
    std::vector<int> routerCounts;
    const auto grows = [&](double exponent) {
        return [&routerCounts, exponent](const scale::Options& o) {
            const double routers = o.stubRouters + o.realRouters;
            routerCounts.push_back(static_cast<int>(routers));
            scale::Result result;
            result.controlProcessorShare = 0.001 * std::pow(routers, exponent);
            return result;
        };
    };
    CHECK(scale::runSlopes(series, grows(1)));
    CHECK(routerCounts.size() == 18);
    CHECK(std::count(routerCounts.begin(), routerCounts.end(), 250) == 3);
    CHECK(std::count(routerCounts.end() - 3, routerCounts.end(), 1000) == 3);
    CHECK_FALSE(scale::runSlopes(series, grows(2)));
}
