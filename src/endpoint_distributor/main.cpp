#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <exception>
#include <string>

#include "endpoint_distributor/program.hpp"
#include "endpoint_distributor/settings.hpp"

namespace {

constexpr int kCannotStart = 1;
constexpr int kUsage = 2;

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "poppyscale_endpoint_distributor: polls discovery for the endpoint list and serves it to many "
        "routers"};
    std::string path;
    app.add_option("--config", path, "settings file (TOML)")->required();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? 0 : kUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        poppyscale::endpoint_distributor::DistributorProcess program(
            poppyscale::endpoint_distributor::readSettings(path));
        program.run();
    } catch (const std::exception& problem) {
        fmt::print(stderr, "{}\n", problem.what());
        return kCannotStart;
    }
    return 0;
}
