// The state of a router process and the actions on entering each state.
#pragma once

#include <functional>

#include "process/active_config.hpp"
#include "process/data_path.hpp"
#include "process/process_logger.hpp"
#include "process/process_state.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::process {

// Owns the state, its timer, and the cause of the shutdown. Guarantees: the state changes only by
// `kTransitions`; client connections are drained by a schedule that ends before the process does;
// on entering `stopped`, every client that still waits gets a response and the event loop ends. All
// references outlive it.
class ProcessLifecycle {
  public:
    // `beforeLeavingServing` is called before each entry into a state other than `serving`.
    ProcessLifecycle(transport::EventLoop& loop, DataPath& dataPath, const ActiveConfig& config,
                     ProcessLogger& logger, std::function<void()> beforeLeavingServing);

    ProcessState state() const { return state_; }
    bool isServing() const { return state_ == ProcessState::serving; }

    // Enters `serving`; to be called once all sockets are open.
    void start() { apply(ProcessEvent::ready); }
    // The first call starts a graceful shutdown, a further one stops at once. When
    // `isSocketPassed`, the platform holds the listening socket and another process accepts the
    // connections in its backlog.
    void requestStop(bool isSocketPassed);
    // Another process accepts clients from now on: drains without a lame-duck state.
    void onReplaced();
    // Stops at once and fails open requests; the operator's `stop` command.
    void stopNow() { apply(ProcessEvent::stopCommanded); }
    // To be called at the end of each iteration of the event loop.
    void runIteration();

  private:
    void apply(ProcessEvent event);
    void enter(ProcessState state);
    void enterServing();
    void enterLameDuck();
    void enterDraining();
    void enterStopped();
    // The time that open requests have to complete once no new client is accepted.
    Nanos drainDuration() const;

    transport::EventLoop& loop_;
    DataPath& dataPath_;
    const ActiveConfig& config_;
    ProcessLogger& logger_;
    std::function<void()> beforeLeavingServing_;
    transport::Timer stateTimer_;  // ends the lame-duck and draining states
    ProcessState state_ = ProcessState::starting;
    bool isStopRequested_ = false;
    bool isReplaced_ = false;
};

}  // namespace poppyscale::process
