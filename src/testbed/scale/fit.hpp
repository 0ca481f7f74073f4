// Least squares over a measured series: the line, how far the samples lie off it, whether they bend, and a
// prediction for a larger size that a measurement there can refute.
#pragma once

#include <string>
#include <vector>

namespace poppyscale::testbed::scale {

struct Sample {
    double size = 0;  // of what was varied: caches, routers, changes a second
    double value = 0;
};

struct LineFit {
    double intercept = 0;
    double slope = 0;          // of one more in size
    double residual = 0;       // root mean square, in the value's unit
    double residualShare = 0;  // of the mean value
    double curvatureF = 0;     // F statistic of a quadratic term; 0 where there are too few samples
    bool curved = false;       // significant at 1%, and four times as far over 15% off the line
    double largestSize = 0;    // measured
    double spread = 0;         // worst over the sizes: (largest - smallest) / median
    double at(double size) const { return intercept + slope * size; }
};

// Throws std::invalid_argument for fewer than three different sizes or a value that is not finite.
LineFit fitLine(const std::vector<Sample>& samples);

struct Prediction {
    double size = 0;
    double predicted = 0;
    double measured = 0;
    double off = 0;     // (predicted - measured) / measured
    bool used = false;  // within the tolerance, so the slope may be used past the sizes measured
};

constexpr double kPredictionTolerance = 0.15;

// `measured` are the repeats at one size; their median is compared.
Prediction compare(const LineFit& fit, double size, std::vector<double> measured);

double medianOf(std::vector<double> values);
double spreadOf(const std::vector<double>& values);  // (largest - smallest) / median

// One line each, for a person.
std::string describe(const std::string& name, const LineFit& fit, const std::string& unit);
std::string describe(const std::string& name, const Prediction& prediction, const std::string& unit);

}  // namespace poppyscale::testbed::scale
