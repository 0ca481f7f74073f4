#include "testbed/scale/fit.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <stdexcept>

namespace poppyscale::testbed::scale {
namespace {

// Critical values at 1% of the F distribution with 1 and n degrees of freedom, for n = 1, 2 ... For
// larger n the last one is used, which is slightly too large.
constexpr std::array<double, 20> kCriticalF = {4052,  98.5,  34.12, 21.20, 16.26, 13.75, 12.25,
                                               11.26, 10.56, 10.04, 9.65,  9.33,  9.07,  8.86,
                                               8.68,  8.53,  8.40,  8.29,  8.18,  8.10};
// The curvature is judged at this multiple of the largest size, up to which a line is meant to be
// used.
constexpr double kCurvatureCheckFactor = 4;

// A quadratic in x = (size - center) / scale: center is the mean size, scale the largest distance
// from it.
struct Quadratic {
    std::array<double, 3> coefficients{};
    double residualSum = 0;
    double center = 0;
    double scale = 1;
    double at(double size) const {
        const double x = (size - center) / scale;
        return coefficients[0] + coefficients[1] * x + coefficients[2] * x * x;
    }
};

// Solves the normal equations, a 3 x 4 matrix, by Gaussian elimination with pivoting.
std::array<double, 3> solve(std::array<std::array<double, 4>, 3> m) {
    for (int column = 0; column < 3; ++column) {
        int pivot = column;
        for (int row = column + 1; row < 3; ++row)
            if (std::abs(m[row][column]) > std::abs(m[pivot][column])) pivot = row;
        std::swap(m[column], m[pivot]);
        for (int row = 0; row < 3; ++row) {
            if (row == column) continue;
            const double factor = m[row][column] / m[column][column];
            for (int k = column; k < 4; ++k) m[row][k] -= factor * m[column][k];
        }
    }
    return {m[0][3] / m[0][0], m[1][3] / m[1][1], m[2][3] / m[2][2]};
}

Quadratic fitQuadratic(const std::vector<Sample>& samples, double center) {
    Quadratic fit;
    fit.center = center;
    fit.scale = 0;
    for (const Sample& s : samples) fit.scale = std::max(fit.scale, std::abs(s.size - center));
    std::array<std::array<double, 4>, 3> normal{};
    for (const Sample& s : samples) {
        const double x = (s.size - center) / fit.scale;
        const std::array<double, 3> powers = {1, x, x * x};
        for (int row = 0; row < 3; ++row) {
            for (int column = 0; column < 3; ++column) normal[row][column] += powers[row] * powers[column];
            normal[row][3] += powers[row] * s.value;
        }
    }
    fit.coefficients = solve(normal);
    for (const Sample& s : samples) fit.residualSum += std::pow(s.value - fit.at(s.size), 2);
    return fit;
}

double worstSpread(const std::vector<Sample>& samples) {
    std::map<double, std::vector<double>> bySize;
    for (const Sample& s : samples) bySize[s.size].push_back(s.value);
    double worst = 0;
    for (const auto& [size, values] : bySize) worst = std::max(worst, spreadOf(values));
    return worst;
}

void testCurvature(const std::vector<Sample>& samples, double meanSize, double lineResidualSum,
                   LineFit& fit) {
    const std::size_t parameters = 3;
    if (samples.size() <= parameters) return;
    const Quadratic quadratic = fitQuadratic(samples, meanSize);
    const std::size_t degreesOfFreedom = samples.size() - parameters;
    const double noise = quadratic.residualSum / static_cast<double>(degreesOfFreedom);
    const double gain = lineResidualSum - quadratic.residualSum;
    const double minNoise = 1e-18 * std::max(lineResidualSum, 1e-300);
    fit.curvatureF = std::max(gain, 0.0) / std::max(noise, minNoise);
    const double critical = kCriticalF[std::min(degreesOfFreedom, kCriticalF.size()) - 1];
    const double checkedSize = kCurvatureCheckFactor * fit.largestSize;
    const double deviation = std::abs(quadratic.at(checkedSize) - fit.at(checkedSize));
    const double toleratedDeviation = kPredictionTolerance * std::abs(fit.at(checkedSize));
    fit.isCurved = fit.curvatureF > critical && deviation > toleratedDeviation;
}

}  // namespace

double medianOf(std::vector<double> values) {
    if (values.empty()) throw std::invalid_argument("median of no values");
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

double spreadOf(const std::vector<double>& values) {
    const auto [min, max] = std::minmax_element(values.begin(), values.end());
    const double median = medianOf(values);
    return median == 0 ? 0 : (*max - *min) / std::abs(median);
}

LineFit fitLine(const std::vector<Sample>& samples) {
    std::set<double> sizes;
    double meanSize = 0;
    double meanValue = 0;
    for (const Sample& s : samples) {
        if (!std::isfinite(s.size) || !std::isfinite(s.value))
            throw std::invalid_argument(
                fmt::format("sample is not finite: size {}, value {}", s.size, s.value));
        sizes.insert(s.size);
        meanSize += s.size / static_cast<double>(samples.size());
        meanValue += s.value / static_cast<double>(samples.size());
    }
    if (sizes.size() < 3)
        throw std::invalid_argument(
            fmt::format("a fit needs at least three different sizes, found {}", sizes.size()));
    double sizeSquares = 0;
    double products = 0;
    for (const Sample& s : samples) {
        sizeSquares += (s.size - meanSize) * (s.size - meanSize);
        products += (s.size - meanSize) * (s.value - meanValue);
    }
    LineFit fit;
    fit.slope = products / sizeSquares;
    fit.intercept = meanValue - fit.slope * meanSize;
    fit.largestSize = *sizes.rbegin();
    double residualSum = 0;
    for (const Sample& s : samples) residualSum += std::pow(s.value - fit.at(s.size), 2);
    fit.rmsResidual = std::sqrt(residualSum / static_cast<double>(samples.size()));
    fit.relativeResidual = meanValue == 0 ? 0 : fit.rmsResidual / std::abs(meanValue);
    fit.spread = worstSpread(samples);
    testCurvature(samples, meanSize, residualSum, fit);
    return fit;
}

Prediction checkPrediction(const LineFit& fit, double size, std::vector<double> measured) {
    Prediction p;
    p.size = size;
    p.predicted = fit.at(size);
    p.measured = medianOf(std::move(measured));
    p.relativeError =
        p.measured == 0 ? (p.predicted == 0 ? 0 : HUGE_VAL) : (p.predicted - p.measured) / p.measured;
    p.isWithinTolerance = std::abs(p.relativeError) <= kPredictionTolerance;
    return p;
}

std::string describe(const std::string& name, const LineFit& fit, const std::string& unit) {
    return fmt::format(
        "fit {}: {:.6g} + {:.6g} x size ({}); residual {:.3g} ({:.1f}% of the mean); spread {:.1f}%; "
        "curvature F={:.1f} {}",
        name, fit.intercept, fit.slope, unit, fit.rmsResidual, 100 * fit.relativeResidual, 100 * fit.spread,
        fit.curvatureF, fit.isCurved ? "curved" : "straight");
}

std::string describe(const std::string& name, const Prediction& p, const std::string& unit) {
    return fmt::format("prediction {}: size {:g}: predicted {:.5g} {}, measured {:.5g} {}, off {:+.1f}%: {}",
                       name, p.size, p.predicted, unit, p.measured, unit, 100 * p.relativeError,
                       p.isWithinTolerance ? "used" : "not used");
}

}  // namespace poppyscale::testbed::scale
