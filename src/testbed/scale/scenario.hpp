// The file of a scale run: events and bounds.
#pragma once

#include <string>
#include <vector>

#include "testbed/scale/scale.hpp"

namespace poppyscale::testbed::scale {

struct ScaleScenario {
    std::vector<Event> events;
    Bounds bounds;
};

// Throws BadScenario with all that is wrong with it, one line each: "FILE:LINE: KEY: what is wrong".
ScaleScenario readScaleScenario(const std::string& path);

std::string_view nameOf(EventKind kind);

}  // namespace poppyscale::testbed::scale
