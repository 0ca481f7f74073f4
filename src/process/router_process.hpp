// One router from start to exit.
#pragma once

#include <csignal>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/operator_config.hpp"
#include "control/console_listener.hpp"
#include "control/operator_socket.hpp"
#include "discovery/endpoint_watcher.hpp"
#include "process/hot_restart/inherited_sockets.hpp"
#include "process/hot_restart/peer_processes.hpp"
#include "process/process_logger.hpp"
#include "protocol/endpoint_list.hpp"
#include "proxy/client_listener.hpp"
#include "proxy/request_dispatcher.hpp"
#include "transport/buffer_pool.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::process {

// All that an instance is told: by the platform's configuration, the operator's file, or both.
struct Told {
    protocol::Start start;
    config::Plan plan;
    bool platform = true;  // the deployment is described by the platform's configuration
};

using MakeCore = std::function<std::unique_ptr<proxy::Core>(transport::Loop& loop, transport::Pool& pool,
                                                            const protocol::Start& start,
                                                            std::size_t mostLinks, proxy::Log log)>;

struct Wanted {
    std::function<Told()> read;         // throws protocol::Malformed
    bool takeOver = false;              // the sockets of the process that serves so far
    std::vector<std::string> newcomer;  // the command line by which an upgrade starts its successor
    int passed = -1;                    // the clients' listening socket, where the platform holds it
    std::string version;                // as `--version` tells it
    std::string folder;                 // where what operators said is kept for a later process, or empty
    MakeCore makeCore;                  // of a harmful version in the lab; empty: the router's own
};

class Program : private Succession::Owner {
  public:
    explicit Program(Wanted wanted);
    ~Program() override;
    // The exit code.
    int run();

  private:
    // serving: until told to stop. leaving: told, but clients still come. draining: no new ones, what was
    // taken is answered. done: nothing is owed any more, or the time for it is over.
    enum class State : std::uint8_t { starting, serving, leaving, draining, done };

    void enter(State state);
    void turn();
    void leave();
    void handedOver();  // to a process beside this one, which serves from now on
    // Reads everything anew; what is not usable changes nothing. What came of it, in words.
    nlohmann::json reload();
    nlohmann::json readAnew();
    void apply(Told fresh);
    void say(std::string_view part, config::Level level, std::string_view text) {
        logger_.line(part, level, text);
    }
    // Whom to ask for the list: the distributors where these are set, else discovery, if there is one.
    std::vector<discovery::DiscoveryAddress> sourcesOf(const Told& told) const;
    Nanos lastFor() const;

    control::Reply answer(const control::Call& call);
    control::Reply took(const std::string& word);
    std::string outWords() const;  // which caches are
    void ban(const std::string& server, bool on) override;
    void standBy(bool on) override;
    void othersChanged() override;
    void listenForOperators();
    const char* stateName() const;

    nlohmann::json answer(control::Session& session, const nlohmann::json& asked);
    nlohmann::json status();
    nlohmann::json figures();
    nlohmann::json commands();
    nlohmann::json caches();
    // Hand-over to a successor: it has until an alarm to be ready, and till then all goes on as before.
    nlohmann::json upgrade(control::Session& session, const nlohmann::json& asked);
    nlohmann::json giveSockets(control::Session& session);
    nlohmann::json successorReady(control::Session& session, const nlohmann::json& asked);
    void upgradeEnds(const std::string& problem);

    Wanted wanted_;
    Logger logger_;
    Told told_;
    std::string asTold_;  // what the files said, with what waits for a start
    State state_ = State::starting;
    Nanos startedAt_ = transport::Loop::now();
    int reloads_ = 0;
    bool toldToStop_ = false;
    bool succeeded_ = false;
    // The loop goes first: its handles close as it does, and give their buffers back.
    transport::Pool pool_;
    transport::Loop loop_;
    std::unique_ptr<proxy::Core> core_;
    std::optional<proxy::Clients> clients_;
    std::optional<discovery::Watch> watch_;
    std::optional<transport::Alarm> next_;
    std::optional<TakenOver> taken_;
    struct Upgrade {
        control::Session* asked = nullptr;  // who waits for how it goes
        control::Session* heir = nullptr;   // the successor, once it has come
        std::unique_ptr<Successor> process;
    };
    std::optional<Upgrade> upgrade_;
    std::optional<transport::Alarm> upgradeBy_;
    std::optional<Succession> succession_;
    std::optional<control::Door> door_;
    std::optional<control::Server> admin_;
    transport::Signal terminate_{loop_, SIGTERM, [this] { leave(); }};
    transport::Signal interrupt_{loop_, SIGINT, [this] { leave(); }};
    transport::Signal hangUp_{loop_, SIGHUP, [this] { reload(); }};
    transport::Signal child_{loop_, SIGCHLD, [this] {
                                 if (upgrade_ && upgrade_->process && upgrade_->process->ended())
                                     upgradeEnds("the new process ended before it was ready");
                             }};
};

}  // namespace poppyscale::process
