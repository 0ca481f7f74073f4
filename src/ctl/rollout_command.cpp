#include "ctl/rollout_command.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <chrono>
#include <optional>
#include <vector>

#include "ctl/control_client.hpp"
#include "ctl/version_store.hpp"
#include "logging/logger.hpp"
#include "rollout/messages_codec.hpp"
#include "rollout/rollout_controller.hpp"

namespace poppyscale::ctl {
namespace {

using nlohmann::json;
using rollout::RolloutOutcome;

constexpr int kTick = 400;          // ms between two orders, at least
constexpr int kAnswerWithin = 900;  // ms; who is later is not heard this time

Nanos monotonicNow() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::vector<std::string> socketsOf(const rollout::RolloutPlan& plan) {
    std::vector<std::string> all;
    for (const auto& agent : plan.agents) all.push_back(agent.socket);
    return all;
}

class Coordinator : private rollout::RolloutHost {
  public:
    Coordinator(const rollout::RolloutPlan& plan, const std::string& program, const RolloutOptions& call)
        : plan_(plan),
          call_(call),
          programDigest_(program),
          log_("poppyctl roll", call.json ? logging::Format::json : logging::Format::text),
          roll_(plan, digestOf(program + "\n" + plan.templateText),
                static_cast<rollout::RolloutHost&>(*this)) {}

    int run() {
        sigset_t heard;
        sigemptyset(&heard);
        for (const int s : {SIGTERM, SIGINT}) sigaddset(&heard, s);
        sigprocmask(SIG_BLOCK, &heard, nullptr);
        const int signals = ::signalfd(-1, &heard, SFD_CLOEXEC | SFD_NONBLOCK);
        bool told = false;
        while (roll_.outcome() == RolloutOutcome::none) {
            const Nanos began = monotonicNow();
            turn();
            roll_.reconcile(monotonicNow());
            const auto left = kTick - (monotonicNow() - began) / kMillisecond;
            pollfd one{signals, POLLIN, 0};
            ::poll(&one, 1, static_cast<int>(std::max<Nanos>(left, 0)));
            signalfd_siginfo info{};
            while (::read(signals, &info, sizeof info) == sizeof info) {
                // Told a second time: the agents go back by themselves what is not held.
                if (std::exchange(told, true)) return kExitNotPossible;
                roll_.abandon(monotonicNow());
            }
        }
        return tell();
    }

  private:
    void turn() {
        std::vector<json> orders;
        for (std::size_t a = 0; a < plan_.agents.size(); ++a) {
            auto order = roll_.orderFor(static_cast<int>(a));
            if (order) order->programDigest = programDigest_;
            orders.push_back(order ? rollout::toJson(*order) : json{{"do", "look"}});
        }
        const auto answers = sendRequests(socketsOf(plan_), orders, kAnswerWithin);
        for (std::size_t a = 0; a < answers.size(); ++a) heard(static_cast<int>(a), answers[a]);
    }

    void heard(int a, const json& said) {
        const Nanos now = monotonicNow();
        const auto& name = plan_.agents[static_cast<std::size_t>(a)].name;
        if (said.is_null()) return;
        if (said.contains("error")) {
            const auto why = said["error"].get<std::string>();
            if (said.value("overtaken", false)) return roll_.onSuperseded(now, a, why);
            if (said.value("busy", false)) return;
            log_.info("refused", {{"agent", name}, {"why", why}});
            return roll_.onRefused(now, a, why);
        }
        try {
            roll_.onReport(now, a, rollout::readReport(said));
        } catch (const std::exception& problem) {
            log_.info("not understood", {{"agent", name}, {"why", problem.what()}});
            roll_.onRefused(now, a, problem.what());
        }
    }

    void report(std::string_view what, const json& fields) override { log_.info(what, fields); }

