// The router process: operator's file and socket, reload, hot restart, shutdown, and its
// supervisor.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <array>
#include <atomic>
#include <cstring>
#include <fstream>
#include <set>
#include <thread>
#include <utility>

#include "config/operator_config.hpp"
#include "fixtures.hpp"
#include "process/process_state.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

const std::string kOperatorSocketConfig = "[admin]\nsocket = \"{}/admin.sock\"\n";

// An instance with an operator's socket. Its deployment is described by the platform's
// configuration (first constructor) or by the operator's file (second constructor).
struct RouterInstance {
    explicit RouterInstance(nlohmann::json start = minimalStartConfig())
        : port(reservedPort.port), program(platformConfig(std::move(start)).dump(), kOperatorSocketConfig) {
        waitUntilReady();
    }
    explicit RouterInstance(const std::string& file, const std::string& instanceSettings = "")
        : port(reservedPort.port), program("", operatorFile(file, instanceSettings)) {
        waitUntilReady();
    }

    void waitUntilReady() const {
        for (int tries = 0; tries < 200 && client().send("*1\r\n$4\r\nPING\r\n").readLine() != "+PONG";
             ++tries)
            usleep(20'000);
    }
    nlohmann::json platformConfig(nlohmann::json start) const {
        start["listen"] = "127.0.0.1:" + std::to_string(port);
        start["discovery"] = discovery.address();
        start["known"] = {{"version", 7},
                          {"full", true},
                          {"servers", {entryOf("origin", origin, "origin"), entryOf("c0", cache)}}};
        return start;
    }
    // `instanceSettings` are further lines of the section [instance], `more` follows the servers.
    std::string operatorFile(const std::string& more, const std::string& instanceSettings = "") const {
        return kOperatorSocketConfig +
               "[instance]\nname = \"n0\"\nlisten = \"127.0.0.1:" + std::to_string(port) + "\"\n" +
               instanceSettings + "[[servers]]\nname = \"origin\"\norigin = true\naddress = \"" +
               origin.address() + "\"\n[[servers]]\nname = \"c0\"\naddress = \"" + cache.address() + "\"\n" +
               more;
    }
    Socket client() const { return Socket(port); }

    // One request on the operator's socket, on a connection of its own.
    nlohmann::json request(const nlohmann::json& message) const {
        UnixConnection connection(program.operatorSocketPath());
        connection.send(message);
        return connection.receive();
    }

    struct UnixConnection {
        explicit UnixConnection(const std::string& path)
            : descriptor(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
            sockaddr_un address{};
            address.sun_family = AF_UNIX;
            std::strncpy(address.sun_path, path.c_str(), sizeof address.sun_path - 1);
            isOpen = connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        }
        explicit UnixConnection(int accepted) : descriptor(accepted), isOpen(true) {}
        ~UnixConnection() { close(descriptor); }
        void send(const nlohmann::json& message) const {
            const std::string line = message.dump() + "\n";
            (void)!::send(descriptor, line.data(), line.size(), MSG_NOSIGNAL);
        }
        // Returns a discarded JSON value when the other side has closed or sends nothing in time.
        // Reads single bytes, because a descriptor may follow the line.
        nlohmann::json receive(int timeoutMs = 3 * kWaitTimeoutMs) const {
            std::string line;
            for (char byte = 0; becomesReadable(descriptor, timeoutMs) &&
                                recv(descriptor, &byte, 1, 0) == 1 && byte != '\n';)
                line += byte;
            return nlohmann::json::parse(line, nullptr, false);
        }
        int receiveDescriptor() const {
            char byte = 0;
            iovec data{&byte, 1};
            alignas(cmsghdr) char ancillary[CMSG_SPACE(sizeof(int))] = {};
            msghdr message{};
            message.msg_iov = &data;
            message.msg_iovlen = 1;
            message.msg_control = ancillary;
            message.msg_controllen = sizeof ancillary;
            int received = -1;
            if (becomesReadable(descriptor, kWaitTimeoutMs) && recvmsg(descriptor, &message, 0) == 1 &&
                CMSG_FIRSTHDR(&message))
                std::memcpy(&received, CMSG_DATA(CMSG_FIRSTHDR(&message)), sizeof received);
            return received;
        }
        bool passDescriptor(int socket) const {
            char byte = '+';
            iovec data{&byte, 1};
            alignas(cmsghdr) char ancillary[CMSG_SPACE(sizeof(int))] = {};
            msghdr message{};
            message.msg_iov = &data;
            message.msg_iovlen = 1;
            message.msg_control = ancillary;
            message.msg_controllen = sizeof ancillary;
            cmsghdr* const header = CMSG_FIRSTHDR(&message);
            header->cmsg_level = SOL_SOCKET;
            header->cmsg_type = SCM_RIGHTS;
            header->cmsg_len = CMSG_LEN(sizeof socket);
            std::memcpy(CMSG_DATA(header), &socket, sizeof socket);
            return sendmsg(descriptor, &message, MSG_NOSIGNAL) == 1;
        }
        int descriptor;
        bool isOpen = false;
    };

    TestServer discovery, origin, cache;
    ReservedPort reservedPort;
    std::uint16_t port;
    Program program;
};

const std::string kRequestClasses =
    "[[verbs]]\nname = \"read\"\neffect = \"pure\"\ngoal_ms = 500\nlimit_ms = 2000\n"
    "[[verbs]]\nname = \"pay\"\neffect = \"effectful\"\ngoal_ms = 500\nlimit_ms = 2000\n";

std::string problemsOf(const std::string& text, bool hasPlatformConfig) {
    config::ConfigProblems problems("op.toml");
    config::readOperatorConfig(text, "op.toml", hasPlatformConfig, problems);
    return problems.text();
}

// Whether `condition` becomes true within the timeout; it is evaluated once in each interval.
bool becomesTrue(const std::function<bool()>& condition, int timeoutMs = kWaitTimeoutMs,
                 int intervalMs = 10) {
    for (int tries = 0; tries < timeoutMs / intervalMs; ++tries) {
        if (condition()) return true;
        usleep(static_cast<useconds_t>(intervalMs) * 1'000);
    }
    return false;
}
// Before a rollout the whole program file is read twice, which takes long with sanitizers on a busy
// machine.
constexpr int kRolloutTimeoutMs = 30'000;

}  // namespace

// Guards against a state that can't be reached or left, and against ambiguous or contradictory
// rows.
TEST_CASE("process states: every state is reachable from starting, and every other leads to stopped") {
    using process::ProcessEvent;
    using process::ProcessState;
    std::set<ProcessState> reached{ProcessState::starting};
    for (std::size_t round = 0; round < process::kTransitions.size(); ++round)
        for (const process::Transition& transition : process::kTransitions)
            if (reached.contains(transition.from)) reached.insert(transition.to);
    CHECK(reached.size() == 5);
    std::set<std::pair<ProcessState, ProcessEvent>> rows;
    for (const process::Transition& transition : process::kTransitions) {
        // One row for each pair of state and event.
        CHECK(rows.emplace(transition.from, transition.event).second);
        CHECK(process::nextState(transition.from, transition.event) == transition.to);
        if (transition.from == ProcessState::stopped) CHECK(transition.to == ProcessState::stopped);
    }
    for (const ProcessState state : {ProcessState::serving, ProcessState::lameDuck, ProcessState::draining})
        CHECK(process::nextState(state, ProcessEvent::stopCommanded) == ProcessState::stopped);
    // The first stop request starts the shutdown, a further one stops at once. While the process
    // starts, no client is served, and a stop request has no transition.
    CHECK(process::nextState(ProcessState::serving, ProcessEvent::stopRequested) == ProcessState::lameDuck);
    CHECK(process::nextState(ProcessState::lameDuck, ProcessEvent::stopRepeated) == ProcessState::stopped);
    CHECK(process::nextState(ProcessState::draining, ProcessEvent::stopRepeated) == ProcessState::stopped);
    CHECK(!process::nextState(ProcessState::starting, ProcessEvent::stopRequested));
}

TEST_CASE("all problems of an operator's file are reported, each with its line and key") {
    const std::string text = problemsOf(
        "[instance]\nlisten = \"nowhere\"\n[log]\nlevel = \"loud\"\nshape = 1\n[[verbs]]\nname = \"read\"\n"
        "effect = \"pure\"\ngoal_ms = 500\nlimit_ms = 100\n[[servers]]\nname = \"c0\"\naddress = 7\n"
        "[caches]\nmode = \"round\"\nweights = 7\n",
        false);
    for (const char* line : {"op.toml:1: instance.name: is missing",
                             "op.toml:2: instance.listen: is not an IPv4 address and port",
                             "op.toml:4: log.level: 'loud' is none of debug, info, warning, error, off",
                             "op.toml:5: log.shape: is not a key that is known here",
                             "op.toml:9: verbs[0].goal_ms: is not from 1 to limit_ms",
                             "op.toml:13: servers[0].address: is not a string: found 7",
                             "op.toml:15: caches.mode: 'round' is none of aside, through",
                             "op.toml:16: caches.weights: is not a string: found 7",
                             "servers: exactly one of them must have origin = true"})
        CHECK_MESSAGE(text.find(line) != std::string::npos, line, "\n", text);
    // Settings of the platform's configuration may not be set in the operator's file as well.
    CHECK(problemsOf("[[verbs]]\nname = \"read\"\n", true) ==
          "op.toml:1: verbs: must not be set here: the platform's configuration describes the deployment");
    CHECK(problemsOf("[log]\nform = \"json\"\n[log.parts]\ndecisions = \"debug\"\n", true) == "");
}

TEST_CASE("without discovery the endpoint list comes from the operator's file, and a reload replaces it") {
    RouterInstance router(kRequestClasses);
    Socket client = router.client();
    client.send(get("plum"));
    Socket cache = router.cache.accept();
    CHECK(cache.readCommand().at(1) == "plum");
    cache.send(hit("V"));
    CHECK(client.readResponse() == "V");
    const TestServer other;
    std::string file = router.operatorFile(kRequestClasses);
    file.replace(file.find(router.cache.address()), router.cache.address().size(), other.address());
    router.program.writeOperatorFile(file);
    CHECK(router.request({{"do", "reload"}}).contains("changed"));
    client.send(get("pear"));
    Socket next = const_cast<TestServer&>(other).accept();
    CHECK(next.readCommand().at(1) == "pear");
    next.send(hit("W"));
    CHECK(client.readResponse() == "W");
}

// A reload removes the request class of an open request. If the request then took the settings of
// another class, it could be retried and so executed twice.
TEST_CASE("reload: an open non-idempotent request gets one final response although its class is removed") {
    RouterInstance router;
    Socket client = router.client();
    client.send(set("bill", "c=pay,t=north,d=900"));
    Socket origin = router.origin.accept();
    CHECK(origin.readHead().size() >= 4);
    auto start = router.platformConfig(minimalStartConfig());
    start["settings"]["verbs"].erase(2);
    router.program.writeConfig(start.dump());
    const auto reply = router.request({{"do", "reload"}});
    CHECK(reply.at("changed").dump().find("verb pay is removed") != std::string::npos);
    // The open request keeps the settings by which it was accepted; for a new request the class is
    // unknown.
    const auto open = router.request({{"do", "commands"}});
    CHECK(open.at("commands").at(0).at("verb") == "pay");
    CHECK(open.at("commands").at(0).at("at") == "origin");
    Socket second = router.client();
    second.send(set("bill2", "c=pay,t=north,d=900"));
    CHECK(second.readResponse() == "-ERR unknown request class in item c of the info list");
    origin.reset();  // the request may have been executed: no retry, no rejection
    CHECK(client.readResponse() == "-ERR failed");
    CHECK(client.isQuiet(200));
    CHECK(router.origin.isQuiet(200));
}

// Request classes and tenants swap their names in a reload. Looked up by name afterwards, an open
// request would get the settings of another class or tenant.
TEST_CASE("reload: open requests keep idempotency, timeout and quota when names are reassigned") {
    auto start = minimalStartConfig();
    auto& settings = start["settings"];
    settings["orgs"] = {{{"name", "nord"}, {"quotaPerS", 1000.0}},
                        {{"name", "nord-2"}, {"quotaPerS", 900.0}}};
    RouterInstance router(start);
    Socket client = router.client();
    client.send(set("bill", "c=pay,t=nord,d=2500"));
    Socket origin = router.origin.accept();
    origin.readHead();
    origin.readBytes(1);
    client.send(get("k", "c=read,t=nord,d=2500"));
    Socket read = router.cache.accept();
    read.readCommand();
    auto changedConfig = router.platformConfig(start);
    auto& requestClasses = changedConfig["settings"]["verbs"];
    // The name of the non-idempotent class now names an idempotent one, and the other way round.
    requestClasses[0]["name"] = "pay";
    requestClasses[2]["name"] = "read";
    requestClasses[1]["name"] = "marks";
    for (auto& requestClass : requestClasses)
        requestClass["timeLimitUs"] = 60'000, requestClass["responseGoalUs"] = 20'000;
    std::swap(changedConfig["settings"]["orgs"][0]["quotaPerS"],
              changedConfig["settings"]["orgs"][1]["quotaPerS"]);
    router.program.writeConfig(changedConfig.dump());
    CHECK(router.request({{"do", "reload"}}).contains("changed"));
    // After the new timeouts both are still open: their clients' deadlines and the old timeouts
    // apply.
    usleep(200'000);
    CHECK(router.request({{"do", "commands"}}).at("open") == 2);
    // The write may have been executed: no retry, no rejection. The read is idempotent: it may be retried.
    origin.reset();
    CHECK(client.readResponse() == "-ERR failed");
    CHECK(router.origin.isQuiet(200));
    read.reset();
    CHECK(client.readResponse().starts_with("-BUSY"));
    // New requests use the new names: the class now called "read" is not idempotent and attempted
    // once.
    client.send(get("m", "c=read,t=nord,d=1500"));
    Socket again = router.cache.accept();
    CHECK(again.readCommand().at(1) == "m");
    again.reset();
    CHECK(client.readResponse() == "-ERR failed");
    CHECK(router.cache.isQuiet(200));
    CHECK(client.send(set("x", "c=mark,t=nord,d=900")).readResponse() ==
          "-ERR unknown request class in item c of the info list");
}

// A drain lasts for the longest request timeout. If it were computed from a reloaded configuration
// with short timeouts, it would end before an open request has its response.
TEST_CASE("reload while draining: no configuration, valid or malformed, ends open requests early") {
    for (const int delayMs : {100, 800}) {
        for (const bool isMalformed : {false, true}) {
            RouterInstance router;
            Socket client = router.client();
            client.send(set("bill", "c=pay,t=north,d=2500"));
            Socket origin = router.origin.accept();
            origin.readHead();
            auto changedConfig = router.platformConfig(minimalStartConfig());
            auto& requestClasses = changedConfig["settings"]["verbs"];
            for (auto& requestClass : requestClasses)
                requestClass["timeLimitUs"] = 60'000, requestClass["responseGoalUs"] = 20'000;
            requestClasses[2]["name"] = "was pay";
            router.program.writeConfig(isMalformed ? "{" : changedConfig.dump());
            router.program.signal(SIGTERM);
            REQUIRE(becomesTrue(
                [&] { return router.program.log().find("received a stop request") != std::string::npos; }));
            usleep(static_cast<useconds_t>(delayMs) * 1'000);
            router.program.signal(SIGHUP);
            const std::string expectedLog =
                isMalformed ? "the old configuration stays in effect" : "reloaded the configuration";
            CHECK(becomesTrue([&] { return router.program.log().find(expectedLog) != std::string::npos; }));
            // This pause exceeds the new timeouts, and the duration of a drain based on them.
            usleep(900'000);
            CHECK(client.isQuiet(0));
            origin.send(http(200, "receipt"));
            CHECK(client.readResponse() == "receipt");
            CHECK(router.program.exitCode() == 0);
        }
    }
}

TEST_CASE("reload: two concurrent ones and a malformed one leave one complete configuration in effect") {
    RouterInstance router;
    auto start = router.platformConfig(minimalStartConfig());
    start["settings"]["allowed"]["maxOpen"] = 7;
    router.program.writeConfig(start.dump());
    const RouterInstance::UnixConnection first(router.program.operatorSocketPath()),
        second(router.program.operatorSocketPath());
    first.send({{"do", "reload"}});
    second.send({{"do", "reload"}});
    CHECK(first.receive().at("changed").size() + second.receive().at("changed").size() == 1);
    router.program.writeConfig("{\"name\":");
    CHECK(router.request({{"do", "reload"}}).contains("error"));
    CHECK(router.request({{"do", "status"}}).at("reloads") == 2);
    CHECK(router.request({{"do", "status"}})
              .at("described")
              .get<std::string>()
              .find("open                   7\n") != std::string::npos);
}

TEST_CASE("hot restart: the old process completes open requests, and no connection is refused") {
    RouterInstance router;
    Socket client = router.client();
    client.send(set("bill", "c=pay,t=north,d=900"));
    Socket origin = router.origin.accept();
    origin.readHead();
    const RouterInstance::UnixConnection connection(router.program.operatorSocketPath());
    connection.send({{"do", "upgrade"}});
    const auto reply = connection.receive();
    REQUIRE(reply.contains("taken_over_by"));
    const pid_t newProcess = reply.at("taken_over_by");
    // The new process accepts new connections; the open request stays with the old process.
    Socket second = router.client();
    second.send("*1\r\n$4\r\nPING\r\n");
    CHECK(second.readLine() == "+PONG");
    CHECK(becomesTrue([&] { return router.request({{"do", "status"}}).value("pid", 0) == newProcess; }));
    // A service manager signals all processes. For the old process this is the first stop request,
    // so it drains.
    router.program.signal(SIGTERM);
    CHECK(client.isQuiet(100));
    origin.send(http(200, "receipt"));
    CHECK(client.readResponse() == "receipt");
    CHECK(router.program.exitCode() == 0);
    second.send("*1\r\n$4\r\nPING\r\n");
    CHECK(second.readLine() == "+PONG");
    CHECK(router.request({{"do", "stop"}}).contains("open"));
    CHECK(becomesTrue([&] { return kill(newProcess, 0) != 0; }));
}

TEST_CASE("hot restart: a new process that fails before it is ready does not affect the old one") {
    RouterInstance router;
    const auto serves = [&] {
        Socket client = router.client();
        client.send("*1\r\n$4\r\nPING\r\n");
        return client.readLine() == "+PONG" &&
               router.request({{"do", "status"}}).value("state", "") == "serving";
    };
    CHECK(router.request({{"do", "upgrade"}, {"program", "/bin/false"}}).at("error") ==
          "the new process exited before it was ready");
    CHECK(router.request({{"do", "upgrade"}, {"program", "/nowhere/router"}}).contains("error"));
    CHECK(serves());
    {  // The new process exits after it has received the socket and before it reports that it is ready.
        const RouterInstance::UnixConnection newProcess(router.program.operatorSocketPath());
        newProcess.send({{"do", "take-over"}});
        CHECK(newProcess.receive().contains("described"));
        const int passedSocket = newProcess.receiveDescriptor();
        CHECK(passedSocket >= 0);
        CHECK(router.request({{"do", "take-over"}}).contains("error"));
        CHECK(router.request({{"do", "reload"}}).at("error") == "a hot restart is in progress");
        CHECK(router.request({{"do", "ready"}}).contains("error"));  // reported over another connection
        close(passedSocket);
    }
    CHECK(becomesTrue([&] { return !router.request({{"do", "status"}}).at("upgrading").get<bool>(); }));
    CHECK(serves());
    // A new process whose configuration differs from that of the old process fails.
    auto start = router.platformConfig(minimalStartConfig());
    start["settings"]["allowed"]["maxOpen"] = 9;
    router.program.writeConfig(start.dump());
    CHECK(router.request({{"do", "upgrade"}}).at("error").get<std::string>().find("reload it first") !=
          std::string::npos);
    CHECK(serves());
}

// If the new process became ready after the stop request, it would serve although the instance is
// to stop.
TEST_CASE("hot restart: a stop request meanwhile drains the old process, and the new one never serves") {
    for (const bool isSpawned : {false, true}) {
        RouterInstance router;
        Socket client = router.client();
        client.send(set("bill", "c=pay,t=north,d=1500"));
        Socket origin = router.origin.accept();
        origin.readHead();
        const RouterInstance::UnixConnection newProcess(router.program.operatorSocketPath());
        int passedSocket = -1;
        pid_t newProcessId = 0;
        if (isSpawned) {
            const std::string script = router.program.folder() + "/slow";
            std::ofstream(script) << "#!/bin/sh\necho $$ > \"$0.pid\"\nexec sleep 60\n";
            chmod(script.c_str(), 0755);
            newProcess.send({{"do", "upgrade"}, {"program", script}});
            REQUIRE(becomesTrue(
                [&] { return (std::ifstream(script + ".pid") >> newProcessId) && newProcessId > 0; }));
        } else {
            newProcess.send({{"do", "take-over"}});
            REQUIRE(newProcess.receive().contains("described"));
            passedSocket = newProcess.receiveDescriptor();
            REQUIRE(passedSocket >= 0);
        }
        router.program.signal(SIGTERM);
        REQUIRE(becomesTrue(
            [&] { return router.program.log().find("received a stop request") != std::string::npos; }));
        if (!isSpawned) newProcess.send({{"do", "ready"}, {"pid", 1}});
        CHECK(newProcess.receive().contains("error"));
        if (isSpawned) CHECK(becomesTrue([&] { return kill(newProcessId, 0) != 0; }));
        // In the lame-duck state new connections are served and open requests are completed.
        CHECK(router.client().send(array({"PING"})).readLine() == "+PONG");
        origin.send(http(200, "receipt"));
        CHECK(client.readResponse() == "receipt");
        CHECK(router.program.exitCode() == 0);
        if (!isSpawned) close(passedSocket);
        CHECK_FALSE(router.client().isOpen());
    }
}

// The suspended old process reads the ready request of a process that no longer runs. If it stopped
// accepting, no process would serve.
TEST_CASE("hot restart: a new process that exits while the old one is suspended does not replace it") {
    RouterInstance router;
    {
        const RouterInstance::UnixConnection newProcess(router.program.operatorSocketPath());
        newProcess.send({{"do", "take-over"}});
        CHECK(newProcess.receive().contains("described"));
        const int passedSocket = newProcess.receiveDescriptor();
        CHECK(passedSocket >= 0);
        router.program.signal(SIGSTOP);
        newProcess.send({{"do", "ready"}, {"pid", 1}});
        close(passedSocket);
    }
    router.program.signal(SIGCONT);
    CHECK(becomesTrue([&] { return !router.request({{"do", "status"}}).at("upgrading").get<bool>(); }));
    CHECK(router.request({{"do", "status"}}).at("state") == "serving");
    CHECK(router.client().send(array({"PING"})).readLine() == "+PONG");
}

// The old process does not reply to the ready request in time. The new process must neither serve
// beside an old one that still accepts, nor exit when the old one has stopped accepting.
TEST_CASE(
    "hot restart: without a reply the new process shuts down its sending side, and serves if a reply "
    "follows") {
    RouterInstance router;
    std::string described;
    int passedSocket = -1;
    {
        const RouterInstance::UnixConnection connection(router.program.operatorSocketPath());
        connection.send({{"do", "take-over"}});
        described = connection.receive().at("described");
        passedSocket = connection.receiveDescriptor();
    }
    router.program.signal(SIGKILL);
    router.program.exitCode();
    // From now on the test acts as the old process.
    unlink(router.program.operatorSocketPath().c_str());
    const int oldProcessSocket = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    std::strncpy(address.sun_path, router.program.operatorSocketPath().c_str(), sizeof address.sun_path - 1);
    REQUIRE(bind(oldProcessSocket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(listen(oldProcessSocket, 4) == 0);
    const std::string file = router.program.folder() + "/operator.toml";
    const pid_t newProcess = fork();
    if (newProcess == 0) {
        if (!freopen((router.program.folder() + "/log").c_str(), "w", stderr)) _exit(126);
        execl(POPPYSCALE_PROGRAM, "poppyscale", "serve", "--take-over", "--operator", file.c_str(), nullptr);
        _exit(127);
    }
    REQUIRE(becomesReadable(oldProcessSocket, kWaitTimeoutMs));
    const RouterInstance::UnixConnection connectionToNewProcess(accept(oldProcessSocket, nullptr, nullptr));
    close(oldProcessSocket);
    CHECK(connectionToNewProcess.receive().at("do") == "take-over");
    connectionToNewProcess.send({{"described", described}, {"console", false}});
    CHECK(connectionToNewProcess.passDescriptor(passedSocket));
    close(passedSocket);
    CHECK(connectionToNewProcess.receive().at("do") == "ready");
    // The new process waits for the reply and then shuts down its sending side. Only from then on
    // is a missing reply final.
    CHECK(connectionToNewProcess.receive(2 * kWaitTimeoutMs).is_discarded());
    CHECK(router.client().isOpen());
    CHECK(router.client().isQuiet(200));
    connectionToNewProcess.send({{"ok", true}});
    CHECK(becomesTrue([&] { return router.request({{"do", "status"}}).is_object(); }));
    CHECK(router.client().send(array({"PING"})).readLine() == "+PONG");
    kill(newProcess, SIGTERM);
    int status = 0;
    waitpid(newProcess, &status, 0);
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
}

TEST_CASE("hot restart: a new process that is never ready is killed, and the old one continues to serve") {
    RouterInstance router;
    const std::string script = router.program.folder() + "/hangs";
    std::ofstream(script) << "#!/bin/sh\nexec sleep 60\n";
    chmod(script.c_str(), 0755);
    const auto reply = router.request({{"do", "upgrade"}, {"program", script}});
    CHECK(reply.at("error") == "the new process was not ready in time");
    CHECK(router.request({{"do", "status"}}).at("state") == "serving");
}

TEST_CASE("the operator's socket is accessible to its owner only, and replaced at the start after a crash") {
    RouterInstance router;
    struct stat status {};
    REQUIRE(stat(router.program.operatorSocketPath().c_str(), &status) == 0);
    CHECK((status.st_mode & 0777) == 0600);
    router.program.signal(SIGKILL);
    CHECK(router.program.exitCode() == -SIGKILL);
    CHECK(stat(router.program.operatorSocketPath().c_str(), &status) == 0);
    router.program.start(true);
    router.waitUntilReady();
    CHECK(router.request({{"do", "status"}}).at("state") == "serving");
    router.program.signal(SIGTERM);
    CHECK(router.program.exitCode() == 0);
    CHECK(stat(router.program.operatorSocketPath().c_str(), &status) != 0);
}

TEST_CASE(
    "the operator's socket answers malformed requests, and closes only a connection that sends too long a "
    "line") {
    RouterInstance router;
    CHECK(router.request(nlohmann::json::array()).contains("error"));
    CHECK(router.request({{"do", "dance"}}).at("error") == "unknown request 'dance'");
    CHECK(router.request({{"do", 7}}).contains("error"));
    const RouterInstance::UnixConnection longLineSender(router.program.operatorSocketPath());
    const std::string longLine(200'000, 'x');
    (void)!send(longLineSender.descriptor, longLine.data(), longLine.size(), MSG_NOSIGNAL);
    CHECK(router.request({{"do", "status"}}).at("state") == "serving");
    std::vector<std::unique_ptr<RouterInstance::UnixConnection>> connections;
    for (int i = 0; i < 20; ++i)
        connections.push_back(
            std::make_unique<RouterInstance::UnixConnection>(router.program.operatorSocketPath()));
    connections.clear();
    CHECK(becomesTrue([&] { return router.request({{"do", "status"}}).is_object(); }));
}

TEST_CASE("a second stop signal fails open requests at once and logs their number by request class") {
    RouterInstance router;
    Socket client = router.client();
    client.send(set("bill", "c=pay,t=north,d=900"));
    Socket origin = router.origin.accept();
    origin.readHead();
    router.program.signal(SIGTERM);
    CHECK(becomesTrue(
        [&] { return router.program.log().find("received a stop request") != std::string::npos; }));
    router.program.signal(SIGTERM);
    CHECK(router.program.exitCode() == 0);
    CHECK(router.program.log().find("1 pay failed unanswered") != std::string::npos);
    CHECK(client.readResponse() == "-ERR failed");  // the request may have been executed
}

// Discovery accepts polls and does not answer some of them. A router that continued to wait for them
// would send requests to a cache server that drains.
TEST_CASE(
    "an unanswered endpoint poll is repeated before the router counts as notified; the status shows it") {
    auto start = minimalStartConfig();
    start["settings"]["rules"]["askWithinUs"] = 2'000'000;
    RouterInstance router(start);
    const auto lastFailure = [&] {
        return router.request({{"do", "status"}}).at("list").at("trouble").get<std::string>();
    };
    const auto list = [&](int version, bool full, const char* state) {
        return http(200, nlohmann::json{{"version", version},
                                        {"full", full},
                                        {"servers", {entryOf("c0", router.cache, "m", state)}}}
                             .dump());
    };
    const auto pollWaitMs = [](const std::string& request) {
        return std::stoi(request.substr(request.find("wait_ms=") + 8));
    };
    // The first poll and the poll after the first response are not answered. A router counts as
    // notified of a change two seconds (askWithinUs) after the wait of a poll that missed the change.
    std::vector<int> pollWaitsMs;
    Socket unanswered = router.discovery.accept();
    for (int version : {8, 9}) {
        const auto startedAt = std::chrono::steady_clock::now();
        pollWaitsMs.push_back(pollWaitMs(unanswered.readHead().at(0)));
        CHECK(pollWaitsMs.back() >= 1'000);
        CHECK(pollWaitsMs.back() <= 2'000);
        Socket fresh = router.discovery.accept();
        CHECK(std::chrono::steady_clock::now() - startedAt <
              std::chrono::milliseconds(pollWaitsMs.back() + 1'200));
        CHECK(fresh.readHead().at(0).find("?after=" + std::to_string(version - 1) + "&") !=
              std::string::npos);
        CHECK(lastFailure() == "no response in time");
        CHECK(unanswered.isQuiet(0));  // the earlier poll may still be answered until the newer one is
        fresh.send(list(version, false, version == 8 ? "Ready" : "Terminating"));
        CHECK(unanswered.isClosedByPeer());
        unanswered = std::move(fresh);
    }
    CHECK(unanswered.readHead().at(0).find("?after=9&") != std::string::npos);
    CHECK(lastFailure().empty());
    Socket client = router.client();
    client.send(get("k"));
    CHECK(router.cache.isQuiet(200));
    // A late second response with an earlier version is not applied; the complete list is polled
    // instead.
    unanswered.send(list(8, true, "Ready"));
    Socket fresh = router.discovery.accept();
    CHECK(fresh.readHead().at(0) == "GET /api/targets HTTP/1.1");
    CHECK(lastFailure() == "version 8 is older than the known version 9");
    client.send(get("m"));
    CHECK(router.cache.isQuiet(200));
    // After a malformed response the complete list is polled, because the same version would have
    // the same content. A response that makes no progress times out.
    fresh.send(http(200, "{\"version\":10,\"full\":true,\"servers\":[{\"id\":7}]}"));
    fresh = router.discovery.accept();
    CHECK(fresh.readHead().at(0) == "GET /api/targets HTTP/1.1");
    CHECK(fresh.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{").isClosedByPeer());
    CHECK(lastFailure() == "response not complete in time");
    // A complete list is applied whatever its version.
    fresh = router.discovery.accept();
    fresh.readHead();
    fresh.send(list(3, true, "Ready"));
    CHECK(fresh.readHead().at(0).find("?after=3&") != std::string::npos);
    CHECK(lastFailure().empty());
    client.send(get("n"));
    CHECK_FALSE(router.cache.isQuiet(kWaitTimeoutMs));
    CHECK(router.program.log().find("endpoint list available again from discovery") != std::string::npos);
}

TEST_CASE("the operator's socket reports each cache, and logs can be JSON with a level for each part") {
    RouterInstance router;
    Socket client = router.client();
    client.send(get("plum"));
    Socket cache = router.cache.accept();
    cache.readCommand();
    const auto out = router.request({{"do", "caches"}}).at("caches").at(0);
    CHECK(out.at("name") == "c0");
    CHECK(out.at("out") == 1);
    cache.send(hit("V"));
    CHECK(client.readResponse() == "V");
    CHECK(router.request({{"do", "caches"}}).at("caches").at(0).at("hints") == 1);
    router.program.writeOperatorFile(
        kOperatorSocketConfig +
        "[log]\nform = \"json\"\nlevel = \"info\"\n[log.parts]\ndiscovery = \"off\"\n");
    router.request({{"do", "reload"}});
    router.request({{"do", "reload"}});
    const std::string log = router.program.log();
    const std::string last = log.substr(log.rfind('\n', log.size() - 2) + 1);
    CHECK(nlohmann::json::parse(last).at("part") == "life");
}

namespace {

// A supervisor with three instances on consecutive ports.
struct SupervisedFleet {
    SupervisedFleet() {
        char name[] = "/tmp/poppyscale-fleet-XXXXXX";
        folder = mkdtemp(name);
        firstPort = findThreeFreePorts();
        std::ofstream(folder + "/form.toml")
            << "[admin]\nsocket = \"{socket}\"\n[instance]\nname = \"{name}\"\nlisten = \"{listen}\"\n" +
                   kRequestClasses + "[[servers]]\nname = \"origin\"\norigin = true\naddress = \"" +
                   origin.address() + "\"\n[[servers]]\nname = \"c0\"\naddress = \"" + cache.address() +
                   "\"\n";
        std::ofstream(folder + "/fleet.toml")
            << "program = \"" POPPYSCALE_PROGRAM "\"\ncount = 3\nfolder = \"" + folder +
                   "\"\nfirst_port = " + std::to_string(firstPort) + "\noperator = \"" + folder +
                   "/form.toml\"\nwatch_ms = 100\npause_ms = 100\n";
        start();
    }
    ~SupervisedFleet() {
        stopSupervisor(SIGTERM);
        for (int i = 0; i < 3; ++i)
            if (const pid_t left = pidOf(i)) kill(left, SIGKILL);
        std::filesystem::remove_all(folder);
    }
    static int findThreeFreePorts() {
        for (int tries = 0;; ++tries) {
            const TestServer first;
            sockaddr_in secondAddress = loopbackAddress(static_cast<std::uint16_t>(first.port + 1));
            sockaddr_in thirdAddress = loopbackAddress(static_cast<std::uint16_t>(first.port + 2));
            const int secondSocket = socket(AF_INET, SOCK_STREAM, 0),
                      thirdSocket = socket(AF_INET, SOCK_STREAM, 0);
            const bool areFree =
                bind(secondSocket, reinterpret_cast<sockaddr*>(&secondAddress), sizeof secondAddress) == 0 &&
                bind(thirdSocket, reinterpret_cast<sockaddr*>(&thirdAddress), sizeof thirdAddress) == 0;
            close(secondSocket);
            close(thirdSocket);
            if (areFree || tries > 50) return first.port;
        }
    }
    void start() {
        supervisorPid = fork();
        if (supervisorPid > 0) return;
        unsetenv("ROUTER_CONFIG");
        if (!freopen((folder + "/keeper.log").c_str(), "a", stderr)) _exit(126);
        execl(POPPYCTL, "poppyctl", "fleet", (folder + "/fleet.toml").c_str(), nullptr);
        _exit(127);
    }
    int stopSupervisor(int signal) {
        if (supervisorPid <= 0) return -1;
        kill(supervisorPid, signal);
        int status = 0;
        waitpid(std::exchange(supervisorPid, -1), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    nlohmann::json status(int i) const {
        const RouterInstance::UnixConnection connection(folder + "/r" + std::to_string(i) + ".sock");
        if (!connection.isOpen) return nullptr;
        connection.send({{"do", "status"}});
        return connection.receive(2'000);
    }
    pid_t pidOf(int i) const {
        const auto reply = status(i);
        return reply.is_object() ? reply.value("pid", 0) : 0;
    }
    bool isServing(int i) const {
        const auto reply = status(i);
        return reply.is_object() && reply.value("state", "") == "serving";
    }
    std::string log() const {
        std::ifstream file(folder + "/keeper.log");
        return {std::istreambuf_iterator<char>(file), {}};
    }
    bool hasLogged(const std::string& text) const { return log().find(text) != std::string::npos; }
    TestServer origin, cache;
    std::string folder;
    int firstPort = 0;
    pid_t supervisorPid = -1;
};

}  // namespace

TEST_CASE(
    "supervisor: restarts exited instances, finds running ones, rolls out hot restarts, and stops all") {
    SupervisedFleet fleet;
    CAPTURE(fleet.log());
    REQUIRE(becomesTrue([&] { return fleet.isServing(0) && fleet.isServing(1) && fleet.isServing(2); }));
    const pid_t oldProcess = fleet.pidOf(0);
    kill(oldProcess, SIGKILL);
    CHECK(becomesTrue([&] { return fleet.isServing(0) && fleet.pidOf(0) != oldProcess; }));
    CHECK(becomesTrue([&] { return fleet.hasLogged("instance 0 exited unexpectedly"); }));
    // When the supervisor is killed, its instances continue to run. The next supervisor finds them
    // and starts none a second time.
    const pid_t pidsBefore[] = {fleet.pidOf(0), fleet.pidOf(1), fleet.pidOf(2)};
    fleet.stopSupervisor(SIGKILL);
    fleet.start();
    CHECK(
        becomesTrue([&] { return fleet.hasLogged("found r2 as process " + std::to_string(pidsBefore[2])); }));
    for (int i = 0; i < 3; ++i) CHECK(fleet.pidOf(i) == pidsBefore[i]);
    // The signal is repeated until all instances are ready for the rolling operation to start; it
    // has no effect on a rolling operation in progress.
    CHECK(becomesTrue(
        [&] {
            if (!fleet.hasLogged("rolling upgrade started")) kill(fleet.supervisorPid, SIGUSR2);
            return fleet.hasLogged("rolling upgrade completed");
        },
        kRolloutTimeoutMs, 500));
    for (int i = 0; i < 3; ++i) CHECK(fleet.pidOf(i) != pidsBefore[i]);
    // An instance that exits after its hot restart is restarted, although its process was never a
    // child of the supervisor.
    const pid_t newProcess = fleet.pidOf(1);
    kill(newProcess, SIGKILL);
    CHECK(becomesTrue([&] { return fleet.isServing(1) && fleet.pidOf(1) != newProcess; }));
    const pid_t pidsAtStop[] = {fleet.pidOf(0), fleet.pidOf(1), fleet.pidOf(2)};
    CHECK(fleet.stopSupervisor(SIGTERM) == 0);
    // All have exited by then. Processes whose parent exited before them are reaped by the system,
    // which may take a moment.
    for (const pid_t process : pidsAtStop) CHECK(becomesTrue([&] { return kill(process, 0) != 0; }));
}

TEST_CASE("an invalid fleet description is rejected with the line and key of each problem") {
    const SupervisedFleet fleet;
    std::ofstream(fleet.folder + "/bad.toml")
        << "count = 3\nbatch = 3\nfolder = \"here\"\nfirst_port = 65535\n"
           "program = \"/bin/true\"\noperator = \"/nowhere\"\nspeed = 1\n";
    FILE* const pipe = popen((POPPYCTL " fleet " + fleet.folder + "/bad.toml 2>&1").c_str(), "r");
    std::string text(8'192, '\0');
    text.resize(std::fread(text.data(), 1, text.size(), pipe));
    CHECK(WEXITSTATUS(pclose(pipe)) == 2);
    for (const char* line :
         {":2: batch: is not less than count", ":3: folder: is not an absolute path",
          ":4: first_port: leaves no port", ":6: operator: names a file", ":7: speed: is not a key"})
        CHECK_MESSAGE(text.find(line) != std::string::npos, text);
}

TEST_CASE(
    "supervisor: a new process killed while the old one drains is replaced, and open requests are "
    "completed") {
    SupervisedFleet fleet;
    CAPTURE(fleet.log());
    REQUIRE(becomesTrue([&] { return fleet.isServing(0) && fleet.isServing(1) && fleet.isServing(2); }));
    REQUIRE(becomesTrue([&] { return fleet.hasLogged("all instances are ready"); }));
    const pid_t oldProcess = fleet.pidOf(0);
    Socket client(static_cast<std::uint16_t>(fleet.firstPort));
    client.send(set("bill", "c=pay,t=north,d=1900"));
    Socket origin = fleet.origin.accept();
    CHECK(origin.readHead().size() >= 4);
    REQUIRE(becomesTrue(
        [&] {
            if (!fleet.hasLogged("rolling upgrade started")) kill(fleet.supervisorPid, SIGUSR2);
            const pid_t currentPid = fleet.pidOf(0);
            return currentPid > 0 && currentPid != oldProcess;
        },
        kRolloutTimeoutMs, 100));
    const pid_t newProcess = fleet.pidOf(0);
    kill(newProcess, SIGKILL);
    origin.send(http(200, "receipt"));
    // On a slow machine the request may have timed out by then. It gets one final response in
    // either case.
    const std::string response = client.readResponse();
    CHECK((response == "receipt" || response == "-ERR failed"));
    CHECK(becomesTrue(
        [&] { return fleet.isServing(0) && fleet.pidOf(0) != newProcess && fleet.pidOf(0) != oldProcess; }));
    CHECK(becomesTrue([&] { return fleet.hasLogged("instance 0 exited after its upgrade"); }));
    for (int i = 1; i < 3; ++i) CHECK(fleet.isServing(i));  // no other instance was replaced
}

// An old process can exit after the new one is ready and before it has reported this to the
// supervisor. Starting another process for this instance would then replace a serving process.
TEST_CASE("supervisor: a serving process that it does not know of is adopted, and no other is started") {
    SupervisedFleet fleet;
    CAPTURE(fleet.log());
    REQUIRE(becomesTrue([&] { return fleet.hasLogged("all instances are ready"); }));
    const pid_t oldProcess = fleet.pidOf(0);
    // The supervisor is suspended while the old process is killed and another one is started in its
    // place.
    kill(fleet.supervisorPid, SIGSTOP);
    kill(oldProcess, SIGKILL);
    REQUIRE(becomesTrue([&] { return !fleet.isServing(0); }));
    const std::string file = fleet.folder + "/r0.toml";
    const pid_t newProcess = fork();
    if (newProcess == 0) {
        unsetenv("ROUTER_CONFIG");
        execl(POPPYSCALE_PROGRAM, "poppyscale", "serve", "--operator", file.c_str(), nullptr);
        _exit(127);
    }
    REQUIRE(becomesTrue([&] { return fleet.isServing(0); }));
    kill(fleet.supervisorPid, SIGCONT);
    CHECK(becomesTrue([&] { return fleet.hasLogged("found r0 as process " + std::to_string(newProcess)); }));
    usleep(300'000);
    CHECK(fleet.pidOf(0) == newProcess);
    kill(newProcess, SIGKILL);
    waitpid(newProcess, nullptr, 0);
    CHECK(becomesTrue([&] { return fleet.isServing(0) && fleet.pidOf(0) != newProcess; }));
}

// All clients connect while the process is suspended and a stop signal is pending. With 256 sockets
// the descriptors do not suffice for all of them.
TEST_CASE("drain: each of 400 connections in the backlog gets a final response or is closed at once") {
    for (const int sockets : {2048, 256}) {
        auto start = minimalStartConfig();
        start["limits"]["sockets"] = sockets;
        RouterInstance router(start);
        router.program.signal(SIGSTOP);
        std::vector<Socket> clients;
        for (int i = 0; i < 400; ++i) {
            clients.push_back(router.client());
            clients.back().send(get("k" + std::to_string(i), "c=read,t=north,d=700"));
        }
        router.program.signal(SIGTERM);
        router.program.signal(SIGCONT);
        int answered = 0, closed = 0;
        for (Socket& client : clients) {
            const std::string response = client.readLine();
            if (response.starts_with("-BUSY") || response.starts_with("-ERR")) ++answered;
            if (response.empty() && client.isClosedByPeer()) ++closed;
        }
        CHECK(answered + closed == 400);
        if (sockets == 2048) CHECK(answered == 400);
        CHECK(answered >= 100);
        CHECK(router.program.exitCode() == 0);
    }
}

// Without a free descriptor the old process can't accept the connection of the new one. The hot
// restart must fail without effect on clients, and a later one must succeed.
TEST_CASE("hot restart: fails while the old process has no free descriptor, and succeeds afterwards") {
    // The router has no discovery, as a poll could time out while no descriptor is free: UBSan needs
    // free descriptors (a pipe) to read a vtable, and without them reports a valid object as an invalid
    // vptr.
    RouterInstance router(kRequestClasses, "descriptors = 256\n");
    Socket client = router.client();
    CHECK(client.send(array({"PING"})).readLine() == "+PONG");
    // Connected before the descriptors run out.
    const RouterInstance::UnixConnection connection(router.program.operatorSocketPath());
    connection.send({{"do", "status"}});
    CHECK(connection.receive().is_object());
    rlim_t lowestFree = 0;  // the lowest free descriptor number: as a limit it leaves none free
    while (std::filesystem::exists(std::filesystem::symlink_status(
        "/proc/" + std::to_string(router.program.pid()) + "/fd/" + std::to_string(lowestFree))))
        ++lowestFree;
    rlimit original{}, lowered{};
    REQUIRE(prlimit(router.program.pid(), RLIMIT_NOFILE, nullptr, &original) == 0);
    lowered = {lowestFree, original.rlim_max};
    REQUIRE(prlimit(router.program.pid(), RLIMIT_NOFILE, &lowered, nullptr) == 0);
    // The old process can't accept the new process's connection.
    connection.send({{"do", "upgrade"}});
    const auto failed = connection.receive();
    CHECK_MESSAGE(failed.contains("error"), (failed.dump() + router.program.log()));
    CHECK(client.send(array({"PING"})).readLine() == "+PONG");
    REQUIRE(prlimit(router.program.pid(), RLIMIT_NOFILE, &original, nullptr) == 0);
    CHECK(becomesTrue([&] { return router.request({{"do", "status"}}).value("state", "") == "serving"; }));
    // Clients that use up the limit of client connections leave enough descriptors for a hot
    // restart.
    std::vector<Socket> clients;
    for (int i = 0; i < 300; ++i) {
        clients.push_back(router.client());
        clients.back().send(array({"PING"}));
    }
    const auto reply = router.request({{"do", "upgrade"}});
    REQUIRE_MESSAGE(reply.contains("taken_over_by"), reply.dump());
    const pid_t newProcess = reply.at("taken_over_by");
    CHECK(becomesTrue([&] { return router.request({{"do", "status"}}).value("pid", 0) == newProcess; }));
    CHECK(router.program.exitCode() == 0);
    kill(newProcess, SIGKILL);
}

TEST_CASE("reload: a list of 2,000 caches under load loses no request and blocks the loop for under 1.5 s") {
    TestServer cacheServers(true);
    const auto listOf = [&](int count, int from) {
        std::string servers;
        for (int i = 0; i < count; ++i)
            servers += "[[servers]]\nname = \"s" + std::to_string(from + i) + "\"\naddress = \"127.0." +
                       std::to_string(1 + i / 250) + "." + std::to_string(1 + i % 250) + ":" +
                       std::to_string(cacheServers.port) + "\"\n";
        return servers;
    };
    RouterInstance router(kRequestClasses);
    std::atomic<bool> isOver = false;
    std::jthread cacheThread([&] {
        std::vector<Socket> connections;
        while (!isOver) {
            usleep(500);
            while (!cacheServers.isQuiet(0)) connections.push_back(cacheServers.accept());
            while (!router.cache.isQuiet(0)) connections.push_back(router.cache.accept());
            for (Socket& connection : connections)
                while (!connection.isQuiet(0)) {
                    const auto command = connection.readCommand();
                    if (command.size() < 3) break;
                    connection.send(hit(command[2]));
                }
            std::erase_if(connections, [](Socket& connection) {
                return !connection.isQuiet(0) && connection.unreadBytes() == 0;
            });
        }
    });
    std::atomic<int> answered = 0, rejected = 0, unexpected = 0;
    std::jthread loadThread([&] {
        Socket client = router.client();
        for (int i = 0; !isOver; ++i, usleep(1'000)) {
            const std::string key = "k" + std::to_string(i);
            const std::string response = client.send(get(key)).readResponse();
            // On a busy machine the caches of this test may respond too late; the request is then
            // rejected.
            if (response == "9b1f-" + key)
                ++answered;
            else if (response.starts_with("-BUSY"))
                ++rejected;
            else
                ++unexpected;
        }
    });
    for (int round = 0; round < 2; ++round) {
        router.program.writeOperatorFile(router.operatorFile(kRequestClasses) + listOf(2'000, 1'000 * round));
        const auto reply = router.request({{"do", "reload"}});
        CHECK_MESSAGE(reply.contains("changed"), reply.dump());
        usleep(300'000);
    }
    const auto metrics = router.request({{"do", "figures"}});
    isOver = true;
    loadThread.join();
    CHECK(metrics.at("caches_listed").get<int>() >= 2'001);
    CHECK(unexpected == 0);
    CHECK(answered > 100);
    CHECK(rejected < answered / 10);
    MESSAGE(answered.load(), " answered, longest iteration ", metrics.at("longest_turn_us").get<int>() / 1000,
            " ms");
    CHECK(metrics.at("longest_turn_us").get<int>() < 1'500'000);  // holds with sanitizers, too
}
