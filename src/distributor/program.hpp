// The program `poppyscale_distributor`: the decisions of src/distribution on one loop, between upstreams and
// readers.
#pragma once

#include <optional>
#include <string>

#include "distribution/distributor.hpp"
#include "distributor/reader_server.hpp"
#include "distributor/settings.hpp"
#include "distributor/upstream_client.hpp"
#include "log/log.hpp"
#include "transport/loop.hpp"

namespace poppyscale::distributor {

struct CannotStart : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Program : private distribution::Host {
  public:
    // Listens. Throws CannotStart.
    explicit Program(const Settings& settings);
    void run();  // until it is told to end

  private:
    std::size_t answer(distribution::ReaderId reader, const distribution::Answer& answer) override;
    void askUpstream(std::size_t index, std::optional<distribution::Version> after, Nanos wait) override;
    void closeReader(distribution::ReaderId reader, distribution::CloseReason reason) override;
    void wakeAt(Nanos at) override;
    void log(std::string_view text) override;

    void turn();
    void beginEnd();
    std::string statusJson() const;

    const Settings settings_;
    log::Log logger_;
    transport::Pool pool_;
    transport::Loop loop_;
    transport::Alarm wake_;
    transport::Alarm endBy_;
    ReaderServer readers_;
    distribution::Distributor distributor_;
    UpstreamClient upstreams_;
    std::optional<transport::Signal> terminate_, interrupt_;
    bool ending_ = false;
};

}  // namespace poppyscale::distributor
