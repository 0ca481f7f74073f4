// `poppyscale_testbed scale` and `poppyscale_testbed scale-discovery` on the command line.
#pragma once

#include <CLI/CLI.hpp>
#include <optional>
#include <string>

#include "testbed/scale/discovery.hpp"
#include "testbed/scale/scale.hpp"

namespace poppyscale::testbed::scale {

class Command {
  public:
    explicit Command(CLI::App& app);

    // The exit code, where one of the two was called.
    std::optional<int> run();

  private:
    int runScale();
    int compare(const Options& options);

    CLI::App* scale_;
    CLI::App* discovery_;
    std::string file_;
    Options options_;
    double seconds_ = 0;
    double purgesPerSecond_ = 0;
    int compared_ = 0;  // routers of each kind
    bool json_ = false;
    DiscoveryOptions discoveryOptions_;
};

}  // namespace poppyscale::testbed::scale
