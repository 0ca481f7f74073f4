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

// `slow_harm` of the rollout plan. Scenarios are short, so it is above the plan's default.
constexpr double kSlowHarm = 0.08;
constexpr Nanos kEventPollInterval = 40 * kMillisecond;
constexpr Nanos kEventPollTimeout = 2'000 * kMillisecond;

// Removes the copies of programs that an agent keeps for changes and rollbacks.
void removeStoredPrograms(const std::string& folder) {
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator(folder + "/versions", ignored))
        if (entry.is_directory()) std::filesystem::remove_all(entry.path(), ignored);
}

std::string siblingProgram(const std::string& name) {
    const auto path = std::filesystem::read_symlink("/proc/self/exe").parent_path() / name;
    if (!std::filesystem::exists(path)) throw RunError("program does not exist: " + path.string());
    return path.string();
}

std::string executableOf(const std::string& command) { return command.substr(0, command.find(' ')); }

}  // namespace

std::vector<pid_t> descendantsOf(pid_t process) {
    std::vector<pid_t> all;
    std::error_code ignored;
    for (const auto& thread :
         std::filesystem::directory_iterator(fmt::format("/proc/{}/task", process), ignored)) {
        std::ifstream file(thread.path() / "children");
        for (pid_t child; file >> child;) {
            all.push_back(child);
            const auto below = descendantsOf(child);
            all.insert(all.end(), below.begin(), below.end());
        }
    }
    return all;
}

