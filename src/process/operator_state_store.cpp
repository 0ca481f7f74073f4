#include "process/operator_state_store.hpp"

#include <fmt/format.h>

#include <utility>

namespace poppyscale::process {

using config::LogLevel;

OperatorStateStore::OperatorStateStore(std::optional<std::string> path, Host& host, LogFunction log)
    : host_(host), log_(std::move(log)) {
    if (path) file_.emplace(std::move(*path));
}

void OperatorStateStore::load() {
    if (!file_) return;
    const auto problem = file_->read(state_);
    if (problem)
        log_(LogLevel::error,
             fmt::format("the operator state file is damaged, only its readable lines apply: {}", *problem));
}

void OperatorStateStore::replaceWith(std::string_view text) {
    state_ = {};
    const auto problem = state_.parse(text);
    if (problem)
        log_(LogLevel::error,
             fmt::format("the old process's operator state is damaged, only its readable lines apply: {}",
                         *problem));
}

void OperatorStateStore::reconcile() {
    for (const auto& server : applied_.ejectedServers)
        if (!state_.ejectedServers.contains(server)) host_.setEjected(server, false);
    for (const auto& server : state_.ejectedServers)
        if (!applied_.ejectedServers.contains(server)) host_.setEjected(server, true);
    if (applied_.isStandby != state_.isStandby) host_.setStandby(state_.isStandby);
    applied_ = state_;
}

OperatorStateStore::ChangeResult OperatorStateStore::apply(const OperatorStateChange& change) {
    using Outcome = ChangeResult::Outcome;
    OperatorState next = state_;
    if (!next.apply(change))
        return {Outcome::rejected, fmt::format("the change can't be stored: {} servers are ejected already",
                                               state_.ejectedServers.size())};
    if (next == state_) return {Outcome::unchanged, ""};
    if (file_) {
        const auto problem = file_->write(next);
        if (problem) return {Outcome::rejected, "can't write the operator state file: " + *problem};
    }
    state_ = next;
    reconcile();
    return {Outcome::applied, ""};
}

bool OperatorStateStore::applyFromPeer(std::string_view line) {
    OperatorState next = state_;
    const bool isApplied = next.applyLine(line);
    if (!isApplied || next == state_) return false;
    state_ = next;
    // Errors are ignored: the process where the operator made the change has written it too and
    // reported any error.
    if (file_) file_->write(state_);
    reconcile();
    return true;
}

void OperatorStateStore::reload() {
    if (!file_) return;
    OperatorState fresh;
    const auto problem = file_->read(fresh);
    if (problem) return;
    state_ = fresh;
    reconcile();
}

}  // namespace poppyscale::process
