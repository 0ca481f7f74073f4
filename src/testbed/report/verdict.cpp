#include "testbed/report/verdict.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>

#include "testbed/report/page.hpp"

namespace poppyscale::testbed {
namespace {

constexpr std::size_t kShown = 10;  // violations in full

}  // namespace

void Verdict::begin(const nlohmann::json& head) {
    audit_ = std::make_unique<Audit>(head, tolerance_ ? tolerance_ : head.value("tolerance", Nanos{0}));
    figures_ = std::make_unique<Figures>(head);
}

void Verdict::follow(EventLog& ledger) {
    ledger.watchHead = [this](const nlohmann::json& head) { begin(head); };
    ledger.watch = [this](const LogEvent& entry) { onEvent(entry); };
}

void Verdict::onEvent(const LogEvent& entry) {
    audit_->onEvent(entry);
    figures_->onEvent(entry);
}

std::vector<std::string> Verdict::verdict() {
    if (!std::exchange(finished_, true)) {
        violations_ = audit_->finish();
        figures_->finish();
    }
    std::vector<std::string> broken;
    for (const Violation& b : violations_)
        if (std::find(broken.begin(), broken.end(), b.rule) == broken.end()) broken.push_back(b.rule);
    for (auto& bound : figures_->missed()) broken.push_back(std::move(bound));
    return broken;
}

bool Verdict::close(const std::string& out) {
    const auto broken = verdict();
    for (std::size_t i = 0; i < std::min(violations_.size(), kShown); ++i)
        fmt::print(stderr, "{} at {:.3f} s: {}\n", violations_[i].rule,
                   static_cast<double>(violations_[i].at) / 1e9, violations_[i].what);
    if (violations_.size() > kShown) fmt::print(stderr, "and {} more\n", violations_.size() - kShown);
    if (!out.empty()) {
        auto report = figures_->json();
        for (const auto& [name, value] : extras_) report["figures"][name] = value;
        report["verdict"] = broken.empty() ? "kept" : "broken";
        report["broken"] = broken;
        for (const Violation& b : violations_)
            report["breaches"].push_back({{"rule", b.rule}, {"at_ns", b.at}, {"what", b.what}});
        std::ofstream(out + "/report.json") << report.dump(2) << '\n';
        writePage(out, *figures_, report);
    }
    std::string line;
    auto figures = figures_->finish();
    figures.insert(figures.end(), extras_.begin(), extras_.end());
    for (const auto& [name, value] : figures)
        line += fmt::format("{}{}={:.6g}", line.empty() ? "" : " ", name, value);
    std::string all;
    for (const auto& b : broken) all.append(1, ' ').append(b);
    fmt::print("{}\nverdict: {}\n", line, broken.empty() ? "kept" : "broken:" + all);
    std::fflush(stdout);
    return broken.empty();
}

bool judgeAgain(const std::string& dir) {
    Verdict judge;
    readEventLog(
        dir + "/log.tsv", [&](const nlohmann::json& head) { judge.begin(head); },
        [&](const LogEvent& e) { judge.onEvent(e); });
    return judge.close("");
}

}  // namespace poppyscale::testbed
