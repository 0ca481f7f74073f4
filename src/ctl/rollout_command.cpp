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
#include "rollout/rollout_controller.hpp"

namespace poppyscale::ctl {
namespace {

using nlohmann::json;
using rollout::Outcome;

constexpr int kTick = 400;          // ms between two orders, at least
constexpr int kAnswerWithin = 900;  // ms; who is later is not heard this time

Nanos nowIs() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::vector<std::string> socketsOf(const rollout::Plan& plan) {
    std::vector<std::string> all;
    for (const auto& agent : plan.agents) all.push_back(agent.socket);
    return all;
}

class Coordinator : private rollout::RollHands {
  public:
    Coordinator(const rollout::Plan& plan, const std::string& program, const RollCall& call)
        : plan_(plan),
          call_(call),
          programDigest_(program),
          log_("poppyctl roll", call.json ? logging::Form::json : logging::Form::text),
          roll_(plan, digestOf(program + "\n" + plan.formText), static_cast<rollout::RollHands&>(*this)) {}

    int run() {
        sigset_t heard;
        sigemptyset(&heard);
        for (const int s : {SIGTERM, SIGINT}) sigaddset(&heard, s);
        sigprocmask(SIG_BLOCK, &heard, nullptr);
        const int signals = ::signalfd(-1, &heard, SFD_CLOEXEC | SFD_NONBLOCK);
        bool told = false;
        while (roll_.outcome() == Outcome::none) {
            const Nanos began = nowIs();
            turn();
            roll_.settle(nowIs());
            const auto left = kTick - (nowIs() - began) / kMillisecond;
            pollfd one{signals, POLLIN, 0};
            ::poll(&one, 1, static_cast<int>(std::max<Nanos>(left, 0)));
            signalfd_siginfo info{};
            while (::read(signals, &info, sizeof info) == sizeof info) {
                // Told a second time: the agents go back by themselves what is not held.
                if (std::exchange(told, true)) return kCant;
                roll_.abandon(nowIs());
            }
        }
        return tell();
    }

  private:
    void turn() {
        std::vector<json> orders;
        for (std::size_t a = 0; a < plan_.agents.size(); ++a) {
            auto order = roll_.order(static_cast<int>(a));
            if (order) order->programDigest = programDigest_;
            orders.push_back(order ? rollout::toJson(*order) : json{{"do", "look"}});
        }
        const auto answers = askAll(socketsOf(plan_), orders, kAnswerWithin);
        for (std::size_t a = 0; a < answers.size(); ++a) heard(static_cast<int>(a), answers[a]);
    }

    void heard(int a, const json& said) {
        const Nanos now = nowIs();
        const auto& name = plan_.agents[static_cast<std::size_t>(a)].name;
        if (said.is_null()) return;
        if (said.contains("error")) {
            const auto why = said["error"].get<std::string>();
            if (said.value("overtaken", false)) return roll_.overtaken(now, a, why);
            if (said.value("busy", false)) return;
            log_.info("refused", {{"agent", name}, {"why", why}});
            return roll_.refused(now, a, why);
        }
        try {
            roll_.heard(now, a, rollout::readReport(said));
        } catch (const std::exception& problem) {
            log_.info("not understood", {{"agent", name}, {"why", problem.what()}});
            roll_.refused(now, a, problem.what());
        }
    }

    void say(std::string_view what, const json& fields) override { log_.info(what, fields); }

    int tell() {
        const auto outcome = roll_.outcome();
        if (call_.json) {
            fmt::print("{}\n", roll_.status(nowIs()).dump(2));
        } else {
            fmt::print("{}{}{}\n", rollout::nameOf(outcome), roll_.reason().empty() ? "" : ": ",
                       roll_.reason());
            for (const auto& one : roll_.notUndone()) fmt::print("  {}\n", one);
            if (outcome == Outcome::went)
                fmt::print("the machines' descriptions still name what ran before: write {}{}{} into them\n",
                           plan_.program, !plan_.program.empty() && !plan_.form.empty() ? " and " : "",
                           plan_.form);
        }
        switch (outcome) {
            case Outcome::went:
                return kWent;
            case Outcome::undone:
                return kUndone;
            case Outcome::notUndone:
                return kNotUndone;
            default:
                return kCant;
        }
    }

    const rollout::Plan& plan_;
    const RollCall& call_;
    std::string programDigest_;
    logging::Log log_;
    rollout::Roll roll_;
};

int showWays(const rollout::Plan& plan, const std::string& program, const RollCall& call) {
    const json what{
        {"do", "way"}, {"format", rollout::kFormat}, {"form", plan.formText}, {"program_digest", program}};
    const auto answers =
        askAll(socketsOf(plan), std::vector<json>(plan.agents.size(), what), kAnswerWithin * 3);
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
    return can ? kWent : kCant;
}

int showStatus(const rollout::Plan& plan, const RollCall& call) {
    const auto answers =
        askAll(socketsOf(plan), std::vector<json>(plan.agents.size(), json{{"do", "look"}}), kAnswerWithin);
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
                   : report.over         ? ", over"
                                         : ", under way",
                   report.wentBack ? ", went back by itself" : "");
        for (const auto& i : report.instances)
            fmt::print("  {:<14} {:<12} {:<9} {:>8.1f} s {}{}{}\n", i.name, i.zone, rollout::nameOf(i.stand),
                       static_cast<double>(i.since) / 1e9, i.ready ? "ready" : "not ready",
                       i.figures ? "" : ", tells no figures", i.problem.empty() ? "" : ", " + i.problem);
    }
    if (call.json) fmt::print("{}\n", all.dump(2));
    return heard ? kWent : kCant;
}

}  // namespace

int runRoll(const RollCall& call) {
    std::optional<rollout::Plan> plan;
    std::string program;
    try {
        plan = rollout::loadPlan(call.plan);
        if (!plan->program.empty()) program = digestOfFile(plan->program);
    } catch (const std::exception& problem) {
        fmt::print(stderr, "poppyctl: {}\n", problem.what());
        return kCant;
    }
    if (call.status) return showStatus(*plan, call);
    if (call.dry) return showWays(*plan, program, call);
    Coordinator coordinator(*plan, program, call);
    return coordinator.run();
}

}  // namespace poppyscale::ctl
