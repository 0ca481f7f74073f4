#include "ctl/version_installer.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <utility>

#include "ctl/async_result.hpp"
#include "ctl/monotonic_clock.hpp"

namespace poppyscale::ctl {
namespace {

// The errors of version_store.cpp about files that can't be read, written or run begin with this text.
constexpr std::string_view kFileProblemPrefix = "can't ";

}  // namespace

VersionInstaller::VersionInstaller(const FleetDescription& description, const VersionStore& versions,
                                   supervisor::InstanceSupervisor& supervisor, rollout::RolloutAgent& agent,
                                   InstanceProcesses& processes, FleetStatus& status)
    : description_(description),
      versions_(versions),
      supervisor_(supervisor),
      agent_(agent),
      processes_(processes),
      status_(status),
      instances_(static_cast<std::size_t>(description.supervisor.instanceCount)) {}

// ---- work on separate threads

void VersionInstaller::startUpgrade(int instance, std::string program) {
    at(instance).upgrade = std::async(
        std::launch::async,
        [socket = socketOf(description_, instance), program = std::move(program)]() -> UpgradeResult {
            try {
                return requestUpgrade(socket, program);
            } catch (const std::exception& problem) {
                return {problem.what(), 0};
            }
        });
}

void VersionInstaller::startInstall(int instance, const rollout::Version& version) {
    Install& install = at(instance).install.emplace();
    install.version = version;
    status_.recordEvent(instance, processes_.isReady(instance) ? "changes" : "changes, not ready");
    supervisor_.beginExternalUpgrade(instance);
    install.result =
        std::async(std::launch::async,
                   [versions = versions_, version, description = description_, instance]() -> ApplyResult {
                       return apply(versions, version, description, instance);
                   });
}

VersionInstaller::ApplyResult VersionInstaller::apply(const VersionStore& versions,
                                                      const rollout::Version& version,
                                                      const FleetDescription& description, int instance) {
    try {
        versions.checkProgram(version.program);
        const std::string config =
            makeConfigText(description, versions.templateText(version.templateDigest), instance);
        writeAtomically(configFileOf(description, instance), config);
    } catch (const std::exception& problem) {
        return {problem.what(), false, 0};
    }
    try {
        return applyToProcess(versions, version, socketOf(description, instance));
    } catch (const std::exception&) {
        // The instance does not run, or its version does not support these requests.
        return {"", true, 0};
    }
}

VersionInstaller::ApplyResult VersionInstaller::applyToProcess(const VersionStore& versions,
                                                               const rollout::Version& version,
                                                               const std::string& socket) {
    const pid_t pid = requestProcessId(socket);
    if (!requestReload(socket)) return {"", true, 0};
    if (versions.digestIn(programOf(pid)) == version.program) return {};
    const UpgradeResult upgrade = requestUpgrade(socket, versions.programPath(version.program));
    return {upgrade.problem, false, upgrade.successorPid};
}

// ---- results, on the loop's thread

VersionInstaller::Progress VersionInstaller::collectResult(int instance) {
    Instance& current = at(instance);
    if (current.upgrade.valid()) {
        if (!isDone(current.upgrade)) return Progress::busy;
        const UpgradeResult result = current.upgrade.get();
        if (result.problem.empty()) processes_.adopt(instance, result.successorPid);
        supervisor_.onUpgraded(monotonicNow(), instance, result.problem);
        return Progress::busy;  // the new process is checked in the next iteration
    }
    if (current.install && current.install->state == Install::State::applying) {
        if (!isDone(current.install->result)) return Progress::busy;
        onApplied(instance, current.install->result.get());
    }
    return Progress::idle;
}

void VersionInstaller::onApplied(int instance, const ApplyResult& result) {
    if (needsRestart(instance, result)) {
        restart(instance);
        return;
    }
    processes_.adopt(instance, result.successorPid);
    supervisor_.onUpgraded(monotonicNow(), instance, "");
    finishInstall(instance, result.problem);
}

bool VersionInstaller::needsRestart(int instance, const ApplyResult& result) const {
    const rollout::Report report = agent_.report(monotonicNow());
    const bool isRollingBack =
        report.instances[static_cast<std::size_t>(instance)].state == rollout::InstanceState::rollingBack;
    const std::string program = versions_.programPath(at(instance).install->version.program);
    const bool isProgramMissing = !result.problem.empty() && ::access(program.c_str(), X_OK) != 0;
    if (result.needsRestart) return true;
    // A failed upgrade during a rollback is repeated as a restart: a short outage is better than keeping a
    // bad version. If the files could not be written, a restart would run the bad version again.
    const bool isFileProblem = result.problem.starts_with(kFileProblemPrefix);
    return isRollingBack && !result.problem.empty() && !isProgramMissing && processes_.hasProcess(instance) &&
           !isFileProblem;
}

void VersionInstaller::restart(int instance) {
    Install& install = *at(instance).install;
    install.state = Install::State::restarting;
    install.exitsBefore = supervisor_.unexpectedExits(instance);
    install.deadline =
        monotonicNow() + description_.supervisor.readyTimeout + description_.supervisor.stopTimeout;
    supervisor_.restart(monotonicNow(), instance);
}

void VersionInstaller::checkRestart(int instance) {
    const std::optional<Install>& install = at(instance).install;
    if (!install || install->state != Install::State::restarting) return;
    if (processes_.isReady(instance) && supervisor_.isReady(instance)) {
        const bool isRight = runsProgram(instance, install->version.program);
        finishInstall(instance, isRight ? "" : "the restarted process does not run the installed program");
    } else if (supervisor_.unexpectedExits(instance) > install->exitsBefore) {
        finishInstall(instance, "the restarted process exited before it was ready");
    } else if (monotonicNow() >= install->deadline) {
        finishInstall(instance, "the restarted process was not ready in time");
    }
}

void VersionInstaller::finishInstall(int instance, const std::string& problem) {
    at(instance).install.reset();
    status_.recordEvent(instance, problem.empty() ? "changed" : "not changed");
    agent_.onInstalled(monotonicNow(), instance, problem);
}

bool VersionInstaller::runsProgram(int instance, const std::string& digest) const {
    return versions_.digestIn(programOf(processes_.pid(instance))) == digest;
}

}  // namespace poppyscale::ctl
