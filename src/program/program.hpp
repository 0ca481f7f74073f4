// One router from start to exit.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "program/logger.hpp"
#include "protocol/discovery.hpp"
#include "routing/clients.hpp"
#include "routing/core.hpp"
#include "routing/watch.hpp"
#include "transport/loop.hpp"
#include "transport/pool.hpp"

namespace poppyscale::program {

class Program {
  public:
    explicit Program(protocol::Start start);
    ~Program();
    // The exit code.
    int run();

  private:
    // serving: until told to stop. leaving: told, but clients still come. draining: no new ones, what was
    // taken is answered. done: nothing is owed any more, or the time for it is over.
    enum class State : std::uint8_t { starting, serving, leaving, draining, done };

    void enter(State state);
    void turn();
    void watchSignals();

    Logger logger_;
    protocol::Start start_;
    State state_ = State::starting;
    // The loop goes first: its handles close as it does, and give their buffers back.
    uv_signal_t terminate_{};
    uv_signal_t interrupt_{};
    transport::Pool pool_;
    transport::Loop loop_;
    std::optional<routing::Core> core_;
    std::optional<routing::Clients> clients_;
    std::optional<routing::Watch> watch_;
    std::optional<transport::Alarm> next_;
};

}  // namespace poppyscale::program
