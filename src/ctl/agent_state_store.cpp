#include "ctl/agent_state_store.hpp"

#include <exception>

#include "ctl/async_result.hpp"
#include "ctl/version_store.hpp"

namespace poppyscale::ctl {

void AgentStateStore::save(const rollout::AgentState& state) {
    std::string text = encodeAgentState({state, described_});
    write_ = std::async(std::launch::async, [path = path_, text = std::move(text)]() -> std::string {
        try {
            writeChecked(path, text);
            return "";
        } catch (const std::exception& problem) {
            return problem.what();
        }
    });
}

std::optional<std::string> AgentStateStore::takeResult() {
    if (!write_.valid() || !isDone(write_)) return std::nullopt;
    return write_.get();
}

std::optional<StoredAgentState> AgentStateStore::load() const {
    const std::optional<std::string> text = readChecked(path_);
    if (!text) return std::nullopt;
    return decodeAgentState(*text, path_);
}

}  // namespace poppyscale::ctl
