#include "ctl/fleet.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <fstream>
#include <future>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>

#include "ctl/instance.hpp"
#include "text/table.hpp"

namespace poppyscale::ctl {
namespace {

constexpr int kLook = 50;           // ms between two looks at who lives
constexpr int kAsk = 200;           // ms for an instance's answer
constexpr int kUpgradeAsk = 15000;  // the instance gives its successor up before that
constexpr int kFound = 4;

Nanos nowIs() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::string filled(std::string text, const std::map<std::string, std::string>& values) {
    for (const auto& [name, value] : values)
        for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at + value.size()))
            text.replace(at, name.size(), value);
    return text;
}

class Fleet : private fleet::Hands {
  public:
    explicit Fleet(const Description& d)
        : d_(d),
          keeper_(d.terms, std::random_device{}(), *this),
          instances_(static_cast<std::size_t>(d.terms.count)) {}

    int run() {
        sigset_t heard;
        sigemptyset(&heard);
        for (const int s : {SIGTERM, SIGINT, SIGHUP, SIGUSR2, SIGQUIT, SIGCHLD}) sigaddset(&heard, s);
        sigprocmask(SIG_BLOCK, &heard, nullptr);
        const int signals = ::signalfd(-1, &heard, SFD_CLOEXEC | SFD_NONBLOCK);
        for (int i = 0; i < d_.terms.count; ++i) find(i);
        bool wasReady = false;
        for (;;) {
            keeper_.settle(nowIs());
            if (keeper_.allStopped()) return 0;
            if (!wasReady && keeper_.allReady()) log("all instances are ready");
            wasReady = keeper_.allReady();
            pollfd one{signals, POLLIN, 0};
            ::poll(&one, 1, kLook);
            signalfd_siginfo info{};
            while (::read(signals, &info, sizeof info) == sizeof info) {
                if (info.ssi_signo == SIGQUIT) return 0;  // they live on, and are found by the next
                if (info.ssi_signo == SIGTERM || info.ssi_signo == SIGINT) keeper_.stopAll();
                if (info.ssi_signo == SIGHUP) begin(fleet::Keeper::Roll::restart);
                if (info.ssi_signo == SIGUSR2) begin(fleet::Keeper::Roll::upgrade);
            }
            for (int i = 0; i < d_.terms.count; ++i) look(i);
        }
    }

  private:
    struct Instance {
        pid_t pid = -1;
        bool child = false;
        bool ready = false;
        std::future<std::string> upgrade;
    };
    Instance& at(int i) { return instances_[static_cast<std::size_t>(i)]; }

    void begin(fleet::Keeper::Roll kind) {
        const char* const name = kind == fleet::Keeper::Roll::restart ? "restart" : "upgrade";
        log(keeper_.roll(nowIs(), kind)
                ? fmt::format("rolls a {} through all instances", name)
                : fmt::format("no {} now: not all are ready, or a roll is under way", name));
    }

    // An instance that an earlier keeper has left is taken as it is.
    void find(int i) {
        try {
            const auto status = ask(socketOf(d_, i), {{"do", "status"}}, kAsk);
            at(i).pid = status.at("pid").get<pid_t>();
            at(i).ready = status.at("state") == "serving";
            log(fmt::format("found {} as process {}", nameOf(d_, i), at(i).pid));
            keeper_.found(nowIs(), i, at(i).ready);
        } catch (const std::exception&) {
            at(i).pid = -1;
        }
    }

    bool lives(Instance& one) {
        if (one.child) return ::waitpid(one.pid, nullptr, WNOHANG) != one.pid;
        return ::kill(one.pid, 0) == 0;
    }

    void look(int i) {
        Instance& one = at(i);
        if (one.upgrade.valid()) {
            if (one.upgrade.wait_for(std::chrono::seconds(0)) != std::future_status::ready) return;
            const std::string problem = one.upgrade.get();
            if (problem.empty()) adopt(i);
            keeper_.upgraded(nowIs(), i, problem);
            return;
        }
        reap();
        if (one.pid < 0) return;
        if (!lives(one)) {
            one = {};
            return keeper_.ended(nowIs(), i);
        }
        if (one.ready) return;
        try {
            const auto status = ask(socketOf(d_, i), {{"do", "status"}}, kAsk);
            if (status.at("state") != "serving" || status.at("pid").get<pid_t>() != one.pid) return;
            one.ready = true;
            keeper_.ready(nowIs(), i);
        } catch (const std::exception&) {
            // Not up yet.
        }
    }

    // After an upgrade another process is the instance, a child of the one before.
    void adopt(int i) {
        Instance& one = at(i);
        if (one.child) leaving_.push_back(one.pid);
        one.child = false;
        try {
            one.pid = ask(socketOf(d_, i), {{"do", "status"}}, kAsk * kFound).at("pid").get<pid_t>();
        } catch (const std::exception& problem) {
            log(fmt::format("{} does not say who it is after its upgrade: {}", nameOf(d_, i),
                            problem.what()));
        }
    }

    void reap() {
        std::erase_if(leaving_, [](pid_t p) { return ::waitpid(p, nullptr, WNOHANG) == p; });
    }

