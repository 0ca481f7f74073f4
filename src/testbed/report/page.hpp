// The report of a run as one page that opens without a network.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "testbed/report/figures.hpp"

namespace poppyscale::testbed {

// Writes FOLDER/report.html. Its plots are drawn by gnuplot; where that is not there, the page says so.
void writePage(const std::string& folder, Figures& figures, const nlohmann::json& report);

}  // namespace poppyscale::testbed
