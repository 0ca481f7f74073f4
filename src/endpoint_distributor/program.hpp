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

struct CannotStart : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Program : private endpoint_distribution::Host {
  public:
    // Listens. Throws CannotStart.
    explicit Program(const Settings& settings);
    void run();  // until it is told to end

  private:
    std::size_t answer(endpoint_distribution::ReaderId reader,
                       const endpoint_distribution::Answer& answer) override;
    void askUpstream(std::size_t index, std::optional<endpoint_distribution::Version> after,
                     Nanos wait) override;
    void closeReader(endpoint_distribution::ReaderId reader,
                     endpoint_distribution::CloseReason reason) override;
    void wakeAt(Nanos at) override;
    void log(std::string_view text) override;

    void turn();
    void beginEnd();
    std::string statusJson() const;

    const Settings settings_;
    logging::Log logger_;
    transport::Pool pool_;
    transport::Loop loop_;
    transport::Alarm wake_;
    transport::Alarm endBy_;
    ReaderServer readers_;
    endpoint_distribution::Distributor distributor_;
    UpstreamClient upstreams_;
    std::optional<transport::Signal> terminate_, interrupt_;
    bool ending_ = false;
};

}  // namespace poppyscale::endpoint_distributor
