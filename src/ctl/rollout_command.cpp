#include "ctl/rollout_command.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <signal.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "ctl/agent_codec.hpp"
#include "ctl/control_client.hpp"
#include "ctl/monotonic_clock.hpp"
#include "ctl/signal_source.hpp"
#include "ctl/version_store.hpp"
#include "logging/logger.hpp"
#include "rollout/messages_codec.hpp"
#include "rollout/rollout_controller.hpp"

namespace poppyscale::ctl {
namespace {

using nlohmann::json;
using rollout::RolloutOutcome;

constexpr int kOrderIntervalMs = 400;  // minimum time between the starts of two rounds of orders
constexpr int kAnswerTimeoutMs = 900;  // limit for the answers of all agents together
constexpr int kPreviewTimeoutMs = 3 * kAnswerTimeoutMs;

std::vector<std::string> socketsOf(const rollout::RolloutPlan& plan) {
    std::vector<std::string> sockets;
    for (const auto& agent : plan.agents) sockets.push_back(agent.socket);
    return sockets;
}

// Sends the same request to all agents. Returns the answers by agent; null for an agent without an answer.
std::vector<json> requestFromAll(const rollout::RolloutPlan& plan, const json& request, int timeoutMs) {
    return sendRequests(socketsOf(plan), std::vector<json>(plan.agents.size(), request), timeoutMs);
}

// Sends the orders of a RolloutController to the agents and passes the answers back to it, round by round.
class RolloutCoordinator : private rollout::RolloutHost {
  public:
    // `plan` and `options` must outlive it. `programDigest` is the digest of the plan's program; empty if the
    // plan does not change the program.
    RolloutCoordinator(const rollout::RolloutPlan& plan, const std::string& programDigest,
                       const RolloutOptions& options)
        : plan_(plan),
          options_(options),
          programDigest_(programDigest),
          log_("poppyctl roll", options.asJson ? logging::Format::json : logging::Format::text),
          controller_(plan, digestOf(programDigest + "\n" + plan.templateText),
                      static_cast<rollout::RolloutHost&>(*this)) {}

    // Runs until the rollout has an outcome, prints it and returns the exit code.
    int run() {
        SignalSource signals{SIGTERM, SIGINT};
        bool isAbandoned = false;
        while (controller_.outcome() == RolloutOutcome::none) {
            const Nanos startedAt = monotonicNow();
            exchangeWithAgents();
            controller_.reconcile(monotonicNow());
            waitForSignal(signals, startedAt);
            while (signals.next()) {
                // No orders follow a second signal, so the agents roll back the changes that are not held.
                if (isAbandoned) return kExitNotPossible;
                isAbandoned = true;
                controller_.abandon(monotonicNow());
            }
        }
        printOutcome();
        return exitCode();
    }

  private:
    static void waitForSignal(const SignalSource& signals, Nanos roundStartedAt) {
        const Nanos remainingMs = kOrderIntervalMs - (monotonicNow() - roundStartedAt) / kMillisecond;
        pollfd descriptor{signals.descriptor(), POLLIN, 0};
        ::poll(&descriptor, 1, static_cast<int>(std::max<Nanos>(remainingMs, 0)));
    }

    void exchangeWithAgents() {
        std::vector<json> requests;
        for (std::size_t agent = 0; agent < plan_.agents.size(); ++agent) {
            auto order = controller_.orderFor(static_cast<int>(agent));
            if (order) order->programDigest = programDigest_;
            requests.push_back(order ? rollout::toJson(*order) : encodeReportRequest());
        }
        const auto answers = sendRequests(socketsOf(plan_), requests, kAnswerTimeoutMs);
        for (std::size_t agent = 0; agent < answers.size(); ++agent)
            if (!answers[agent].is_null()) onAnswer(static_cast<int>(agent), answers[agent]);
    }

    void onAnswer(int agent, const json& answer) {
        const Nanos now = monotonicNow();
        const auto& name = plan_.agents[static_cast<std::size_t>(agent)].name;
        if (const auto error = readAgentError(answer)) {
            onAgentError(now, agent, *error);
            return;
        }
        try {
            controller_.onReport(now, agent, rollout::readReport(answer));
        } catch (const std::exception& problem) {
            log_.info("invalid answer", {{"agent", name}, {"why", problem.what()}});
            controller_.onRejected(now, agent, problem.what());
        }
    }

    void onAgentError(Nanos now, int agent, const AgentError& error) {
        if (error.isSuperseded) {
            controller_.onSuperseded(now, agent, error.problem);
            return;
        }
        if (error.isBusy) return;
        const auto& name = plan_.agents[static_cast<std::size_t>(agent)].name;
        log_.info("refused", {{"agent", name}, {"why", error.problem}});
        controller_.onRejected(now, agent, error.problem);
    }

    void report(std::string_view what, const json& fields) override { log_.info(what, fields); }

    void printOutcome() const {
        if (options_.asJson) {
            fmt::print("{}\n", controller_.status(monotonicNow()).dump(2));
            return;
        }
        const auto outcome = controller_.outcome();
        fmt::print("{}{}{}\n", rollout::nameOf(outcome), controller_.reason().empty() ? "" : ": ",
                   controller_.reason());
        for (const auto& instance : controller_.unrestoredInstances()) fmt::print("  {}\n", instance);
        if (outcome != RolloutOutcome::completed) return;
        const bool changesBoth = !plan_.program.empty() && !plan_.templatePath.empty();
        fmt::print("the machines' fleet descriptions still name the previous version: enter {}{}{} there\n",
                   plan_.program, changesBoth ? " and " : "", plan_.templatePath);
    }