    int tell() {
        const auto outcome = roll_.outcome();
        if (call_.json) {
            fmt::print("{}\n", roll_.status(monotonicNow()).dump(2));
        } else {
            fmt::print("{}{}{}\n", rollout::nameOf(outcome), roll_.reason().empty() ? "" : ": ",
                       roll_.reason());
            for (const auto& one : roll_.unrestoredInstances()) fmt::print("  {}\n", one);
            if (outcome == RolloutOutcome::completed)
                fmt::print("the machines' descriptions still name what ran before: write {}{}{} into them\n",
                           plan_.program,
                           !plan_.program.empty() && !plan_.templatePath.empty() ? " and " : "",
                           plan_.templatePath);
        }
        switch (outcome) {
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
    const RolloutOptions& call_;
    std::string programDigest_;
    logging::Logger log_;
    rollout::RolloutController roll_;
};

int showWays(const rollout::RolloutPlan& plan, const std::string& program, const RolloutOptions& call) {
    const json what{{"do", "way"},
                    {"format", rollout::kFormat},
                    {"form", plan.templateText},
                    {"program_digest", program}};
    const auto answers =
        sendRequests(socketsOf(plan), std::vector<json>(plan.agents.size(), what), kAnswerWithin * 3);
    json all = json::array();
    bool can = true;
    int instances = 0;
    for (std::size_t a = 0; a < answers.size(); ++a) {
        const auto& name = plan.agents[a].name;
        if (answers[a].is_null() || answers[a].contains("error")) {
            can = false;
            const std::string why =
                answers[a].is_null() ? "not there" : answers[a]["error"].get<std::string>();
            fmt::print(stderr, "poppyctl: {}: agents.{}: {} ({})\n", call.plan, name, why,
                       plan.agents[a].socket);
            continue;
        }
        for (const auto& way : answers[a].at("ways")) {
            ++instances;
            can &= !way.at("way").get<std::string>().starts_with("can't");
            all.push_back(
                {{"agent", name}, {"name", way["name"]}, {"zone", way["zone"]}, {"way", way["way"]}});
        }
    }
    const auto stages = rollout::stagesOf(plan, instances);
    if (call.json) {
        fmt::print("{}\n", json{{"instances", all}, {"stages", stages}}.dump(2));
    } else {
        for (const auto& one : all)
            fmt::print("{:<16} {:<12} {:<12} {}\n", one["agent"].get<std::string>(),
                       one["name"].get<std::string>(), one["zone"].get<std::string>(),
                       one["way"].get<std::string>());
        std::string words;
        for (const int n : stages) words += fmt::format("{}{}", words.empty() ? "" : ", ", n);
        fmt::print("stages: {} of {} instances\n", words, instances);
    }
    return can ? kExitCompleted : kExitNotPossible;
}

int showStatus(const rollout::RolloutPlan& plan, const RolloutOptions& call) {
    const auto answers = sendRequests(
        socketsOf(plan), std::vector<json>(plan.agents.size(), json{{"do", "look"}}), kAnswerWithin);
    json all = json::object();
    bool heard = true;
    for (std::size_t a = 0; a < answers.size(); ++a) {
        const auto& name = plan.agents[a].name;
        heard &= !answers[a].is_null();
        all[name] = answers[a];
        if (call.json) continue;
        if (answers[a].is_null() || answers[a].contains("error")) {
            fmt::print("{:<16} unknown\n", name);
            continue;
        }
        const auto report = rollout::readReport(answers[a]);
        fmt::print("{:<16} roll {}{}{}\n", name, report.number,
                   report.digest.empty() ? ", none under way"
                   : report.isFinished   ? ", over"
                                         : ", under way",
                   report.hasRolledBack ? ", went back by itself" : "");
        for (const auto& i : report.instances)
            fmt::print("  {:<14} {:<12} {:<9} {:>8.1f} s {}{}{}\n", i.name, i.zone, rollout::nameOf(i.state),
                       static_cast<double>(i.since) / 1e9, i.ready ? "ready" : "not ready",
                       i.metrics ? "" : ", tells no figures", i.problem.empty() ? "" : ", " + i.problem);
    }
    if (call.json) fmt::print("{}\n", all.dump(2));
    return heard ? kExitCompleted : kExitNotPossible;
}

}  // namespace

int runRollout(const RolloutOptions& call) {
    std::optional<rollout::RolloutPlan> plan;
    std::string program;
    try {
        plan = rollout::loadRolloutPlan(call.plan);
        if (!plan->program.empty()) program = digestOfFile(plan->program);
    } catch (const std::exception& problem) {
        fmt::print(stderr, "poppyctl: {}\n", problem.what());
        return kExitNotPossible;
    }
    if (call.status) return showStatus(*plan, call);
    if (call.dry) return showWays(*plan, program, call);
    Coordinator coordinator(*plan, program, call);
    return coordinator.run();
}

}  // namespace poppyscale::ctl
