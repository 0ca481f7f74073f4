// The states of a router process and the transitions between them.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

namespace poppyscale::process {

enum class ProcessState : std::uint8_t {
    starting,  // sockets are being opened or inherited; nothing is served
    serving,   // accepts connections and requests
    lameDuck,  // a stop was requested, but clients that still connect are served
    draining,  // no new connections; open requests are completed
    stopped    // no clients left, drain time over, or immediate stop; the event loop ends
};

enum class ProcessEvent : std::uint8_t {
    ready,             // all sockets are open
    stopRequested,     // the first signal or `drain` command, and this process owns its listening socket
    stopRepeated,      // a further stop request
    replaced,          // another process accepts on the clients' socket from now on
    timerExpired,      // the time limit of the lame-duck or draining state has passed
    lastClientClosed,  // the listener and all client connections are closed
    stopCommanded      // the operator's `stop` command: stops at once
};

struct Transition {
    ProcessState from;
    ProcessEvent event;
    ProcessState to;
};

// All transitions. An event without a row for the present state has no effect. In `stopped` the
// event loop still completes its iteration; a command or timer in that iteration enters `stopped`
// again.
inline constexpr std::array kTransitions{
    Transition{ProcessState::starting, ProcessEvent::ready, ProcessState::serving},
    Transition{ProcessState::serving, ProcessEvent::stopRequested, ProcessState::lameDuck},
    Transition{ProcessState::serving, ProcessEvent::replaced, ProcessState::draining},
    Transition{ProcessState::serving, ProcessEvent::stopCommanded, ProcessState::stopped},
    Transition{ProcessState::lameDuck, ProcessEvent::timerExpired, ProcessState::draining},
    Transition{ProcessState::lameDuck, ProcessEvent::stopRepeated, ProcessState::stopped},
    Transition{ProcessState::lameDuck, ProcessEvent::stopCommanded, ProcessState::stopped},
    Transition{ProcessState::draining, ProcessEvent::timerExpired, ProcessState::stopped},
    Transition{ProcessState::draining, ProcessEvent::lastClientClosed, ProcessState::stopped},
    Transition{ProcessState::draining, ProcessEvent::stopRepeated, ProcessState::stopped},
    Transition{ProcessState::draining, ProcessEvent::stopCommanded, ProcessState::stopped},
    Transition{ProcessState::stopped, ProcessEvent::timerExpired, ProcessState::stopped},
    Transition{ProcessState::stopped, ProcessEvent::stopCommanded, ProcessState::stopped},
};

// The state that `event` leads to, or nothing when `kTransitions` has no row for it.
constexpr std::optional<ProcessState> nextState(ProcessState from, ProcessEvent event) {
    for (const Transition& transition : kTransitions)
        if (transition.from == from && transition.event == event) return transition.to;
    return std::nullopt;
}

// The state's name in console replies and on the operator's socket.
constexpr const char* stateText(ProcessState state) {
    switch (state) {
        case ProcessState::starting:
            return "starting";
        case ProcessState::serving:
            return "serving";
        case ProcessState::lameDuck:
            return "leaving";
        case ProcessState::draining:
            return "draining";
        case ProcessState::stopped:
            break;
    }
    return "done";
}

}  // namespace poppyscale::process
