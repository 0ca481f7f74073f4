// The operators' console: ejected servers, standby, and hot restarts with a passed socket.
#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "control/console_command.hpp"
#include "fixtures.hpp"
#include "process/operator_state.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

std::string consoleReply(std::uint16_t console, const std::string& line) {
    return Socket(console).send(line + "\n").readLine("\n");
}

// A router with a console, and its discovery, origin and cache servers. If the platform passes the
// clients' listening socket, a second router process can be started beside the first.
struct Deployment {
    explicit Deployment(bool isSocketPassed = false, nlohmann::json start = minimalStartConfig())
        : isSocketPassed(isSocketPassed),
          port(isSocketPassed ? listening.port : reservedPort.port),
          config(std::move(start)) {
        config["listen"] = "127.0.0.1:" + std::to_string(port);
        config["discovery"] = discovery.address();
        config["known"] = {
            {"version", 7},
            {"full", true},
            {"servers",
             {entryOf("origin", origin, "origin"), entryOf("c0", caches[0]), entryOf("c1", caches[1])}}};
    }
    struct Router {
        std::unique_ptr<ReservedPort> consolePort;
        std::uint16_t console;
        Program program;
        bool becomesReady() const {
            for (int tries = 0; tries < 250; ++tries) {
                if (consoleReply(console, "status").starts_with("ACK")) return true;
                usleep(20'000);
            }
            return false;
        }
    };
    std::unique_ptr<Router> start() {
        auto console = std::make_unique<ReservedPort>();
        const std::uint16_t port = console->port;
        config["console"] = "127.0.0.1:" + std::to_string(port);
        std::unique_ptr<Router> router(
            new Router{std::move(console), port,
                       Program(config.dump(), "", isSocketPassed ? listening.descriptor() : -1, tmp.path)});
        REQUIRE(router->becomesReady());
        return router;
    }
    Socket client() const { return Socket(port); }

    struct Folder {
        Folder() {
            char made[] = "/tmp/poppyscale-test-XXXXXX";
            path = mkdtemp(made) ? made : "";
        }
        ~Folder() { std::filesystem::remove_all(path); }
        std::string path;
    } tmp;
    TestServer discovery, origin, listening;
    std::array<TestServer, 2> caches;
    ReservedPort reservedPort;
    bool isSocketPassed;
    std::uint16_t port;
    nlohmann::json config;
};

// Answers the requests to the cache servers, each connection on a thread of its own. The value in a
// response is the request's id.
class RespondingCaches {
  public:
    explicit RespondingCaches(Deployment& deployment) {
        for (std::size_t i = 0; i < deployment.caches.size(); ++i)
            threads_.emplace_back([this, i, &deployment](const std::stop_token& stop) {
                std::vector<std::jthread> open;
                while (!stop.stop_requested())
                    if (!deployment.caches[i].isQuiet(20))
                        open.emplace_back(
                            [this, i, made = std::make_shared<Socket>(deployment.caches[i].accept())](
                                const std::stop_token& end) { serve(i, *made, end); });
            });
    }
    std::array<std::atomic<int>, 2> requestCounts{};

  private:
    void serve(std::size_t cache, Socket& link, const std::stop_token& end) {
        while (!end.stop_requested()) {
            if (link.isQuiet(20)) continue;
            const auto words = link.readCommand();
            if (words.size() < 4) return;
            ++requestCounts[cache];
            link.send(hit(words[2]));
        }
    }
    std::vector<std::jthread> threads_;
};

}  // namespace

TEST_CASE("Console: every line is either a command or has a problem that is described") {
    using Kind = control::ConsoleCommand::Kind;
    const auto commandOf = [](const char* text) {
        const control::ConsoleLine line = control::readConsoleLine(text);
        REQUIRE_MESSAGE(line.command.has_value(), line.problem);
        return *line.command;
    };
    CHECK(commandOf("status\r").kind == Kind::status);
    CHECK(commandOf("maint-on  s-5be2a07c ").server == "s-5be2a07c");
    CHECK(commandOf("maint-off c0").kind == Kind::restore);
    CHECK(commandOf("standby").kind == Kind::standby);
    CHECK(commandOf("active").kind == Kind::active);
    for (const char* text :
         {"", " ", "dance", "STATUS", "maint-on", "maint-on a b", "status now", "\xff\x01", "*1"}) {
        const control::ConsoleLine line = control::readConsoleLine(text);
        CHECK(!line.command.has_value());
        CHECK(!line.problem.empty());
    }
}

