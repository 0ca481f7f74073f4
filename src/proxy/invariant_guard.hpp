// The invariants of a router at run time.
//
// Whatever would violate one is blocked at one place and counted there, and checked for a second time at the
// last moment. A count of violations above zero is a bug report.
//
// - Sending: a request's bytes go to a server only while the endpoint list has it as ready at that address
// and
//   no operator has ejected it, its client is connected, and its time has not passed.
// - Repeating: a request that may have executed and must not execute twice is not sent again; one that may be
//   repeated for a limited time is repeated only within that.
// - Closing: the router does not close a client's connection while a request on it has no response, unless
// the
//   client breaks the protocol, does not read, or fills the memory.
// - Starting: an attempt starts only for an open request, and as its only one in flight.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace poppyscale::proxy {

enum class Invariant : std::uint8_t { sending, repeating, closing, starting, count };

// Why an attempt was not started, or a connection not closed.
enum class BlockedAction : std::uint8_t {
    serverUnavailable,   // the server is draining, removed or ejected
    clientDisconnected,  // no client waits for the response
    deadlinePassed,      // the request's deadline, or the one for repeating it, has passed
    mayNotRepeat,        // the request may have executed
    requestClosed,       // the request has an attempt in flight or its final response
    responsePending,     // a request on the connection has no response
    count
};

// Counts what was blocked and what was violated. Each guard belongs to one dispatcher and its thread.
class InvariantGuard {
  public:
    using Log = std::function<void(std::string_view)>;
    explicit InvariantGuard(Log log) : log_(std::move(log)) {}

    void recordBlocked(BlockedAction reason) { ++blocked_[static_cast<std::size_t>(reason)]; }
    // The action was taken all the same. `subject` names the request, server or client.
    void reportViolation(Invariant invariant, const std::string& subject);

    // All counts by their names in the operator socket's replies.
    nlohmann::json json() const;

  private:
    Log log_;
    std::array<std::uint64_t, static_cast<std::size_t>(BlockedAction::count)> blocked_{};
    std::array<std::uint64_t, static_cast<std::size_t>(Invariant::count)> violated_{};
};

}  // namespace poppyscale::proxy
