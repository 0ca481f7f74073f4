// The capacity table: for each role, its estimated cost at a target fleet (extrapolated from
// measured slopes), the budget for that cost, and the mechanism that keeps the cost within the
// budget.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "testbed/scale/capacity_input.hpp"

namespace poppyscale::testbed::scale {

// An estimated figure and the measurements that it is computed from.
struct Estimate {
    // No value: a slope was not measured, or may not be extrapolated to this count.
    std::optional<double> value;
    double sizeRatio = 0;                 // count / largest measured size; 0 if no slope is used
    std::vector<std::string> slopeNames;  // names of the slopes used
    std::string missingReason;            // the reason if there is no value
    std::string basis() const;            // the table's "based on" column
};

// A figure computed from the target alone, without a measured slope.
Estimate withoutSlope(double value);
// The value of a slope's line at `count`. At the largest measured size it is the median measured
// there.
Estimate estimate(const Slopes& slopes, std::string_view name, double count);
Estimate operator*(Estimate estimate, double by);
Estimate operator+(Estimate left, const Estimate& right);

// The mechanism that a row of the table depends on.
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

// The label in the table, with "built", or with "missing" and the title of the issue.
std::string_view nameOf(Mechanism mechanism);
bool isBuilt(Mechanism mechanism);

enum class Verdict { noBudget, ok, over, noPath, unknown };

struct Row {
    std::string situation, role, quantity, formula;
    Estimate estimate;
    std::string unit;
    std::optional<double> budget;
    std::string budgetText;  // what the budget applies to
    Mechanism mechanism = Mechanism::none;
    bool hasNoPath = false;  // the program has no way at all to do this

    Verdict verdict() const;
    double budgetRatio() const;  // the estimate divided by the budget; 0 if either is missing
};

std::vector<Row> capacityTable(const Target& target, const Slopes& slopes);

// A mechanism that is not built, and the budgets that are exceeded without it.
struct MissingMechanism {
    Mechanism mechanism = Mechanism::none;
    int exceededBudgets = 0;  // rows over their budget or without a path
    int noPathCount = 0;      // those of them without a path
    int unknownCount = 0;     // rows with a budget but no estimate
    double worstRatio = 0;    // largest ratio of estimate to budget
    std::string worstRow;     // the row with that ratio
};

// The missing mechanisms, sorted by the number of exceeded budgets, then by the largest ratio to a
// budget, both descending.
std::vector<MissingMechanism> missingMechanisms(const std::vector<Row>& rows);

std::string capacityMarkdown(const Target& target, const Slopes& slopes);

// Reads both files and returns the table as Markdown. Throws CapacityInputError with the problems
// of both files.
std::string capacityMarkdownOfFiles(const std::string& targetFile, const std::string& slopesFile);

}  // namespace poppyscale::testbed::scale