// An operator must reach the console even when others hold connections open and send nothing.
TEST_CASE("Console: replies despite idle and partial connections, and rejects unknown commands") {
    Deployment deployment;
    const auto router = deployment.start();
    std::vector<Socket> silent;
    for (int i = 0; i < 12; ++i) silent.emplace_back(router->console).send(i % 2 ? "stat" : "");
    std::vector<Socket> idleClients;  // as many clients as the router accepts
    for (int i = 0; i < 300; ++i) idleClients.push_back(deployment.client());
    CHECK(consoleReply(router->console, "status").starts_with("ACK serving"));
    CHECK(consoleReply(router->console, "dance").starts_with("NAK unknown command 'dance'"));
    CHECK(consoleReply(router->console, std::string(300, 'x')).starts_with("NAK the line is longer than"));
    CHECK(consoleReply(router->console, std::string("\0\x01\x02", 3)).starts_with("NAK"));
    CHECK(silent[1].send("us\n").readLine("\n").starts_with("ACK serving"));
    CHECK(silent[1].isClosedByPeer());
}

TEST_CASE(
    "Standby: health checks fail, open requests complete and connections are closed, until active ends it") {
    Deployment deployment;
    const auto router = deployment.start();
    Socket idle = deployment.client(), busy = deployment.client();
    CHECK(idle.send(array({"PING"})).readLine() == "+PONG");
    busy.send(get("k"));
    Socket cacheConnection =
        deployment.caches[0].isQuiet(300) ? deployment.caches[1].accept() : deployment.caches[0].accept();
    cacheConnection.readCommand();
    CHECK(consoleReply(router->console, "standby").starts_with("ACK serving, standing by"));
    CHECK(consoleReply(router->console, "standby").starts_with("ACK"));
    Socket rejectedHealthCheck = deployment.client();
    CHECK(rejectedHealthCheck.send(array({"PING"})).readLine() == "-ERR the router is in standby");
    CHECK(rejectedHealthCheck.isClosedByPeer());
    cacheConnection.send(hit("V"));
    CHECK(busy.readResponse() == "V");
    CHECK(busy.isClosedByPeer());
    CHECK(idle.isQuiet(200));  // the connection stays open for now, as a request may be on its way
    CHECK(idle.isClosedByPeer());
    // The connection was closed after 0.8 s at the earliest, and requests are accepted for up to 1.9 s.
    usleep(1'300'000);
    // The router may close a new, idle connection before the request has arrived, without a response.
    // If a request gets a response, it is a rejection.
    std::string late;
    for (int tries = 0; tries < 200 && late.empty(); ++tries)
        late = deployment.client().send(get("late")).readLine();
    CHECK(late.starts_with("-BUSY"));
    // A reload does not change the operator state.
    router->program.signal(SIGHUP);
    for (int tries = 0;
         tries < 250 && router->program.log().find("reloaded the configuration") == std::string::npos;
         ++tries)
        usleep(20'000);
    CHECK(deployment.client().send(array({"PING"})).readLine() != "+PONG");
    CHECK(consoleReply(router->console, "status").starts_with("ACK serving, standing by"));
    CHECK(consoleReply(router->console, "active").starts_with("ACK serving;"));
    Socket healthCheck = deployment.client();
    CHECK(healthCheck.send(array({"PING"})).readLine() == "+PONG");
    healthCheck.send(get("k"));
    cacheConnection.close();
    RespondingCaches caches(deployment);
    CHECK(healthCheck.readResponse() == "9b1f-k");
    CHECK(healthCheck.isQuiet(100));
}

TEST_CASE(
    "Eject: the server gets no requests on any connection, even after a reload; unknown ids are rejected") {
    Deployment deployment;
    const auto router = deployment.start();
    RespondingCaches caches(deployment);
    Socket client = deployment.client();
    const auto requestAll = [&](const std::string& prefix) {
        const auto before = std::array{caches.requestCounts[0].load(), caches.requestCounts[1].load()};
        for (int i = 0; i < 60; ++i) {
            const std::string key = prefix + std::to_string(i);
            CHECK(client.send(get(key)).readResponse() == "9b1f-" + key);
        }
        return std::array{caches.requestCounts[0] - before[0], caches.requestCounts[1] - before[1]};
    };
    CHECK(requestAll("a")[0] > 0);
    CHECK(consoleReply(router->console, "maint-on c0").ends_with("; out: c0"));
    CHECK(consoleReply(router->console, "maint-on c0").starts_with("ACK"));
    CHECK(consoleReply(router->console, "maint-on c7") ==
          "NAK no server c7 was ever in the endpoint list of this router");
    CHECK(consoleReply(router->console, "maint-off c7").starts_with("NAK"));
    CHECK(consoleReply(router->console, "maint-on origin").starts_with("NAK"));
    CHECK(requestAll("a")[0] == 0);
    router->program.signal(SIGHUP);
    usleep(200'000);
    CHECK(requestAll("b")[0] == 0);
    CHECK(consoleReply(router->console, "maint-off c0").starts_with("ACK"));
    CHECK(requestAll("c")[0] > 0);
    CHECK(consoleReply(router->console, "maint-off c0").starts_with("ACK"));
}

TEST_CASE("Passed socket: a new process accepts on it while the old one drains without losing a request") {
    Deployment deployment(true);
    auto old = deployment.start();
    Socket idle = deployment.client(), busy = deployment.client();
    CHECK(idle.send(array({"PING"})).readLine() == "+PONG");
    busy.send(get("k"));
    Socket cacheConnection =
        deployment.caches[0].isQuiet(300) ? deployment.caches[1].accept() : deployment.caches[0].accept();
    cacheConnection.readCommand();
    const auto next = deployment.start();
    old->program.signal(SIGTERM);
    for (int i = 0; i < 50; ++i) CHECK(deployment.client().send(array({"PING"})).readLine() == "+PONG");
    cacheConnection.send(hit("V"));
    CHECK(busy.readResponse() == "V");
    CHECK(busy.isClosedByPeer());
    CHECK(idle.isClosedByPeer());
    CHECK(old->program.exitCode() == 0);
    CHECK(deployment.client().send(array({"PING"})).readLine() == "+PONG");
}

TEST_CASE("Passed socket: an invalid descriptor, or a console port in use, is an error that names it") {
    for (const char* descriptorText : {"four", "-1", "99", "1", ""}) {
        setenv("ROUTER_PASSED_SOCKET", descriptorText, 1);
        Deployment deployment;
        const ReservedPort console;
        deployment.config["console"] = "127.0.0.1:" + std::to_string(console.port);
        Program program(deployment.config.dump());
        CHECK(program.exitCode() == 1);
        CHECK(program.log().find("ROUTER_PASSED_SOCKET is '" + std::string(descriptorText) + "'") !=
              std::string::npos);
    }
    unsetenv("ROUTER_PASSED_SOCKET");
    Deployment deployment;
    deployment.config["console"] = "127.0.0.1:" + std::to_string(deployment.origin.port);
    Program program(deployment.config.dump());
    CHECK(program.exitCode() == 1);
    CHECK(program.log().find("can't listen on console") != std::string::npos);
}

TEST_CASE("Operator state file: valid lines apply even if other lines are invalid") {
    // An empty `problem` means that no problem is expected.
    const auto read = [](const std::string& text, const std::string& problem) {
        process::OperatorState state;
        const auto found = state.parse(text);
        CHECK(found.value_or("").find(problem) != std::string::npos);
        CHECK(found.has_value() == !problem.empty());
        CHECK(state.parse(text).has_value() == !problem.empty());
        return state;
    };
    process::OperatorState state{{"c0", "s-5be2a07c"}, true};
    CHECK(read(state.serialize(), "") == state);
    CHECK(read("", "") == process::OperatorState{});
    CHECK(read("poppyscale words 1\nout c0\nout s-5b", "cut short").ejectedServers ==
          std::set<std::string>{"c0"});
    CHECK(read("poppyscale words 2\nout c0\nfrobnicate 7\nstandby\n", "this version's header")
              .ejectedServers.contains("c0"));
    CHECK(read("poppyscale words 1\nout \nout a b\nout \x01\nout c1\n", "can't be read")
              .ejectedServers.size() == 1);
    CHECK(read(std::string(2'000'000, '\n'), "too long") == process::OperatorState{});
    CHECK(read(std::string("\0\xff\x80\n", 4), "this version's header") == process::OperatorState{});
    CHECK(state.applyLine("in c0"));
    CHECK(state.applyLine("active"));
    CHECK(state == process::OperatorState{{"s-5be2a07c"}, false});
    CHECK(!state.applyLine("in"));
    CHECK(!state.applyLine("out"));
}

TEST_CASE("Operator state: a change that can't be written is rejected, and earlier changes stay in effect") {
    Deployment deployment(true);
    const auto router = deployment.start();
    CHECK(consoleReply(router->console, "maint-on c1").starts_with("ACK"));
    // The store's temporary file is first on a full disk, and then can't be opened.
    const std::string temporaryFile =
        deployment.tmp.path + "/poppyscale-n0.words." + std::to_string(router->program.pid());
    std::filesystem::create_symlink("/dev/full", temporaryFile);
    CHECK(consoleReply(router->console, "maint-on c0")
              .find("NAK can't write the operator state file: No space") == 0);
    CHECK(consoleReply(router->console, "status").ends_with("; out: c1"));
    std::filesystem::create_directory(temporaryFile);
    CHECK(consoleReply(router->console, "standby").starts_with("NAK can't write the operator state file"));
    CHECK(consoleReply(router->console, "status").find("standing by") == std::string::npos);
    std::filesystem::remove(temporaryFile);
    CHECK(consoleReply(router->console, "maint-on c0").ends_with("; out: c0 c1"));
}

TEST_CASE(
    "Operator state: passes between processes in both directions, and survives a killed and a suspended "
    "process") {
    Deployment deployment(true);
    auto old = deployment.start();
    CHECK(consoleReply(old->console, "maint-on c0").starts_with("ACK"));
    auto next = deployment.start();
    CHECK(consoleReply(next->console, "status").find("out: c0") != std::string::npos);
    // While both processes run, either console accepts changes.
    CHECK(consoleReply(old->console, "maint-on c1").starts_with("ACK"));
    CHECK(consoleReply(next->console, "maint-off c0").starts_with("ACK"));
    CHECK(consoleReply(next->console, "standby").starts_with("ACK"));
    const auto bothShow = [&](const std::string& expected) {
        for (auto* router : {old.get(), next.get()})
            for (int tries = 0; consoleReply(router->console, "status").find(expected) == std::string::npos;
                 ++tries) {
                if (tries > 100) return false;
                usleep(20'000);
            }
        return true;
    };
    CHECK(bothShow("standing by"));
    CHECK(bothShow("out: c1"));
    CHECK(consoleReply(old->console, "active").starts_with("ACK"));
    CHECK(bothShow("open; out: c1"));
    // After a new process has exited early, another one can join the old process.
    next.reset();
    next = deployment.start();
    CHECK(consoleReply(old->console, "maint-off c1").starts_with("ACK"));
    CHECK(consoleReply(old->console, "maint-on c0").substr(0, 3) == "ACK");
    CHECK(bothShow("open; out: c0"));
    old->program.signal(SIGTERM);
    CHECK(old->program.exitCode() == 0);
    // A killed process has written the changes that it acknowledged.
    CHECK(consoleReply(next->console, "maint-on c1").starts_with("ACK"));
    next->program.signal(SIGKILL);
    next->program.exitCode();
    auto third = deployment.start();
    CHECK(consoleReply(third->console, "status").find("out: c0 c1") != std::string::npos);
    // A new process does not wait long for a suspended one. The suspended process applies the changes
    // that it missed before it exits.
    third->program.signal(SIGSTOP);
    auto fourth = deployment.start();
    CHECK(consoleReply(fourth->console, "status").find("out: c0 c1") != std::string::npos);
    CHECK(fourth->program.log().find("the state on file applies") != std::string::npos);
    CHECK(consoleReply(fourth->console, "maint-off c0").starts_with("ACK"));
    third->program.signal(SIGTERM);
    third->program.signal(SIGCONT);
    CHECK(third->program.exitCode() == 0);
    CHECK(third->program.log().find("c0 is restored by the operator") != std::string::npos);
}

// Requests would be lost if the old process closed a connection whose request is on its way without
// a chance to retry, or if for a moment neither process accepted connections.
TEST_CASE("Hot restarts under load, one after the other: every request is answered, none is lost") {
    Deployment deployment(true);
    RespondingCaches caches(deployment);
    auto current = deployment.start();
    std::atomic<bool> isOver = false;
    std::atomic<int> answered = 0, retried = 0, wrong = 0;
    {
        std::vector<std::jthread> clients;
        for (int c = 0; c < 12; ++c)
            clients.emplace_back([&, c] {
                Socket client = deployment.client();
                for (int i = 0; !isOver; ++i, usleep(3'000)) {
                    const std::string key = std::to_string(c) + "-" + std::to_string(i);
                    if (!client.isQuiet(0)) client = deployment.client();  // closed meanwhile
                    std::string response = client.send(get(key)).readResponse();
                    // The router closed the connection while the request was on its way, so that the
                    // request may be retried once.
                    if (response.empty()) {
                        ++retried;
                        client = deployment.client();
                        response = client.send(get(key)).readResponse();
                    }
                    if (response == "9b1f-" + key)
                        ++answered;
                    else
                        ++wrong;
                }
            });
        for (int upgrade = 0; upgrade < 3; ++upgrade) {
            usleep(300'000);
            auto next = deployment.start();
            current->program.signal(SIGTERM);
            CHECK(current->program.exitCode() == 0);
            current = std::move(next);
        }
        usleep(300'000);
        isOver = true;
    }
    MESSAGE(answered.load(), " answered, ", retried.load(), " retried after a close");
    CHECK(wrong.load() == 0);
    CHECK(answered.load() > 1'000);
    CHECK(retried.load() <= 6);
}
