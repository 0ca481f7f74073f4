// The scenario file of a scale run: events and bounds.
#pragma once

#include <string>
#include <vector>

#include "testbed/scale/scale.hpp"

namespace poppyscale::testbed::scale {

struct ScaleScenario {
    std::vector<Event> events;
    Bounds bounds;
};

// Throws ScenarioError with all problems of the file, one per line: "FILE:LINE: KEY: what is
// wrong".
ScaleScenario readScaleScenario(const std::string& path);

std::string_view nameOf(EventKind kind);

}  // namespace poppyscale::testbed::scale
