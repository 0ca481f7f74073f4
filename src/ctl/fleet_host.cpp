#include "ctl/fleet_host.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <signal.h>

#include <cstring>
#include <random>
#include <stdexcept>
#include <vector>

#include "ctl/instance_client.hpp"
#include "ctl/monotonic_clock.hpp"

namespace poppyscale::ctl {
namespace {

using rollout::Version;

constexpr int kPollIntervalMs = 50;  // maximum time between two checks of the instances

}  // namespace

FleetHost::FleetHost(const FleetDescription& description)
    : description_(description),
      log_("poppyctl fleet", logging::Format::text),
      versions_(description.folder + "/versions"),
      supervisor_(description.supervisor, std::random_device{}(), *this),
      agent_(description.supervisor.instanceCount, storeDescribedVersion(), *this),
      processes_(description.supervisor.instanceCount),
      status_(description_, agent_, processes_),
      installer_(description_, versions_, supervisor_, agent_, processes_, status_),
      agentStore_(description.folder + "/roll"),
      endpoint_(description_, versions_, agent_, agentStore_, status_) {
    restoreAgentState();
}

// ---- the loop

int FleetHost::run() {
    SignalSource signals{SIGTERM, SIGINT, SIGHUP, SIGUSR2, SIGQUIT, SIGCHLD};
    const int instanceCount = description_.supervisor.instanceCount;
    for (int i = 0; i < instanceCount; ++i) findRunningInstance(i);
    bool wasReady = false;
    for (;;) {
        agent_.reconcile(monotonicNow());
        supervisor_.reconcile(monotonicNow());
        if (supervisor_.allStopped()) return 0;
        if (!wasReady && supervisor_.allReady()) log("all instances are ready");
        wasReady = supervisor_.allReady();
        waitForEvents(signals);
        if (handleSignals(signals) == LoopState::leaving) return 0;
        for (int i = 0; i < instanceCount; ++i) examineInstance(i);
        endpoint_.collectResults();
        endpoint_.runIteration();
    }
}

void FleetHost::waitForEvents(const SignalSource& signals) const {
    std::vector<pollfd> descriptors{{signals.descriptor(), POLLIN, 0}};
    endpoint_.addPollDescriptors(descriptors);
    ::poll(descriptors.data(), descriptors.size(), kPollIntervalMs);
}

FleetHost::LoopState FleetHost::handleSignals(SignalSource& signals) {
    while (const std::optional<int> number = signals.next()) {
        switch (*number) {
            case SIGQUIT:  // the instances keep running, and the next supervisor finds them
                return LoopState::leaving;
            case SIGTERM:
            case SIGINT:
                supervisor_.stopAll();
                break;
            case SIGHUP:
                startRolling(RollingOperation::restart);
                break;
            case SIGUSR2:
                startRolling(RollingOperation::upgrade);
                break;
            default:  // SIGCHLD only wakes the loop up
                break;
        }
    }
    return LoopState::running;
}

// ---- the description and the agent's state

// Reads the description again first, as operators edit it and then request a rolling operation to apply it.
void FleetHost::startRolling(RollingOperation operation) {
    const char* const name = operation == RollingOperation::restart ? "restart" : "upgrade";
    try {
        reloadDescription();
    } catch (const std::exception& problem) {
        log(fmt::format("rolling {} rejected: {}", name, problem.what()));
        return;
    }
    const bool isStarted = supervisor_.startRolling(monotonicNow(), operation);
    if (isStarted)
        log(fmt::format("rolling {} started", name));
    else
        log(
            fmt::format("rolling {} rejected: not all instances are ready, a rolling operation is in "
                        "progress, or all instances are being stopped",
                        name));
}

void FleetHost::reloadDescription() {
    const FleetDescription reloaded = readFleetDescription(description_.file);
    if (!describesSameInstances(reloaded, description_))
        throw std::runtime_error(
            "the description names other instances than the running ones (its count, folder, name, address, "
            "first_port or own_addresses has changed); stop this supervisor first");
    description_.program = reloaded.program;
    description_.templateText = reloaded.templateText;
    description_.zone = reloaded.zone;
    if (!agent_.setOriginalVersion(storeDescribedVersion()))
        throw std::runtime_error("a rollout is in progress");
    agentStore_.setDescribedVersion(agent_.state().before);
}

// Stores the program and template that the description names, so that a rollout can be rolled back to them.
// Returns an empty version if they can't be stored.
Version FleetHost::storeDescribedVersion() {
    try {
        return {versions_.storeProgram(description_.program),
                versions_.storeTemplate(description_.templateText)};
    } catch (const std::exception& problem) {
        log_.info(fmt::format("can't store the described version for a rollback: {}", problem.what()));
        return {};
    }
}

void FleetHost::restoreAgentState() {
    agentStore_.setDescribedVersion(agent_.state().before);
    try {
        const std::optional<StoredAgentState> stored = agentStore_.load();
        if (!stored) return;
        rollout::AgentState state = stored->state;
        const bool isSameDescription = stored->described == agentStore_.describedVersion();
        if (!isSameDescription && state.changed.empty()) {
            // The operator has edited the description since the last rollout.
            log_.info("the description has changed since the last rollout and takes precedence");
            state.before = agentStore_.describedVersion();
            state.digest.clear();
            state.isFinished = false;
        }
        agent_.restore(monotonicNow(), state);
        log_.info(fmt::format("restored the state of rollout {}: {} instances are to run its change",
                              state.number, state.changed.size()));
    } catch (const std::exception& problem) {
        log_.info(fmt::format("can't restore the state of the last rollout: {}", problem.what()));
    }
}

// ---- instances

// Attaches the instance's process if an earlier supervisor has left it running. A process of another program
// than the instance is to run gets the right version installed.
void FleetHost::findRunningInstance(int instance) {
    try {
        const InstanceStatus status = requestStatus(socketOf(description_, instance));
        processes_.attach(instance, status.pid, status.isServing);
        log(fmt::format("found {} as process {}", nameOf(description_, instance), status.pid));
        supervisor_.onFound(monotonicNow(), instance, status.isServing);
        status_.recordEvent(instance, "found");
        const Version& version = agent_.versionOf(instance);
        const std::string program = versions_.digestIn(programOf(status.pid));
        const bool isOtherProgram = !version.isEmpty() && !program.empty() && program != version.program;
        if (!installer_.isInstalling(instance) && isOtherProgram)
            agent_.onVersionMismatch(monotonicNow(), instance);
    } catch (const std::exception&) {
        processes_.forget(instance);
    }
    agent_.onReadyChanged(instance, processes_.isReady(instance));
}

// Attaches a process that serves as the instance without this supervisor's knowledge, and returns true if
// there is one. For example, the old process of a hot restart may have exited before it could report the new
// process. A second process could not be started, as the address is in use.
bool FleetHost::attachServingInstance(int instance) {
    InstanceStatus status;
    try {
        status = requestStatus(socketOf(description_, instance));
    } catch (const std::exception&) {
        return false;
    }
    if (!status.isServing) return false;
    processes_.attach(instance, status.pid, false);
    log(fmt::format("found {} as process {}", nameOf(description_, instance), status.pid));
    status_.recordEvent(instance, "found");
    return true;
}

void FleetHost::examineInstance(int instance) {
    processes_.reapDraining();
    if (installer_.collectResult(instance) == VersionInstaller::Progress::busy) return;
    if (processes_.hasProcess(instance)) {
        if (!processes_.isAlive(instance))
            onProcessExited(instance);
        else if (!processes_.isReady(instance) && !supervisor_.isStopping(instance))
            checkReady(instance);
    }
    agent_.onReadyChanged(instance, processes_.isReady(instance) && supervisor_.isReady(instance));
    installer_.checkRestart(instance);
}

void FleetHost::onProcessExited(int instance) {
    const bool isExpected = supervisor_.isStopping(instance);
    processes_.forget(instance);
    supervisor_.onExited(monotonicNow(), instance);
    status_.recordEvent(instance, isExpected ? "ended" : "ended by itself");
    if (!isExpected) agent_.onExited(monotonicNow(), instance);
}

// Accepts only an answer from the instance's own process: just after a hot restart the old process may still
// listen at the socket.
void FleetHost::checkReady(int instance) {
    InstanceStatus status;
    try {
        status = requestStatus(socketOf(description_, instance));
    } catch (const std::exception&) {
        return;  // the instance does not listen yet
    }
    if (!status.isServing || status.pid != processes_.pid(instance)) return;
    processes_.setReady(instance);
    supervisor_.onReady(monotonicNow(), instance);
    status_.recordEvent(instance, "ready");
}

// ---- actions

void FleetHost::start(int instance) {
    if (attachServingInstance(instance)) return;
    const std::string program = prepareStart(instance);
    const int error = processes_.spawn(instance, program, configFileOf(description_, instance),
                                       logFileOf(description_, instance));
    if (error != 0) {
        log(fmt::format("can't start {}: {}", program, std::strerror(error)));
        agent_.onExited(monotonicNow(), instance);
        supervisor_.onExited(monotonicNow(), instance);
        return;
    }
    status_.recordEvent(instance, "started");
}

// Writes the instance's configuration and returns the path of the program to start.
std::string FleetHost::prepareStart(int instance) {
    const Version& version = agent_.versionOf(instance);
    std::string program = description_.program;
    std::string templateText = description_.templateText;
    try {
        if (!version.isEmpty()) {
            templateText = versions_.templateText(version.templateDigest);
            versions_.checkProgram(version.program);
            program = versions_.programPath(version.program);
        }
    } catch (const std::exception& problem) {
        log(fmt::format("{} is started with the described version, as the wanted one can't be used: {}",
                        nameOf(description_, instance), problem.what()));
    }
    try {
        writeAtomically(configFileOf(description_, instance),
                        makeConfigText(description_, templateText, instance));
    } catch (const std::exception& problem) {
        // On a full disk the file of the last start is still complete and can be used.
        log(fmt::format("{}; the instance starts with its existing configuration file", problem.what()));
    }
    return program;
}

void FleetHost::stop(int instance) {
    status_.recordEvent(instance, "told to stop");
    signal(instance, SIGTERM);
}

void FleetHost::kill(int instance) { signal(instance, SIGKILL); }

void FleetHost::signal(int instance, int number) {
    agent_.onReadyChanged(instance, false);
    if (!processes_.signal(instance, number)) supervisor_.onExited(monotonicNow(), instance);
}

void FleetHost::upgrade(int instance) {
    const Version& version = agent_.versionOf(instance);
    installer_.startUpgrade(
        instance, version.isEmpty() ? description_.program : versions_.programPath(version.program));
}

void FleetHost::persist(const rollout::AgentState& state) { agentStore_.save(state); }

void FleetHost::install(int instance, const Version& version) { installer_.startInstall(instance, version); }

}  // namespace poppyscale::ctl
