// Faults of router processes. A library preloaded into each process maps the fault plan, which is
// written here.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "testbed/emulator/scenario.hpp"
#include "testbed/fault_injection/fault_plan.hpp"

namespace poppyscale::testbed {

class ProcessFaults {
  public:
    // The plan is a file in `folder`. Throws std::runtime_error if the file can't be created.
    ProcessFaults(const std::string& folder, std::uint64_t seed);
    ~ProcessFaults();
    ProcessFaults(const ProcessFaults&) = delete;
    ProcessFaults& operator=(const ProcessFaults&) = delete;

    // Environment variables for a process in which the faults are to happen.
    std::vector<std::pair<std::string, std::string>> variables() const;
    // Starts the fault, or ends it.
    void inject(const FaultPlan& fault, bool begins);
    // How often each fault has happened so far, by "CALL EFFECT" or "held up". Faults that have not
    // happened are left out.
    std::map<std::string, std::uint64_t> counts() const;

  private:
    std::string file_;
    fault_injection::InjectionPlan* plan_ = nullptr;
};

}  // namespace poppyscale::testbed
