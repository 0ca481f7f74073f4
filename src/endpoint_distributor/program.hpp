// The program `poppyscale_endpoint_distributor`: the decisions of src/distribution on one loop, between
// upstreams and readers.
#pragma once

#include <optional>
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
    // Listens. Throws CannotStart.
    explicit DistributorProcess(const Settings& settings);
    void run();  // until it is told to end

  private:
    std::size_t sendResponse(endpoint_distribution::ReaderId reader,
                             const endpoint_distribution::ListResponse& answer) override;
    void pollUpstream(std::size_t index, std::optional<endpoint_distribution::Version> after,
                      Nanos wait) override;
    void closeReader(endpoint_distribution::ReaderId reader,
                     endpoint_distribution::CloseReason reason) override;
    void scheduleWakeup(Nanos at) override;
    void log(std::string_view text) override;

    void runIteration();
    void beginShutdown();
    std::string statusJson() const;

    const Settings settings_;
    logging::Logger logger_;
    transport::BufferPool pool_;
    transport::EventLoop loop_;
    transport::Timer wake_;
    transport::Timer endBy_;
    ReaderServer readers_;
    endpoint_distribution::Distributor distributor_;
    UpstreamClient upstreams_;
    std::optional<transport::Signal> terminate_, interrupt_;
    bool ending_ = false;
};

}  // namespace poppyscale::endpoint_distributor
