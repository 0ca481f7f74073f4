// The HTML report of a scale run.
#pragma once

#include "testbed/scale/in_force.hpp"
#include "testbed/scale/scale.hpp"

namespace poppyscale::testbed::scale {

// Writes report.html to the run's folder: a plot of the changes' propagation times with the events
// marked, and a table of the figures. `measurementStart` is the start of the measured time,
// CLOCK_MONOTONIC in ns.
void writeScaleReport(const Options& options, const Result& result, const PropagationStatistics& statistics,
                      std::int64_t measurementStart);

}  // namespace poppyscale::testbed::scale
