#include "testbed/drivers/live/interactive.hpp"

#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdio>
#include <random>
#include <unordered_map>

#include "protocol/resp.hpp"
#include "testbed/drivers/live/live_run.hpp"
#include "testbed/emulator/event_log.hpp"
#include "transport/connection.hpp"

namespace poppyscale::testbed {

void serveInteractive(const Scenario& scenario, const std::string& program) {
    EventLog eventLog;
    std::vector<std::string> names;
    eventLog.onEvent = [&](const LogEvent& event) {
        if (event.kind == EventKind::serverAdded) names.emplace_back(wordAt(event.text, 0));
        const bool isShown = event.kind == EventKind::attemptSent ||
                             event.kind == EventKind::executionStarted ||
                             event.kind == EventKind::attemptEnded;
        if (!isShown) return;
        fmt::print("{:9.3f} s  router {:2}  {:<10} {:<6} {}\n", static_cast<double>(event.at) / 1e9,
                   event.router, names.at(static_cast<std::size_t>(event.server)), nameOf(event.kind),
                   event.text);
        std::fflush(stdout);
    };
    LiveRunOptions options;
    options.program = program;
    options.onRoutersReady = [](const std::string& router) {
        fmt::print(
            "Serving; the first router listens at {}. Try: poppyscale_testbed ask {} get plum\nCtrl-C stops "
            "it.\n",
            router, router);
        std::fflush(stdout);
    };
    runLive(scenario, 1, eventLog, options);
}

std::string sendInteractiveRequest(const std::string& address, const std::vector<std::string>& words,
                                   const std::string& requestClass) {
    const auto to = transport::parseAddress(address);
    if (!to) throw RunError(address + " is not an address and port");
    const bool isWrite = words.size() == 3 && words[0] == "set";
    if (!isWrite && (words.size() != 2 || words[0] != "get"))
        throw RunError("expected `get KEY` or `set KEY VALUE`");
    std::random_device random;
    const std::string id = fmt::format("{:08x}{:08x}", random(), random());
    std::string info = fmt::format("c={},t=none,d=2000",
                                   requestClass.empty() ? (isWrite ? "upload" : "read") : requestClass);
    if (isWrite) info += fmt::format(",k={:08x}{:08x}", random(), random());
    std::vector<std::string_view> command{isWrite ? "OBJ.SET" : "OBJ.GET", words[1], id, info};
    if (isWrite) command.push_back(words[2]);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{5, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    const std::string bytes = protocol::command(command);
    std::string problem = "no answer";
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&*to), sizeof *to) != 0 ||
        ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size()))
        problem = "can't reach " + address;
    protocol::RespDecoder decoder{{}};
    char buffer[4096];
    for (ssize_t got; problem == "no answer" && (got = ::recv(fd, buffer, sizeof buffer, 0)) > 0;) {
        std::string_view part(buffer, static_cast<std::size_t>(got));
        if (decoder.feed(part) != protocol::RespDecoder::State::complete) continue;
        ::close(fd);
        return decoder.takeValue().text;
    }
    ::close(fd);
    throw RunError(problem);
}

}  // namespace poppyscale::testbed
