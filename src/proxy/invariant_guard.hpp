// The invariants of a router at run time.
//
// An action that would violate an invariant is blocked and counted at one place. Each invariant is
// checked a second time immediately before the action. A violation that is found then is a bug.
//
// - Sending: the bytes of a request are sent to a server only while the endpoint list shows the server
//   as ready at that address, no operator has ejected it, the request's client is connected, and the
//   request's deadline has not passed.
// - Repeating: a request that may have executed and must not execute twice is not sent again. A
//   request that may be repeated for a limited time is repeated only within that time.
// - Closing: the router does not close a client's connection while a request on it has no response,
//   unless the client breaks the protocol, does not read, or fills the memory.
// - Starting: an attempt starts only for an open request that has no other attempt in flight.
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

// Counts blocked actions and violated invariants. Each guard belongs to one dispatcher and its thread.
class InvariantGuard {
  public:
    using Log = std::function<void(std::string_view)>;
    explicit InvariantGuard(Log log) : log_(std::move(log)) {}

    void recordBlocked(BlockedAction reason) { ++blocked_[static_cast<std::size_t>(reason)]; }
    // Counts and logs a violation. `subject` describes the action and the request, server or client
    // concerned.
    void reportViolation(Invariant invariant, const std::string& subject);

    // All counts, under the names that replies on the operator socket use.
    nlohmann::json json() const;

  private:
    Log log_;
    std::array<std::uint64_t, static_cast<std::size_t>(BlockedAction::count)> blocked_{};
    std::array<std::uint64_t, static_cast<std::size_t>(Invariant::count)> violated_{};
};

}  // namespace poppyscale::proxy
