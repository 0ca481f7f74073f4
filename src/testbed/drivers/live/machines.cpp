#include "testbed/drivers/live/machines.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "ctl/control_client.hpp"
#include "testbed/drivers/live/live_run.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::testbed {
namespace {

using nlohmann::json;

constexpr double kSlowHarm = 0.08;  // days are short: over the plan's default
constexpr Nanos kAskEvery = 40 * kMillisecond;
constexpr Nanos kAnswerWithin = 2'000 * kMillisecond;

// What an agent keeps to go back to, and what it changes to.
void loseProgram(const std::string& folder) {
    std::error_code none;
    for (const auto& one : std::filesystem::directory_iterator(folder + "/versions", none))
        if (one.is_directory()) std::filesystem::remove_all(one.path(), none);
}

std::string beside(const std::string& name) {
    const auto path = std::filesystem::read_symlink("/proc/self/exe").parent_path() / name;
    if (!std::filesystem::exists(path)) throw RunError("not there: " + path.string());
    return path.string();
}

std::string wordFor(const std::string& command) { return command.substr(0, command.find(' ')); }

}  // namespace

std::vector<pid_t> descendantsOf(pid_t process) {
    std::vector<pid_t> all;
    std::error_code none;
    for (const auto& thread :
         std::filesystem::directory_iterator(fmt::format("/proc/{}/task", process), none)) {
        std::ifstream file(thread.path() / "children");
        for (pid_t child; file >> child;) {
            all.push_back(child);
            const auto below = descendantsOf(child);
            all.insert(all.end(), below.begin(), below.end());
        }
    }
    return all;
}

