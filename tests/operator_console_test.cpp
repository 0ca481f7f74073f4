// Stories of the operators' days: the console, bans, standing by, upgrades from a passed socket.
#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "control/console_command.hpp"
#include "fixtures.hpp"
#include "process/operator_state.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

std::string asked(std::uint16_t console, const std::string& line) {
    return Socket(console).say(line + "\n").line("\n");
}

// A router with a console. Where the platform holds the clients' socket, another one can be started beside
// it.
struct Site {
    explicit Site(bool passed = false, nlohmann::json start = smallStart())
        : passed(passed), port(passed ? listening.port : place.port), config(std::move(start)) {
        config["listen"] = "127.0.0.1:" + std::to_string(port);
        config["discovery"] = discovery.address();
        config["known"] = {
            {"version", 7},
            {"full", true},
            {"servers",
             {entryOf("origin", origin, "origin"), entryOf("c0", caches[0]), entryOf("c1", caches[1])}}};
    }
    struct Router {
        std::unique_ptr<ReservedPort> place;
        std::uint16_t console;
        Program program;
        bool soonSays(const std::string& yes) const {
            for (int tries = 0; tries < 250; ++tries) {
                if (asked(console, "status").starts_with(yes)) return true;
                usleep(20'000);
            }
            return false;
        }
    };
    std::unique_ptr<Router> start() {
        auto console = std::make_unique<ReservedPort>();
        const std::uint16_t port = console->port;
        config["console"] = "127.0.0.1:" + std::to_string(port);
        std::unique_ptr<Router> made(
            new Router{std::move(console), port,
                       Program(config.dump(), "", passed ? listening.descriptor() : -1, tmp.path)});
        REQUIRE(made->soonSays("ACK"));
        return made;
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
    ReservedPort place;
    bool passed;
    std::uint16_t port;
    nlohmann::json config;
};

// Answers all that comes to the caches, each connection on a thread of its own, with the command's id.
class Serving {
  public:
    explicit Serving(Site& site) {
        for (std::size_t i = 0; i < site.caches.size(); ++i)
            threads_.emplace_back([this, i, &site](const std::stop_token& stop) {
                std::vector<std::jthread> open;
                while (!stop.stop_requested())
                    if (!site.caches[i].quiet(20))
                        open.emplace_back([this, i, made = std::make_shared<Socket>(site.caches[i].accept())](
                                              const std::stop_token& end) { serve(i, *made, end); });
            });
    }
    std::array<std::atomic<int>, 2> came{};

