// poppyctl: the operators' tool. Sends requests to a running instance through its operators' socket,
// supervises a fleet, and coordinates a rollout.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <exception>
#include <nlohmann/json.hpp>
#include <string>

#include "ctl/control_client.hpp"
#include "ctl/distributor_status.hpp"
#include "ctl/fleet_command.hpp"
#include "ctl/rollout_command.hpp"

namespace {

using nlohmann::json;
namespace ctl = poppyscale::ctl;

constexpr int kAnswerTimeoutMs = 20'000;  // an upgrade may take ten seconds until it is given up
constexpr int kExitRejected = 1;
constexpr int kExitUnreachable = 3;

void showStatus(const json& status) {
    fmt::print("{} {} since {:.1f} s, process {}\n", status["name"].get<std::string>(),
               status["state"].get<std::string>(), status["up_ms"].get<double>() / 1e3,
               status["pid"].get<int>());
    fmt::print("{} commands open, {} clients, {} connections to caches and origin, {} reloads{}\n\n",
               status["open"].get<int>(), status["clients"].get<int>(), status["links"].get<int>(),
               status["reloads"].get<int>(),
               status["upgrading"].get<bool>() ? ", an upgrade is under way" : "");
    // An instance of an older version has no such keys.
    const auto trouble = status.value("/list/trouble"_json_pointer, std::string());
    const auto source = status.value("/list/source"_json_pointer, std::string());
    if (!source.empty())
        fmt::print("the list is asked of {}, one of {}; last heard of {:.1f} s ago{}{}\n\n", source,
                   status.value("/list/sources"_json_pointer, 1),
                   status.value("/list/age_ms"_json_pointer, 0.0) / 1e3,
                   trouble.empty() ? "" : "; it can't be had: ", trouble);
    else if (!trouble.empty())
        fmt::print("the list can't be had from discovery: {}; last heard of {:.1f} s ago\n\n", trouble,
                   status.value("/list/age_ms"_json_pointer, 0.0) / 1e3);
    fmt::print("{}", status["described"].get<std::string>());
}

void showCommands(const json& answer) {
    fmt::print("{:<18} {:<14} {:<14} {:<18} {:>8} {:>8} {:>6}  {}\n", "id", "verb", "customer", "key",
               "age ms", "left ms", "relays", "out at");
    for (const auto& request : answer["commands"])
        fmt::print("{:<18} {:<14} {:<14} {:<18} {:>8} {:>8} {:>6}  {}{}\n", request["id"].get<std::string>(),
                   request["verb"].get<std::string>(), request["customer"].get<std::string>(),
                   request["key"].get<std::string>(), request["age_ms"].get<long>(),
                   request["left_ms"].get<long>(), request["relays"].get<int>(),
                   request["at"].get<std::string>(),
                   request["at"].get<std::string>().empty()
                       ? (request["waited_for"].get<bool>() ? "waits" : "its client left")
                       : fmt::format(" for {} ms", request["out_ms"].get<long>()));
    fmt::print("{} open\n", answer["open"].get<int>());
}

void showCaches(const json& answer) {
    fmt::print("{:<20} {:<10} {:<7} {:<9} {:>4} {:>7} {:>7} {:>7} {:>7} {:>9} {:>7} {:>9}\n", "name", "zone",
               "kind", "state", "out", "window", "warmth", "heard", "failed", "lateness", "hints",
               "aside ms");
    for (const auto& cache : answer["caches"])
        fmt::print(
            "{:<20} {:<10} {:<7} {:<9} {:>4} {:>7.1f} {:>7.2f} {:>7.1f} {:>7.1f} {:>9.2f} {:>7} {:>9}\n",
            cache["name"].get<std::string>(), cache["zone"].get<std::string>(),
            cache["kind"].get<std::string>(), cache["state"].get<std::string>(), cache["out"].get<int>(),
            cache["window"].get<double>(), cache["warmth"].get<double>(), cache["heard"].get<double>(),
            cache["failed"].get<double>(), cache["lateness"].get<double>(), cache["hints"].get<long>(),
            cache["aside_ms"].get<long>());
}

void showReload(const json& answer) {
    for (const auto& line : answer["changed"]) fmt::print("{}\n", line.get<std::string>());
    for (const auto& line : answer["waits"]) fmt::print("{}\n", line.get<std::string>());
    if (answer["changed"].empty() && answer["waits"].empty()) fmt::print("nothing has changed\n");
}

// Prints an instance's answer to that sub-command for people.
void showAnswer(const std::string& command, const json& answer) {
    if (answer.contains("error"))
        fmt::print(stderr, "poppyctl: {}\n", answer["error"].get<std::string>());
    else if (command == "status")
        showStatus(answer);
    else if (command == "commands")
        showCommands(answer);
    else if (command == "caches")
        showCaches(answer);
    else if (command == "reload")
        showReload(answer);
    else if (command == "upgrade")
        fmt::print("process {} serves now\n", answer["taken_over_by"].get<int>());
    else
        fmt::print("{} commands open\n", answer["open"].get<int>());
}

// The command line.
struct Arguments {
    std::string socket = "/run/poppyscale.sock";
    bool asJson = false;
    std::string program;             // of an upgrade; empty: the one of the instance
    std::string fleetDescription;    // path
    std::string distributorAddress;  // address and port
    ctl::RolloutOptions rollout;
};

void declareCommands(CLI::App& app, Arguments& arguments) {
    app.require_subcommand(1);
    app.add_option("--socket", arguments.socket, "the instance's operator's socket")
        ->envname("POPPYSCALE_SOCKET");
    app.add_flag("--json", arguments.asJson, "prints what the instance said, as it said it");
    app.add_subcommand("status", "its state and what is in force");
    app.add_subcommand("commands", "what is open, since when, and where it is out");
    app.add_subcommand("caches", "what it believes of its caches and origin");
    app.add_subcommand("reload", "reads its configuration anew and says what changed");
    app.add_subcommand("drain", "takes nothing new, answers what it owes, ends");
    app.add_subcommand("stop", "ends at once");
    app.add_subcommand("upgrade", "starts its program anew, which takes its sockets over")
        ->add_option("--program", arguments.program, "another program than the one it was started with");
    app.add_subcommand("fleet", "runs the instances of one description and keeps them running")
        ->add_option("file", arguments.fleetDescription, "the description")
        ->required();
    auto* distributor = app.add_subcommand("distributor", "the status of a list distributor");
    distributor->add_option("address", arguments.distributorAddress, "where it listens, as 10.1.0.5:9100")
        ->required();
    distributor->add_flag("--json", arguments.asJson, "as it was told");
    auto* rollout =
        app.add_subcommand("roll", "a staged change of program or settings over several machines");
    rollout->add_option("plan", arguments.rollout.plan, "the plan")->required();
    rollout->add_flag("--dry", arguments.rollout.dry, "how each instance would come by it; nothing is begun");
    rollout->add_flag("--status", arguments.rollout.status, "how the instances of the plan's agents stand");
    rollout->add_flag("--json", arguments.rollout.json, "for programs, the log's lines too");
}

int runDistributor(const Arguments& arguments) {
    const json status = ctl::distributorStatus(arguments.distributorAddress, kAnswerTimeoutMs);
    fmt::print("{}", arguments.asJson ? status.dump(2) + "\n" : ctl::distributorTable(status));
    return 0;
}

// Sends the sub-command of that name to the instance.
int runInstanceCommand(const std::string& command, const Arguments& arguments) {
    json request{{"do", command}};
    if (!arguments.program.empty()) request["program"] = arguments.program;
    const json answer = ctl::sendRequest(arguments.socket, request, kAnswerTimeoutMs);
    if (arguments.asJson)
        fmt::print("{}\n", answer.dump(2));
    else
        showAnswer(command, answer);
    return answer.contains("error") ? kExitRejected : 0;
}

int runCommand(const std::string& command, Arguments& arguments) {
    if (command == "roll") {
        if (arguments.asJson) arguments.rollout.json = true;
        return ctl::runRollout(arguments.rollout);
    }
    if (command == "fleet") return ctl::runFleet(ctl::readFleetDescription(arguments.fleetDescription));
    if (command == "distributor") return runDistributor(arguments);
    return runInstanceCommand(command, arguments);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"poppyctl: speaks to a running poppyscale through its operator's socket"};
    Arguments arguments;
    declareCommands(app, arguments);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? 0 : ctl::kExitUsage;
    }
    const std::string command = app.get_subcommands().front()->get_name();
    try {
        return runCommand(command, arguments);
    } catch (const std::exception& problem) {
        fmt::print(stderr, "poppyctl: {}\n", problem.what());
        return command == "fleet" ? ctl::kExitUsage : kExitUnreachable;
    }
}