int guarded(const std::function<int()>& play) {
    ::prctl(PR_SET_CHILD_SUBREAPER, 1);
    const pid_t guard = ::getpid();
    const pid_t child = ::fork();
    if (child < 0) throw RunError(std::string("can't start a process: ") + std::strerror(errno));
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGTERM);
        if (::getppid() != guard) ::_exit(1);
        int code = 1;
        try {
            code = play();
        } catch (const std::exception& problem) {
            fmt::print(stderr, "poppyscale_testbed: {}\n", problem.what());
            code = 2;
        }
        std::fflush(nullptr);
        ::_exit(code);
    }
    // What is said to this process is meant for the play.
    sigset_t heard;
    sigemptyset(&heard);
    for (const int s : {SIGINT, SIGTERM, SIGCHLD}) sigaddset(&heard, s);
    sigprocmask(SIG_BLOCK, &heard, nullptr);
    int status = 0;
    for (;;) {
        const pid_t ended = ::waitpid(-1, &status, WNOHANG);
        if (ended == child) break;
        if (ended > 0) continue;
        siginfo_t info{};
        ::sigwaitinfo(&heard, &info);
        if (info.si_signo != SIGCHLD) ::kill(child, info.si_signo);
    }
    // What it left behind has become this process's, or is below what has.
    for (int i = 0; i < 100; ++i) {
        const auto left = descendantsOf(guard);
        if (left.empty()) break;
        for (const pid_t p : left) ::kill(p, SIGKILL);
        while (::waitpid(-1, nullptr, WNOHANG) > 0) {
        }
        ::usleep(10'000);
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1;
}

Machines::Machines(const Scenario& scenario, const MachinesOptions& wanted, MachineEvents& host)
    : scenario_(scenario),
      options_(wanted),
      host_(host),
      machines_(static_cast<std::size_t>(scenario.machines.count)),
      routers_(static_cast<std::size_t>(scenario.routers.count)) {
    std::ofstream(options_.folder + "/form.toml") << options_.form;
    for (int m = 0; m < scenario.machines.count; ++m) {
        Machine& one = machines_[static_cast<std::size_t>(m)];
        one.folder = fmt::format("{}/m{}", options_.folder, m);
        one.file = fmt::format("{}/m{}.toml", options_.folder, m);
        std::filesystem::remove_all(one.folder);  // a disk begins empty
        std::filesystem::create_directories(one.folder);
        std::ofstream(one.file) << fmt::format(
            "program = \"{}\"\noperator = \"{}/form.toml\"\nfolder = \"{}\"\nname = \"m{}r\"\nzone = "
            "\"{}\"\naddress = "
            "\"{}\"\nown_addresses = true\nfirst_port = {}\ncount = {}\nready_ms = 5000\nstop_ms = "
            "4000\npause_ms = "
            "100\nlongest_pause_ms = 1000\n",
            std::filesystem::absolute(wordFor(options_.program)).string(), options_.folder, one.folder, m,
            scenario.zoneOf(first(m)), options_.address(first(m)), options_.port,
            scenario.machines.instances);
        if (needsHost(scenario, m))
            one.host = std::make_unique<HostEnvironment>(fmt::format("{}/m{}.host", options_.folder, m),
                                                         one.folder, transport::EventLoop::now());
    }
    // One for each ordered pair, and from the operator's desk to each.
    networkPaths_.resize(machines_.size() + 1);
    for (int from = -1; from < scenario.machines.count; ++from) {
        auto& row = networkPaths_[static_cast<std::size_t>(from < 0 ? scenario.machines.count : from)];
        for (int to = 0; to < scenario.machines.count; ++to)
            row.push_back(std::make_unique<NetworkPath>(
                networkPathSocket(from, to), machines_[static_cast<std::size_t>(to)].folder + "/fleet.sock",
                options_.seed * 17 + static_cast<std::uint64_t>((from + 1) * 64 + to)));
    }
}

std::string Machines::networkPathSocket(int from, int to) const {
    return from < 0 ? fmt::format("{}/w{}.sock", options_.folder, to)
                    : fmt::format("{}/w{}-{}.sock", options_.folder, from, to);
}

bool Machines::needsHost(const Scenario& scenario, int m) {
    return std::any_of(scenario.faults.begin(), scenario.faults.end(), [m](const FaultPlan& f) {
        using K = FaultKind;
        const bool seen = f.kind == K::machineSleep || f.kind == K::diskReadOnly || f.kind == K::diskSlow ||
                          f.kind == K::syncFails || f.kind == K::clockRate || f.kind == K::clockJump;
        return seen && (f.machine < 0 || f.machine == m);
    });
}

Machines::~Machines() {
    coordinators_.clear();
    for (int m = 0; m < std::ssize(machines_); ++m) {
        endAll(m, SIGKILL);
        Machine& one = machines_[static_cast<std::size_t>(m)];
        if (one.ask >= 0) ::close(one.ask);
    }
    // Those whose parent has gone are ours by now.
    for (const pid_t p : seen_) {
        if (::waitpid(p, nullptr, WNOHANG) == 0) ::kill(p, SIGKILL);
        ::waitpid(p, nullptr, WNOHANG);
    }
}

void Machines::start() {
    for (int m = 0; m < std::ssize(machines_); ++m) startAgent(m);
}

void Machines::startAgent(int m) {
    Machine& one = machines_[static_cast<std::size_t>(m)];
    std::filesystem::create_directories(one.folder);
    one.down = false;
    one.after = 0;
    const RolloutScenario& roll = scenario_.roll;
    std::vector<std::pair<std::string, std::string>> variables;
    if (roll.harmful() && !roll.bySettings())
        variables = {{"POPPYSCALE_TESTBED_PROGRAM_HARM", roll.change},
                     {"POPPYSCALE_TESTBED_PROGRAM_HARM_SIZE", fmt::format("{}", roll.size)}};
    if (one.host)
        for (auto& variable : one.host->variables()) variables.push_back(std::move(variable));
    one.agent = std::make_unique<ChildProcess>(fmt::format("{} fleet {}", options_.ctl, one.file), variables,
                                               fmt::format("{}/m{}.log", options_.folder, m));
}

std::string Machines::prepareChange() {
    const RolloutScenario& roll = scenario_.roll;
    if (roll.bySettings()) {
        std::ofstream(options_.folder + "/changed.toml") << options_.changedForm;
        return fmt::format("operator = \"{}/changed.toml\"\n", options_.folder);
    }
    // The same program with another digest, or a defective version, which stands beside the testbed's own
    // program.
    const std::string path = options_.folder + "/change";
    const std::string same = options_.changed.empty() ? wordFor(options_.program) : options_.changed;
    std::filesystem::copy_file(roll.harmful() ? beside("poppyscale_defective_variant") : same, path,
                               std::filesystem::copy_options::overwrite_existing);
    std::ofstream(path, std::ios::binary | std::ios::app) << '\0';
    return fmt::format("program = \"{}\"\n", path);
}

// The same for all coordinators, but for the ways that lead from where each is.
void Machines::startRollout() {
    change_ = "[change]\n" + prepareChange();
    startCoordinator(scenario_.roll.machine);
}

void Machines::startCoordinator(int machine) {
    const RolloutScenario& r = scenario_.roll;
    std::string plan;
    for (int m = 0; m < std::ssize(machines_); ++m)
        plan += fmt::format("[[agents]]\nname = \"m{}\"\nsocket = \"{}\"\n", m,
                            m == machine ? machines_[static_cast<std::size_t>(m)].folder + "/fleet.sock"
                                         : networkPathSocket(machine, m));
    plan += change_;
    for (const std::string& s : r.stages)
        plan +=
            fmt::format("[[stages]]\n{} = {}\n", s.find('.') == std::string::npos ? "instances" : "share", s);
    const auto ms = [](Nanos ns) { return ns / kMillisecond; };
    plan += fmt::format(
        "[stage]\nleast_ms = {}\nlongest_ms = {}\nsettle_ms = {}\nwatch_ms = {}\nbatch = "
        "1\n[keep]\nwithout_word_ms = "
        "{}\n[back]\nbatch = 2\nwithin_ms = {}\n[worse]\nharm = {}\nsilent = {}\nslow_harm = {}\n",
        ms(r.least), ms(r.longest), ms(r.settleTime), ms(r.watch), ms(r.keep), ms(r.back), r.harm, r.silent,
        kSlowHarm);
    const std::string file = machine < 0 ? options_.folder + "/plan.toml"
                                         : fmt::format("{}/plan{}.toml", options_.folder, machine);
    std::ofstream(file) << plan;
    std::vector<std::pair<std::string, std::string>> variables;
    if (machine >= 0 && machines_[static_cast<std::size_t>(machine)].host)
        variables = machines_[static_cast<std::size_t>(machine)].host->variables();
    coordinators_.push_back({std::make_unique<ChildProcess>(fmt::format("{} roll {}", options_.ctl, file),
                                                            variables, options_.folder + "/coordinator.log"),
                             machine});
}

std::string Machines::lastOfCoordinator() const {
    std::ifstream file(options_.folder + "/coordinator.log");
    std::string line, why;
    while (std::getline(file, line))
        if (line.find(" ends ") != std::string::npos || line.find(": stops ") != std::string::npos)
            why = line;
    return why;
}

std::vector<pid_t> Machines::processesOf(int m) const {
    const Machine& one = machines_[static_cast<std::size_t>(m)];
    std::vector<pid_t> all;
    if (one.agent) {
        all.push_back(one.agent->pid());
        const auto below = descendantsOf(one.agent->pid());
        all.insert(all.end(), below.begin(), below.end());
    }
    for (int r = first(m); r < first(m) + scenario_.machines.instances; ++r)
        if (const pid_t p = routers_[static_cast<std::size_t>(r)].pid;
            p > 0 && std::find(all.begin(), all.end(), p) == all.end())
            all.push_back(p);
    for (const Coordinator& c : coordinators_)
        if (c.machine == m) all.push_back(c.process->pid());
    return all;
}

void Machines::endAll(int m, int number) {
    for (const pid_t p : processesOf(m)) {
        ::kill(p, number);
        seen_.push_back(p);
    }
    if (number != SIGKILL) return;
    machines_[static_cast<std::size_t>(m)].agent.reset();
}

void Machines::kill(int router) {
    const pid_t p = routers_[static_cast<std::size_t>(router)].pid;
    if (p > 0) ::kill(p, SIGKILL);
}

void Machines::forEachNetworkPath(int m, const std::function<void(NetworkPath&)>& what) {
    for (int other = -1; other < std::ssize(machines_); ++other) {
        what(networkPath(other, m));
        if (other >= 0 && other != m) what(networkPath(m, other));
    }
}

void Machines::cut(int m, const FaultPlan& fault, bool begins) {
    for (int other = -1; other < std::ssize(machines_); ++other) {
        const auto& named = fault.others;
        if (other == m) continue;
        if (!named.empty() && std::find(named.begin(), named.end(), other) == named.end()) continue;
        const auto change = [&](NetworkPath& w, bool to, bool from) {
            w.cutTo = begins && to;
            w.cutFrom = begins && from;
            if (!begins) w.healed();
        };
        change(networkPath(other, m), fault.to, fault.from);
        // The ways that begin at it carry the same two streams, named from their own other end.
        if (other >= 0) change(networkPath(m, other), fault.from, fault.to);
    }
}

void Machines::stopAll(Machine& one, int m, Nanos now, bool begins) {
    if (begins) one.stopped = processesOf(m);
    for (int r = first(m); r < first(m) + scenario_.machines.instances; ++r)
        host_.onClaim(r, now, begins ? "away begins" : "away ends");
    for (const pid_t p : one.stopped) ::kill(p, begins ? SIGSTOP : SIGCONT);
}

void Machines::injectFault(Nanos now, const FaultPlan& fault, int m, bool begins) {
    Machine& one = machines_[static_cast<std::size_t>(m)];
    const auto each = [&](auto what) {
        for (int r = first(m); r < first(m) + scenario_.machines.instances; ++r) what(r);
    };
    using K = FaultKind;
    switch (fault.kind) {
        case K::machineKill:
        case K::machineLost:
            if (!begins) return startAgent(m);
            one.down = true;
            each([&](int r) {
                host_.onRouterStopping(r, now);
                host_.onClaim(r, now, "away begins");
            });
            // Its coordinator goes with it; the testbed brings no other one by itself.
            endAll(m, SIGKILL);
            std::erase_if(coordinators_, [m](const Coordinator& c) { return c.machine == m; });
            if (one.ask >= 0) ::close(std::exchange(one.ask, -1));
            each([&](int r) {
                routers_[static_cast<std::size_t>(r)] = {-1, false, true,
                                                         routers_[static_cast<std::size_t>(r)].changed};
                host_.onRouterGone(r, now);
            });
            if (fault.kind == K::machineLost) std::filesystem::remove_all(one.folder);
            return;
        case K::machineStop:
        case K::machineSleep:
            if (begins) one.asleepSince = now;
            if (!begins && fault.kind == K::machineSleep) one.host->slept(one.asleepSince, now);
            return stopAll(one, m, now, begins);
        case K::agentKill:
            if (!begins) return startAgent(m);
            one.down = true;
            if (one.ask >= 0) ::close(std::exchange(one.ask, -1));
            ::kill(one.agent->pid(), SIGKILL);
            one.agent.reset();
            return;
        case K::agentStop:
            if (one.agent) ::kill(one.agent->pid(), begins ? SIGSTOP : SIGCONT);
            return;
        case K::machineCut:
            return cut(m, fault, begins);
        case K::diskFull: {
            if (!one.agent) return;
            rlimit limit{begins ? 0 : RLIM_INFINITY, RLIM_INFINITY};
            ::prlimit(one.agent->pid(), RLIMIT_FSIZE, &limit, nullptr);
            return;
        }
        case K::diskReadOnly:
            return one.host->readOnly(begins);
        case K::diskSlow:
            return one.host->syncTakes(begins ? static_cast<Nanos>(fault.by * kMillisecond) : 0);
        case K::syncFails:
            return one.host->syncsFail(begins ? fault.count : 0);
        case K::programGone:
            if (begins) loseProgram(one.folder);
            return;
        case K::clockRate:
            return one.host->rate(now, begins ? fault.by : 1);
        case K::clockJump:
            return one.host->jump(static_cast<Nanos>((begins ? fault.by : -fault.by) * kMillisecond));
        case K::wayDelay:
        case K::wayStall:
        case K::wayDrop:
            forEachNetworkPath(m, [&](NetworkPath& w) {
                if (fault.kind == K::wayDelay)
                    w.delay = begins ? static_cast<Nanos>(fault.by * kMillisecond) : 0;
                if (fault.kind == K::wayStall) w.stalls = begins;
                if (fault.kind == K::wayDrop) w.drops = begins ? fault.by : 0;
            });
            return;
        case K::coordinatorKill:
            if (!begins) {
                if (!hasRolledOut_) startCoordinator(coordinatorAt_);
                return;
            }
            for (const Coordinator& c : coordinators_) coordinatorAt_ = c.machine;
            coordinators_.clear();
            return;
        case K::coordinatorTwice:
            if (begins && !hasRolledOut_) startCoordinator(fault.machine);
            return;
        default:
            return;
    }
}

// ---- what the agents tell

void Machines::pollAgents(Nanos now, int m) {
    Machine& one = machines_[static_cast<std::size_t>(m)];
    if (one.down) return;
    if (one.ask >= 0) {
        char buffer[65536];
        ssize_t got = 0;
        while ((got = ::recv(one.ask, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
            one.said.append(buffer, static_cast<std::size_t>(got));
        const bool over = got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        if (!one.said.ends_with('\n')) {
            if (over || now - one.askedAt > kAnswerWithin) ::close(std::exchange(one.ask, -1));
            return;
        }
        ::close(std::exchange(one.ask, -1));
        const auto said = json::parse(one.said, nullptr, false);
        if (!said.is_object() || !said.contains("events")) return;
        for (const auto& e : said["events"]) {
            one.after = e.at("number").get<std::uint64_t>();
            happened(m, e.at("what").get<std::string>(), first(m) + e.at("instance").get<int>(),
                     one.host ? one.host->trueOf(e.at("at_ns").get<Nanos>()) : e.at("at_ns").get<Nanos>(),
                     e.at("pid").get<pid_t>(), e.at("version").get<std::string>());
        }
        return;
    }
    if (now - one.askedAt < kAskEvery) return;
    one.askedAt = now;
    one.said.clear();
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    const std::string path = one.folder + "/fleet.sock";
    std::memcpy(at.sun_path, path.data(), std::min(path.size(), sizeof at.sun_path - 1));
    one.ask = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const std::string line = json{{"do", "events"}, {"after", one.after}}.dump() + "\n";
    if (::connect(one.ask, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::send(one.ask, line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size()))
        ::close(std::exchange(one.ask, -1));
}

void Machines::happened(int, const std::string& what, int r, Nanos at, pid_t pid,
                        const std::string& version) {
    Router& router = routers_[static_cast<std::size_t>(r)];
    if (before_.empty()) before_ = version;
    if (pid > 0) router.pid = pid;
    if (pid > 0) seen_.push_back(pid);
    const bool toChange = version != before_;
    const auto away = [&](bool is) {
        if (std::exchange(router.isGone, is) != is) host_.onClaim(r, at, is ? "away begins" : "away ends");
    };
    if (what == "ready" || what == "found") {
        away(false);
        if (!std::exchange(router.up, true)) host_.onRouterUp(r);
    } else if (what == "told to stop") {
        if (router.up) host_.onRouterStopping(r, at);
        away(true);
    } else if (what.starts_with("ended")) {
        away(true);
        router.pid = -1;
        if (std::exchange(router.up, false)) host_.onRouterGone(r, at);
    }
    if ((what.starts_with("changes") || what == "started" || what == "found") && toChange &&
        !router.changed) {
        router.changed = true;
        host_.onClaim(r, at, "change begins");
    }
    if (what == "changed" && !toChange && router.changed) {
        router.changed = false;
        host_.onClaim(r, at, "change ends");
    }
}

std::string Machines::runs(int router) const {
    const Router& r = routers_[static_cast<std::size_t>(router)];
    char path[4096];
    const ssize_t size =
        r.pid > 0 ? ::readlink(fmt::format("/proc/{}/exe", r.pid).c_str(), path, sizeof path) : -1;
    if (size <= 0 || !r.up) return "nothing";
    // By the process itself and not by its agent's word; settings by what it was given.
    const std::string program(path, static_cast<std::size_t>(size));
    const auto slash = before_.find('/');
    if (scenario_.roll.bySettings()) {
        const int m = router / scenario_.machines.instances;
        const std::string door = fmt::format("{}/m{}r{}.sock", machines_[static_cast<std::size_t>(m)].folder,
                                             m, router - first(m));
        try {
            const auto described =
                ctl::sendRequest(door, {{"do", "status"}}, 1000).at("described").get<std::string>();
            return described.find(marked()) != std::string::npos ? "change" : "before";
        } catch (const std::exception&) {
            return "nothing";
        }
    }
    return program.find(before_.substr(0, slash)) != std::string::npos ? "before" : "change";
}

// What an instance tells of what is in force, if that is the roll's settings.
std::string Machines::marked() const {
    const RolloutScenario& roll = scenario_.roll;
    const RequestClass& requestClass = scenario_.requestClasses.front().requestClass;
    if (roll.change == "misnamed") return "nowhere";
    if (roll.change == "halved")
        return fmt::format("goal {} ms", requestClass.latencyObjective / 8 / kMillisecond);
    return fmt::format(":{} ", 30'001);
}

void Machines::runIteration(Nanos now) {
    for (int m = 0; m < std::ssize(machines_); ++m) {
        for (int from = -1; from < std::ssize(machines_); ++from) networkPath(from, m).pump(now);
        pollAgents(now, m);
    }
    for (auto it = coordinators_.begin(); it != coordinators_.end();) {
        if (!it->process->hasExited()) {
            ++it;
            continue;
        }
        const int code = it->process->exitCode();
        it = coordinators_.erase(it);
        // One that was overtaken ends with 1: the other one's word counts.
        if (code != 1 || coordinators_.empty()) hasRolledOut_ = code;
    }
}

}  // namespace poppyscale::testbed
