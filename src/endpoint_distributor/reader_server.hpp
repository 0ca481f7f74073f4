// The readers' connections: accepts them, passes their requests to the distributor and its responses back.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "endpoint_distribution/distributor.hpp"
#include "endpoint_distributor/reader_connection.hpp"
#include "transport/listener.hpp"

namespace poppyscale::endpoint_distributor {

class ReaderServer : private ReaderConnection::Owner {
  public:
    // `status` makes the JSON that answers GET /status. `loop` and `pool` have to outlive the server.
    ReaderServer(transport::EventLoop& loop, transport::BufferPool& pool, std::size_t maxConnections,
                 std::function<std::string()> status);

    // Before `listen`; `distributor` has to live as long as connections are served.
    void attach(endpoint_distribution::Distributor& distributor) { distributor_ = &distributor; }
    // Empty if it listens, otherwise the reason why it does not.
    std::string listen(const transport::Address& address);
    void stopListening() { listener_.reset(); }

    // Gives the number of bytes that the kernel has not taken yet; 0 for an unknown reader.
    std::size_t respond(endpoint_distribution::ReaderId id,
                        const endpoint_distribution::ListResponse& response);
    void close(endpoint_distribution::ReaderId id);
    // Once in each iteration of the event loop, before the distributor's `reconcile`: closes connections that
    // broke during a write, and reads requests that arrived behind an answered one.
    void visitConnections();

    std::uint64_t bytesSent() const { return bytesSent_; }
    bool isAllSent() const;

  private:
    void onRequest(endpoint_distribution::ReaderId id,
                   const endpoint_distribution::ReaderRequest& request) override;
    void onBytesSent(endpoint_distribution::ReaderId id, std::size_t unsent) override;
    void onConnectionClosed(endpoint_distribution::ReaderId id) override;
    void scheduleVisit(endpoint_distribution::ReaderId id) override;
    void countSent(std::size_t bytes) override;
    std::string statusJson() const override;

    void admit(const std::function<bool(transport::Connection&)>& accept);

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    std::size_t maxConnections_;
    std::function<std::string()> status_;
    endpoint_distribution::Distributor* distributor_ = nullptr;
    std::unique_ptr<transport::Listener> listener_;
    std::map<endpoint_distribution::ReaderId, std::unique_ptr<ReaderConnection>> connections_;
    endpoint_distribution::ReaderId lastId_ = 0;
    std::vector<endpoint_distribution::ReaderId> visits_;  // due in the next iteration
    std::uint64_t bytesSent_ = 0;
};

}  // namespace poppyscale::endpoint_distributor
