#include "process/command_line.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "process/hot_restart/passed_socket.hpp"

namespace poppyscale::process {
namespace {

constexpr const char* kVersion = "poppyscale 0.3";

// Blocks a signal until `release` is called.
class BlockedSignal {
  public:
    explicit BlockedSignal(int number) {
        sigemptyset(&signals_);
        sigaddset(&signals_, number);
        sigprocmask(SIG_BLOCK, &signals_, nullptr);
    }
    void release() const { sigprocmask(SIG_UNBLOCK, &signals_, nullptr); }

  private:
    sigset_t signals_{};
};

int checkConfig(const std::string& operatorFile) {
    const InstanceConfig config = readInstanceConfig(operatorFile);
    std::cout << config::describeConfig(config.startup, config.operatorConfig, config.fromPlatform);
    return 0;
}

ProcessOptions readProcessOptions(const char* program, const std::string& operatorFile, bool isHotRestart,
                                  const MakeDispatcher& makeDispatcher) {
    ProcessOptions options;
    options.readConfig = [operatorFile] { return readInstanceConfig(operatorFile); };
    options.isHotRestart = isHotRestart;
    // The path of the program and not the running image: a hot restart runs the file that is at
    // this path by then.
    options.newProcessCommand = {program, "serve", "--take-over"};
    if (!operatorFile.empty())
        options.newProcessCommand.insert(options.newProcessCommand.end(), {"--operator", operatorFile});
    const char* const passedSocket = std::getenv("ROUTER_PASSED_SOCKET");
    if (passedSocket && !isHotRestart) options.passedListener = takePassedSocket(passedSocket);
    options.version = kVersion;
    const char* const folder = std::getenv("TMPDIR");
    options.stateFolder = folder ? folder : "";
    options.makeDispatcher = makeDispatcher;
    return options;
}

}  // namespace

int runCommandLine(int argc, char** argv, const MakeDispatcher& makeDispatcher) {
    CLI::App app{"poppyscale: spreads keys over cache servers in front of a slow origin"};
    app.set_version_flag("--version", kVersion);
    std::string operatorFile;
    bool isHotRestart = false;
    app.add_option("--operator", operatorFile, "the operator's file");
    auto* serve = app.add_subcommand("serve", "serves clients; the default without a sub-command");
    serve->add_option("--operator", operatorFile, "the operator's file");
    serve->add_flag("--take-over", isHotRestart,
                    "takes over the listening sockets of the running process (hot restart)");
    auto* check = app.add_subcommand(
        "check", "reads the configuration and prints the resulting settings, or every problem");
    check->add_option("--operator", operatorFile, "the operator's file");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? 0 : 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // SIGHUP is blocked until its handler is installed. Its default action would terminate the
    // program; if it were ignored, a configuration file replaced after it was read would not be
    // read again.
    const BlockedSignal hangUp(SIGHUP);
    try {
        if (*check) return checkConfig(operatorFile);
        RouterProcess router(readProcessOptions(argv[0], operatorFile, isHotRestart, makeDispatcher));
        hangUp.release();
        return router.run();
    } catch (const std::exception& problem) {
        std::cerr << "poppyscale: " << problem.what() << '\n';
        return 1;
    }
}

}  // namespace poppyscale::process
