#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>

#include "program/program.hpp"

namespace {

poppyscale::protocol::Start readConfiguration() {
    using poppyscale::protocol::Malformed;
    const char* const path = std::getenv("ROUTER_CONFIG");
    if (!path) throw Malformed("ROUTER_CONFIG names no configuration");
    std::ifstream file(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw Malformed(std::string("can't read the configuration ") + path);
    try {
        return poppyscale::protocol::readStart(text);
    } catch (const Malformed& problem) {
        throw Malformed(std::string("configuration ") + path + ": " + problem.what());
    }
}

}  // namespace

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    // Held back until its handler is up: by itself it would end the program, and ignored, a file replaced
    // after it was read would stay unread.
    sigset_t hangUp;
    sigemptyset(&hangUp);
    sigaddset(&hangUp, SIGHUP);
    sigprocmask(SIG_BLOCK, &hangUp, nullptr);
    try {
        poppyscale::program::Program program(readConfiguration);
        sigprocmask(SIG_UNBLOCK, &hangUp, nullptr);
        return program.run();
    } catch (const std::exception& problem) {
        std::cerr << "poppyscale: " << problem.what() << '\n';
        return 1;
    }
}
