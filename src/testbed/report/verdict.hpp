// A run's figures and its verdict, from its log as it is written or read again.
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
    // `tolerance` as the audit's.
    explicit Verdict(Nanos tolerance = 0) : tolerance_(tolerance) {}
    // Before the event log's head is written.
    void follow(EventLog& ledger);
    void begin(const nlohmann::json& head);
    void onEvent(const LogEvent& entry);
    void extra(const std::string& name, double value) { extras_.emplace_back(name, value); }

    // All violations and bounds that were not kept, each once; empty if all held.
    std::vector<std::string> verdict();
    // Prints the line of figures and the verdict, writes the reports into `out` unless that is empty.
    bool close(const std::string& out);
    Figures& figures() { return *figures_; }
    const std::vector<Violation>& violations() const { return violations_; }

  private:
    Nanos tolerance_;
    std::unique_ptr<Audit> audit_;
    std::unique_ptr<Figures> figures_;
    std::vector<std::pair<std::string, double>> extras_;
    std::vector<Violation> violations_;
    bool finished_ = false;
};

// `poppyscale_testbed audit DIR`.
bool judgeAgain(const std::string& dir);

}  // namespace poppyscale::testbed