    int exitCode() const {
        switch (controller_.outcome()) {
            case RolloutOutcome::completed:
                return kExitCompleted;
            case RolloutOutcome::rolledBack:
                return kExitRolledBack;
            case RolloutOutcome::rollbackIncomplete:
                return kExitRollbackIncomplete;
            default:
                return kExitNotPossible;
        }
    }

    const rollout::RolloutPlan& plan_;
    const RolloutOptions& options_;
    std::string programDigest_;
    logging::Logger log_;
    rollout::RolloutController controller_;
};

// ---- the options --dry and --status

struct AgentPreview {
    std::string agent;
    InstancePreview instance;
};

void printPreviews(const std::vector<AgentPreview>& previews, const std::vector<int>& stages, bool asJson) {
    if (asJson) {
        json instances = json::array();
        for (const auto& [agent, instance] : previews)
            instances.push_back({{"agent", agent},
                                 {"name", instance.name},
                                 {"zone", instance.zone},
                                 {"way", instance.means}});
        fmt::print("{}\n", json{{"instances", instances}, {"stages", stages}}.dump(2));
        return;
    }
    for (const auto& [agent, instance] : previews)
        fmt::print("{:<16} {:<12} {:<12} {}\n", agent, instance.name, instance.zone, instance.means);
    std::string sizes;
    for (const int size : stages) sizes += fmt::format("{}{}", sizes.empty() ? "" : ", ", size);
    fmt::print("stages: {} of {} instances\n", sizes, previews.size());
}

int showPreview(const rollout::RolloutPlan& plan, const std::string& programDigest,
                const RolloutOptions& options) {
    const json request = encodePreviewRequest({plan.templateText, programDigest});
    const auto answers = requestFromAll(plan, request, kPreviewTimeoutMs);
    std::vector<AgentPreview> previews;
    bool isPossible = true;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const auto& agent = plan.agents[i];
        const auto error = answers[i].is_null() ? AgentError{"no answer"} : readAgentError(answers[i]);
        if (error) {
            isPossible = false;
            fmt::print(stderr, "poppyctl: {}: agents.{}: {} ({})\n", options.plan, agent.name, error->problem,
                       agent.socket);
            continue;
        }
        for (const InstancePreview& instance : readPreviewAnswer(answers[i])) {
            if (instance.means.starts_with("can't")) isPossible = false;
            previews.push_back({agent.name, instance});
        }
    }
    const auto stages = rollout::stagesOf(plan, static_cast<int>(previews.size()));
    printPreviews(previews, stages, options.asJson);
    return isPossible ? kExitCompleted : kExitNotPossible;
}

std::string describeProgress(const rollout::Report& report) {
    if (report.digest.empty()) return ", no change in progress";
    return report.isFinished ? ", finished" : ", in progress";
}

void printReport(const std::string& agent, const rollout::Report& report) {
    fmt::print("{:<16} rollout {}{}{}\n", agent, report.number, describeProgress(report),
               report.hasRolledBack ? ", rolled back on its own" : "");
    for (const auto& instance : report.instances)
        fmt::print("  {:<14} {:<12} {:<9} {:>8.1f} s {}{}{}\n", instance.name, instance.zone,
                   rollout::nameOf(instance.state), static_cast<double>(instance.timeInState) / 1e9,
                   instance.ready ? "ready" : "not ready", instance.metrics ? "" : ", no metrics",
                   instance.problem.empty() ? "" : ", " + instance.problem);
}

int showStatus(const rollout::RolloutPlan& plan, const RolloutOptions& options) {
    const auto answers = requestFromAll(plan, encodeReportRequest(), kAnswerTimeoutMs);
    json byAgent = json::object();
    bool allAnswered = true;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const auto& agent = plan.agents[i].name;
        if (answers[i].is_null()) allAnswered = false;
        byAgent[agent] = answers[i];
        if (options.asJson) continue;
        if (answers[i].is_null() || answers[i].contains("error"))
            fmt::print("{:<16} no report received\n", agent);
        else
            printReport(agent, rollout::readReport(answers[i]));
    }
    if (options.asJson) fmt::print("{}\n", byAgent.dump(2));
    return allAnswered ? kExitCompleted : kExitNotPossible;
}

}  // namespace

int runRollout(const RolloutOptions& options) {
    std::optional<rollout::RolloutPlan> plan;
    std::string programDigest;
    try {
        plan = rollout::loadRolloutPlan(options.plan);
        if (!plan->program.empty()) programDigest = digestOfFile(plan->program);
    } catch (const std::exception& problem) {
        fmt::print(stderr, "poppyctl: {}\n", problem.what());
        return kExitNotPossible;
    }
    if (options.showsStatus) return showStatus(*plan, options);
    if (options.isDryRun) return showPreview(*plan, programDigest, options);
    RolloutCoordinator coordinator(*plan, programDigest, options);
    return coordinator.run();
}

}  // namespace poppyscale::ctl
