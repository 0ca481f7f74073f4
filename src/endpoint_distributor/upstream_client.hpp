// The calls to the upstreams: one at a time, each told to the decisions.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "endpoint_distribution/distributor.hpp"
#include "endpoint_distributor/settings.hpp"
#include "protocol/http_response.hpp"
#include "transport/connection.hpp"

namespace poppyscale::endpoint_distributor {

class UpstreamClient : private transport::Connection::Handler {
  public:
    UpstreamClient(transport::EventLoop& loop, transport::BufferPool& pool,
                   endpoint_distribution::Distributor& distributor, std::vector<Upstream> upstreams,
                   std::size_t maxListBytes);

    // A call that is out is given up.
    void poll(std::size_t index, std::optional<endpoint_distribution::Version> after, Nanos wait);
    void stop();

  private:
    enum class State : std::uint8_t { idle, connecting, waiting };

    void onConnected(bool up) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;

    void connect();
    void write();
    void answered();
    void fail(endpoint_distribution::Distributor::Failure failure, const std::string& reason);

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    endpoint_distribution::Distributor& distributor_;
    std::vector<Upstream> upstreams_;
    State state_ = State::idle;
    std::size_t index_ = 0;
    std::string target_;
    protocol::HttpResponse answer_;
    transport::Timer connectBy_;
    std::unique_ptr<transport::Connection> connection_;
};

}  // namespace poppyscale::endpoint_distributor
