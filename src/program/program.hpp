// One router from start to exit.
#pragma once

#include <csignal>
#include <cstdint>
#include <functional>
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
    using Read = std::function<protocol::Start()>;
    explicit Program(Read read);
    // The exit code.
    int run();

  private:
    // serving: until told to stop. leaving: told, but clients still come. draining: no new ones, what was
    // taken is answered. done: nothing is owed any more, or the time for it is over.
    enum class State : std::uint8_t { starting, serving, leaving, draining, done };

    void enter(State state);
    void turn();
    void leave();
    // Reads the configuration anew; what is not usable changes nothing.
    void reload();

    Logger logger_;
    Read read_;
    protocol::Start start_;
    State state_ = State::starting;
    // The loop goes first: its handles close as it does, and give their buffers back.
    transport::Pool pool_;
    transport::Loop loop_;
    std::optional<routing::Core> core_;
    std::optional<routing::Clients> clients_;
    std::optional<routing::Watch> watch_;
    std::optional<transport::Alarm> next_;
    transport::Signal terminate_{loop_, SIGTERM, [this] { leave(); }};
    transport::Signal interrupt_{loop_, SIGINT, [this] { leave(); }};
    transport::Signal hangUp_{loop_, SIGHUP, [this] { reload(); }};
};

}  // namespace poppyscale::program
