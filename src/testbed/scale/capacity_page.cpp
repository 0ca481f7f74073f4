// The capacity table as Markdown.
#include <fmt/format.h>

#include <fstream>
#include <sstream>

#include "testbed/scale/capacity.hpp"

namespace poppyscale::testbed::scale {
namespace {

// Three significant digits; whole numbers from 1,000 on.
std::string formatNumber(double value) {
    if (value >= 1000) return fmt::format("{:.0f}", value);
    return fmt::format("{:.3g}", value);
}

std::string_view verdictLabel(Verdict verdict) {
    switch (verdict) {
        case Verdict::noBudget:
            return "no budget stated";
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

std::string verdictText(const Row& row) {
    std::string text(verdictLabel(row.verdict()));
    if (row.verdict() == Verdict::over) text += fmt::format(" {:.1f} times", row.budgetRatio());
    return text;
}

std::string figureText(const Row& row) {
    return row.estimate.value ? formatNumber(*row.estimate.value) + " " + row.unit
                              : row.estimate.missingReason;
}

std::string budgetCell(const Row& row) {
    return row.budget ? fmt::format("{} {} ({})", formatNumber(*row.budget), row.unit, row.budgetText) : "";
}

std::string rowsMarkdown(const std::vector<Row>& rows) {
    std::string out =
        "| situation | role | quantity | at the target | based on | formula | budget | verdict | mechanism "
        "|\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const Row& row : rows)
        out += fmt::format("| {} | {} | {} | {} | {} | {} | {} | {} | {} |\n", row.situation, row.role,
                           row.quantity, figureText(row), row.estimate.basis(), row.formula, budgetCell(row),
                           verdictText(row), nameOf(row.mechanism));
    return out;
}

std::string missingMechanismsMarkdown(const std::vector<Row>& rows) {
    std::string out =
        "| missing mechanism | budgets exceeded without it | of these with no path | "
        "largest ratio to a budget | where | budgets without an estimate |\n"
        "| --- | --- | --- | --- | --- | --- |\n";
    for (const MissingMechanism& a : missingMechanisms(rows))
        out += fmt::format("| {} | {} | {} | {} | {} | {} |\n", nameOf(a.mechanism), a.exceededBudgets,
                           a.noPathCount, a.worstRatio > 0 ? fmt::format("{:.1f}", a.worstRatio) : "",
                           a.worstRow, a.unknownCount);
    return out;
}

std::string slopesMarkdown(const Slopes& slopes) {
    std::string out =
        "| slope | base | per count | unit | count of | spread | largest count | median there | line beyond "
        "it | run |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const auto& [name, s] : slopes)
        out += fmt::format("| {} | {:.4g} | {:.4g} | {} | {} | {:.0f}% | {:g} | {} | {} | {} |\n", name,
                           s.base, s.valuePerCount, s.unit, s.variedQuantity, 100 * s.spread, s.largestSize,
                           s.atLargest ? fmt::format("{:.4g}", *s.atLargest) : "",
                           s.canExtrapolate ? "used" : "not used", s.run);
    return out;
}

std::string readFile(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw CapacityInputError(file + ":1: can't be read");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

}  // namespace

std::string Estimate::basis() const {
    if (!value) return slopeNames.empty() ? "" : slopeNames.front();
    if (slopeNames.empty()) return "calculated";
    std::string names;
    for (const std::string& run : slopeNames) names += (names.empty() ? "" : ", ") + run;
    constexpr double kMaxMeasuredRatio = 1.01;
    if (sizeRatio <= kMaxMeasuredRatio) return "measured: " + names;
    return fmt::format("extrapolated by {:.3g}: {}", sizeRatio, names);
}

std::string capacityMarkdown(const Target& target, const Slopes& slopes) {
    const std::vector<Row> rows = capacityTable(target, slopes);
    return fmt::format("Target: {}.\n\n{}\nMissing mechanisms:\n\n{}\nSlopes:\n\n{}", target.name,
                       rowsMarkdown(rows), missingMechanismsMarkdown(rows), slopesMarkdown(slopes));
}

std::string capacityMarkdownOfFiles(const std::string& targetFile, const std::string& slopesFile) {
    std::string problems;
    Target target;
    Slopes slopes;
    const auto attempt = [&](auto read) {
        try {
            read();
        } catch (const CapacityInputError& error) {
            problems += (problems.empty() ? "" : "\n") + std::string(error.what());
        }
    };
    attempt([&] { target = readTarget(readFile(targetFile), targetFile); });
    attempt([&] { slopes = readSlopes(readFile(slopesFile), slopesFile); });
    if (!problems.empty()) throw CapacityInputError(problems);
    return capacityMarkdown(target, slopes);
}

}  // namespace poppyscale::testbed::scale