    void start(int i) override {
        Instance& one = at(i);
        const std::string file = fmt::format("{}/{}.toml", d_.folder, nameOf(d_, i));
        // Whole or not at all: with a full disk the file before stays, and this start is one that failed.
        {
            std::ofstream out(file + ".new");
            out << operatorFileOf(d_, i);
            out.flush();
            if (!out || std::rename((file + ".new").c_str(), file.c_str()) != 0)
                log(fmt::format("can't write {}: {}; goes by what is there", file, std::strerror(errno)));
        }
        std::vector<std::string> words{d_.program, "serve", "--operator", file};
        std::vector<char*> arguments;
        for (auto& word : words) arguments.push_back(word.data());
        arguments.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        const std::string log_file = fmt::format("{}/{}.log", d_.folder, nameOf(d_, i));
        posix_spawn_file_actions_addopen(&files, 2, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawnattr_t attributes;
        posix_spawnattr_init(&attributes);
        sigset_t none;
        sigemptyset(&none);
        posix_spawnattr_setsigmask(&attributes, &none);
        // A group of its own: what ends the keeper from a terminal is not for the instances.
        posix_spawnattr_setpgroup(&attributes, 0);
        posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETPGROUP);
        const int failed =
            ::posix_spawn(&one.pid, words[0].c_str(), &files, &attributes, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&files);
        posix_spawnattr_destroy(&attributes);
        if (failed) {
            log(fmt::format("can't start {}: {}", d_.program, std::strerror(failed)));
            one.pid = -1;
            return keeper_.ended(nowIs(), i);
        }
        one.child = true;
        one.ready = false;
    }
    void stop(int i) override { signal(i, SIGTERM); }
    void end(int i) override { signal(i, SIGKILL); }
    void signal(int i, int number) {
        at(i).ready = false;
        if (at(i).pid > 0)
            ::kill(at(i).pid, number);
        else
            keeper_.ended(nowIs(), i);
    }
    void upgrade(int i) override {
        at(i).upgrade = std::async(std::launch::async, [path = socketOf(d_, i)]() -> std::string {
            try {
                const auto said = ask(path, {{"do", "upgrade"}}, kUpgradeAsk);
                return said.contains("error") ? said["error"].get<std::string>() : "";
            } catch (const std::exception& problem) {
                return problem.what();
            }
        });
    }
    void log(std::string_view text) override { fmt::print(stderr, "poppyctl fleet: {}\n", text); }

    const Description& d_;
    fleet::Keeper keeper_;
    std::vector<Instance> instances_;
    std::vector<pid_t> leaving_;  // drain after an upgrade
};

}  // namespace

Description readDescription(const std::string& file) {
    std::ifstream stream(file, std::ios::binary);
    const std::string said{std::istreambuf_iterator<char>(stream), {}};
    if (!stream) throw std::runtime_error(file + ":1: can't be read");
    text::Problems problems(file);
    Description d;
    if (const auto table = text::parseToml(said, file, problems)) {
        text::Table t(*table, problems);
        d.terms.count = t.whole("count", std::nullopt, 1, 1000);
        d.terms.batch = t.whole("batch", 1, 1, 1000);
        d.terms.readyWithin = t.millis("ready_ms", 10'000.0);
        d.terms.watch = t.millis("watch_ms", 2'000.0);
        d.terms.leastPause = t.millis("pause_ms", 200.0);
        d.terms.longestPause = t.millis("longest_pause_ms", 30'000.0);
        d.terms.steady = t.millis("steady_ms", 60'000.0);
        d.terms.stopWithin = t.millis("stop_ms", 10'000.0);
        if (d.terms.batch >= d.terms.count && d.terms.count > 1)
            t.problem("batch", "is not less than count: all would be away at once");
        d.program = t.text("program", std::nullopt);
        d.folder = t.text("folder", std::nullopt);
        if (!d.folder.starts_with('/')) t.problem("folder", "is not an absolute path");
        d.name = t.text("name", "r");
        d.address = t.text("address", "127.0.0.1");
        d.firstPort = t.whole("first_port", std::nullopt, 1, 65'535);
        if (d.firstPort + d.terms.count > 65'536)
            t.problem("first_port", "leaves no port for the last instance");
        const std::string path = t.text("operator", std::nullopt);
        std::ifstream form(path, std::ios::binary);
        d.templateText.assign(std::istreambuf_iterator<char>(form), {});
        if (!form) t.problem("operator", "names a file that can't be read: " + path);
        for (const char* part : {"{name}", "{listen}", "{socket}"})
            if (form && d.templateText.find(part) == std::string::npos)
                t.problem("operator", fmt::format("{} has no {}", path, part));
        t.finish();
    }
    if (!problems.none()) throw std::runtime_error(problems.text());
    return d;
}

std::string nameOf(const Description& d, int i) { return d.name + std::to_string(i); }
std::string socketOf(const Description& d, int i) {
    return fmt::format("{}/{}.sock", d.folder, nameOf(d, i));
}

std::string operatorFileOf(const Description& d, int i) {
    return filled(d.templateText, {{"{name}", nameOf(d, i)},
                                   {"{listen}", fmt::format("{}:{}", d.address, d.firstPort + i)},
                                   {"{socket}", socketOf(d, i)}});
}

int keepFleet(const Description& d) {
    if (::mkdir(d.folder.c_str(), 0755) != 0 && errno != EEXIST)
        throw std::runtime_error(fmt::format("can't make {}: {}", d.folder, std::strerror(errno)));
    Fleet fleet(d);
    return fleet.run();
}

}  // namespace poppyscale::ctl
