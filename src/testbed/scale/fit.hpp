// Least-squares fit of a measured series: the line, its residuals, a test for curvature, and a
// prediction for a larger size that is checked against a measurement there.
#pragma once

#include <string>
#include <vector>

namespace poppyscale::testbed::scale {

struct Sample {
    double size = 0;  // the varied quantity: caches, routers or changes per second
    double value = 0;
};

struct LineFit {
    double intercept = 0;
    double slope = 0;
    double rmsResidual = 0;       // root mean square, in the value's unit
    double relativeResidual = 0;  // residual / mean value
    double curvatureF = 0;        // F statistic of a quadratic term; 0 if there are too few samples
    // The quadratic term is significant at 1%, and its curve at 4 x `largestSize` is over 15% off the
    // line.
    bool isCurved = false;
    double largestSize = 0;  // largest measured size
    double spread = 0;       // largest over all sizes of (max - min) / median
    double at(double size) const { return intercept + slope * size; }
};

// Throws std::invalid_argument for fewer than three different sizes or a value that is not finite.
LineFit fitLine(const std::vector<Sample>& samples);

struct Prediction {
    double size = 0;
    double predicted = 0;
    double measured = 0;
    double relativeError = 0;  // (predicted - measured) / measured
    // Within `kPredictionTolerance`, so that the slope may be used beyond the measured sizes.
    bool isWithinTolerance = false;
};

constexpr double kPredictionTolerance = 0.15;

// Compares the prediction with the median of `measured`, the repeats at `size`.
Prediction checkPrediction(const LineFit& fit, double size, std::vector<double> measured);

double medianOf(std::vector<double> values);
double spreadOf(const std::vector<double>& values);  // (max - min) / median

// One line of text each.
std::string describe(const std::string& name, const LineFit& fit, const std::string& unit);
std::string describe(const std::string& name, const Prediction& prediction, const std::string& unit);

}  // namespace poppyscale::testbed::scale
