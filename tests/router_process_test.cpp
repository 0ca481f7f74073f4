// The program as a daemon: the operator's file and socket, reloads, hot restart, shutdown.
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

// An instance with an operator's socket beside the platform's configuration, or without that.
struct RouterInstance {
    explicit RouterInstance(nlohmann::json start = smallStart())
        : port(place.port), program(platformConfig(std::move(start)).dump(), kOperatorSocketConfig) {
        waitUntilReady();
    }
    explicit RouterInstance(const std::string& file) : port(place.port), program("", operatorFile(file)) {
        waitUntilReady();
    }

    void waitUntilReady() const {
        for (int tries = 0; tries < 200 && client().say("*1\r\n$4\r\nPING\r\n").line() != "+PONG"; ++tries)
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
    std::string operatorFile(const std::string& more) const {
        return kOperatorSocketConfig +
               "[instance]\nname = \"n0\"\nlisten = \"127.0.0.1:" + std::to_string(port) +
               "\"\n[[servers]]\nname = \"origin\"\norigin = true\naddress = \"" + origin.address() +
               "\"\n[[servers]]\nname = \"c0\"\naddress = \"" + cache.address() + "\"\n" + more;
    }
    Socket client() const { return Socket(port); }

    // One request on the operator's socket, on a connection of its own.
    nlohmann::json request(const nlohmann::json& message) const {
        UnixConnection connection(program.door());
        connection.send(message);
        return connection.receive();
    }

    struct UnixConnection {
        explicit UnixConnection(const std::string& path)
            : fd(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
            sockaddr_un at{};
            at.sun_family = AF_UNIX;
            std::strncpy(at.sun_path, path.c_str(), sizeof at.sun_path - 1);
            open = connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
        }
        explicit UnixConnection(int accepted) : fd(accepted), open(true) {}
        ~UnixConnection() { close(fd); }
        void send(const nlohmann::json& message) const {
            const std::string text = message.dump() + "\n";
            (void)!::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        }
        // Null when the other side has gone. By single bytes, as a descriptor may follow.
        nlohmann::json receive(int timeoutMs = 3 * kSoon) const {
            std::string text;
            for (char byte = 0; readable(fd, timeoutMs) && recv(fd, &byte, 1, 0) == 1 && byte != '\n';)
                text += byte;
            return nlohmann::json::parse(text, nullptr, false);
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
            int passed = -1;
            if (readable(fd, kSoon) && recvmsg(fd, &message, 0) == 1 && CMSG_FIRSTHDR(&message))
                std::memcpy(&passed, CMSG_DATA(CMSG_FIRSTHDR(&message)), sizeof passed);
            return passed;
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
            return sendmsg(fd, &message, MSG_NOSIGNAL) == 1;
        }
        int fd;
        bool open = false;
    };

    TestServer discovery, origin, cache;
    ReservedPort place;
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

// Whether `condition` becomes true in time; it is evaluated at each interval.
bool soon(const std::function<bool()>& condition, int timeoutMs = kSoon, int intervalMs = 10) {
    for (int tries = 0; tries < timeoutMs / intervalMs; ++tries) {
        if (condition()) return true;
        usleep(static_cast<useconds_t>(intervalMs) * 1'000);
    }
    return false;
}
// A rollout reads the whole program before it begins, twice, with sanitizers beside other work.
constexpr int kRolloutTimeoutMs = 30'000;

}  // namespace

TEST_CASE("process states: each is reached from starting, and each but stopped is left for stopped") {
    using process::ProcessEvent;
    using process::ProcessState;
    std::set<ProcessState> reached{ProcessState::starting};
    for (std::size_t round = 0; round < process::kTransitions.size(); ++round)
        for (const process::Transition& transition : process::kTransitions)
            if (reached.contains(transition.from)) reached.insert(transition.to);
    CHECK(reached.size() == 5);
    std::set<std::pair<ProcessState, ProcessEvent>> rows;
    for (const process::Transition& transition : process::kTransitions) {
        CHECK(rows.emplace(transition.from, transition.event).second);  // one row for a state and an event
        CHECK(process::nextState(transition.from, transition.event) == transition.to);
        if (transition.from == ProcessState::stopped) CHECK(transition.to == ProcessState::stopped);
    }
    for (const ProcessState state : {ProcessState::serving, ProcessState::lameDuck, ProcessState::draining})
        CHECK(process::nextState(state, ProcessEvent::stopCommanded) == ProcessState::stopped);
    // A first stop request drains, and a further one stops; while starting there is none to serve.
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
    // What the platform configures may not be configured twice.
    CHECK(problemsOf("[[verbs]]\nname = \"read\"\n", true) ==
          "op.toml:1: verbs: must not be set here: the platform's configuration describes the deployment");
    CHECK(problemsOf("[log]\nform = \"json\"\n[log.parts]\ndecisions = \"debug\"\n", true) == "");
}

TEST_CASE("an instance without discovery serves by the list in its file, and a reload changes that list") {
    RouterInstance router(kRequestClasses);
    Socket client = router.client();
    client.say(get("plum"));
    Socket cache = router.cache.accept();
    CHECK(cache.command().at(1) == "plum");
    cache.say(hit("V"));
    CHECK(client.answer() == "V");
    const TestServer other;
    std::string file = router.operatorFile(kRequestClasses);
    file.replace(file.find(router.cache.address()), router.cache.address().size(), other.address());
    router.program.operate(file);
    CHECK(router.request({{"do", "reload"}}).contains("changed"));
    client.say(get("pear"));
    Socket next = const_cast<TestServer&>(other).accept();
    CHECK(next.command().at(1) == "pear");
    next.say(hit("W"));
    CHECK(client.answer() == "W");
}

TEST_CASE(
    "reload: an open non-idempotent request gets one final response though its request class is removed") {
    RouterInstance router;
    Socket client = router.client();
    client.say(set("bill", "c=pay,t=north,d=900"));
    Socket origin = router.origin.accept();
    CHECK(origin.head().size() >= 4);
    auto start = router.platformConfig(smallStart());
    start["settings"]["verbs"].erase(2);
    router.program.configure(start.dump());
    const auto reply = router.request({{"do", "reload"}});
    CHECK(reply.at("changed").dump().find("verb pay is removed") != std::string::npos);
    // Open under the settings by which it was accepted; for a new one the request class is unknown.
    const auto open = router.request({{"do", "commands"}});
    CHECK(open.at("commands").at(0).at("verb") == "pay");
    CHECK(open.at("commands").at(0).at("at") == "origin");
    Socket second = router.client();
    second.say(set("bill2", "c=pay,t=north,d=900"));
    CHECK(second.answer() == "-ERR unknown request class in item c of the info list");
    origin.reset();  // it may have been executed: no retry, no rejection
    CHECK(client.answer() == "-ERR failed");
    CHECK(client.quiet(200));
    CHECK(router.origin.quiet(200));
}

TEST_CASE("reload: open requests keep idempotency, timeout and quota when their names are given to others") {
    auto start = smallStart();
    auto& settings = start["settings"];
    settings["orgs"] = {{{"name", "nord"}, {"quotaPerS", 1000.0}},
                        {{"name", "nord-2"}, {"quotaPerS", 900.0}}};
    RouterInstance router(start);
    Socket client = router.client();
    client.say(set("bill", "c=pay,t=nord,d=2500"));
    Socket bill = router.origin.accept();
    bill.head();
    bill.bytes(1);
    client.say(get("k", "c=read,t=nord,d=2500"));
    Socket read = router.cache.accept();
    read.command();
    auto anew = router.platformConfig(start);
    auto& requestClasses = anew["settings"]["verbs"];
    requestClasses[0]["name"] = "pay";  // what was not idempotent now is, and the other way round
    requestClasses[2]["name"] = "read";
    requestClasses[1]["name"] = "marks";
    for (auto& requestClass : requestClasses)
        requestClass["timeLimitUs"] = 60'000, requestClass["responseGoalUs"] = 20'000;
    std::swap(anew["settings"]["orgs"][0]["quotaPerS"], anew["settings"]["orgs"][1]["quotaPerS"]);
    router.program.configure(anew.dump());
    CHECK(router.request({{"do", "reload"}}).contains("changed"));
    // Past the new timeouts they are still open, by their clients' deadlines.
    usleep(200'000);
    CHECK(router.request({{"do", "commands"}}).at("open") == 2);
    // The write may have been executed: no retry, no rejection. The read is idempotent: it may be retried.
    bill.reset();
    CHECK(client.answer() == "-ERR failed");
    CHECK(router.origin.quiet(200));
    read.reset();
    CHECK(client.answer().starts_with("-BUSY"));
    // New ones go by the new names: what is called "read" now is attempted once.
    client.say(get("m", "c=read,t=nord,d=1500"));
    Socket again = router.cache.accept();
    CHECK(again.command().at(1) == "m");
    again.reset();
    CHECK(client.answer() == "-ERR failed");
    CHECK(router.cache.quiet(200));
    CHECK(client.say(set("x", "c=mark,t=nord,d=900")).answer() ==
          "-ERR unknown request class in item c of the info list");
}

TEST_CASE("reload: while draining it shortens the deadline of no open request, nor does a malformed one") {
    for (const int after : {100, 800}) {
        for (const bool broken : {false, true}) {
            RouterInstance router;
            Socket client = router.client();
            client.say(set("bill", "c=pay,t=north,d=2500"));
            Socket origin = router.origin.accept();
            origin.head();
            auto anew = router.platformConfig(smallStart());
            auto& requestClasses = anew["settings"]["verbs"];
            for (auto& requestClass : requestClasses)
                requestClass["timeLimitUs"] = 60'000, requestClass["responseGoalUs"] = 20'000;
            requestClasses[2]["name"] = "was pay";
            router.program.configure(broken ? "{" : anew.dump());
            router.program.signal(SIGTERM);
            REQUIRE(soon(
                [&] { return router.program.log().find("received a stop request") != std::string::npos; }));
            usleep(static_cast<useconds_t>(after) * 1'000);
            router.program.signal(SIGHUP);
            const std::string expectedLog =
                broken ? "goes on with the old configuration" : "reloaded the configuration";
            CHECK(soon([&] { return router.program.log().find(expectedLog) != std::string::npos; }));
            usleep(900'000);  // past the new timeouts, and the end of the drain by those
            CHECK(client.quiet(0));
            origin.say(http(200, "receipt"));
            CHECK(client.answer() == "receipt");
            CHECK(router.program.exitCode() == 0);
        }
    }
}

TEST_CASE("reload: two at once, and one that is malformed, leave one complete configuration") {
    RouterInstance router;
    auto start = router.platformConfig(smallStart());
    start["settings"]["allowed"]["maxOpen"] = 7;
    router.program.configure(start.dump());
    const RouterInstance::UnixConnection one(router.program.door()), two(router.program.door());
    one.send({{"do", "reload"}});
    two.send({{"do", "reload"}});
    CHECK(one.receive().at("changed").size() + two.receive().at("changed").size() == 1);
    router.program.configure("{\"name\":");
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
    client.say(set("bill", "c=pay,t=north,d=900"));
    Socket origin = router.origin.accept();
    origin.head();
    const RouterInstance::UnixConnection connection(router.program.door());
    connection.send({{"do", "upgrade"}});
    const auto reply = connection.receive();
    REQUIRE(reply.contains("taken_over_by"));
    const pid_t newProcess = reply.at("taken_over_by");
    // A new connection is the new process's, the open request still the old one's.
    Socket second = router.client();
    second.say("*1\r\n$4\r\nPING\r\n");
    CHECK(second.line() == "+PONG");
    CHECK(soon([&] { return router.request({{"do", "status"}}).value("pid", 0) == newProcess; }));
    // A service manager signals all processes: that is the old one's first stop request, and it drains.
    router.program.signal(SIGTERM);
    CHECK(client.quiet(100));
    origin.say(http(200, "receipt"));
    CHECK(client.answer() == "receipt");
    CHECK(router.program.exitCode() == 0);
    second.say("*1\r\n$4\r\nPING\r\n");
    CHECK(second.line() == "+PONG");
    CHECK(router.request({{"do", "stop"}}).contains("open"));
    CHECK(soon([&] { return kill(newProcess, 0) != 0; }));
}

TEST_CASE("hot restart: a new process that fails before it is ready changes nothing") {
    RouterInstance router;
    const auto serves = [&] {
        Socket client = router.client();
        client.say("*1\r\n$4\r\nPING\r\n");
        return client.line() == "+PONG" && router.request({{"do", "status"}}).value("state", "") == "serving";
    };
    CHECK(router.request({{"do", "upgrade"}, {"program", "/bin/false"}}).at("error") ==
          "the new process ended before it was ready");
    CHECK(router.request({{"do", "upgrade"}, {"program", "/nowhere/router"}}).contains("error"));
    CHECK(serves());
    {  // Killed when it has the socket and has not reported that it is ready.
        const RouterInstance::UnixConnection newProcess(router.program.door());
        newProcess.send({{"do", "take-over"}});
        CHECK(newProcess.receive().contains("described"));
        const int passed = newProcess.receiveDescriptor();
        CHECK(passed >= 0);
        CHECK(router.request({{"do", "take-over"}}).contains("error"));
        CHECK(router.request({{"do", "reload"}}).at("error") == "an upgrade is under way");
        CHECK(router.request({{"do", "ready"}}).contains("error"));  // reported by another connection
        close(passed);
    }
    CHECK(soon([&] { return !router.request({{"do", "status"}}).at("upgrading").get<bool>(); }));
    CHECK(serves());
    // One with an older configuration than the serving process is rejected.
    auto start = router.platformConfig(smallStart());
    start["settings"]["allowed"]["maxOpen"] = 9;
    router.program.configure(start.dump());
    CHECK(router.request({{"do", "upgrade"}}).at("error").get<std::string>().find("reload it first") !=
          std::string::npos);
    CHECK(serves());
}

TEST_CASE("hot restart: a stop request meanwhile drains the old process, and the new one never serves") {
    for (const bool isSpawned : {false, true}) {
        RouterInstance router;
        Socket client = router.client();
        client.say(set("bill", "c=pay,t=north,d=1500"));
        Socket origin = router.origin.accept();
        origin.head();
        const RouterInstance::UnixConnection newProcess(router.program.door());
        int passed = -1;
        pid_t started = 0;
        if (isSpawned) {
            const std::string script = router.program.folder() + "/slow";
            std::ofstream(script) << "#!/bin/sh\necho $$ > \"$0.pid\"\nexec sleep 60\n";
            chmod(script.c_str(), 0755);
            newProcess.send({{"do", "upgrade"}, {"program", script}});
            REQUIRE(soon([&] { return (std::ifstream(script + ".pid") >> started) && started > 0; }));
        } else {
            newProcess.send({{"do", "take-over"}});
            REQUIRE(newProcess.receive().contains("described"));
            passed = newProcess.receiveDescriptor();
            REQUIRE(passed >= 0);
        }
        router.program.signal(SIGTERM);
        REQUIRE(
            soon([&] { return router.program.log().find("received a stop request") != std::string::npos; }));
        if (!isSpawned) newProcess.send({{"do", "ready"}, {"pid", 1}});
        CHECK(newProcess.receive().contains("error"));
        if (isSpawned) CHECK(soon([&] { return kill(started, 0) != 0; }));
        // In the lame-duck state new connections are served, and open requests completed.
        CHECK(router.client().say(array({"PING"})).line() == "+PONG");
        origin.say(http(200, "receipt"));
        CHECK(client.answer() == "receipt");
        CHECK(router.program.exitCode() == 0);
        if (!isSpawned) close(passed);
        CHECK_FALSE(router.client().open());
    }
}

TEST_CASE("hot restart: a new process that exits while the old one is suspended does not replace it") {
    RouterInstance router;
    {
        const RouterInstance::UnixConnection newProcess(router.program.door());
        newProcess.send({{"do", "take-over"}});
        CHECK(newProcess.receive().contains("described"));
        const int passed = newProcess.receiveDescriptor();
        CHECK(passed >= 0);
        router.program.signal(SIGSTOP);
        newProcess.send({{"do", "ready"}, {"pid", 1}});
        close(passed);
    }
    router.program.signal(SIGCONT);
    CHECK(soon([&] { return !router.request({{"do", "status"}}).at("upgrading").get<bool>(); }));
    CHECK(router.request({{"do", "status"}}).at("state") == "serving");
    CHECK(router.client().say(array({"PING"})).line() == "+PONG");
}

TEST_CASE(
    "hot restart: without a reply the new process ends its requests first, and serves if the old one "
    "stopped") {
    RouterInstance router;
    std::string described;
    int passed = -1;
    {
        const RouterInstance::UnixConnection connection(router.program.door());
        connection.send({{"do", "take-over"}});
        described = connection.receive().at("described");
        passed = connection.receiveDescriptor();
    }
    router.program.signal(SIGKILL);
    router.program.exitCode();
    // This test takes the part of the old process from now on.
    unlink(router.program.door().c_str());
    const int old = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    std::strncpy(at.sun_path, router.program.door().c_str(), sizeof at.sun_path - 1);
    REQUIRE(bind(old, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(listen(old, 4) == 0);
    const std::string file = router.program.folder() + "/operator.toml";
    const pid_t newProcess = fork();
    if (newProcess == 0) {
        if (!freopen((router.program.folder() + "/log").c_str(), "w", stderr)) _exit(126);
        execl(POPPYSCALE_PROGRAM, "poppyscale", "serve", "--take-over", "--operator", file.c_str(), nullptr);
        _exit(127);
    }
    REQUIRE(readable(old, kSoon));
    const RouterInstance::UnixConnection link(accept(old, nullptr, nullptr));
    close(old);
    CHECK(link.receive().at("do") == "take-over");
    link.send({{"described", described}, {"console", false}});
    CHECK(link.passDescriptor(passed));
    close(passed);
    CHECK(link.receive().at("do") == "ready");
    // It waits for the reply, and then ends its direction: only now is an error final.
    CHECK(link.receive(2 * kSoon).is_discarded());
    CHECK(router.client().open());
    CHECK(router.client().quiet(200));
    link.send({{"ok", true}});
    CHECK(soon([&] { return router.request({{"do", "status"}}).is_object(); }));
    CHECK(router.client().say(array({"PING"})).line() == "+PONG");
    kill(newProcess, SIGTERM);
    int status = 0;
    waitpid(newProcess, &status, 0);
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
}

TEST_CASE("hot restart: a new process that is never ready is killed, and the old one serves on") {
    RouterInstance router;
    const std::string script = router.program.folder() + "/hangs";
    std::ofstream(script) << "#!/bin/sh\nexec sleep 60\n";
    chmod(script.c_str(), 0755);
    const auto reply = router.request({{"do", "upgrade"}, {"program", script}});
    CHECK(reply.at("error") == "the new process was not ready in time");
    CHECK(router.request({{"do", "status"}}).at("state") == "serving");
}

TEST_CASE("the operator's socket opens to its owner alone, and after a crash the next start replaces it") {
    RouterInstance router;
    struct stat at {};
    REQUIRE(stat(router.program.door().c_str(), &at) == 0);
    CHECK((at.st_mode & 0777) == 0600);
    router.program.signal(SIGKILL);
    CHECK(router.program.exitCode() == -SIGKILL);
    CHECK(stat(router.program.door().c_str(), &at) == 0);
    router.program.start(true);
    router.waitUntilReady();
    CHECK(router.request({{"do", "status"}}).at("state") == "serving");
    router.program.signal(SIGTERM);
    CHECK(router.program.exitCode() == 0);
    CHECK(stat(router.program.door().c_str(), &at) != 0);
}

TEST_CASE(
    "the operator's socket answers malformed requests, and closes only the connection of too long a line") {
    RouterInstance router;
    CHECK(router.request(nlohmann::json::array()).contains("error"));
    CHECK(router.request({{"do", "dance"}}).at("error") == "'dance' is not known here");
    CHECK(router.request({{"do", 7}}).contains("error"));
    const RouterInstance::UnixConnection flood(router.program.door());
    const std::string much(200'000, 'x');
    (void)!send(flood.fd, much.data(), much.size(), MSG_NOSIGNAL);
    CHECK(router.request({{"do", "status"}}).at("state") == "serving");
    std::vector<std::unique_ptr<RouterInstance::UnixConnection>> crowd;
    for (int i = 0; i < 20; ++i)
        crowd.push_back(std::make_unique<RouterInstance::UnixConnection>(router.program.door()));
    crowd.clear();
    CHECK(soon([&] { return router.request({{"do", "status"}}).is_object(); }));
}

TEST_CASE("a second signal stops it at once, fails open requests, and logs their number by request class") {
    RouterInstance router;
    Socket client = router.client();
    client.say(set("bill", "c=pay,t=north,d=900"));
    Socket origin = router.origin.accept();
    origin.head();
    router.program.signal(SIGTERM);
    CHECK(soon([&] { return router.program.log().find("received a stop request") != std::string::npos; }));
    router.program.signal(SIGTERM);
    CHECK(router.program.exitCode() == 0);
    CHECK(router.program.log().find("1 pay failed unanswered") != std::string::npos);
    CHECK(client.answer() == "-ERR failed");  // it may have run
}

TEST_CASE(
    "an endpoint poll without a response is repeated before a missed drain counts, and shown in the status") {
    auto start = smallStart();
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
    const auto waitOf = [](const std::string& call) {
        return std::stoi(call.substr(call.find("wait_ms=") + 8));
    };
    // No response from the beginning, and then again after a response: what it missed counts two seconds
    // after its poll wait.
    std::vector<int> waits;
    Socket dead = router.discovery.accept();
    for (int version : {8, 9}) {
        const auto began = std::chrono::steady_clock::now();
        waits.push_back(waitOf(dead.head().at(0)));
        CHECK(waits.back() >= 1'000);
        CHECK(waits.back() <= 2'000);
        Socket fresh = router.discovery.accept();
        CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(waits.back() + 1'200));
        CHECK(fresh.head().at(0).find("?after=" + std::to_string(version - 1) + "&") != std::string::npos);
        CHECK(lastFailure() == "no answer in time");
        CHECK(dead.quiet(0));  // it may still be answered, until the newer one is
        fresh.say(list(version, false, version == 8 ? "Ready" : "Terminating"));
        CHECK(dead.ended());
        dead = std::move(fresh);
    }
    CHECK(dead.head().at(0).find("?after=9&") != std::string::npos);
    CHECK(lastFailure().empty());
    Socket client = router.client();
    client.say(get("k"));
    CHECK(router.cache.quiet(200));
    // A late second response to an earlier poll: the complete list is polled, and that response is not
    // applied.
    dead.say(list(8, true, "Ready"));
    Socket fresh = router.discovery.accept();
    CHECK(fresh.head().at(0) == "GET /api/targets HTTP/1.1");
    CHECK(lastFailure() == "version 8 after version 9");
    client.say(get("m"));
    CHECK(router.cache.quiet(200));
    // Malformed: the same version would have the same content. A response that makes no progress times out.
    fresh.say(http(200, "{\"version\":10,\"full\":true,\"servers\":[{\"id\":7}]}"));
    fresh = router.discovery.accept();
    CHECK(fresh.head().at(0) == "GET /api/targets HTTP/1.1");
    CHECK(fresh.say("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{").ended());
    CHECK(lastFailure() == "the answer was not whole in time");
    // A complete list is applied whatever its version.
    fresh = router.discovery.accept();
    fresh.head();
    fresh.say(list(3, true, "Ready"));
    CHECK(fresh.head().at(0).find("?after=3&") != std::string::npos);
    CHECK(lastFailure().empty());
    client.say(get("n"));
    CHECK_FALSE(router.cache.quiet(kSoon));
    CHECK(router.program.log().find("endpoint list available again from discovery") != std::string::npos);
}

TEST_CASE("the status of its caches is shown, and logs are JSON with a level by part") {
    RouterInstance router;
    Socket client = router.client();
    client.say(get("plum"));
    Socket cache = router.cache.accept();
    cache.command();
    const auto out = router.request({{"do", "caches"}}).at("caches").at(0);
    CHECK(out.at("name") == "c0");
    CHECK(out.at("out") == 1);
    cache.say(hit("V"));
    CHECK(client.answer() == "V");
    CHECK(router.request({{"do", "caches"}}).at("caches").at(0).at("hints") == 1);
    router.program.operate(kOperatorSocketConfig +
                           "[log]\nform = \"json\"\nlevel = \"info\"\n[log.parts]\ndiscovery = \"off\"\n");
    router.request({{"do", "reload"}});
    router.request({{"do", "reload"}});
    const std::string log = router.program.log();
    const std::string last = log.substr(log.rfind('\n', log.size() - 2) + 1);
    CHECK(nlohmann::json::parse(last).at("part") == "life");
}

namespace {

// Three instances under a supervisor of their own, on consecutive ports.
struct SupervisedFleet {
    SupervisedFleet() {
        char name[] = "/tmp/poppyscale-fleet-XXXXXX";
        folder = mkdtemp(name);
        firstPort = freePorts();
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
    static int freePorts() {
        for (int tries = 0;; ++tries) {
            const TestServer first;
            sockaddr_in one = loopback(static_cast<std::uint16_t>(first.port + 1));
            sockaddr_in two = loopback(static_cast<std::uint16_t>(first.port + 2));
            const int a = socket(AF_INET, SOCK_STREAM, 0), b = socket(AF_INET, SOCK_STREAM, 0);
            const bool free = bind(a, reinterpret_cast<sockaddr*>(&one), sizeof one) == 0 &&
                              bind(b, reinterpret_cast<sockaddr*>(&two), sizeof two) == 0;
            close(a);
            close(b);
            if (free || tries > 50) return first.port;
        }
    }
    void start() {
        pid = fork();
        if (pid > 0) return;
        unsetenv("ROUTER_CONFIG");
        if (!freopen((folder + "/keeper.log").c_str(), "a", stderr)) _exit(126);
        execl(POPPYCTL, "poppyctl", "fleet", (folder + "/fleet.toml").c_str(), nullptr);
        _exit(127);
    }
    int stopSupervisor(int signal) {
        if (pid <= 0) return -1;
        kill(pid, signal);
        int status = 0;
        waitpid(std::exchange(pid, -1), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    nlohmann::json status(int i) const {
        const RouterInstance::UnixConnection connection(folder + "/r" + std::to_string(i) + ".sock");
        if (!connection.open) return nullptr;
        connection.send({{"do", "status"}});
        return connection.receive(2'000);
    }
    pid_t pidOf(int i) const {
        const auto reply = status(i);
        return reply.is_object() ? reply.value("pid", 0) : 0;
    }
    bool serving(int i) const {
        const auto reply = status(i);
        return reply.is_object() && reply.value("state", "") == "serving";
    }
    std::string log() const {
        std::ifstream file(folder + "/keeper.log");
        return {std::istreambuf_iterator<char>(file), {}};
    }
    bool logged(const std::string& words) const { return log().find(words) != std::string::npos; }
    TestServer origin, cache;
    std::string folder;
    int firstPort = 0;
    pid_t pid = -1;
};

}  // namespace

TEST_CASE(
    "supervisor: restarts what exits, finds running instances, rolls hot restarts through, and stops all") {
    SupervisedFleet fleet;
    CAPTURE(fleet.log());
    REQUIRE(soon([&] { return fleet.serving(0) && fleet.serving(1) && fleet.serving(2); }));
    const pid_t first = fleet.pidOf(0);
    kill(first, SIGKILL);
    CHECK(soon([&] { return fleet.serving(0) && fleet.pidOf(0) != first; }));
    CHECK(soon([&] { return fleet.logged("instance 0 exited unexpectedly"); }));
    // The supervisor is killed: its instances run on and are found again, none of them started twice.
    const pid_t before[] = {fleet.pidOf(0), fleet.pidOf(1), fleet.pidOf(2)};
    fleet.stopSupervisor(SIGKILL);
    fleet.start();
    CHECK(soon([&] { return fleet.logged("found r2 as process " + std::to_string(before[2])); }));
    for (int i = 0; i < 3; ++i) CHECK(fleet.pidOf(i) == before[i]);
    // Repeated until all are ready to begin; a rollout in progress is not begun a second time.
    CHECK(soon(
        [&] {
            if (!fleet.logged("starts a rolling upgrade")) kill(fleet.pid, SIGUSR2);
            return fleet.logged("rolling upgrade completed");
        },
        kRolloutTimeoutMs, 500));
    for (int i = 0; i < 3; ++i) CHECK(fleet.pidOf(i) != before[i]);
    // One that exits after its hot restart is restarted, though it was never the supervisor's own child.
    const pid_t newProcess = fleet.pidOf(1);
    kill(newProcess, SIGKILL);
    CHECK(soon([&] { return fleet.serving(1) && fleet.pidOf(1) != newProcess; }));
    const pid_t last[] = {fleet.pidOf(0), fleet.pidOf(1), fleet.pidOf(2)};
    CHECK(fleet.stopSupervisor(SIGTERM) == 0);
    // They have exited by then; those whose parent exited before them are reaped by the system.
    for (const pid_t p : last) CHECK(soon([&] { return kill(p, 0) != 0; }));
}

TEST_CASE("a fleet's description is read strictly") {
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
    REQUIRE(soon([&] { return fleet.serving(0) && fleet.serving(1) && fleet.serving(2); }));
    REQUIRE(soon([&] { return fleet.logged("all instances are ready"); }));
    const pid_t old = fleet.pidOf(0);
    Socket client(static_cast<std::uint16_t>(fleet.firstPort));
    client.say(set("bill", "c=pay,t=north,d=1900"));
    Socket origin = fleet.origin.accept();
    CHECK(origin.head().size() >= 4);
    REQUIRE(soon(
        [&] {
            if (!fleet.logged("starts a rolling upgrade")) kill(fleet.pid, SIGUSR2);
            const pid_t now = fleet.pidOf(0);
            return now > 0 && now != old;
        },
        kRolloutTimeoutMs, 100));
    const pid_t newProcess = fleet.pidOf(0);
    kill(newProcess, SIGKILL);
    origin.say(http(200, "receipt"));
    // On a slow machine its timeout may be over by then: one final response in either case.
    const std::string response = client.answer();
    CHECK((response == "receipt" || response == "-ERR failed"));
    CHECK(soon([&] { return fleet.serving(0) && fleet.pidOf(0) != newProcess && fleet.pidOf(0) != old; }));
    CHECK(soon([&] { return fleet.logged("instance 0 exited after its upgrade"); }));
    for (int i = 1; i < 3; ++i) CHECK(fleet.serving(i));  // no other instance was replaced
}

TEST_CASE("supervisor: an instance that serves without its knowledge is adopted and not started again") {
    SupervisedFleet fleet;
    CAPTURE(fleet.log());
    REQUIRE(soon([&] { return fleet.logged("all instances are ready"); }));
    const pid_t old = fleet.pidOf(0);
    // As where an old process exits between the new one's being ready and its own report of it.
    kill(fleet.pid, SIGSTOP);
    kill(old, SIGKILL);
    REQUIRE(soon([&] { return !fleet.serving(0); }));
    const std::string file = fleet.folder + "/r0.toml";
    const pid_t newProcess = fork();
    if (newProcess == 0) {
        unsetenv("ROUTER_CONFIG");
        execl(POPPYSCALE_PROGRAM, "poppyscale", "serve", "--operator", file.c_str(), nullptr);
        _exit(127);
    }
    REQUIRE(soon([&] { return fleet.serving(0); }));
    kill(fleet.pid, SIGCONT);
    CHECK(soon([&] { return fleet.logged("found r0 as process " + std::to_string(newProcess)); }));
    usleep(300'000);
    CHECK(fleet.pidOf(0) == newProcess);
    kill(newProcess, SIGKILL);
    waitpid(newProcess, nullptr, 0);
    CHECK(soon([&] { return fleet.serving(0) && fleet.pidOf(0) != newProcess; }));
}

TEST_CASE("drain: each of hundreds in the backlog gets a final response, or a close at once") {
    for (const int sockets : {2048, 256}) {
        auto start = smallStart();
        start["limits"]["sockets"] = sockets;
        RouterInstance router(start);
        router.program.signal(SIGSTOP);
        std::vector<Socket> crowd;
        for (int i = 0; i < 400; ++i) {
            crowd.push_back(router.client());
            crowd.back().say(get("k" + std::to_string(i), "c=read,t=north,d=700"));
        }
        router.program.signal(SIGTERM);
        router.program.signal(SIGCONT);
        int answered = 0, closed = 0;
        for (Socket& one : crowd) {
            const std::string response = one.line();
            if (response.starts_with("-BUSY") || response.starts_with("-ERR")) ++answered;
            if (response.empty() && one.ended()) ++closed;
        }
        CHECK(answered + closed == 400);  // nobody is left without either
        if (sockets == 2048) CHECK(answered == 400);
        CHECK(answered >= 100);
        CHECK(router.program.exitCode() == 0);
    }
}

TEST_CASE("hot restart: fails harmlessly without a free descriptor, and succeeds once there are some") {
    RouterInstance router;
    Socket client = router.client();
    CHECK(client.say(array({"PING"})).line() == "+PONG");
    const RouterInstance::UnixConnection connection(router.program.door());  // in before it is too late
    connection.send({{"do", "status"}});
    CHECK(connection.receive().is_object());
    rlim_t lowest = 0;  // that is free: none below it is
    while (std::filesystem::exists(std::filesystem::symlink_status(
        "/proc/" + std::to_string(router.program.pid()) + "/fd/" + std::to_string(lowest))))
        ++lowest;
    rlimit before{}, none{};
    REQUIRE(prlimit(router.program.pid(), RLIMIT_NOFILE, nullptr, &before) == 0);
    none = {lowest, before.rlim_max};
    REQUIRE(prlimit(router.program.pid(), RLIMIT_NOFILE, &none, nullptr) == 0);
    // The new process's connection can't be accepted.
    connection.send({{"do", "upgrade"}});
    const auto failed = connection.receive();
    CHECK_MESSAGE(failed.contains("error"), (failed.dump() + router.program.log()));
    CHECK(client.say(array({"PING"})).line() == "+PONG");
    REQUIRE(prlimit(router.program.pid(), RLIMIT_NOFILE, &before, nullptr) == 0);
    CHECK(soon([&] { return router.request({{"do", "status"}}).value("state", "") == "serving"; }));
    // A crowd that takes all places of clients leaves enough for it.
    std::vector<Socket> crowd;
    for (int i = 0; i < 300; ++i) {
        crowd.push_back(router.client());
        crowd.back().say(array({"PING"}));
    }
    const auto reply = router.request({{"do", "upgrade"}});
    REQUIRE_MESSAGE(reply.contains("taken_over_by"), reply.dump());
    const pid_t newProcess = reply.at("taken_over_by");
    CHECK(soon([&] { return router.request({{"do", "status"}}).value("pid", 0) == newProcess; }));
    CHECK(router.program.exitCode() == 0);
    kill(newProcess, SIGKILL);
}

TEST_CASE("reload: a list of 2,000 caches under load loses no request and blocks no client for long") {
    TestServer many(true);
    const auto listOf = [&](int count, int from) {
        std::string servers;
        for (int i = 0; i < count; ++i)
            servers += "[[servers]]\nname = \"s" + std::to_string(from + i) + "\"\naddress = \"127.0." +
                       std::to_string(1 + i / 250) + "." + std::to_string(1 + i % 250) + ":" +
                       std::to_string(many.port) + "\"\n";
        return servers;
    };
    RouterInstance router(kRequestClasses);
    std::atomic<bool> over = false;
    std::jthread caches([&] {
        std::vector<Socket> open;
        while (!over) {
            usleep(500);
            while (!many.quiet(0)) open.push_back(many.accept());
            while (!router.cache.quiet(0)) open.push_back(router.cache.accept());
            for (Socket& link : open)
                while (!link.quiet(0)) {
                    const auto words = link.command();
                    if (words.size() < 3) break;
                    link.say(hit(words[2]));
                }
            std::erase_if(open, [](Socket& link) { return !link.quiet(0) && link.waits() == 0; });
        }
    });
    std::atomic<int> answered = 0, rejected = 0, wrong = 0;
    std::jthread load([&] {
        Socket client = router.client();
        for (int i = 0; !over; ++i, usleep(1'000)) {
            const std::string key = "k" + std::to_string(i);
            const std::string response = client.say(get(key)).answer();
            // On a busy machine these caches may be too late for one: then it is rejected.
            if (response == "9b1f-" + key)
                ++answered;
            else if (response.starts_with("-BUSY"))
                ++rejected;
            else
                ++wrong;
        }
    });
    for (int round = 0; round < 2; ++round) {
        router.program.operate(router.operatorFile(kRequestClasses) + listOf(2'000, 1'000 * round));
        const auto reply = router.request({{"do", "reload"}});
        CHECK_MESSAGE(reply.contains("changed"), reply.dump());
        usleep(300'000);
    }
    const auto metrics = router.request({{"do", "figures"}});
    over = true;
    load.join();
    CHECK(metrics.at("caches_listed").get<int>() >= 2'001);
    CHECK(wrong == 0);
    CHECK(answered > 100);
    CHECK(rejected < answered / 10);
    MESSAGE(answered.load(), " answered, longest iteration ", metrics.at("longest_turn_us").get<int>() / 1000,
            " ms");
    CHECK(metrics.at("longest_turn_us").get<int>() < 1'500'000);  // with sanitizers
}
