// The one owner of what operators set.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "process/operator_state.hpp"
#include "process/process_logger.hpp"

namespace poppyscale::process {

// Owns the operators' state of this process, its file, and what of it the host has applied. Guarantees: a
// change that is reported as accepted is in the file, where there is one, and the host has applied it.
class OperatorStateStore {
  public:
    // Puts the state into effect.
    class Host {
      public:
        virtual ~Host() = default;
        virtual void setEjected(const std::string& server, bool isEjected) = 0;
        virtual void setStandby(bool isStandby) = 0;
    };

    // What came of an operator's change.
    struct ChangeResult {
        enum class Outcome : std::uint8_t { applied, unchanged, rejected };
        Outcome outcome = Outcome::applied;
        std::string problem;  // why it was rejected, for the operator
    };

    // `path` names the file; without one the state ends with the process. `host` outlives this.
    OperatorStateStore(std::optional<std::string> path, Host& host, LogFunction log);

    const OperatorState& state() const { return state_; }
    // Reads the file at a start; `reconcile` puts it into effect.
    void load();
    // Takes the state of the old process, in the file's form, in place of what was loaded; `reconcile` puts
    // it into effect.
    void replaceBy(std::string_view text);
    // Brings the host to the present state.
    void reconcile();
    // An operator's change at this process.
    ChangeResult apply(const OperatorStateChange& change);
    // A change at another process of this router; true when it changes something here.
    bool applyFromPeer(std::string_view line);
    // Takes what another process wrote into the file; a file that can't be read changes nothing.
    void reload();

  private:
    std::optional<OperatorStateFile> file_;
    Host& host_;
    LogFunction log_;
    OperatorState state_;
    OperatorState applied_;  // what the host has applied
};

}  // namespace poppyscale::process
