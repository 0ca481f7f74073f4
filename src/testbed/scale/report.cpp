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

float quantile(std::vector<float>& sorted, double part) {
    return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
}

// One row a change: when, and p50, p99 and the slowest router's time in force.
void writeData(const std::string& path, const PropagationStatistics& judged, std::int64_t beganAt) {
    std::ofstream out(path);
    for (const PropagationStatistics::PerChange& change : judged.changes()) {
        std::vector<float> sorted = change.milliseconds;
        if (sorted.empty()) continue;
        std::sort(sorted.begin(), sorted.end());
        out << fmt::format("{} {} {} {}\n", secondsOf(change.at - beganAt), quantile(sorted, 0.5),
                           quantile(sorted, 0.99), sorted.back());
    }
}

std::string scriptOf(const Options& options) {
    std::string script =
        "set terminal svg noenhanced size 920,320 dynamic font 'sans,10'\nset key outside right top\n"
        "set grid lc rgb '#dddddd'\nset xlabel 's'\nset ylabel 'ms'\nset logscale y\n";
    script += fmt::format("set xrange [0:{}]\n", secondsOf(options.length));
    for (const Event& event : options.events) {
        script += fmt::format(
            "set arrow from first {0}, graph 0 to first {0}, graph 1 nohead lc rgb '#b03030' lw 1\n"
            "set label '{1}' at first {0}, graph 0.97 rotate by 90 right font ',8' tc rgb '#b03030'\n",
            secondsOf(event.at), nameOf(event.kind));
        if (event.length > 0)
            script += fmt::format(
                "set arrow from first {0}, graph 0 to first {0}, graph 1 nohead lc rgb '#308030' dt 2 lw 1\n",
                secondsOf(event.at + event.length));
    }
    script += fmt::format("set output '{}/in-force.svg'\nset title 'Until a change was in force'\n",
                          options.folder);
    script += fmt::format(
        "plot '{0}/in-force.dat' u 1:2 t 'p50' pt 7 ps 0.3 lc rgb '#2060a0', "
        "'{0}/in-force.dat' u 1:3 t 'p99' pt 7 ps 0.3 lc rgb '#d08020', "
        "'{0}/in-force.dat' u 1:4 t 'slowest' pt 7 ps 0.3 lc rgb '#b03030'\n",
        options.folder);
    return script;
}

bool draw(const Options& options, const PropagationStatistics& judged, std::int64_t beganAt) {
    writeData(options.folder + "/in-force.dat", judged, beganAt);
    std::ofstream(options.folder + "/in-force.gp") << scriptOf(options);
    const int code = std::system(
        fmt::format("gnuplot '{0}/in-force.gp' >'{0}/in-force.err' 2>&1", options.folder).c_str());
    return WIFEXITED(code) && WEXITSTATUS(code) == 0;
}

}  // namespace

void writeScaleReport(const Options& options, const Result& result, const PropagationStatistics& judged,
                      std::int64_t beganAt) {
    const bool drawn = draw(options, judged, beganAt);
    std::string page =
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>poppyscale_testbed "
        "scale</title><style>"
        "body{font:15px/1.5 sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}"
        "table{border-collapse:collapse}td{padding:2px 14px 2px 0}td+td{text-align:right}"
        ".broken{color:#a02020}svg{width:100%;height:auto}</style></head><body>";
    page += fmt::format("<h1>{} routers before {} cache servers, seed {}</h1>", result.routers, result.caches,
                        options.seed);
    for (const std::string& bound : result.broken) page += fmt::format("<p class=\"broken\">{}</p>", bound);
    page += "<p>Red lines: an event begins; dashed green: it ends.</p>";
    if (drawn) {
        std::ifstream file(options.folder + "/in-force.svg", std::ios::binary);
        const std::string svg{std::istreambuf_iterator<char>(file), {}};
        page += "<figure>" + svg.substr(std::min(svg.find("<svg"), svg.size())) + "</figure>";
    } else {
        page += "<p>No plot: gnuplot is not there, or failed (in-force.err).</p>";
    }
    page += "<table>";
    const auto figures = nlohmann::json::parse(jsonOf(result));
    for (const auto& [name, value] : figures.items())
        if (value.is_number()) page += fmt::format("<tr><td>{}</td><td>{}</td></tr>", name, value.dump());
    std::ofstream(options.folder + "/report.html") << page << "</table></body></html>\n";
}

}  // namespace poppyscale::testbed::scale
