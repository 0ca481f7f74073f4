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

// Creates a request dispatcher; the testbed's defective variants create modified ones.
using MakeDispatcher = std::function<std::unique_ptr<proxy::RequestDispatcher>(
    transport::EventLoop& loop, transport::BufferPool& pool, const protocol::StartupConfig& startup,
    std::size_t maxServerConnections, proxy::Log log)>;

// Owns the data path and sets its limits. `loop`, `pool`, `config` and `logger` outlive it.
class DataPath {
  public:
    // Throws protocol::ParseError when an address in the configuration is invalid. When
    // `makeDispatcher` is empty, the router's own dispatcher is used.
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
    // Sets the limits of memory, connections and clients. When `isShared`, other processes of the
    // same router run beside this one, with `peerClients` clients in all, and this process takes
    // its part of the limits.
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
