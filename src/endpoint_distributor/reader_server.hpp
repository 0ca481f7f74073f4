// Accepts the readers' connections, and passes requests to the distributor and its responses back.
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
    // `status` returns the JSON that answers GET /status. `loop` and `pool` have to outlive the
    // server.
    ReaderServer(transport::EventLoop& loop, transport::BufferPool& pool, std::size_t maxConnections,
                 std::function<std::string()> status);

    // To be called before `listen`. `distributor` has to live as long as connections are served.
    void attach(endpoint_distribution::Distributor& distributor) { distributor_ = &distributor; }
    // Returns the reason of a failure, or an empty string.
    std::string listen(const transport::Address& address);
    void stopListening() { listener_.reset(); }

    // Returns the number of bytes that are still to be sent; 0 for an unknown reader.
    std::size_t respond(endpoint_distribution::ReaderId id,
                        const endpoint_distribution::ListResponse& response);
    void close(endpoint_distribution::ReaderId id);
    // Closes connections whose write failed, and handles requests that were received before the
    // last one was answered. To be called in each iteration of the event loop, before
    // `Distributor::reconcile`.
    void handlePending();

    std::uint64_t bytesSent() const { return bytesSent_; }
    bool isAllSent() const;

  private:
    void onRequest(endpoint_distribution::ReaderId id,
                   const endpoint_distribution::ReaderRequest& request) override;
    void onBytesSent(endpoint_distribution::ReaderId id, std::size_t unsent) override;
    void onConnectionClosed(endpoint_distribution::ReaderId id) override;
    void schedulePending(endpoint_distribution::ReaderId id) override;
    void countSent(std::size_t bytes) override;
    std::string statusJson() const override;

    void acceptConnection(const std::function<bool(transport::Connection&)>& accept);

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    std::size_t maxConnections_;
    std::function<std::string()> status_;
    endpoint_distribution::Distributor* distributor_ = nullptr;
    std::unique_ptr<transport::Listener> listener_;
    std::map<endpoint_distribution::ReaderId, std::unique_ptr<ReaderConnection>> connections_;
    endpoint_distribution::ReaderId lastId_ = 0;
    // Readers to be handled in the next iteration.
    std::vector<endpoint_distribution::ReaderId> pendingReaders_;
    std::uint64_t bytesSent_ = 0;
};

}  // namespace poppyscale::endpoint_distributor
