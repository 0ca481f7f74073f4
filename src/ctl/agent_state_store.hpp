// The durable state of a machine's agent.
#pragma once

#include <future>
#include <optional>
#include <string>

#include "ctl/agent_codec.hpp"

namespace poppyscale::ctl {

// Writes the agent's state to a file on a thread of its own, and reads it back at the start of the next
// process.
//
// Guarantees: after a crash the file holds the state before or the new one, never a part; a save is reported
// as done only once it is synced. Owns the write in progress, and waits for it at its own end. Used from the
// loop's thread alone.
class AgentStateStore {
  public:
    explicit AgentStateStore(std::string path) : path_(std::move(path)) {}

    // The version that the fleet's description names, written beside the state from the next save on.
    const rollout::Version& describedVersion() const { return described_; }
    void setDescribedVersion(const rollout::Version& version) { described_ = version; }

    // Begins to write the state. To be called only while no write is in progress.
    void save(const rollout::AgentState& state);
    // Takes the result of the write, if it has ended: empty where the state is durable, else the problem.
    std::optional<std::string> takeResult();
    // What the last process left; nothing where it left nothing. Throws std::exception where the file can't
    // be read, is damaged, or is of another format.
    std::optional<StoredAgentState> load() const;

  private:
    std::string path_;
    rollout::Version described_;
    std::future<std::string> write_;
};

}  // namespace poppyscale::ctl
