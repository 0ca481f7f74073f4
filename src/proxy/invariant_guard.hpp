// The invariants of a router at run time: each thing that must not happen is refused at one place, counted
// there, and looked for a second time at the last moment. A count of violations above zero is a bug report.
//
// - Sending: a request's bytes go to a server only while the list has it as ready at that address and no
// operator
//   has taken it out, its client is there, and its time has not passed.
// - Repeating: what may have run and may not run twice is not sent again; what may be repeated for a while
// only
//   within it.
// - Closing: a client's connection is not closed by this router while a request on it has no answer, but for
// a
//   client that breaks the protocol, does not read, or fills the memory.
// - Starting: an attempt begins only for a request that is open, and as the only one of that request.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace poppyscale::proxy {

enum class Invariant : std::uint8_t { sending, repeating, closing, starting, count };

// Why an attempt was not begun, or a connection not closed.
enum class BlockedAction : std::uint8_t {
    serverUnavailable,   // it drains, is gone or was taken out
    clientDisconnected,  // nobody waits for the answer
    deadlinePassed,      // the request's time, or the one by which it may be repeated, is over
    mayNotRepeat,        // it may have run
    requestClosed,       // it has its answer
    responsePending,     // a request on the connection has no answer
    count
};

class InvariantGuard {
  public:
    using Log = std::function<void(std::string_view)>;
    explicit InvariantGuard(Log log) : log_(std::move(log)) {}

    void recordBlocked(BlockedAction why) { ++blocked_[static_cast<std::size_t>(why)]; }
    // It happened all the same. `what` names the request, server or client.
    void reportViolation(Invariant invariant, const std::string& what);

    // By name, for operators.
    nlohmann::json json() const;

  private:
    Log log_;
    std::array<std::uint64_t, static_cast<std::size_t>(BlockedAction::count)> blocked_{};
    std::array<std::uint64_t, static_cast<std::size_t>(Invariant::count)> violated_{};
};

}  // namespace poppyscale::proxy
