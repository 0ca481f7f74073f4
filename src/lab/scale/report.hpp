// The page of a scale run.
#pragma once

#include "lab/scale/in_force.hpp"
#include "lab/scale/scale.hpp"

namespace poppyscale::lab::scale {

// Writes report.html into the run's folder: when the changes came into force over the measured time, with the
// events marked, and the figures. `beganAt` is on the clock of the changes.
void writeScaleReport(const Options& options, const Result& result, const InForce& judged,
                      std::int64_t beganAt);

}  // namespace poppyscale::lab::scale