  private:
    void serve(std::size_t cache, Socket& link, const std::stop_token& end) {
        while (!end.stop_requested()) {
            if (link.quiet(20)) continue;
            const auto words = link.command();
            if (words.size() < 4) return;
            ++came[cache];
            link.say(hit(words[2]));
        }
    }
    std::vector<std::jthread> threads_;
};

}  // namespace

TEST_CASE("a line at the console is a call or words why it is none") {
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

TEST_CASE("the console answers beside callers that say nothing or half, and refuses what is no call") {
    Site site;
    const auto router = site.start();
    std::vector<Socket> silent;
    for (int i = 0; i < 12; ++i) silent.emplace_back(router->console).say(i % 2 ? "stat" : "");
    std::vector<Socket> crowd;  // and clients that take every place
    for (int i = 0; i < 300; ++i) crowd.push_back(site.client());
    CHECK(asked(router->console, "status").starts_with("ACK serving"));
    CHECK(asked(router->console, "dance").starts_with("NAK unknown call"));
    CHECK(asked(router->console, std::string(300, 'x')).starts_with("NAK a line of over"));
    CHECK(asked(router->console, std::string("\0\x01\x02", 3)).starts_with("NAK"));
    CHECK(silent[1].say("us\n").line("\n").starts_with("ACK serving"));
    CHECK(silent[1].ended());
}

TEST_CASE("standing by: pings get a no, what was taken is answered, nothing is held; active undoes it") {
    Site site;
    const auto router = site.start();
    Socket idle = site.client(), busy = site.client();
    CHECK(idle.say(array({"PING"})).line() == "+PONG");
    busy.say(get("k"));
    Socket at = site.caches[0].quiet(300) ? site.caches[1].accept() : site.caches[0].accept();
    at.command();
    CHECK(asked(router->console, "standby").starts_with("ACK serving, standing by"));
    CHECK(asked(router->console, "standby").starts_with("ACK"));
    Socket front = site.client();
    CHECK(front.say(array({"PING"})).line() == "-ERR standing by");
    CHECK(front.ended());
    at.say(hit("V"));
    CHECK(busy.answer() == "V");
    CHECK(busy.ended());
    CHECK(idle.quiet(200));  // not at once: a command may be on its way
    CHECK(idle.ended());
    usleep(1'300'000);  // it was closed after 0.8 s at the soonest, and commands are taken up to 1.9 s
    // Idle from the moment it is there, a connection may be closed before its command has come: that is no
    // word on it. What gets one is turned away.
    std::string late;
    for (int tries = 0; tries < 200 && late.empty(); ++tries) late = site.client().say(get("late")).line();
    CHECK(late.starts_with("-BUSY"));
    // A reload is no word of an operator's.
    router->program.signal(SIGHUP);
    for (int tries = 0;
         tries < 250 && router->program.log().find("reloaded the configuration") == std::string::npos;
         ++tries)
        usleep(20'000);
    CHECK(site.client().say(array({"PING"})).line() != "+PONG");
    CHECK(asked(router->console, "status").starts_with("ACK serving, standing by"));
    CHECK(asked(router->console, "active").starts_with("ACK serving;"));
    Socket back = site.client();
    CHECK(back.say(array({"PING"})).line() == "+PONG");
    back.say(get("k"));
    at.hangUp();
    Serving serving(site);
    CHECK(back.answer() == "9b1f-k");
    CHECK(back.quiet(100));
}

TEST_CASE("a cache taken out gets nothing on any connection, through a reload too; unknown ids get a no") {
    Site site;
    const auto router = site.start();
    Serving serving(site);
    Socket client = site.client();
    const auto askAll = [&](const std::string& prefix) {
        const auto before = std::array{serving.came[0].load(), serving.came[1].load()};
        for (int i = 0; i < 60; ++i) {
            const std::string key = prefix + std::to_string(i);
            CHECK(client.say(get(key)).answer() == "9b1f-" + key);
        }
        return std::array{serving.came[0] - before[0], serving.came[1] - before[1]};
    };
    CHECK(askAll("a")[0] > 0);
    CHECK(asked(router->console, "maint-on c0").ends_with("; out: c0"));
    CHECK(asked(router->console, "maint-on c0").starts_with("ACK"));
    CHECK(asked(router->console, "maint-on c7") == "NAK no server of that id was ever listed here");
    CHECK(asked(router->console, "maint-off c7").starts_with("NAK"));
    CHECK(asked(router->console, "maint-on origin").starts_with("NAK"));
    CHECK(askAll("a")[0] == 0);
    router->program.signal(SIGHUP);
    usleep(200'000);
    CHECK(askAll("b")[0] == 0);
    CHECK(asked(router->console, "maint-off c0").starts_with("ACK"));
    CHECK(askAll("c")[0] > 0);
    CHECK(asked(router->console, "maint-off c0").starts_with("ACK"));
}

TEST_CASE("a router beside the one that serves takes the passed socket; the old one ends with nothing lost") {
    Site site(true);
    auto old = site.start();
    Socket idle = site.client(), busy = site.client();
    CHECK(idle.say(array({"PING"})).line() == "+PONG");
    busy.say(get("k"));
    Socket at = site.caches[0].quiet(300) ? site.caches[1].accept() : site.caches[0].accept();
    at.command();
    const auto next = site.start();
    old->program.signal(SIGTERM);
    for (int i = 0; i < 50; ++i) CHECK(site.client().say(array({"PING"})).line() == "+PONG");
    at.say(hit("V"));
    CHECK(busy.answer() == "V");
    CHECK(busy.ended());
    CHECK(idle.ended());
    CHECK(old->program.exitCode() == 0);
    CHECK(site.client().say(array({"PING"})).line() == "+PONG");
}

TEST_CASE("a passed socket that is none is an error that names it") {
    for (const char* said : {"four", "-1", "99", "1", ""}) {
        setenv("ROUTER_PASSED_SOCKET", said, 1);
        Site site;
        const ReservedPort console;
        site.config["console"] = "127.0.0.1:" + std::to_string(console.port);
        Program program(site.config.dump());
        CHECK(program.exitCode() == 1);
        CHECK(program.log().find("ROUTER_PASSED_SOCKET is '" + std::string(said) + "'") != std::string::npos);
    }
    unsetenv("ROUTER_PASSED_SOCKET");
    Site site;
    site.config["console"] = "127.0.0.1:" + std::to_string(site.origin.port);
    Program program(site.config.dump());
    CHECK(program.exitCode() == 1);
    CHECK(program.log().find("can't listen on console") != std::string::npos);
}

TEST_CASE("operators' words on file: what can be read holds, whatever is wrong with the rest") {
    // An empty `problem` means none.
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
    CHECK(read("poppyscale words 2\nout c0\nfrobnicate 7\nstandby\n", "another version")
              .ejectedServers.contains("c0"));
    CHECK(read("poppyscale words 1\nout \nout a b\nout \x01\nout c1\n", "can't be read")
              .ejectedServers.size() == 1);
    CHECK(read(std::string(2'000'000, '\n'), "too long") == process::OperatorState{});
    CHECK(read(std::string("\0\xff\x80\n", 4), "nonsense") == process::OperatorState{});
    CHECK(state.applyLine("in c0"));
    CHECK(state.applyLine("active"));
    CHECK(state == process::OperatorState{{"s-5be2a07c"}, false});
    CHECK(!state.applyLine("in"));
    CHECK(!state.applyLine("out"));
}

TEST_CASE("a word that can't be written down is refused and holds nowhere; what is there already goes on") {
    Site site(true);
    const auto router = site.start();
    CHECK(asked(router->console, "maint-on c1").starts_with("ACK"));
    // What it writes beside its file leads to a full disk; then to one that may not be written.
    const std::string beside =
        site.tmp.path + "/poppyscale-n0.words." + std::to_string(router->program.pid());
    std::filesystem::create_symlink("/dev/full", beside);
    CHECK(asked(router->console, "maint-on c0").find("NAK it could not be written down: No space") == 0);
    CHECK(asked(router->console, "status").ends_with("; out: c1"));
    std::filesystem::create_directory(beside);
    CHECK(asked(router->console, "standby").starts_with("NAK it could not be written down"));
    CHECK(asked(router->console, "status").find("standing by") == std::string::npos);
    std::filesystem::remove(beside);
    CHECK(asked(router->console, "maint-on c0").ends_with("; out: c0 c1"));
}

TEST_CASE("operators' words cross an upgrade both ways, a killed predecessor and a silent one") {
    Site site(true);
    auto old = site.start();
    CHECK(asked(old->console, "maint-on c0").starts_with("ACK"));
    auto next = site.start();
    CHECK(asked(next->console, "status").find("out: c0") != std::string::npos);
    // While both live, at either door.
    CHECK(asked(old->console, "maint-on c1").starts_with("ACK"));
    CHECK(asked(next->console, "maint-off c0").starts_with("ACK"));
    CHECK(asked(next->console, "standby").starts_with("ACK"));
    const auto both = [&](const std::string& is) {
        for (auto* router : {old.get(), next.get()})
            for (int tries = 0; asked(router->console, "status").find(is) == std::string::npos; ++tries) {
                if (tries > 100) return false;
                usleep(20'000);
            }
        return true;
    };
    CHECK(both("standing by"));
    CHECK(both("out: c1"));
    CHECK(asked(old->console, "active").starts_with("ACK"));
    CHECK(both("open; out: c1"));
    // One that goes early leaves the way to its predecessor free for another.
    next.reset();
    next = site.start();
    CHECK(asked(old->console, "maint-off c1").starts_with("ACK"));
    CHECK(asked(old->console, "maint-on c0").substr(0, 3) == "ACK");
    CHECK(both("open; out: c0"));
    old->program.signal(SIGTERM);
    CHECK(old->program.exitCode() == 0);
    // Killed, it has written down what it said yes to.
    CHECK(asked(next->console, "maint-on c1").starts_with("ACK"));
    next->program.signal(SIGKILL);
    next->program.exitCode();
    auto third = site.start();
    CHECK(asked(third->console, "status").find("out: c0 c1") != std::string::npos);
    // Stopped, it is not waited for long, and hears by its end what was said meanwhile.
    third->program.signal(SIGSTOP);
    auto fourth = site.start();
    CHECK(asked(fourth->console, "status").find("out: c0 c1") != std::string::npos);
    CHECK(fourth->program.log().find("uses the operator state on file") != std::string::npos);
    CHECK(asked(fourth->console, "maint-off c0").starts_with("ACK"));
    third->program.signal(SIGTERM);
    third->program.signal(SIGCONT);
    CHECK(third->program.exitCode() == 0);
    CHECK(third->program.log().find("c0 is restored by the operator") != std::string::npos);
}

TEST_CASE("upgrades under load, one after the other: every command is answered, none is lost") {
    Site site(true);
    Serving serving(site);
    auto serves = site.start();
    std::atomic<bool> over = false;
    std::atomic<int> answered = 0, again = 0, wrong = 0;
    {
        std::vector<std::jthread> clients;
        for (int c = 0; c < 12; ++c)
            clients.emplace_back([&, c] {
                Socket kept = site.client();
                for (int i = 0; !over; ++i, usleep(3'000)) {
                    const std::string key = std::to_string(c) + "-" + std::to_string(i);
                    if (!kept.quiet(0)) kept = site.client();  // closed meanwhile, as any client sees
                    std::string got = kept.say(get(key)).answer();
                    // A close that crossed the command, which may be sent once more.
                    if (got.empty()) ++again, kept = site.client(), got = kept.say(get(key)).answer();
                    got == "9b1f-" + key ? ++answered : ++wrong;
                }
            });
        for (int upgrade = 0; upgrade < 3; ++upgrade) {
            usleep(300'000);
            auto next = site.start();
            serves->program.signal(SIGTERM);
            CHECK(serves->program.exitCode() == 0);
            serves = std::move(next);
        }
        usleep(300'000);
        over = true;
    }
    MESSAGE(answered.load(), " answered, ", again.load(), " crossed a close");
    CHECK(wrong.load() == 0);
    CHECK(answered.load() > 1'000);
    CHECK(again.load() <= 6);
}
