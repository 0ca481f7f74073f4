#include "ctl/fleet_command.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/file.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <deque>
#include <fstream>
#include <future>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>

#include "config/operator_config.hpp"
#include "ctl/control_client.hpp"
#include "ctl/control_listener.hpp"
#include "ctl/version_store.hpp"
#include "logging/logger.hpp"
#include "rollout/messages_codec.hpp"
#include "rollout/rollout_agent.hpp"

namespace poppyscale::ctl {
namespace {

using nlohmann::json;
using rollout::InstanceState;
using rollout::Version;

constexpr int kPollInterval = 50;   // ms between two looks at who lives
constexpr int kAsk = 200;           // ms for an instance's answer
constexpr int kAskFigures = 350;    // of all instances together
constexpr int kUpgradeAsk = 15000;  // the instance gives its successor up before that
constexpr int kFound = 4;
constexpr std::size_t kMostEvents = 4096;

Nanos monotonicNow() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

bool done(const auto& future) {
    return future.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

// A process that has ended and whose parent has not looked yet is still there by its number.
bool isZombie(pid_t pid) {
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string text;
    std::getline(file, text);
    const auto close = text.rfind(')');
    return close != std::string::npos && close + 2 < text.size() && text[close + 2] == 'Z';
}

std::string programOf(pid_t pid) {
    char path[4096];
    const ssize_t size = ::readlink(fmt::format("/proc/{}/exe", pid).c_str(), path, sizeof path);
    return size > 0 ? std::string(path, static_cast<std::size_t>(size)) : "";
}

// One keeper for one folder, for as long as this lives.
class Lock {
  public:
    explicit Lock(const std::string& folder) {
        fd_ = ::open((folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
        held_ = fd_ >= 0 && ::flock(fd_, LOCK_EX | LOCK_NB) == 0;
    }
    ~Lock() {
        if (fd_ >= 0) ::close(fd_);
    }
    Lock(const Lock&) = delete;
    Lock& operator=(const Lock&) = delete;
    bool held() const { return held_; }

  private:
    int fd_ = -1;
    bool held_ = false;
};

class FleetHost : private supervisor::SupervisorHost, private rollout::AgentHost {
  public:
    explicit FleetHost(const FleetDescription& d)
        : d_(d),
          log_("poppyctl fleet", logging::Format::text),
          versions_(d.folder + "/versions"),
          supervisor_(d.supervisor, std::random_device{}(), *this),
          agent_(d.supervisor.instanceCount, keptNow(), *this),
          instances_(static_cast<std::size_t>(d.supervisor.instanceCount)),
          listener_(agentSocketOf(d), [this](auto who, const auto& what) { asked(who, what); }) {
        recall();
    }

    int run() {
        sigset_t heard;
        sigemptyset(&heard);
        for (const int s : {SIGTERM, SIGINT, SIGHUP, SIGUSR2, SIGQUIT, SIGCHLD}) sigaddset(&heard, s);
        sigprocmask(SIG_BLOCK, &heard, nullptr);
        const int signals = ::signalfd(-1, &heard, SFD_CLOEXEC | SFD_NONBLOCK);
        for (int i = 0; i < d_.supervisor.instanceCount; ++i) find(i);
        bool wasReady = false;
        for (;;) {
            agent_.reconcile(monotonicNow());
            supervisor_.reconcile(monotonicNow());
            if (supervisor_.allStopped()) return 0;
            if (!wasReady && supervisor_.allReady()) log("all instances are ready");
            wasReady = supervisor_.allReady();
            std::vector<pollfd> waits{{signals, POLLIN, 0}};
            listener_.addPollDescriptors(waits);
            ::poll(waits.data(), waits.size(), kPollInterval);
            signalfd_siginfo info{};
            while (::read(signals, &info, sizeof info) == sizeof info) {
                if (info.ssi_signo == SIGQUIT) return 0;  // they live on, and are found by the next
                if (info.ssi_signo == SIGTERM || info.ssi_signo == SIGINT) supervisor_.stopAll();
                if (info.ssi_signo == SIGHUP)
                    begin(supervisor::InstanceSupervisor::RollingOperation::restart);
                if (info.ssi_signo == SIGUSR2)
                    begin(supervisor::InstanceSupervisor::RollingOperation::upgrade);
            }
            for (int i = 0; i < d_.supervisor.instanceCount; ++i) look(i);
            hearDisk();
            listener_.runIteration();
            answerWaiting();
        }
    }

  private:
    struct InstalledVersion {
        std::string problem;
        bool restart = false;  // it can't be had without
        pid_t heir = 0;        // that has taken over
    };
    struct PendingInstall {
        Version to;
        std::future<InstalledVersion> how;
        bool restarting = false;
        int endsBefore = 0;
        Nanos until = 0;
    };
    struct Instance {
        pid_t pid = -1;
        bool child = false;
        bool ready = false;
        std::future<InstalledVersion> upgrade;   // of a roll by signal
        std::optional<PendingInstall> bringing;  // of a staged change
    };
    struct Waiting {
        std::uint64_t who;
        bool kept = false;  // its order is on disk
    };
    Instance& at(int i) { return instances_[static_cast<std::size_t>(i)]; }

    // What runs before any staged change, kept by its content so that there is a way back.
    Version keptNow() {
        try {
            return {versions_.storeProgram(d_.program), versions_.storeTemplate(d_.templateText)};
        } catch (const std::exception& problem) {
            log_.info(fmt::format("no way back can be kept: {}", problem.what()));
            return {};
        }
    }

    void begin(supervisor::InstanceSupervisor::RollingOperation kind) {
        const char* const name =
            kind == supervisor::InstanceSupervisor::RollingOperation::restart ? "restart" : "upgrade";
        // By what the files say now: a roll of what was read at the start would change nothing.
        try {
            FleetDescription fresh = readFleetDescription(d_.file);
            if (fresh.supervisor.instanceCount != d_.supervisor.instanceCount || fresh.folder != d_.folder ||
                fresh.name != d_.name || fresh.address != d_.address || fresh.firstPort != d_.firstPort ||
                fresh.ownAddresses != d_.ownAddresses)
                throw std::runtime_error("other instances than those that run: stop this keeper first");
            d_.program = fresh.program;
            d_.templateText = fresh.templateText;
            d_.zone = fresh.zone;
            if (!agent_.setOriginalVersion(keptNow()))
                throw std::runtime_error("a staged change is under way");
            described_ = agent_.state().before;
        } catch (const std::exception& problem) {
            return log(fmt::format("no {} now: {}", name, problem.what()));
        }
        log(supervisor_.startRolling(monotonicNow(), kind)
                ? fmt::format("rolls a {} through all instances", name)
                : fmt::format("no {} now: not all are ready, or a roll is under way", name));
    }

    // An instance that an earlier keeper has left is taken as it is, but for what it runs.
    void find(int i) {
        try {
            const auto status = sendRequest(socketOf(d_, i), {{"do", "status"}}, kAsk);
            at(i).pid = status.at("pid").get<pid_t>();
            at(i).ready = status.at("state") == "serving";
            log(fmt::format("found {} as process {}", nameOf(d_, i), at(i).pid));
            supervisor_.onFound(monotonicNow(), i, at(i).ready);
            event(i, "found");
            const Version& is = agent_.versionOf(i);
            const std::string runs = versions_.digestIn(programOf(at(i).pid));
            if (!at(i).bringing && !is.none() && !runs.empty() && runs != is.program)
                agent_.onVersionMismatch(monotonicNow(), i);
        } catch (const std::exception&) {
            at(i).pid = -1;
        }
        agent_.onReadyChanged(i, at(i).ready);
    }

    bool lives(Instance& one) {
        if (one.child) return ::waitpid(one.pid, nullptr, WNOHANG) != one.pid;
        return ::kill(one.pid, 0) == 0 && !isZombie(one.pid);
    }

    void look(int i) {
        Instance& one = at(i);
        reap();
        if (one.upgrade.valid()) {
            if (!done(one.upgrade)) return;
            const InstalledVersion how = one.upgrade.get();
            if (how.problem.empty()) adopt(i, how.heir);
            supervisor_.onUpgraded(monotonicNow(), i, how.problem);
            return;
        }
        if (one.bringing && one.bringing->how.valid()) {
            if (!done(one.bringing->how)) return;
            broughtSoFar(i, one.bringing->how.get());
        }
        if (one.pid >= 0 && !lives(one)) {
            const bool asked = supervisor_.isStopping(i);
            auto bringing = std::move(one.bringing);
            one = {};
            one.bringing = std::move(bringing);
            supervisor_.onExited(monotonicNow(), i);
            event(i, asked ? "ended" : "ended by itself");
            if (!asked) agent_.onExited(monotonicNow(), i);
        } else if (one.pid >= 0 && !one.ready && !supervisor_.isStopping(i)) {
            // One that was told to stop may still say that it serves: it is not to be counted on any more.
            try {
                const auto status = sendRequest(socketOf(d_, i), {{"do", "status"}}, kAsk);
                if (status.at("state") == "serving" && status.at("pid").get<pid_t>() == one.pid) {
                    one.ready = true;
                    supervisor_.onReady(monotonicNow(), i);
                    event(i, "ready");
                }
            } catch (const std::exception&) {
                // Not up yet.
            }
        }
        agent_.onReadyChanged(i, one.ready && supervisor_.isReady(i));
        if (one.bringing && one.bringing->restarting) restarted(i);
    }

    // After an upgrade another process is the instance, a child of the one before. Which one is what that
    // said: for a moment its socket is still at the path, and asked there it would name itself.
    void adopt(int i, pid_t heir) {
        Instance& one = at(i);
        if (heir <= 0 || heir == one.pid) return;
        if (one.child) leaving_.push_back(one.pid);
        one.pid = heir;
        one.child = false;
    }

    static InstalledVersion broughtBy(const json& said) {
        return {said.value("error", ""), false, said.value("taken_over_by", pid_t{0})};
    }

    void reap() {
        std::erase_if(leaving_, [](pid_t p) { return ::waitpid(p, nullptr, WNOHANG) == p; });
    }

    // ---- keeping: supervisor::Hands

    // One that serves by this name already is the instance: an heir whose predecessor died before it could
    // say who took over, say. Another one would only find the address taken.
    bool isThere(int i) {
        try {
            const auto status = sendRequest(socketOf(d_, i), {{"do", "status"}}, kAsk);
            if (status.at("state") != "serving") return false;
            at(i).pid = status.at("pid").get<pid_t>();
        } catch (const std::exception&) {
            return false;
        }
        at(i).child = at(i).ready = false;
        log(fmt::format("found {} as process {}", nameOf(d_, i), at(i).pid));
        event(i, "found");
        return true;
    }

    void start(int i) override {
        if (isThere(i)) return;
        Instance& one = at(i);
        const std::string file = fmt::format("{}/{}.toml", d_.folder, nameOf(d_, i));
        const Version& version = agent_.versionOf(i);
        std::string program = d_.program, form = d_.templateText;
        try {
            if (!version.none()) {
                form = versions_.templateText(version.templateDigest);
                versions_.checkProgram(version.program);
                program = versions_.programPath(version.program);
            }
        } catch (const std::exception& problem) {
            log(fmt::format("{} is started by what the description says: {}", nameOf(d_, i), problem.what()));
        }
        // Whole or not at all: with a full disk the file before stays, and this start is one that failed.
        try {
            writeAtomically(file, operatorFileOf(d_, form, i));
        } catch (const std::exception& problem) {
            log(fmt::format("{}; goes by what is there", problem.what()));
        }
        std::vector<std::string> words{program, "serve", "--operator", file};
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
            log(fmt::format("can't start {}: {}", program, std::strerror(failed)));
            one.pid = -1;
            agent_.onExited(monotonicNow(), i);
            return supervisor_.onExited(monotonicNow(), i);
        }
        one.child = true;
        one.ready = false;
        event(i, "started");
    }
    void stop(int i) override {
        event(i, "told to stop");
        signal(i, SIGTERM);
    }
    void kill(int i) override { signal(i, SIGKILL); }
    void signal(int i, int number) {
        at(i).ready = false;
        agent_.onReadyChanged(i, false);
        if (at(i).pid > 0)
            ::kill(at(i).pid, number);
        else
            supervisor_.onExited(monotonicNow(), i);
    }
    void upgrade(int i) override {
        const Version& version = agent_.versionOf(i);
        at(i).upgrade = std::async(
            std::launch::async,
            [path = socketOf(d_, i),
             program =
                 version.none() ? d_.program : versions_.programPath(version.program)]() -> InstalledVersion {
                try {
                    return broughtBy(
                        sendRequest(path, {{"do", "upgrade"}, {"program", program}}, kUpgradeAsk));
                } catch (const std::exception& problem) {
                    return {problem.what()};
                }
            });
    }
    void log(std::string_view text) override { log_.info(text); }

    // ---- the staged change: rollout::AgentHands

    void persist(const rollout::AgentState& held) override {
        const json said{{"format", rollout::kFormat},
                        {"number", held.number},
                        {"digest", held.digest},
                        {"before", {held.before.program, held.before.templateDigest}},
                        {"change", {held.change.program, held.change.templateDigest}},
                        {"described", {described_.program, described_.templateDigest}},
                        {"changed", held.changed},
                        {"held", held.held},
                        {"keep_ms", held.holdDuration / kMillisecond},
                        {"batch", held.batch},
                        {"over", held.isFinished}};
        disk_ = std::async(std::launch::async, [path = heldFile(), text = said.dump(1)]() -> std::string {
            try {
                writeChecked(path, text);
                return "";
            } catch (const std::exception& problem) {
                return problem.what();
            }
        });
    }
    std::string heldFile() const { return d_.folder + "/roll"; }

    void recall() {
        described_ = agent_.state().before;
        try {
            const auto text = readChecked(heldFile());
            if (!text) return;
            const json said = json::parse(*text);
            if (said.at("format") != rollout::kFormat)
                throw std::runtime_error(
                    fmt::format("{} is of format {}", heldFile(), said["format"].dump()));
            const auto version = [&](const char* key) -> Version {
                return {said.at(key)[0], said.at(key)[1]};
            };
            rollout::AgentState held;
            held.number = said.at("number");
            held.digest = said.at("digest");
            held.before = version("before");
            held.change = version("change");
            held.changed = said.at("changed").get<std::set<int>>();
            held.held = said.at("held").get<std::set<int>>();
            held.holdDuration = said.at("keep_ms").get<std::int64_t>() * kMillisecond;
            held.batch = said.at("batch");
            held.isFinished = said.at("over");
            const bool same = version("described") == described_;
            if (!same && held.changed.empty()) {
                // The operator has written another description since: it holds.
                log_.info("the description has changed since the last roll: it holds");
                held.before = described_;
                held.digest.clear();
                held.isFinished = false;
            }
            agent_.restore(monotonicNow(), held);
            log_.info(
                fmt::format("goes on from roll {}, {} instances changed", held.number, held.changed.size()));
        } catch (const std::exception& problem) {
            log_.info(fmt::format("what was held of a roll can't be used: {}", problem.what()));
        }
    }

    void hearDisk() {
        if (preparing_.valid() && done(preparing_)) {
            Prepared p = preparing_.get();
            heed(p.who, p.order, p.version, p.problem);
        }
        if (!disk_.valid() || !done(disk_)) return;
        agent_.onPersisted(monotonicNow(), disk_.get());
        if (!agent_.isPersisting())
            for (Waiting& w : waiting_) w.kept = true;
    }

    void install(int i, const Version& to) override {
        Instance& one = at(i);
        one.bringing.emplace();
        one.bringing->to = to;
        event(i, at(i).ready ? "changes" : "changes, not ready");
        supervisor_.beginExternalUpgrade(i);
        one.bringing->how = std::async(
            std::launch::async,
            [versions = versions_, to, d = d_, i, path = socketOf(d_, i)]() -> InstalledVersion {
                try {
                    versions.checkProgram(to.program);
                    writeAtomically(fmt::format("{}/{}.toml", d.folder, nameOf(d, i)),
                                    operatorFileOf(d, versions.templateText(to.templateDigest), i));
                } catch (const std::exception& problem) {
                    return {problem.what(), false};
                }
                try {
                    const auto status = sendRequest(path, {{"do", "status"}}, kAsk * kFound);
                    const auto pid = status.at("pid").get<pid_t>();
                    const auto read = sendRequest(path, {{"do", "reload"}}, kAsk * kFound * 5);
                    if (read.contains("error") || !read.at("waits").empty()) return {"", true};
                    if (versions.digestIn(programOf(pid)) == to.program) return {};
                    return broughtBy(
                        sendRequest(path, {{"do", "upgrade"}, {"program", versions.programPath(to.program)}},
                                    kUpgradeAsk));
                } catch (const std::exception&) {
                    return {"", true};  // it is not there, or does not speak this
                }
            });
    }

    void broughtSoFar(int i, const InstalledVersion& how) {
        Instance& one = at(i);
        const bool back = agent_.report(monotonicNow()).instances[static_cast<std::size_t>(i)].state ==
                          InstanceState::rollingBack;
        // What can't hand its sockets over goes back by a restart: better away for a moment than bad for
        // good.
        const bool missing = !how.problem.empty() &&
                             (::access(versions_.programPath(one.bringing->to.program).c_str(), X_OK) != 0);
        if (how.restart ||
            (back && !how.problem.empty() && !missing && one.pid >= 0 && !diskIsFull(how.problem))) {
            one.bringing->restarting = true;
            one.bringing->endsBefore = supervisor_.restarts(i);
            one.bringing->until = monotonicNow() + d_.supervisor.readyTimeout + d_.supervisor.stopTimeout;
            return supervisor_.restart(monotonicNow(), i);
        }
        adopt(i, how.heir);
        supervisor_.onUpgraded(monotonicNow(), i, "");
        one.bringing.reset();
        event(i, how.problem.empty() ? "changed" : "not changed");
        agent_.onInstalled(monotonicNow(), i, how.problem);
    }
    // Its files could not be written: a restart would go by the old ones.
    static bool diskIsFull(const std::string& problem) { return problem.starts_with("can't "); }

    void restarted(int i) {
        Instance& one = at(i);
        const bool there = one.ready && supervisor_.isReady(i);
        const bool right = there && versions_.digestIn(programOf(one.pid)) == one.bringing->to.program;
        std::string problem;
        if (!there) {
            if (supervisor_.restarts(i) > one.bringing->endsBefore)
                problem = "it ends at its start";
            else if (monotonicNow() >= one.bringing->until)
                problem = "it is not ready in time";
            else
                return;
        } else if (!right) {
            problem = "it runs another program than it is to";
        }
        one.bringing.reset();
        event(i, problem.empty() ? "changed" : "not changed");
        agent_.onInstalled(monotonicNow(), i, problem);
    }

    // ---- the agent's door

    void asked(std::uint64_t who, const json& what) {
        const auto word = what.value("do", "");
        if (word == "look") return waiting_.push_back({who, true});
        if (word == "events") {
            auto all = json::array();
            const auto after = what.value("after", std::uint64_t{0});
            for (const auto& [number, one] : events_)
                if (number > after) all.push_back(one);
            return listener_.answer(who, {{"format", rollout::kFormat}, {"events", std::move(all)}});
        }
        if (word == "way") return listener_.answer(who, wayOf(what));
        if (word != "roll") {
            return listener_.answer(who,
                                    {{"error", fmt::format("'{}' is not known here", word.substr(0, 40))}});
        }
        try {
            const rollout::Order order = rollout::readOrder(what);
            const rollout::AgentState& held = agent_.state();
            // Content that is here already is not read again with each order.
            if (order.digest == held.digest && !held.change.none()) return heed(who, order, held.change, "");
            if (preparing_.valid())
                return listener_.answer(who, {{"error", "busy with an order before"}, {"busy", true}});
            preparing_ = std::async(std::launch::async, [this, who, order, before = held.before] {
                Prepared p{who, order, before, ""};
                try {
                    if (before.none()) throw std::runtime_error("what runs now could not be kept");
                    if (!order.program.empty()) p.version.program = versions_.storeProgram(order.program);
                    if (!order.form.empty()) p.version.templateDigest = versions_.storeTemplate(order.form);
                    if (!order.programDigest.empty() && order.programDigest != p.version.program)
                        throw std::runtime_error(order.program + " is another program here");
                } catch (const std::exception& problem) {
                    p.problem = problem.what();
                }
                return p;
            });
        } catch (const std::exception& problem) {
            listener_.answer(who, {{"error", problem.what()}});
        }
    }

    // How each instance would come by that change, without any of it being done.
    json wayOf(const json& what) const {
        auto ways = json::array();
        const auto form = what.value("form", ""), program = what.value("program_digest", "");
        for (int i = 0; i < d_.supervisor.instanceCount; ++i) {
            const Version& runs = agent_.versionOf(i);
            std::string way;
            try {
                if (!form.empty()) {
                    const auto read = [&](const std::string& of) {
                        config::ConfigProblems problems("the form");
                        const auto plan = config::readOperatorConfig(operatorFileOf(d_, of, i), "the form",
                                                                     false, problems);
                        if (!problems.none() || !plan.startup) throw std::runtime_error(problems.text());
                        return *plan.startup;
                    };
                    const auto is = read(versions_.templateText(runs.templateDigest)), wanted = read(form);
                    const auto difference = config::compareConfigs(is, wanted);
                    if (config::describeConfig(is, {}, false) != config::describeConfig(wanted, {}, false))
                        way = "reload";
                    if (!difference.needsRestart.empty()) way = "restart";
                }
                if (!program.empty() && program != runs.program && way != "restart")
                    way += way.empty() ? "upgrade" : ", then upgrade";
                if (way.empty()) way = "nothing changes";
            } catch (const std::exception& problem) {
                way = fmt::format("can't: {}", problem.what());
            }
            ways.push_back({{"name", nameOf(d_, i)}, {"zone", d_.zone}, {"way", way}});
        }
        return {{"format", rollout::kFormat}, {"ways", std::move(ways)}};
    }

    void heed(std::uint64_t who, const rollout::Order& order, const Version& change,
              const std::string& problem) {
        if (!problem.empty()) return listener_.answer(who, {{"error", problem}});
        const std::string refused = agent_.onOrder(monotonicNow(), order, change);
        if (!refused.empty())
            return listener_.answer(who,
                                    {{"error", refused}, {"overtaken", refused.starts_with("overtaken")}});
        // Said once it is on disk.
        waiting_.push_back({who, !agent_.isPersisting()});
    }

    void answerWaiting() {
        if (gathering_.valid() && done(gathering_)) {
            const auto figures = gathering_.get();
            rollout::Report report = agent_.report(monotonicNow());
            for (int i = 0; i < d_.supervisor.instanceCount; ++i) {
                report.instances[static_cast<std::size_t>(i)].name = nameOf(d_, i);
                report.instances[static_cast<std::size_t>(i)].zone = d_.zone;
            }
            const json said = rollout::toJson(report, figures);
            for (const std::uint64_t who : gatheredFor_) listener_.answer(who, said);
            gatheredFor_.clear();
        }
        if (gathering_.valid()) return;
        for (auto it = waiting_.begin(); it != waiting_.end();) {
            if (!it->kept) {
                ++it;
                continue;
            }
            gatheredFor_.push_back(it->who);
            it = waiting_.erase(it);
        }
        if (gatheredFor_.empty()) return;
        std::vector<std::string> paths;
        for (int i = 0; i < d_.supervisor.instanceCount; ++i) paths.push_back(socketOf(d_, i));
        gathering_ = std::async(std::launch::async, [paths] {
            return sendRequests(paths, std::vector<json>(paths.size(), json{{"do", "figures"}}), kAskFigures);
        });
    }

    void event(int i, const char* what) {
        events_.emplace_back(++lastEvent_, json{{"number", lastEvent_},
                                                {"at_ns", monotonicNow()},
                                                {"instance", i},
                                                {"pid", at(i).pid},
                                                {"what", what},
                                                {"version", agent_.versionOf(i).program + "/" +
                                                                agent_.versionOf(i).templateDigest}});
        if (events_.size() > kMostEvents) events_.pop_front();
    }

    struct Prepared {
        std::uint64_t who;
        rollout::Order order;
        Version version;
        std::string problem;
    };

    FleetDescription d_;
    logging::Logger log_;
    VersionStore versions_;
    supervisor::InstanceSupervisor supervisor_;
    rollout::RolloutAgent agent_;
    Version described_;  // by the description
    std::vector<Instance> instances_;
    std::vector<pid_t> leaving_;  // drain after an upgrade
    std::future<std::string> disk_;
    std::future<Prepared> preparing_;
    std::future<std::vector<json>> gathering_;
    std::vector<std::uint64_t> gatheredFor_;
    std::list<Waiting> waiting_;
    std::deque<std::pair<std::uint64_t, json>> events_;
    std::uint64_t lastEvent_ = 0;
    ControlListener listener_;
};

}  // namespace

int runFleet(const FleetDescription& d) {
    if (::mkdir(d.folder.c_str(), 0755) != 0 && errno != EEXIST)
        throw std::runtime_error(fmt::format("can't make {}: {}", d.folder, std::strerror(errno)));
    // A disk at its limit is an error to be told and not an end.
    ::signal(SIGXFSZ, SIG_IGN);
    const Lock lock(d.folder);
    if (!lock.held()) {
        fmt::print(stderr, "poppyctl fleet: another keeper keeps {}\n", d.folder);
        return 1;
    }
    removeTemporaryFiles(d.folder);
    FleetHost fleet(d);
    return fleet.run();
}

}  // namespace poppyscale::ctl
