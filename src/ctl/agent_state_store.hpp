// The durable state of a machine's agent.
#pragma once

#include <future>
#include <optional>
#include <string>

#include "ctl/agent_codec.hpp"

namespace poppyscale::ctl {

// Writes the agent's state to a file on a separate thread, and loads it when the next process starts.
//
// Guarantees: after a crash the file holds the previous or the new state, never a part of one. A save is
// reported as done only once it is synced. Owns the write in progress and waits for it in the destructor.
// Used only on the loop's thread.
class AgentStateStore {
  public:
    explicit AgentStateStore(std::string path) : path_(std::move(path)) {}

    // The version that the fleet description names. The next save writes it beside the state.
    const rollout::Version& describedVersion() const { return described_; }
    void setDescribedVersion(const rollout::Version& version) { described_ = version; }

    // Begins to write the state. To be called only while no write is in progress.
    void save(const rollout::AgentState& state);
    // Takes the result of a write that has ended: an empty string if the state is durable, otherwise the
    // problem. Returns nullopt if no write has ended since the last call.
    std::optional<std::string> takeResult();
    // The state that the last process saved; nullopt if there is no file. Throws std::exception if the file
    // can't be read, is damaged, or has another format.
    std::optional<StoredAgentState> load() const;

  private:
    std::string path_;
    rollout::Version described_;
    std::future<std::string> write_;
};

}  // namespace poppyscale::ctl
