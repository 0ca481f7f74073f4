// The file of a scale run: events and bounds.
#pragma once

#include <string>
#include <vector>

#include "lab/scale/scale.hpp"

namespace poppyscale::lab::scale {

struct ScaleScenario {
    std::vector<Event> events;
    Bounds bounds;
};

// Throws BadScenario with all that is wrong with it, one line each: "FILE:LINE: KEY: what is wrong".
ScaleScenario readScaleScenario(const std::string& path);

std::string_view nameOf(EventKind kind);

}  // namespace poppyscale::lab::scale
