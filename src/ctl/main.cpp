// poppyctl, the operators' tool: sends requests to a running instance through its operators' socket,
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

constexpr int kAnswerTimeoutMs = 20'000;  // a hot restart may take 10 s before the instance aborts it
constexpr int kExitRejected = 1;
constexpr int kExitUnreachable = 3;

void showStatus(const json& status) {
    fmt::print("{} {} since {:.1f} s, process {}\n", status["name"].get<std::string>(),
               status["state"].get<std::string>(), status["up_ms"].get<double>() / 1e3,
               status["pid"].get<int>());
    fmt::print("{} open requests, {} clients, {} connections to caches and origin, {} reloads{}\n\n",
               status["open"].get<int>(), status["clients"].get<int>(), status["links"].get<int>(),
               status["reloads"].get<int>(),
               status["upgrading"].get<bool>() ? ", a hot restart is in progress" : "");
    // An instance of an older version does not send these keys.
    const auto trouble = status.value("/list/trouble"_json_pointer, std::string());
    const auto source = status.value("/list/source"_json_pointer, std::string());
    if (!source.empty())
        fmt::print("endpoint list polled from {}, one of {} sources; last answer {:.1f} s ago{}{}\n\n",
                   source, status.value("/list/sources"_json_pointer, 1),
                   status.value("/list/age_ms"_json_pointer, 0.0) / 1e3,
                   trouble.empty() ? "" : "; last failure: ", trouble);
    else if (!trouble.empty())
        fmt::print("endpoint list can't be polled from discovery: {}; last answer {:.1f} s ago\n\n", trouble,
                   status.value("/list/age_ms"_json_pointer, 0.0) / 1e3);
    fmt::print("{}", status["described"].get<std::string>());
}

void showCommands(const json& answer) {
    fmt::print("{:<18} {:<14} {:<14} {:<18} {:>8} {:>8} {:>8}  {}\n", "id", "class", "tenant", "key",
               "age ms", "left ms", "attempts", "in flight at");
    for (const auto& request : answer["commands"])
        fmt::print("{:<18} {:<14} {:<14} {:<18} {:>8} {:>8} {:>8}  {}{}\n", request["id"].get<std::string>(),
                   request["verb"].get<std::string>(), request["customer"].get<std::string>(),
                   request["key"].get<std::string>(), request["age_ms"].get<long>(),
                   request["left_ms"].get<long>(), request["relays"].get<int>(),
                   request["at"].get<std::string>(),
                   request["at"].get<std::string>().empty()
                       ? (request["waited_for"].get<bool>() ? "waiting" : "client disconnected")
                       : fmt::format(" for {} ms", request["out_ms"].get<long>()));
    fmt::print("{} open requests\n", answer["open"].get<int>());
}

void showCaches(const json& answer) {
    fmt::print("{:<20} {:<10} {:<7} {:<9} {:>9} {:>7} {:>7} {:>8} {:>8} {:>9} {:>7} {:>10}\n", "name", "zone",
               "kind", "state", "in flight", "limit", "warm-up", "outcomes", "failures", "lat ratio", "hints",
               "ejected ms");
    for (const auto& cache : answer["caches"])
        fmt::print(
            "{:<20} {:<10} {:<7} {:<9} {:>9} {:>7.1f} {:>7.2f} {:>8.1f} {:>8.1f} {:>9.2f} {:>7} {:>10}\n",
            cache["name"].get<std::string>(), cache["zone"].get<std::string>(),
            cache["kind"].get<std::string>(), cache["state"].get<std::string>(), cache["out"].get<int>(),
            cache["window"].get<double>(), cache["warmth"].get<double>(), cache["heard"].get<double>(),
            cache["failed"].get<double>(), cache["lateness"].get<double>(), cache["hints"].get<long>(),
            cache["aside_ms"].get<long>());
}

void showReload(const json& answer) {
    for (const auto& line : answer["changed"]) fmt::print("{}\n", line.get<std::string>());
    for (const auto& line : answer["waits"]) fmt::print("{}\n", line.get<std::string>());
    if (answer["changed"].empty() && answer["waits"].empty())
        fmt::print("the configuration has not changed\n");
}

// Prints an instance's answer to the sub-command `command` in readable form.
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
        fmt::print("process {} has taken over\n", answer["taken_over_by"].get<int>());
    else
        fmt::print("{} open requests\n", answer["open"].get<int>());
}

// Options and arguments of the command line.
struct Arguments {
    std::string socket = "/run/poppyscale.sock";
    bool asJson = false;
    std::string program;             // path of the program for `upgrade`; empty: the instance's own program
    std::string fleetDescription;    // path
    std::string distributorAddress;  // address and port
    ctl::RolloutOptions rollout;
};

void declareCommands(CLI::App& app, Arguments& arguments) {
    app.require_subcommand(1);
    app.add_option("--socket", arguments.socket, "path of the instance's operators' socket")
        ->envname("POPPYSCALE_SOCKET");
    app.add_flag("--json", arguments.asJson, "print the instance's answer as JSON, unchanged");
    app.add_subcommand("status", "show the instance's state and its configuration in force");
    app.add_subcommand("commands", "list open requests with their age and the server of their attempt");
    app.add_subcommand("caches",
                       "show state, load and recent outcomes of each cache server and of the origin");
    app.add_subcommand("reload", "reload the configuration and show what has changed");
    app.add_subcommand("drain", "accept no new requests, answer the open ones, then exit");
    app.add_subcommand("stop", "exit at once");
    app.add_subcommand("upgrade", "hot restart: start a new process, which takes over the sockets")
        ->add_option("--program", arguments.program,
                     "path of the new process's program (default: the instance's own program)");
    app.add_subcommand("fleet", "run the instances of a fleet description and keep them running")
        ->add_option("file", arguments.fleetDescription, "path of the fleet description")
        ->required();
    auto* distributor = app.add_subcommand("distributor", "show the status of an endpoint distributor");
    distributor
        ->add_option("address", arguments.distributorAddress,
                     "address and port at which the distributor listens, such as 10.1.0.5:9100")
        ->required();
    distributor->add_flag("--json", arguments.asJson, "print the distributor's answer as JSON, unchanged");
    auto* rollout =
        app.add_subcommand("roll", "roll out a program or configuration over several machines, in stages");
    rollout->add_option("plan", arguments.rollout.plan, "path of the rollout plan")->required();
    rollout->add_flag("--dry", arguments.rollout.isDryRun,
                      "show by which means each instance would get the change, and change nothing");
    rollout->add_flag("--status", arguments.rollout.showsStatus,
                      "show the state of the instances of the plan's agents");
    rollout->add_flag("--json", arguments.rollout.asJson, "print results and log lines as JSON");
}

int runDistributor(const Arguments& arguments) {
    const json status = ctl::distributorStatus(arguments.distributorAddress, kAnswerTimeoutMs);
    fmt::print("{}", arguments.asJson ? status.dump(2) + "\n" : ctl::distributorTable(status));
    return 0;
}

// Sends the sub-command to the instance and prints the answer. Returns the exit code.
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
        if (arguments.asJson) arguments.rollout.asJson = true;
        return ctl::runRollout(arguments.rollout);
    }
    if (command == "fleet") return ctl::runFleet(ctl::readFleetDescription(arguments.fleetDescription));
    if (command == "distributor") return runDistributor(arguments);
    return runInstanceCommand(command, arguments);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"poppyctl: operates poppyscale instances, supervises fleets and coordinates rollouts"};
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
