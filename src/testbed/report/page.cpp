#include "testbed/report/page.hpp"

#include <fmt/format.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace poppyscale::testbed {
namespace {

constexpr std::size_t kMaxListedViolations = 50;

std::string escaped(std::string_view text) {
    std::string out;
    for (const char c : text) {
        if (c == '&')
            out += "&amp;";
        else if (c == '<')
            out += "&lt;";
        else if (c == '>')
            out += "&gt;";
        else if (static_cast<unsigned char>(c) < ' ' || static_cast<unsigned char>(c) > '~')
            out += '?';
        else
            out += c;
    }
    return out;
}

std::string readFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

// Writes one row per second; gnuplotScript() names the columns.
void writeData(const std::string& path, Figures& figures) {
    std::ofstream out(path);
    const auto caches = static_cast<int>(figures.serverNames().size());
    double at = 0.5;
    for (Figures::Second& second : figures.seconds()) {
        std::vector<int> attempts;
        for (int c = 1; c < caches; ++c) {
            const auto it = second.attemptsByServer.find(c);
            attempts.push_back(it == second.attemptsByServer.end() ? 0 : it->second);
        }
        std::sort(attempts.begin(), attempts.end());
        const auto rank = [&](double quantile) {
            return attempts.empty() ? 0
                                    : attempts[static_cast<std::size_t>(
                                          quantile * static_cast<double>(attempts.size() - 1))];
        };
        out << fmt::format("{} {} {} {} {} {} {} {} {} {} {} {} {}\n", at, second.asked, second.answered,
                           second.rejected, second.failed, second.times.quantileMs(0.5),
                           second.times.quantileMs(0.99), second.times.quantileMs(0.999), rank(0), rank(0.5),
                           rank(1), second.originLoad, second.misses);
        at += 1;
    }
}

std::string gnuplotScript(const std::string& folder, const Figures& figures) {
    std::string annotations;
    for (const auto& annotation : figures.annotations()) {
        const bool begins = annotation.text.starts_with("begins");
        annotations += fmt::format(
            "set arrow from first {0}, graph 0 to first {0}, graph 1 nohead lc rgb '{1}' dt {2} lw 1\n",
            annotation.atSeconds, begins ? "#b03030" : "#308030", begins ? 1 : 2);
        if (begins)
            annotations += fmt::format(
                "set label '{}' at first {}, graph 0.97 rotate by 90 right font ',8' tc rgb '#b03030'\n",
                escaped(annotation.text.substr(7)), annotation.atSeconds + 0.2);
    }
    const auto plot = [&](const char* name, const char* title, const char* set, const std::string& lines) {
        return fmt::format("set output '{}/{}.svg'\nset title '{}'\n{}\nplot {}\n", folder, name, title, set,
                           lines);
    };
    const std::string data = fmt::format("'{}/plot.dat'", folder);
    std::string script =
        "set terminal svg noenhanced size 920,260 dynamic font 'sans,10'\nset key outside right top\nset "
        "grid lc rgb '#dddddd'\n"
        "set xlabel 's'\nset xrange [0:*]\nset style data lines\n" +
        annotations;
    script += plot(
        "answers", "Answers per second", "set yrange [0:*]",
        fmt::format("{0} u 1:2 t 'asked' lc rgb '#999999', {0} u 1:3 t 'answered' lw 2 lc rgb '#2060a0', "
                    "{0} u 1:4 t 'declined' lc rgb '#d08020', {0} u 1:5 t 'terminated' lc rgb '#b03030'",
                    data));
    script += plot("times", "Time since the request was due, ms", "set logscale y\nset yrange [1:*]",
                   fmt::format("{0} u 1:6 t 'p50' lw 2 lc rgb '#2060a0', {0} u 1:7 t 'p99' lc rgb '#d08020', "
                               "{0} u 1:8 t 'p99.9' lc rgb '#b03030'",
                               data));
    script +=
        plot("relays", "Attempts per second at a cache server", "unset logscale y\nset yrange [0:*]",
             fmt::format("{0} u 1:9 t 'least' lc rgb '#999999', {0} u 1:10 t 'median' lw 2 lc rgb '#2060a0', "
                         "{0} u 1:11 t 'most' lc rgb '#b03030'",
                         data));
    script += plot(
        "origin", "Load at the origin, share of its capacity", "set yrange [0:1.2<*]",
        fmt::format("{0} u 1:12 t 'load' lw 2 lc rgb '#2060a0', 1 t 'capacity' dt 2 lc rgb '#b03030'", data));
    return script;
}

bool drawPlots(const std::string& folder, Figures& figures) {
    writeData(folder + "/plot.dat", figures);
    std::ofstream(folder + "/plot.gp") << gnuplotScript(folder, figures);
    const int code =
        std::system(fmt::format("gnuplot '{}/plot.gp' >'{}/plot.err' 2>&1", folder, folder).c_str());
    return WIFEXITED(code) && WEXITSTATUS(code) == 0;
}

}  // namespace

