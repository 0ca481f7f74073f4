// The capacity table: what each role costs at a target, by slopes that runs gave, beside its budget and the
// mechanism that carries it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "testbed/scale/capacity_input.hpp"

namespace poppyscale::testbed::scale {

// A figure and what it rests on.
struct Estimate {
    std::optional<double> value;    // none: not measured, or a slope that may not be used so far out
    double factor = 0;              // times the largest size measured; 0 rests on no run
    std::vector<std::string> runs;  // the slopes' names
    std::string missing;            // why there is no value
    std::string basis() const;
};

Estimate reasoned(double value);
// The line of a slope at a count; at the largest size measured, the median that was measured there.
Estimate estimate(const Slopes& slopes, std::string_view name, double count);
Estimate operator*(Estimate estimate, double by);
Estimate operator+(Estimate left, const Estimate& right);

// What carries a row. The missing ones are named by their issue.
enum class Mechanism {
    none,
    listWatch,
    decisionModule,
    hotRestart,
    listDistributors,
    scopedView,
    boundedChoice,
    purgeStream,
    membership,
    copies,
    hotKeys,
};

std::string_view nameOf(Mechanism mechanism);  // with "built" or "missing" and its issue
bool isBuilt(Mechanism mechanism);

enum class Verdict { noBudget, ok, over, noPath, unknown };

struct Row {
    std::string situation, role, quantity, formula;
    Estimate estimate;
    std::string unit;
    std::optional<double> budget;
    std::string budgetText;  // whose budget it is
    Mechanism mechanism = Mechanism::none;
    bool noPath = false;  // nothing in the program does this at all

    Verdict verdict() const;
    double timesOver() const;  // of the budget; 0 without one
};

std::vector<Row> capacityTable(const Target& target, const Slopes& slopes);

struct Absence {
    Mechanism mechanism = Mechanism::none;
    int broken = 0;        // rows over their budget, or with no path
    int noPath = 0;        // of these
    int unknown = 0;       // rows with a budget and no figure
    double worstOver = 0;  // times the budget
    std::string worst;     // where
};

// The missing mechanisms, the one whose absence breaks most budgets first, then by the worst factor.
std::vector<Absence> absences(const std::vector<Row>& rows);

std::string capacityMarkdown(const Target& target, const Slopes& slopes);

// Reads both files and prints the table; throws BadInput with the problems of both.
std::string capacityOfFiles(const std::string& targetFile, const std::string& slopesFile);

}  // namespace poppyscale::testbed::scale
