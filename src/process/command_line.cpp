#include "process/command_line.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>

namespace poppyscale::process {
namespace {

using protocol::ParseError;

constexpr const char* kVersion = "poppyscale 0.3";

protocol::StartupConfig readPlatform(const char* path) {
    std::ifstream file(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw ParseError(std::string("can't read the configuration ") + path);
    try {
        return protocol::readStartupConfig(text);
    } catch (const ParseError& problem) {
        throw ParseError(std::string("configuration ") + path + ": " + problem.what());
    }
}

InstanceConfig readAll(const std::string& operatorFile) {
    const char* const path = std::getenv("ROUTER_CONFIG");
    InstanceConfig told;
    told.fromPlatform = path != nullptr;
    if (!path && operatorFile.empty())
        throw ParseError("ROUTER_CONFIG names no configuration, and --operator names no file");
    std::string problems;
    try {
        if (path) told.startup = readPlatform(path);
    } catch (const ParseError& problem) {
        problems = problem.what();
    }
    try {
        if (!operatorFile.empty())
            told.operatorConfig = config::loadOperatorConfig(operatorFile, told.fromPlatform);
    } catch (const ParseError& problem) {
        problems += (problems.empty() ? "" : "\n") + std::string(problem.what());
    }
    if (!problems.empty()) throw ParseError(problems);
    if (told.operatorConfig.startup) told.startup = *told.operatorConfig.startup;
    if (const char* const console = std::getenv("ROUTER_CONSOLE")) told.startup.console = console;
    return told;
}

}  // namespace

int runCommandLine(int argc, char** argv, const MakeDispatcher& makeCore) {
    CLI::App app{"poppyscale: spreads keys over caches before a slow origin"};
    app.set_version_flag("--version", kVersion);
    std::string file;
    bool takeOver = false;
    app.add_option("--operator", file, "the operator's file");
    auto* serve = app.add_subcommand("serve", "serves; also without any word");
    serve->add_option("--operator", file, "the operator's file");
    serve->add_flag("--take-over", takeOver, "takes the sockets over from the process that serves so far");
    auto* check =
        app.add_subcommand("check", "reads everything and prints what is in force, or every problem");
    check->add_option("--operator", file, "the operator's file");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? 0 : 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // Held back until its handler is up: by itself it would end the program, and ignored, a file replaced
    // after it was read would stay unread.
    sigset_t hangUp;
    sigemptyset(&hangUp);
    sigaddset(&hangUp, SIGHUP);
    sigprocmask(SIG_BLOCK, &hangUp, nullptr);
    try {
        if (*check) {
            const InstanceConfig told = readAll(file);
            std::cout << config::describeConfig(told.startup, told.operatorConfig, told.fromPlatform);
            return 0;
        }
        std::vector<std::string> newcomer{argv[0], "serve", "--take-over"};
        // By its path and not by what runs: an upgrade wants the file that is there by then.
        if (!file.empty()) newcomer.insert(newcomer.end(), {"--operator", file});
        const char* const said = std::getenv("ROUTER_PASSED_SOCKET");
        const char* const folder = std::getenv("TMPDIR");
        const int passed = said && !takeOver ? passedListener(said) : -1;
        RouterProcess router({[file] { return readAll(file); }, takeOver, std::move(newcomer), passed,
                              kVersion, folder ? folder : "", makeCore});
        sigprocmask(SIG_UNBLOCK, &hangUp, nullptr);
        return router.run();
    } catch (const std::exception& problem) {
        std::cerr << "poppyscale: " << problem.what() << '\n';
        return 1;
    }
}

}  // namespace poppyscale::process
