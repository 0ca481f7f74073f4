// The program `poppyscale_endpoint_distributor`: runs a distributor, its upstream client and its
// reader server on one event loop.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

#include "endpoint_distribution/distributor.hpp"
#include "endpoint_distributor/reader_server.hpp"
#include "endpoint_distributor/settings.hpp"
#include "endpoint_distributor/upstream_client.hpp"
#include "logging/logger.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::endpoint_distributor {

struct StartupError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class DistributorProcess : private endpoint_distribution::DistributorHost {
  public:
    // Starts to listen. Throws StartupError if that fails.
    explicit DistributorProcess(const Settings& settings);
    // Runs until SIGTERM or SIGINT. Waiting readers are answered before it returns.
    void run();

  private:
    std::size_t sendResponse(endpoint_distribution::ReaderId reader,
                             const endpoint_distribution::ListResponse& response) override;
    void pollUpstream(std::size_t index, std::optional<endpoint_distribution::Version> after,
                      Nanos wait) override;
    void closeReader(endpoint_distribution::ReaderId reader,
                     endpoint_distribution::CloseReason reason) override;
    void scheduleWakeup(Nanos at) override;
    void log(std::string_view text) override;

    void raiseDescriptorLimit();
    void runIteration();
    void beginShutdown();
    std::string statusJson() const;

    const Settings settings_;
    logging::Logger logger_;
    transport::BufferPool pool_;
    transport::EventLoop loop_;
    transport::Timer wakeup_;
    transport::Timer shutdownTimeout_;
    ReaderServer readers_;
    endpoint_distribution::Distributor distributor_;
    UpstreamClient upstreams_;
    std::optional<transport::Signal> terminate_;
    std::optional<transport::Signal> interrupt_;
    bool isShuttingDown_ = false;
};

}  // namespace poppyscale::endpoint_distributor
