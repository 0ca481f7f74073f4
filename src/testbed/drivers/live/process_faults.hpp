// The faults of the routers' processes: a plan that they map by a preloaded library, written here.
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
    // The plan is a file in `folder`. Throws std::runtime_error where it can't be made.
    ProcessFaults(const std::string& folder, std::uint64_t seed);
    ~ProcessFaults();
    ProcessFaults(const ProcessFaults&) = delete;
    ProcessFaults& operator=(const ProcessFaults&) = delete;

    // What a process is started with to be struck.
    std::vector<std::pair<std::string, std::string>> variables() const;
    void play(const FaultPlan& fault, bool begins);
    // How often each has happened so far, "CALL WAY" or "held up"; of those only that have.
    std::map<std::string, std::uint64_t> counts() const;

  private:
    std::string file_;
    fault_injection::FaultPlan* plan_ = nullptr;
};

}  // namespace poppyscale::testbed
