// One reader's connection: HTTP requests in, responses out, one request at a time.
//
// A response stays shared by all readers until the kernel takes it: of what a connection has still to send,
// one chunk at most is copied.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "endpoint_distribution/distributor.hpp"
#include "protocol/http_request.hpp"
#include "transport/connection.hpp"

namespace poppyscale::endpoint_distributor {

class ReaderConnection : private transport::Connection::Handler {
  public:
    // Owns the connection. Methods may destroy it unless they say otherwise.
    class Owner {
      public:
        virtual ~Owner() = default;
        // A request for the list; answered by `respond`. Does not destroy the connection.
        virtual void onRequest(endpoint_distribution::ReaderId id,
                               const endpoint_distribution::ReaderRequest& request) = 0;
        // The kernel has `unsent` bytes left to take.
        virtual void onBytesSent(endpoint_distribution::ReaderId id, std::size_t unsent) = 0;
        // The connection is of no further use.
        virtual void onConnectionClosed(endpoint_distribution::ReaderId id) = 0;
        // `visit` is due in the next iteration of the event loop. Does not destroy the connection.
        virtual void scheduleVisit(endpoint_distribution::ReaderId id) = 0;
        // Bytes given to the kernel. Does not destroy the connection.
        virtual void countSent(std::size_t bytes) = 0;
        // The JSON that answers GET /status. Does not destroy the connection.
        virtual std::string statusJson() const = 0;
    };

    // `owner` has to outlive the connection.
    ReaderConnection(transport::EventLoop& loop, transport::BufferPool& pool, Owner& owner,
                     endpoint_distribution::ReaderId id);

    // Accepts the connection that `accept` is about. False if that failed.
    bool start(const std::function<bool(transport::Connection&)>& accept);
    // Answers the open request. Gives the number of bytes that the kernel has not taken yet.
    std::size_t respond(const endpoint_distribution::ListResponse& response);
    std::size_t unsent() const;
    // Reads requests that arrived behind one that has been answered since. False if the connection is of no
    // further use.
    bool visit();

  private:
    void onData(std::string_view bytes) override;
    void onClosed() override;
    void onDrained() override;

    bool readRequests();
    void handleRequest();
    void handleListRequest();
    void send(int status, std::string_view extraHeaders, endpoint_distribution::SharedBytes body);
    void sendError(int status, std::string_view body);
    void pump();

    Owner& owner_;
    endpoint_distribution::ReaderId id_;
    transport::Connection connection_;
    protocol::HttpRequest request_;
    std::string pending_;              // received behind a request that is not answered yet
    bool isAwaitingResponse_ = false;  // the owner has a request
    bool closesWhenSent_ = false;
    bool isWriteShutDown_ = false;
    bool isBroken_ = false;
    std::deque<endpoint_distribution::SharedBytes> outgoing_;
    std::size_t sentOfFirst_ = 0;    // bytes of the first one that the connection has
    std::size_t outgoingBytes_ = 0;  // in `outgoing_`, that the connection does not have yet
};

}  // namespace poppyscale::endpoint_distributor
