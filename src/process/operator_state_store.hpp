// The owner of a process's operator state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "process/operator_state.hpp"
#include "process/process_logger.hpp"

namespace poppyscale::process {

// Owns the operator state of this process, its file, and the part of the state that the host has
// applied. Guarantees that a change reported as applied has been written to the file, if there is
// one, and applied by the host.
class OperatorStateStore {
  public:
    // Puts the operator state into effect.
    class Host {
      public:
        virtual ~Host() = default;
        virtual void setEjected(const std::string& server, bool isEjected) = 0;
        virtual void setStandby(bool isStandby) = 0;
    };

    // The result of an operator's change.
    struct ChangeResult {
        enum class Outcome : std::uint8_t { applied, unchanged, rejected };
        Outcome outcome = Outcome::applied;
        std::string problem;  // why the change was rejected; shown to the operator
    };

    // `path` names the file; without it the state is lost when the process exits. `host` outlives
    // this.
    OperatorStateStore(std::optional<std::string> path, Host& host, LogFunction log);

    const OperatorState& state() const { return state_; }
    // Reads the file at the start of the process. Takes effect with `reconcile`.
    void load();
    // Replaces the loaded state with that of the old process, given as the content of its file.
    // Takes effect with `reconcile`.
    void replaceWith(std::string_view text);
    // Makes the host apply the differences between its state and the present state.
    void reconcile();
    // Applies a change that an operator made at this process.
    ChangeResult apply(const OperatorStateChange& change);
    // Applies a change made at another process of this router; returns whether it changed this
    // state.
    bool applyFromPeer(std::string_view line);
    // Reads the file again, which another process may have written. A file with any problem changes
    // nothing; a missing file counts as an empty state.
    void reload();

  private:
    std::optional<OperatorStateFile> file_;
    Host& host_;
    LogFunction log_;
    OperatorState state_;
    OperatorState applied_;  // what the host has applied
};

}  // namespace poppyscale::process
