// poppyctl: speaks to a running instance through its operator's socket.
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

constexpr int kPatienceMs = 20'000;  // an upgrade may take ten seconds until it is given up
constexpr int kRefused = 1;
constexpr int kUsage = 2;
constexpr int kUnreached = 3;

void showStatus(const json& s) {
    fmt::print("{} {} since {:.1f} s, process {}\n", s["name"].get<std::string>(),
               s["state"].get<std::string>(), s["up_ms"].get<double>() / 1e3, s["pid"].get<int>());
    fmt::print("{} commands open, {} clients, {} connections to caches and origin, {} reloads{}\n\n",
               s["open"].get<int>(), s["clients"].get<int>(), s["links"].get<int>(), s["reloads"].get<int>(),
               s["upgrading"].get<bool>() ? ", an upgrade is under way" : "");
    // One of before knows no such keys.
    const auto trouble = s.value("/list/trouble"_json_pointer, std::string());
    const auto source = s.value("/list/source"_json_pointer, std::string());
    if (!source.empty())
        fmt::print("the list is asked of {}, one of {}; last heard of {:.1f} s ago{}{}\n\n", source,
                   s.value("/list/sources"_json_pointer, 1), s.value("/list/age_ms"_json_pointer, 0.0) / 1e3,
                   trouble.empty() ? "" : "; it can't be had: ", trouble);
    else if (!trouble.empty())
        fmt::print("the list can't be had from discovery: {}; last heard of {:.1f} s ago\n\n", trouble,
                   s.value("/list/age_ms"_json_pointer, 0.0) / 1e3);
    fmt::print("{}", s["described"].get<std::string>());
}

void showCommands(const json& s) {
    fmt::print("{:<18} {:<14} {:<14} {:<18} {:>8} {:>8} {:>6}  {}\n", "id", "verb", "customer", "key",
               "age ms", "left ms", "relays", "out at");
    for (const auto& c : s["commands"])
        fmt::print("{:<18} {:<14} {:<14} {:<18} {:>8} {:>8} {:>6}  {}{}\n", c["id"].get<std::string>(),
                   c["verb"].get<std::string>(), c["customer"].get<std::string>(),
                   c["key"].get<std::string>(), c["age_ms"].get<long>(), c["left_ms"].get<long>(),
                   c["relays"].get<int>(), c["at"].get<std::string>(),
                   c["at"].get<std::string>().empty()
                       ? (c["waited_for"].get<bool>() ? "waits" : "its client left")
                       : fmt::format(" for {} ms", c["out_ms"].get<long>()));
    fmt::print("{} open\n", s["open"].get<int>());
}

void showCaches(const json& s) {
    fmt::print("{:<20} {:<10} {:<7} {:<9} {:>4} {:>7} {:>7} {:>7} {:>7} {:>9} {:>7} {:>9}\n", "name", "zone",
               "kind", "state", "out", "window", "warmth", "heard", "failed", "lateness", "hints",
               "aside ms");
    for (const auto& c : s["caches"])
        fmt::print(
            "{:<20} {:<10} {:<7} {:<9} {:>4} {:>7.1f} {:>7.2f} {:>7.1f} {:>7.1f} {:>9.2f} {:>7} {:>9}\n",
            c["name"].get<std::string>(), c["zone"].get<std::string>(), c["kind"].get<std::string>(),
            c["state"].get<std::string>(), c["out"].get<int>(), c["window"].get<double>(),
            c["warmth"].get<double>(), c["heard"].get<double>(), c["failed"].get<double>(),
            c["lateness"].get<double>(), c["hints"].get<long>(), c["aside_ms"].get<long>());
}

void showReload(const json& s) {
    for (const auto& line : s["changed"]) fmt::print("{}\n", line.get<std::string>());
    for (const auto& line : s["waits"]) fmt::print("{}\n", line.get<std::string>());
    if (s["changed"].empty() && s["waits"].empty()) fmt::print("nothing has changed\n");
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"poppyctl: speaks to a running poppyscale through its operator's socket"};
    app.require_subcommand(1);
    std::string path = "/run/poppyscale.sock";
    bool plain = false;
    app.add_option("--socket", path, "the instance's operator's socket")->envname("POPPYSCALE_SOCKET");
    app.add_flag("--json", plain, "prints what the instance said, as it said it");
    std::string program;
    app.add_subcommand("status", "its state and what is in force");
    app.add_subcommand("commands", "what is open, since when, and where it is out");
    app.add_subcommand("caches", "what it believes of its caches and origin");
    app.add_subcommand("reload", "reads its configuration anew and says what changed");
    app.add_subcommand("drain", "takes nothing new, answers what it owes, ends");
    app.add_subcommand("stop", "ends at once");
    app.add_subcommand("upgrade", "starts its program anew, which takes its sockets over")
        ->add_option("--program", program, "another program than the one it was started with");
    auto* fleet = app.add_subcommand("fleet", "runs the instances of one description and keeps them running");
    std::string description;
    fleet->add_option("file", description, "the description")->required();
    auto* distributor = app.add_subcommand("distributor", "the status of a list distributor");
    std::string distributorAddress;
    distributor->add_option("address", distributorAddress, "where it listens, as 10.1.0.5:9100")->required();
    distributor->add_flag("--json", plain, "as it was told");
    auto* roll = app.add_subcommand("roll", "a staged change of program or settings over several machines");
    ::poppyscale::ctl::RolloutOptions rolling;
    roll->add_option("plan", rolling.plan, "the plan")->required();
    roll->add_flag("--dry", rolling.dry, "how each instance would come by it; nothing is begun");
    roll->add_flag("--status", rolling.status, "how the instances of the plan's agents stand");
    roll->add_flag("--json", rolling.json, "for programs, the log's lines too");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? 0 : kUsage;
    }
    try {
        if (*roll) {
            rolling.json |= plain;
            return ::poppyscale::ctl::runRollout(rolling);
        }
        if (*fleet) return ::poppyscale::ctl::runFleet(::poppyscale::ctl::readFleetDescription(description));
        if (*distributor) {
            const json status = ::poppyscale::ctl::distributorStatus(distributorAddress, kPatienceMs);
            fmt::print("{}", plain ? status.dump(2) + "\n" : ::poppyscale::ctl::distributorTable(status));
            return 0;
        }
        const std::string what = app.get_subcommands().front()->get_name();
        json asked{{"do", what}};
        if (!program.empty()) asked["program"] = program;
        const json said = poppyscale::ctl::sendRequest(path, asked, kPatienceMs);
        if (plain) {
            fmt::print("{}\n", said.dump(2));
        } else if (said.contains("error")) {
            fmt::print(stderr, "poppyctl: {}\n", said["error"].get<std::string>());
        } else if (what == "status") {
            showStatus(said);
        } else if (what == "commands") {
            showCommands(said);
        } else if (what == "caches") {
            showCaches(said);
        } else if (what == "reload") {
            showReload(said);
        } else if (what == "upgrade") {
            fmt::print("process {} serves now\n", said["taken_over_by"].get<int>());
        } else {
            fmt::print("{} commands open\n", said["open"].get<int>());
        }
        return said.contains("error") ? kRefused : 0;
    } catch (const std::exception& problem) {
        fmt::print(stderr, "poppyctl: {}\n", problem.what());
        return *fleet ? kUsage : kUnreached;
    }
}
