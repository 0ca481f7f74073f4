#include "process/console_commands.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <string>

namespace poppyscale::process {

using control::ConsoleCommand;
using control::ConsoleReply;

ConsoleCommands::ConsoleCommands(OperatorStateStore& operatorState, PeerProcesses& peers,
                                 const ProcessLifecycle& lifecycle, DataPath& dataPath)
    : operatorState_(operatorState), peers_(peers), lifecycle_(lifecycle), dataPath_(dataPath) {}

ConsoleReply ConsoleCommands::handle(const ConsoleCommand& command) {
    using ChangeKind = OperatorStateChange::Kind;
    switch (command.kind) {
        case ConsoleCommand::Kind::status:
            break;
        case ConsoleCommand::Kind::standby:
            return apply({ChangeKind::enterStandby, ""});
        case ConsoleCommand::Kind::active:
            return apply({ChangeKind::leaveStandby, ""});
        case ConsoleCommand::Kind::eject:
            return applyToServer({ChangeKind::eject, command.server});
        case ConsoleCommand::Kind::restore:
            return applyToServer({ChangeKind::restore, command.server});
    }
    if (lifecycle_.state() == ProcessState::starting) return {false, "starting"};
    return status();
}

ConsoleReply ConsoleCommands::applyToServer(const OperatorStateChange& change) {
    const std::string problem = dataPath_.dispatcher().ejectionProblem(change.server);
    if (!problem.empty()) return {false, problem};
    return apply(change);
}

ConsoleReply ConsoleCommands::apply(const OperatorStateChange& change) {
    using Outcome = OperatorStateStore::ChangeResult::Outcome;
    const auto result = operatorState_.apply(change);
    if (result.outcome == Outcome::rejected) return {false, result.problem};
    if (result.outcome == Outcome::applied) peers_.announce(change);
    return status();
}

ConsoleReply ConsoleCommands::status() const {
    const OperatorState& operators = operatorState_.state();
    std::string text = stateText(lifecycle_.state());
    if (operators.isStandby) text += ", standing by";
    text += fmt::format("; {} clients, {} commands open", dataPath_.clientListener().count(),
                        dataPath_.dispatcher().openRequests());
    if (!operators.ejectedServers.empty())
        text += fmt::format("; out: {}", fmt::join(operators.ejectedServers, " "));
    return {true, text};
}

}  // namespace poppyscale::process
