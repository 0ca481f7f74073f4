#include "testbed/report/verdict.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>

#include "testbed/report/page.hpp"

namespace poppyscale::testbed {
namespace {

constexpr std::size_t kMaxPrintedViolations = 10;

}  // namespace

void Verdict::onHead(const nlohmann::json& head) {
    audit_ = std::make_unique<Audit>(head, tolerance_ ? tolerance_ : head.value("tolerance", Nanos{0}));
    figures_ = std::make_unique<Figures>(head);
}

void Verdict::observe(EventLog& eventLog) {
    eventLog.onHead = [this](const nlohmann::json& head) { onHead(head); };
    eventLog.onEvent = [this](const LogEvent& entry) { onEvent(entry); };
}

void Verdict::onEvent(const LogEvent& entry) {
    audit_->onEvent(entry);
    figures_->onEvent(entry);
}

std::vector<std::string> Verdict::brokenRules() {
    if (!std::exchange(finished_, true)) {
        violations_ = audit_->finish();
        figures_->finish();
    }
    std::vector<std::string> broken;
    for (const Violation& violation : violations_)
        if (std::find(broken.begin(), broken.end(), violation.rule) == broken.end())
            broken.push_back(violation.rule);
    for (auto& bound : figures_->unmetBounds()) broken.push_back(std::move(bound));
    return broken;
}

bool Verdict::writeReport(const std::string& out) {
    const auto broken = brokenRules();
    for (std::size_t i = 0; i < std::min(violations_.size(), kMaxPrintedViolations); ++i)
        fmt::print(stderr, "{} at {:.3f} s: {}\n", violations_[i].rule,
                   static_cast<double>(violations_[i].at) / 1e9, violations_[i].description);
    if (violations_.size() > kMaxPrintedViolations)
        fmt::print(stderr, "and {} more\n", violations_.size() - kMaxPrintedViolations);
    if (!out.empty()) {
        auto report = figures_->json();
        for (const auto& [name, value] : extraFigures_) report["figures"][name] = value;
        report["verdict"] = broken.empty() ? "kept" : "broken";
        report["broken"] = broken;
        for (const Violation& violation : violations_)
            report["breaches"].push_back(
                {{"rule", violation.rule}, {"at_ns", violation.at}, {"what", violation.description}});
        std::ofstream(out + "/report.json") << report.dump(2) << '\n';
        writePage(out, *figures_, report);
    }
    std::string line;
    auto figures = figures_->finish();
    figures.insert(figures.end(), extraFigures_.begin(), extraFigures_.end());
    for (const auto& [name, value] : figures)
        line += fmt::format("{}{}={:.6g}", line.empty() ? "" : " ", name, value);
    std::string rules;
    for (const auto& rule : broken) rules.append(1, ' ').append(rule);
    fmt::print("{}\nverdict: {}\n", line, broken.empty() ? "kept" : "broken:" + rules);
    std::fflush(stdout);
    return broken.empty();
}

bool judgeStoredLog(const std::string& dir) {
    Verdict verdict;
    readEventLog(
        dir + "/log.tsv", [&](const nlohmann::json& head) { verdict.onHead(head); },
        [&](const LogEvent& entry) { verdict.onEvent(entry); });
    return verdict.writeReport("");
}

}  // namespace poppyscale::testbed