void writePage(const std::string& folder, Figures& figures, const nlohmann::json& report) {
    const bool arePlotsDrawn = drawPlots(folder, figures);
    std::string page =
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>poppyscale_testbed "
        "report</title><style>"
        "body{font:15px/1.5 sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}"
        "table{border-collapse:collapse}td{padding:2px 14px 2px 0}td+td{text-align:right;"
        "font-variant-numeric:tabular-nums}.kept{color:#1d6b2f}.broken{color:#a02020}"
        "svg{width:100%;height:auto}</style></head><body>";
    const bool kept = report.at("verdict") == "kept";
    std::string broken;
    for (const auto& rule : report.at("broken")) broken.append(1, ' ').append(rule.get<std::string>());
    page +=
        fmt::format("<h1>{}, seed {}</h1><p class=\"{}\"><b>Verdict: {}{}</b></p>",
                    escaped(report.at("scenario").get<std::string>()), report.at("seed").get<std::uint64_t>(),
                    kept ? "kept" : "broken", kept ? "kept" : "broken:", escaped(broken));
    if (report.contains("breaches")) {
        page += "<h2>Violations</h2><ul>";
        std::size_t shown = 0;
        for (const auto& violation : report.at("breaches"))
            if (++shown <= kMaxListedViolations)
                page += fmt::format("<li>{} at {:.3f} s: {}</li>",
                                    escaped(violation.at("rule").get<std::string>()),
                                    static_cast<double>(violation.at("at_ns").get<Nanos>()) / 1e9,
                                    escaped(violation.at("what").get<std::string>()));
        page += shown > kMaxListedViolations
                    ? fmt::format("<li>and {} more</li></ul>", shown - kMaxListedViolations)
                    : "</ul>";
    }
    page += "<h2>Over time</h2><p>Red lines: a fault begins; dashed green: it ends.</p>";
    for (const char* name : {"answers", "times", "relays", "origin"}) {
        if (!arePlotsDrawn) continue;
        std::string svg = readFile(fmt::format("{}/{}.svg", folder, name));
        page += "<figure>" + svg.substr(std::min(svg.find("<svg"), svg.size())) + "</figure>";
    }
    if (!arePlotsDrawn) page += "<p>No plots: gnuplot is not installed or failed, see plot.err.</p>";
    page += "<h2>Figures</h2><table>";
    for (const auto& [name, value] : report.at("figures").items())
        page += fmt::format("<tr><td>{}</td><td>{:.6g}</td></tr>", escaped(name), value.get<double>());
    page += "</table></body></html>\n";
    std::ofstream(folder + "/report.html") << page;
    std::error_code ignored;
    for (const char* name : {"answers.svg", "times.svg", "relays.svg", "origin.svg", "plot.gp"})
        if (arePlotsDrawn) std::filesystem::remove(folder + "/" + name, ignored);
}

}  // namespace poppyscale::testbed
