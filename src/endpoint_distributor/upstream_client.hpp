// Polls the upstreams over HTTP, one poll at a time, and reports each result to the distributor.
//
// The connection is reused for the next poll of the same upstream if the upstream keeps it open.
#pragma once

#include <cstdint>
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
    // `loop`, `pool` and `distributor` have to outlive the client.
    UpstreamClient(transport::EventLoop& loop, transport::BufferPool& pool,
                   endpoint_distribution::Distributor& distributor, std::vector<Upstream> upstreams,
                   std::size_t maxListBytes);

    // Cancels a poll in flight and starts a new one. The result is reported later, never within
    // this call.
    void poll(std::size_t index, std::optional<endpoint_distribution::Version> after, Nanos wait);
    // Cancels a poll in flight without reporting a result.
    void stop();

  private:
    enum class State : std::uint8_t { idle, connecting, waiting };

    void onConnected(bool isConnected) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;

    void connect();
    void sendRequest();
    void handleResponse();
    void fail(endpoint_distribution::UpstreamFailure failure, const std::string& reason);

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    endpoint_distribution::Distributor& distributor_;
    std::vector<Upstream> upstreams_;
    State state_ = State::idle;
    std::size_t index_ = 0;  // index of the polled upstream
    std::string target_;     // the HTTP request target
    protocol::HttpResponse response_;
    transport::Timer connectTimeout_;
    std::unique_ptr<transport::Connection> connection_;
};

}  // namespace poppyscale::endpoint_distributor
