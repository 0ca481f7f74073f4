// The capacity table as Markdown.
#include <fmt/format.h>

#include <fstream>
#include <sstream>

#include "testbed/scale/capacity.hpp"

namespace poppyscale::testbed::scale {
namespace {

// Three digits and commas, as a person reads them.
std::string number(double value) {
    if (value >= 1000) return fmt::format("{:.0f}", value);
    return fmt::format("{:.3g}", value);
}

std::string_view textOf(Verdict verdict) {
    switch (verdict) {
        case Verdict::noBudget:
            return "no budget told";
        case Verdict::ok:
            return "ok";
        case Verdict::over:
            return "**OVER**";
        case Verdict::noPath:
            return "**NO PATH**";
        case Verdict::unknown:
            return "not known";
    }
    return "";
}

std::string verdictOf(const Row& row) {
    std::string text(textOf(row.verdict()));
    if (row.verdict() == Verdict::over) text += fmt::format(" {:.1f} times", row.timesOver());
    return text;
}

std::string figureOf(const Row& row) {
    return row.estimate.value ? number(*row.estimate.value) + " " + row.unit : row.estimate.missing;
}

std::string budgetOf(const Row& row) {
    return row.budget ? fmt::format("{} {} ({})", number(*row.budget), row.unit, row.budgetText) : "";
}

std::string rowsOf(const std::vector<Row>& rows) {
    std::string out =
        "| situation | role | quantity | at the target | rests on | slope x count | budget | | carried by |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const Row& row : rows)
        out += fmt::format("| {} | {} | {} | {} | {} | {} | {} | {} | {} |\n", row.situation, row.role,
                           row.quantity, figureOf(row), row.estimate.basis(), row.formula, budgetOf(row),
                           verdictOf(row), nameOf(row.mechanism));
    return out;
}

std::string absencesOf(const std::vector<Row>& rows) {
    std::string out =
        "| missing mechanism | budgets its absence breaks | of these no path at all | worst factor over | "
        "where "
        "| with a budget, not known |\n"
        "| --- | --- | --- | --- | --- | --- |\n";
    for (const Absence& a : absences(rows))
        out += fmt::format("| {} | {} | {} | {} | {} | {} |\n", nameOf(a.mechanism), a.broken, a.noPath,
                           a.worstOver > 0 ? fmt::format("{:.1f}", a.worstOver) : "", a.worst, a.unknown);
    return out;
}

std::string slopesOf(const Slopes& slopes) {
    std::string out =
        "| slope | base | of one more | unit | of | spread | largest measured | there | past it | run |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const auto& [name, s] : slopes)
        out += fmt::format("| {} | {:.4g} | {:.4g} | {} | {} | {:.0f}% | {:g} | {} | {} | {} |\n", name,
                           s.base, s.value, s.unit, s.of, 100 * s.spread, s.largest,
                           s.atLargest ? fmt::format("{:.4g}", *s.atLargest) : "",
                           s.used ? "used" : "not used", s.run);
    return out;
}

std::string readWhole(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw BadInput(file + ":1: can't be read");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

}  // namespace

std::string Estimate::basis() const {
    if (!value) return runs.empty() ? "" : runs.front();
    if (runs.empty()) return "reasoned";
    std::string names;
    for (const std::string& run : runs) names += (names.empty() ? "" : ", ") + run;
    constexpr double kNearlyOne = 1.01;
    if (factor <= kNearlyOne) return "measured: " + names;
    return fmt::format("extrapolated by {:.3g}: {}", factor, names);
}

std::string capacityMarkdown(const Target& target, const Slopes& slopes) {
    const std::vector<Row> rows = capacityTable(target, slopes);
    return fmt::format("Target: {}.\n\n{}\nMissing mechanisms:\n\n{}\nSlopes:\n\n{}", target.name,
                       rowsOf(rows), absencesOf(rows), slopesOf(slopes));
}

std::string capacityOfFiles(const std::string& targetFile, const std::string& slopesFile) {
    std::string problems;
    Target target;
    Slopes slopes;
    const auto attempt = [&](auto read) {
        try {
            read();
        } catch (const BadInput& problem) {
            problems += (problems.empty() ? "" : "\n") + std::string(problem.what());
        }
    };
    attempt([&] { target = readTarget(readWhole(targetFile), targetFile); });
    attempt([&] { slopes = readSlopes(readWhole(slopesFile), slopesFile); });
    if (!problems.empty()) throw BadInput(problems);
    return capacityMarkdown(target, slopes);
}

}  // namespace poppyscale::testbed::scale
