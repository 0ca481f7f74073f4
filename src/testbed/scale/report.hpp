// The page of a scale run.
#pragma once

#include "testbed/scale/in_force.hpp"
#include "testbed/scale/scale.hpp"

namespace poppyscale::testbed::scale {

// Writes report.html into the run's folder: when the changes came into force over the measured time, with the
// events marked, and the figures. `beganAt` is on the clock of the changes.
void writeScaleReport(const Options& options, const Result& result, const PropagationStatistics& judged,
                      std::int64_t beganAt);

}  // namespace poppyscale::testbed::scale
