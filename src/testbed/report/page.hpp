// The report of a run as one self-contained HTML page.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "testbed/report/figures.hpp"

namespace poppyscale::testbed {

// Writes FOLDER/report.html. gnuplot draws the plots; the page says so if gnuplot is missing or fails.
void writePage(const std::string& folder, Figures& figures, const nlohmann::json& report);

}  // namespace poppyscale::testbed
