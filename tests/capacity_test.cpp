// Slopes, predictions and the capacity table: arithmetic that is worked out by hand here.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cmath>
#include <stdexcept>

#include "lab/scale/fit.hpp"
#include "lab/scale/measure.hpp"

using namespace poppyscale;
using namespace poppyscale::lab;
using doctest::Approx;

TEST_CASE("a line is found with its slope, and nothing is left over") {
    const scale::LineFit fit = scale::fitLine({{1, 5}, {2, 7}, {3, 9}, {4, 11}, {5, 13}});
    CHECK(fit.slope == Approx(2));
    CHECK(fit.intercept == Approx(3));
    CHECK(fit.residual == Approx(0));
    CHECK_FALSE(fit.curved);
    CHECK(fit.largestSize == 5);
}

TEST_CASE("least squares as worked out by hand") {
    // Mean (2, 4); products 1 x 2 + 0 + 1 x 1 = 3 over squares 2: slope 1.5, intercept 1.
    // Residuals -0.5, 1, -0.5: root of 1.5 / 3.
    const scale::LineFit fit = scale::fitLine({{1, 2}, {2, 5}, {3, 5}});
    CHECK(fit.slope == Approx(1.5));
    CHECK(fit.intercept == Approx(1));
    CHECK(fit.residual == Approx(std::sqrt(0.5)));
}

TEST_CASE("growth with the square is told from a line, noise is not taken for it") {
    std::vector<scale::Sample> square;
    std::vector<scale::Sample> noisy;
    const double noise[] = {0.3, -0.4, 0.1};
    for (int size = 100; size <= 500; size += 100)
        for (int seed = 0; seed < 3; ++seed) {
            square.push_back({1.0 * size, 1e-4 * size * size + noise[seed]});
            noisy.push_back({1.0 * size, 0.05 * size + noise[(seed + size / 100) % 3]});
        }
    CHECK(scale::fitLine(square).curved);
    CHECK_FALSE(scale::fitLine(noisy).curved);
}

TEST_CASE("a prediction off by over 15% is not used") {
    const scale::LineFit fit = scale::fitLine({{1, 1}, {2, 2}, {3, 3}});
    CHECK(scale::compare(fit, 100, {114, 100, 90}).used);
    CHECK(scale::compare(fit, 100, {100}).off == Approx(0));
    CHECK(scale::compare(fit, 100, {88, 88, 500}).used);
    CHECK_FALSE(scale::compare(fit, 100, {86}).used);
    CHECK_FALSE(scale::compare(fit, 100, {120}).used);
    CHECK_FALSE(scale::compare(fit, 100, {0}).used);
}

TEST_CASE("too few sizes and values that are no numbers are refused") {
    CHECK_THROWS_AS(scale::fitLine({{1, 1}, {2, 2}, {2, 3}}), std::invalid_argument);
    CHECK_THROWS_AS(scale::fitLine({{1, 1}, {2, NAN}, {3, 3}}), std::invalid_argument);
    CHECK_THROWS_AS(scale::medianOf({}), std::invalid_argument);
}

TEST_CASE("the module is measured with the list whole and its bytes counted") {
    scale::ModuleOptions options;
    options.caches = 20;
    options.requests = 500;
    options.changes = 4;
    const scale::ModuleCost cost = scale::measureModule(options);
    CHECK(cost.requestMicros > 0);
    CHECK(cost.listBytes > 20 * 100);
    CHECK(cost.listBytes < 20 * 200);
    CHECK(cost.changeBytes < 250);
    options.caches = 1;
    CHECK_THROWS_AS(scale::measureModule(options), std::invalid_argument);
}