int runInSupervisedChild(const std::function<int()>& run) {
    ::prctl(PR_SET_CHILD_SUBREAPER, 1);
    const pid_t supervisor = ::getpid();
    const pid_t child = ::fork();
    if (child < 0) throw RunError(std::string("can't start a process: ") + std::strerror(errno));
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGTERM);
        if (::getppid() != supervisor) ::_exit(1);
        int code = 1;
        try {
            code = run();
        } catch (const std::exception& problem) {
            fmt::print(stderr, "poppyscale_testbed: {}\n", problem.what());
            code = 2;
        }
        std::fflush(nullptr);
        ::_exit(code);
    }
    // Signals to this process are forwarded to the child.
    sigset_t forwarded;
    sigemptyset(&forwarded);
    for (const int s : {SIGINT, SIGTERM, SIGCHLD}) sigaddset(&forwarded, s);
    sigprocmask(SIG_BLOCK, &forwarded, nullptr);
    int status = 0;
    for (;;) {
        const pid_t exited = ::waitpid(-1, &status, WNOHANG);
        if (exited == child) break;
        if (exited > 0) continue;
        siginfo_t info{};
        ::sigwaitinfo(&forwarded, &info);
        if (info.si_signo != SIGCHLD) ::kill(child, info.si_signo);
    }
    // Processes that the child left behind are now descendants of this process, which is a
    // subreaper.
    for (int i = 0; i < 100; ++i) {
        const auto remaining = descendantsOf(supervisor);
        if (remaining.empty()) break;
        for (const pid_t p : remaining) ::kill(p, SIGKILL);
        while (::waitpid(-1, nullptr, WNOHANG) > 0) {
        }
        ::usleep(10'000);
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1;
}

Machines::Machines(const Scenario& scenario, const MachinesOptions& options, MachineEvents& events)
    : scenario_(scenario),
      options_(options),
      events_(events),
      machines_(static_cast<std::size_t>(scenario.machines.count)),
      routers_(static_cast<std::size_t>(scenario.routers.count)) {
    std::ofstream(options_.folder + "/form.toml") << options_.operatorFile;
    for (int machine = 0; machine < scenario.machines.count; ++machine) {
        MachineState& state = machines_[static_cast<std::size_t>(machine)];
        state.folder = fmt::format("{}/m{}", options_.folder, machine);
        state.agentConfig = fmt::format("{}/m{}.toml", options_.folder, machine);
        std::filesystem::remove_all(state.folder);  // the machine's disk is empty at first
        std::filesystem::create_directories(state.folder);
        std::ofstream(state.agentConfig) << fmt::format(
            "program = \"{}\"\noperator = \"{}/form.toml\"\nfolder = \"{}\"\nname = \"m{}r\"\nzone = "
            "\"{}\"\naddress = "
            "\"{}\"\nown_addresses = true\nfirst_port = {}\ncount = {}\nready_ms = 5000\nstop_ms = "
            "4000\npause_ms = "
            "100\nlongest_pause_ms = 1000\n",
            std::filesystem::absolute(executableOf(options_.program)).string(), options_.folder, state.folder,
            machine, scenario.zoneOf(firstRouterOf(machine)), options_.address(firstRouterOf(machine)),
            options_.firstPort, scenario.machines.instances);
        if (needsHostEnvironment(scenario, machine))
            state.hostEnvironment =
                std::make_unique<HostEnvironment>(fmt::format("{}/m{}.host", options_.folder, machine),
                                                  state.folder, transport::EventLoop::now());
    }
    // One path for each ordered pair of machines, and one from the operator's workstation to each
    // machine.
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

bool Machines::needsHostEnvironment(const Scenario& scenario, int machine) {
    return std::any_of(scenario.faults.begin(), scenario.faults.end(), [machine](const FaultPlan& f) {
        using K = FaultKind;
        const bool affectsHost = f.kind == K::machineSleep || f.kind == K::diskReadOnly ||
                                 f.kind == K::diskSlow || f.kind == K::syncFails || f.kind == K::clockRate ||
                                 f.kind == K::clockJump;
        return affectsHost && (f.machine < 0 || f.machine == machine);
    });
}

Machines::~Machines() {
    coordinators_.clear();
    for (int machine = 0; machine < std::ssize(machines_); ++machine) {
        signalAll(machine, SIGKILL);
        MachineState& state = machines_[static_cast<std::size_t>(machine)];
        if (state.eventsFd >= 0) ::close(state.eventsFd);
    }
    // Processes whose parent has exited are children of this process by now.
    for (const pid_t p : seenProcesses_) {
        if (::waitpid(p, nullptr, WNOHANG) == 0) ::kill(p, SIGKILL);
        ::waitpid(p, nullptr, WNOHANG);
    }
}

void Machines::start() {
    for (int machine = 0; machine < std::ssize(machines_); ++machine) startAgent(machine);
}

void Machines::startAgent(int machine) {
    MachineState& state = machines_[static_cast<std::size_t>(machine)];
    std::filesystem::create_directories(state.folder);
    state.isDown = false;
    state.lastEvent = 0;
    const RolloutScenario& roll = scenario_.rollout;
    std::vector<std::pair<std::string, std::string>> variables;
    if (roll.isHarmful() && !roll.changesSettings())
        variables = {{"POPPYSCALE_TESTBED_PROGRAM_HARM", roll.change},
                     {"POPPYSCALE_TESTBED_PROGRAM_HARM_SIZE", fmt::format("{}", roll.size)}};
    if (state.hostEnvironment)
        for (auto& variable : state.hostEnvironment->variables()) variables.push_back(std::move(variable));
    state.agent =
        std::make_unique<ChildProcess>(fmt::format("{} fleet {}", options_.ctlProgram, state.agentConfig),
                                       variables, fmt::format("{}/m{}.log", options_.folder, machine));
}

std::string Machines::prepareChange() {
    const RolloutScenario& roll = scenario_.rollout;
    if (roll.changesSettings()) {
        std::ofstream(options_.folder + "/changed.toml") << options_.changedOperatorFile;
        return fmt::format("operator = \"{}/changed.toml\"\n", options_.folder);
    }
    // The change is the same program or a defective variant, which lies beside the testbed's own
    // program. The byte added at the end gives the file a digest of its own.
    const std::string path = options_.folder + "/change";
    const std::string same =
        options_.changedProgram.empty() ? executableOf(options_.program) : options_.changedProgram;
    std::filesystem::copy_file(roll.isHarmful() ? siblingProgram("poppyscale_defective_variant") : same, path,
                               std::filesystem::copy_options::overwrite_existing);
    std::ofstream(path, std::ios::binary | std::ios::app) << '\0';
    return fmt::format("program = \"{}\"\n", path);
}

// The change is prepared once. All coordinators have the same plan, except for the paths from their
// machines to the agents.
void Machines::startRollout() {
    planChange_ = "[change]\n" + prepareChange();
    startCoordinator(scenario_.rollout.machine);
}

void Machines::startCoordinator(int machine) {
    const RolloutScenario& roll = scenario_.rollout;
    std::string plan;
    for (int m = 0; m < std::ssize(machines_); ++m)
        plan += fmt::format("[[agents]]\nname = \"m{}\"\nsocket = \"{}\"\n", m,
                            m == machine ? machines_[static_cast<std::size_t>(m)].folder + "/fleet.sock"
                                         : networkPathSocket(machine, m));
    plan += planChange_;
    for (const std::string& s : roll.stages)
        plan +=
            fmt::format("[[stages]]\n{} = {}\n", s.find('.') == std::string::npos ? "instances" : "share", s);
    const auto ms = [](Nanos ns) { return ns / kMillisecond; };
    plan += fmt::format(
        "[stage]\nleast_ms = {}\nlongest_ms = {}\nsettle_ms = {}\nwatch_ms = {}\nbatch = "
        "1\n[keep]\nwithout_word_ms = "
        "{}\n[back]\nbatch = 2\nwithin_ms = {}\n[worse]\nharm = {}\nsilent = {}\nslow_harm = {}\n",
        ms(roll.minStageDuration), ms(roll.maxStageDuration), ms(roll.settleTime), ms(roll.baselineTime),
        ms(roll.agentHoldDuration), ms(roll.rollbackTimeout), roll.harm, roll.silent, kSlowHarm);
    const std::string file = machine < 0 ? options_.folder + "/plan.toml"
                                         : fmt::format("{}/plan{}.toml", options_.folder, machine);
    std::ofstream(file) << plan;
    std::vector<std::pair<std::string, std::string>> variables;
    if (machine >= 0 && machines_[static_cast<std::size_t>(machine)].hostEnvironment)
        variables = machines_[static_cast<std::size_t>(machine)].hostEnvironment->variables();
    coordinators_.push_back(
        {std::make_unique<ChildProcess>(fmt::format("{} roll {}", options_.ctlProgram, file), variables,
                                        options_.folder + "/coordinator.log"),
         machine});
}

std::string Machines::coordinatorOutcome() const {
    std::ifstream file(options_.folder + "/coordinator.log");
    std::string line, outcome;
    while (std::getline(file, line))
        if (line.find(" ends ") != std::string::npos || line.find(": stops ") != std::string::npos)
            outcome = line;
    return outcome;
}

std::vector<pid_t> Machines::processesOf(int machine) const {
    const MachineState& state = machines_[static_cast<std::size_t>(machine)];
    std::vector<pid_t> all;
    if (state.agent) {
        all.push_back(state.agent->pid());
        const auto below = descendantsOf(state.agent->pid());
        all.insert(all.end(), below.begin(), below.end());
    }
    for (int r = firstRouterOf(machine); r < firstRouterOf(machine) + scenario_.machines.instances; ++r)
        if (const pid_t p = routers_[static_cast<std::size_t>(r)].pid;
            p > 0 && std::find(all.begin(), all.end(), p) == all.end())
            all.push_back(p);
    for (const Coordinator& c : coordinators_)
        if (c.machine == machine) all.push_back(c.process->pid());
    return all;
}

void Machines::signalAll(int machine, int signalNumber) {
    for (const pid_t p : processesOf(machine)) {
        ::kill(p, signalNumber);
        seenProcesses_.push_back(p);
    }
    if (signalNumber != SIGKILL) return;
    machines_[static_cast<std::size_t>(machine)].agent.reset();
}

void Machines::kill(int router) {
    const pid_t p = routers_[static_cast<std::size_t>(router)].pid;
    if (p > 0) ::kill(p, SIGKILL);
}

void Machines::forEachNetworkPath(int machine, const std::function<void(NetworkPath&)>& apply) {
    for (int other = -1; other < std::ssize(machines_); ++other) {
        apply(networkPath(other, machine));
        if (other >= 0 && other != machine) apply(networkPath(machine, other));
    }
}

void Machines::setPartition(int machine, const FaultPlan& fault, bool begins) {
    for (int other = -1; other < std::ssize(machines_); ++other) {
        const auto& named = fault.peers;
        if (other == machine) continue;
        if (!named.empty() && std::find(named.begin(), named.end(), other) == named.end()) continue;
        const auto change = [&](NetworkPath& w, bool cutForward, bool cutBackward) {
            w.isForwardCut = begins && cutForward;
            w.isBackwardCut = begins && cutBackward;
            if (!begins) w.breakConnections();
        };
        change(networkPath(other, machine), fault.cutsInbound, fault.cutsOutbound);
        // On the paths that start at the machine the two directions are swapped.
        if (other >= 0) change(networkPath(machine, other), fault.cutsOutbound, fault.cutsInbound);
    }
}

void Machines::setStopped(MachineState& state, int machine, Nanos now, bool begins) {
    if (begins) state.stoppedProcesses = processesOf(machine);
    for (int r = firstRouterOf(machine); r < firstRouterOf(machine) + scenario_.machines.instances; ++r)
        events_.onClaim(r, now, begins ? "away begins" : "away ends");
    for (const pid_t p : state.stoppedProcesses) ::kill(p, begins ? SIGSTOP : SIGCONT);
}

void Machines::injectFault(Nanos now, const FaultPlan& fault, int machine, bool begins) {
    MachineState& state = machines_[static_cast<std::size_t>(machine)];
    const auto forEachRouter = [&](auto apply) {
        for (int r = firstRouterOf(machine); r < firstRouterOf(machine) + scenario_.machines.instances; ++r)
            apply(r);
    };
    using K = FaultKind;
    switch (fault.kind) {
        case K::machineKill:
        case K::machineLost:
            if (!begins) return startAgent(machine);
            state.isDown = true;
            forEachRouter([&](int r) {
                events_.onRouterStopping(r, now);
                events_.onClaim(r, now, "away begins");
            });
            // A coordinator on this machine is killed too, and the testbed does not start another
            // one.
            signalAll(machine, SIGKILL);
            std::erase_if(coordinators_, [machine](const Coordinator& c) { return c.machine == machine; });
            if (state.eventsFd >= 0) ::close(std::exchange(state.eventsFd, -1));
            forEachRouter([&](int r) {
                routers_[static_cast<std::size_t>(r)] = {-1, false, true,
                                                         routers_[static_cast<std::size_t>(r)].runsChange};
                events_.onRouterGone(r, now);
            });
            if (fault.kind == K::machineLost) std::filesystem::remove_all(state.folder);
            return;
        case K::machineStop:
        case K::machineSleep:
            if (begins) state.asleepSince = now;
            if (!begins && fault.kind == K::machineSleep)
                state.hostEnvironment->endSleep(state.asleepSince, now);
            return setStopped(state, machine, now, begins);
        case K::agentKill:
            if (!begins) return startAgent(machine);
            state.isDown = true;
            if (state.eventsFd >= 0) ::close(std::exchange(state.eventsFd, -1));
            ::kill(state.agent->pid(), SIGKILL);
            state.agent.reset();
            return;
        case K::agentStop:
            if (state.agent) ::kill(state.agent->pid(), begins ? SIGSTOP : SIGCONT);
            return;
        case K::machinePartition:
            return setPartition(machine, fault, begins);
        case K::diskFull: {
            if (!state.agent) return;
            rlimit limit{begins ? 0 : RLIM_INFINITY, RLIM_INFINITY};
            ::prlimit(state.agent->pid(), RLIMIT_FSIZE, &limit, nullptr);
            return;
        }
        case K::diskReadOnly:
            return state.hostEnvironment->setReadOnly(begins);
        case K::diskSlow:
            return state.hostEnvironment->setSyncDelay(
                begins ? static_cast<Nanos>(fault.magnitude * kMillisecond) : 0);
        case K::syncFails:
            return state.hostEnvironment->failNextSyncs(begins ? fault.count : 0);
        case K::programsLost:
            if (begins) removeStoredPrograms(state.folder);
            return;
        case K::clockRate:
            return state.hostEnvironment->setClockRate(now, begins ? fault.magnitude : 1);
        case K::clockJump:
            return state.hostEnvironment->jumpWallClock(
                static_cast<Nanos>((begins ? fault.magnitude : -fault.magnitude) * kMillisecond));
        case K::pathDelay:
        case K::pathStall:
        case K::pathDrop:
            forEachNetworkPath(machine, [&](NetworkPath& w) {
                if (fault.kind == K::pathDelay)
                    w.delay = begins ? static_cast<Nanos>(fault.magnitude * kMillisecond) : 0;
                if (fault.kind == K::pathStall) w.isStalled = begins;
                if (fault.kind == K::pathDrop) w.dropShare = begins ? fault.magnitude : 0;
            });
            return;
        case K::coordinatorKill:
            if (!begins) {
                if (!rolloutExitCode_) startCoordinator(killedCoordinatorMachine_);
                return;
            }
            for (const Coordinator& c : coordinators_) killedCoordinatorMachine_ = c.machine;
            coordinators_.clear();
            return;
        case K::secondCoordinator:
            if (begins && !rolloutExitCode_) startCoordinator(fault.machine);
            return;
        default:
            return;
    }
}

// ---- events of the agents

void Machines::pollAgents(Nanos now, int machine) {
    MachineState& state = machines_[static_cast<std::size_t>(machine)];
    if (state.isDown) return;
    if (state.eventsFd >= 0) {
        char buffer[65536];
        ssize_t received = 0;
        while ((received = ::recv(state.eventsFd, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
            state.response.append(buffer, static_cast<std::size_t>(received));
        const bool isClosed = received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        if (!state.response.ends_with('\n')) {
            if (isClosed || now - state.lastPollAt > kEventPollTimeout)
                ::close(std::exchange(state.eventsFd, -1));
            return;
        }
        ::close(std::exchange(state.eventsFd, -1));
        const auto answer = json::parse(state.response, nullptr, false);
        if (!answer.is_object() || !answer.contains("events")) return;
        for (const auto& event : answer["events"]) {
            state.lastEvent = event.at("number").get<std::uint64_t>();
            onAgentEvent(machine, event.at("what").get<std::string>(),
                         firstRouterOf(machine) + event.at("instance").get<int>(),
                         state.hostEnvironment
                             ? state.hostEnvironment->trueTimeOf(event.at("at_ns").get<Nanos>())
                             : event.at("at_ns").get<Nanos>(),
                         event.at("pid").get<pid_t>(), event.at("version").get<std::string>());
        }
        return;
    }
    if (now - state.lastPollAt < kEventPollInterval) return;
    state.lastPollAt = now;
    state.response.clear();
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    const std::string path = state.folder + "/fleet.sock";
    std::memcpy(address.sun_path, path.data(), std::min(path.size(), sizeof address.sun_path - 1));
    state.eventsFd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const std::string request = json{{"do", "events"}, {"after", state.lastEvent}}.dump() + "\n";
    if (::connect(state.eventsFd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::send(state.eventsFd, request.data(), request.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(request.size()))
        ::close(std::exchange(state.eventsFd, -1));
}

void Machines::onAgentEvent(int, const std::string& what, int router, Nanos at, pid_t pid,
                            const std::string& version) {
    RouterState& state = routers_[static_cast<std::size_t>(router)];
    if (versionBefore_.empty()) versionBefore_ = version;
    if (pid > 0) state.pid = pid;
    if (pid > 0) seenProcesses_.push_back(pid);
    const bool isChanged = version != versionBefore_;
    const auto setAway = [&](bool isAway) {
        if (std::exchange(state.isAway, isAway) != isAway)
            events_.onClaim(router, at, isAway ? "away begins" : "away ends");
    };
    if (what == "ready" || what == "found") {
        setAway(false);
        if (!std::exchange(state.isUp, true)) events_.onRouterUp(router);
    } else if (what == "told to stop") {
        if (state.isUp) events_.onRouterStopping(router, at);
        setAway(true);
    } else if (what.starts_with("ended")) {
        setAway(true);
        state.pid = -1;
        if (std::exchange(state.isUp, false)) events_.onRouterGone(router, at);
    }
    if ((what.starts_with("changes") || what == "started" || what == "found") && isChanged &&
        !state.runsChange) {
        state.runsChange = true;
        events_.onClaim(router, at, "change begins");
    }
    if (what == "changed" && !isChanged && state.runsChange) {
        state.runsChange = false;
        events_.onClaim(router, at, "change ends");
    }
}

std::string Machines::runningVersion(int router) const {
    const RouterState& state = routers_[static_cast<std::size_t>(router)];
    char path[4096];
    const ssize_t size =
        state.pid > 0 ? ::readlink(fmt::format("/proc/{}/exe", state.pid).c_str(), path, sizeof path) : -1;
    if (size <= 0 || !state.isUp) return "nothing";
    // The version is taken from the process itself, not from its agent: the program from /proc, the
    // settings from the status that the process reports.
    const std::string program(path, static_cast<std::size_t>(size));
    const auto slash = versionBefore_.find('/');
    if (scenario_.rollout.changesSettings()) {
        const int machine = router / scenario_.machines.instances;
        const std::string socketPath =
            fmt::format("{}/m{}r{}.sock", machines_[static_cast<std::size_t>(machine)].folder, machine,
                        router - firstRouterOf(machine));
        try {
            const auto described =
                ctl::sendRequest(socketPath, {{"do", "status"}}, 1000).at("described").get<std::string>();
            return described.find(changeMarker()) != std::string::npos ? "change" : "before";
        } catch (const std::exception&) {
            return "nothing";
        }
    }
    return program.find(versionBefore_.substr(0, slash)) != std::string::npos ? "before" : "change";
}

// Text that occurs in an instance's description of its settings if and only if it runs the
// rollout's settings.
std::string Machines::changeMarker() const {
    const RolloutScenario& roll = scenario_.rollout;
    const RequestClass& requestClass = scenario_.requestClasses.front().requestClass;
    if (roll.change == "misnamed") return "nowhere";
    if (roll.change == "halved")
        return fmt::format("goal {} ms", requestClass.latencyObjective / 8 / kMillisecond);
    // The change `deaf` adds 20,000 to the servers' ports. The first cache server has port 10,001.
    return fmt::format(":{} ", 30'001);
}

void Machines::runIteration(Nanos now) {
    for (int machine = 0; machine < std::ssize(machines_); ++machine) {
        for (int from = -1; from < std::ssize(machines_); ++from) networkPath(from, machine).pump(now);
        pollAgents(now, machine);
    }
    for (auto it = coordinators_.begin(); it != coordinators_.end();) {
        if (!it->process->hasExited()) {
            ++it;
            continue;
        }
        const int code = it->process->exitCode();
        it = coordinators_.erase(it);
        // A coordinator that was superseded by another one exits with 1; the other one's exit code
        // counts.
        if (code != 1 || coordinators_.empty()) rolloutExitCode_ = code;
    }
}

}  // namespace poppyscale::testbed
