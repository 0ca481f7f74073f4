// The figures and the verdict of a run, from its event log while it is written or when it is read again.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "testbed/audit/audit.hpp"
#include "testbed/emulator/event_log.hpp"
#include "testbed/report/figures.hpp"

namespace poppyscale::testbed {

class Verdict {
  public:
    // `tolerance` is the audit's tolerance; 0: the tolerance in the log's head.
    explicit Verdict(Nanos tolerance = 0) : tolerance_(tolerance) {}
    // Observes everything written to the log. To be called before the log's head is written.
    void observe(EventLog& eventLog);
    void onHead(const nlohmann::json& head);
    void onEvent(const LogEvent& entry);
    void addFigure(const std::string& name, double value) { extraFigures_.emplace_back(name, value); }

    // The rules that were violated and the bounds that were not met, each once; empty if the run was kept.
    std::vector<std::string> brokenRules();
    // Prints the figures and the verdict, and writes the reports into folder `out` unless `out` is empty.
    bool writeReport(const std::string& out);
    Figures& figures() { return *figures_; }
    const std::vector<Violation>& violations() const { return violations_; }

  private:
    Nanos tolerance_;
    std::unique_ptr<Audit> audit_;
    std::unique_ptr<Figures> figures_;
    std::vector<std::pair<std::string, double>> extraFigures_;
    std::vector<Violation> violations_;
    bool finished_ = false;
};

// `poppyscale_testbed audit DIR`: judges the log of an earlier run. Returns whether the run was kept.
bool judgeStoredLog(const std::string& dir);

}  // namespace poppyscale::testbed
