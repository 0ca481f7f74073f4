// The parts of an instance that serve clients: request dispatcher, client listener and endpoint watcher.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "discovery/endpoint_watcher.hpp"
#include "process/active_config.hpp"
#include "process/process_logger.hpp"
#include "proxy/client_listener.hpp"
#include "proxy/request_dispatcher.hpp"
#include "transport/buffer_pool.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::process {

// Makes a request dispatcher; the testbed's defective variants make one of their own.
using MakeDispatcher = std::function<std::unique_ptr<proxy::RequestDispatcher>(
    transport::EventLoop& loop, transport::BufferPool& pool, const protocol::StartupConfig& startup,
    std::size_t maxServerConnections, proxy::Log log)>;

// Owns the data path and gives it its limits. `loop`, `pool`, `config` and `logger` outlive it.
class DataPath {
  public:
    // Throws protocol::ParseError when the configuration names what is no address. `makeDispatcher` may be
    // empty: then the dispatcher is the router's own.
    DataPath(transport::EventLoop& loop, transport::BufferPool& pool, const ActiveConfig& config,
             const MakeDispatcher& makeDispatcher, ProcessLogger& logger);

    proxy::RequestDispatcher& dispatcher() { return *dispatcher_; }
    const proxy::RequestDispatcher& dispatcher() const { return *dispatcher_; }
    proxy::ClientListener& clientListener() { return clientListener_; }
    const proxy::ClientListener& clientListener() const { return clientListener_; }
    // Null when the endpoint list is in the operator's file.
    const discovery::EndpointWatcher* endpointWatcher() const {
        return endpointWatcher_ ? &*endpointWatcher_ : nullptr;
    }

    // Puts a reloaded configuration into effect.
    void applyConfig();
    // Divides the limits with another process of the same router that has `peerClients` clients.
    void setLimits(bool isShared, std::size_t peerClients);

  private:
    void startEndpointWatcher(ProcessLogger& logger);

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    const ActiveConfig& config_;
    std::unique_ptr<proxy::RequestDispatcher> dispatcher_;
    proxy::ClientListener clientListener_;
    std::optional<discovery::EndpointWatcher> endpointWatcher_;
};

}  // namespace poppyscale::process
