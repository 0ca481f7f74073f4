#include "testbed/scale/report.hpp"

#include <fmt/format.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "testbed/scale/scenario.hpp"

namespace poppyscale::testbed::scale {
namespace {

double secondsOf(std::int64_t nanos) { return static_cast<double>(nanos) / 1e9; }

float quantile(std::vector<float>& sorted, double fraction) {
    return sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

// One row per change: its time in s, then p50, p99 and maximum of its propagation time over the
// routers in ms.
void writePlotData(const std::string& path, const PropagationStatistics& statistics,
                   std::int64_t measurementStart) {
    std::ofstream out(path);
    for (const PropagationStatistics::PerChange& change : statistics.changes()) {
        std::vector<float> sorted = change.milliseconds;
        if (sorted.empty()) continue;
        std::sort(sorted.begin(), sorted.end());
        out << fmt::format("{} {} {} {}\n", secondsOf(change.at - measurementStart), quantile(sorted, 0.5),
                           quantile(sorted, 0.99), sorted.back());
    }
}

std::string plotScript(const Options& options) {
    std::string script =
        "set terminal svg noenhanced size 920,320 dynamic font 'sans,10'\nset key outside right top\n"
        "set grid lc rgb '#dddddd'\nset xlabel 's'\nset ylabel 'ms'\nset logscale y\n";
    script += fmt::format("set xrange [0:{}]\n", secondsOf(options.measuredDuration));
    for (const Event& event : options.events) {
        script += fmt::format(
            "set arrow from first {0}, graph 0 to first {0}, graph 1 nohead lc rgb '#b03030' lw 1\n"
            "set label '{1}' at first {0}, graph 0.97 rotate by 90 right font ',8' tc rgb '#b03030'\n",
            secondsOf(event.at), nameOf(event.kind));
        if (event.duration > 0)
            script += fmt::format(
                "set arrow from first {0}, graph 0 to first {0}, graph 1 nohead lc rgb '#308030' dt 2 lw 1\n",
                secondsOf(event.at + event.duration));
    }
    script += fmt::format("set output '{}/in-force.svg'\nset title 'Propagation time of a change'\n",
                          options.folder);
    script += fmt::format(
        "plot '{0}/in-force.dat' u 1:2 t 'p50' pt 7 ps 0.3 lc rgb '#2060a0', "
        "'{0}/in-force.dat' u 1:3 t 'p99' pt 7 ps 0.3 lc rgb '#d08020', "
        "'{0}/in-force.dat' u 1:4 t 'slowest' pt 7 ps 0.3 lc rgb '#b03030'\n",
        options.folder);
    return script;
}

bool writePlot(const Options& options, const PropagationStatistics& statistics,
               std::int64_t measurementStart) {
    writePlotData(options.folder + "/in-force.dat", statistics, measurementStart);
    std::ofstream(options.folder + "/in-force.gp") << plotScript(options);
    const int code = std::system(
        fmt::format("gnuplot '{0}/in-force.gp' >'{0}/in-force.err' 2>&1", options.folder).c_str());
    return WIFEXITED(code) && WEXITSTATUS(code) == 0;
}

}  // namespace

void writeScaleReport(const Options& options, const Result& result, const PropagationStatistics& statistics,
                      std::int64_t measurementStart) {
    const bool isPlotted = writePlot(options, statistics, measurementStart);
    std::string html =
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>poppyscale_testbed "
        "scale</title><style>"
        "body{font:15px/1.5 sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}"
        "table{border-collapse:collapse}td{padding:2px 14px 2px 0}td+td{text-align:right}"
        ".broken{color:#a02020}svg{width:100%;height:auto}</style></head><body>";
    html += fmt::format("<h1>{} routers, {} cache servers, seed {}</h1>", result.routers, result.caches,
                        options.seed);
    for (const std::string& violation : result.violations)
        html += fmt::format("<p class=\"broken\">{}</p>", violation);
    html += "<p>Red lines: start of an event; dashed green lines: its end.</p>";
    if (isPlotted) {
        std::ifstream file(options.folder + "/in-force.svg", std::ios::binary);
        const std::string svg{std::istreambuf_iterator<char>(file), {}};
        html += "<figure>" + svg.substr(std::min(svg.find("<svg"), svg.size())) + "</figure>";
    } else {
        html += "<p>No plot: gnuplot is not installed or failed, see in-force.err.</p>";
    }
    html += "<table>";
    const auto figures = nlohmann::json::parse(jsonOf(result));
    for (const auto& [name, value] : figures.items())
        if (value.is_number()) html += fmt::format("<tr><td>{}</td><td>{}</td></tr>", name, value.dump());
    std::ofstream(options.folder + "/report.html") << html << "</table></body></html>\n";
}

}  // namespace poppyscale::testbed::scale
