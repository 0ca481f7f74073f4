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

    // Runs whichever of the two sub-commands was given and returns the exit code; nothing if
    // neither was.
    std::optional<int> run();

  private:
    int runScale();
    int compareRouterKinds(const Options& options);

    CLI::App* scale_;
    CLI::App* discovery_;
    std::string file_;
    Options options_;
    double seconds_ = 0;
    double purgesPerSecond_ = 0;
    int comparedRouters_ = 0;  // number of routers of each kind to compare; 0 for an ordinary run
    bool json_ = false;
    DiscoveryOptions discoveryOptions_;
};

}  // namespace poppyscale::testbed::scale
