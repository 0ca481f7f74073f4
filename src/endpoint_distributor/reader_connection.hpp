// One reader's HTTP connection. It handles one request at a time.
//
// All readers share the memory of a response. Each connection copies at most one chunk of its
// unsent bytes.
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
    // Owns the connection. The methods may destroy the connection unless stated otherwise.
    class Owner {
      public:
        virtual ~Owner() = default;
        // A request for the list, to be answered by `respond`. Does not destroy the connection.
        virtual void onRequest(endpoint_distribution::ReaderId id,
                               const endpoint_distribution::ReaderRequest& request) = 0;
        // `unsent` bytes are still to be sent.
        virtual void onBytesSent(endpoint_distribution::ReaderId id, std::size_t unsent) = 0;
        // The connection has ended or failed, or its reader has sent a malformed request.
        virtual void onConnectionClosed(endpoint_distribution::ReaderId id) = 0;
        // `handlePending` has to be called in the next iteration of the event loop. Does not
        // destroy the connection.
        virtual void schedulePending(endpoint_distribution::ReaderId id) = 0;
        // Adds to the total of bytes sent. Does not destroy the connection.
        virtual void countSent(std::size_t bytes) = 0;
        // The JSON that answers GET /status. Does not destroy the connection.
        virtual std::string statusJson() const = 0;
    };

    // `owner` has to outlive the connection.
    ReaderConnection(transport::EventLoop& loop, transport::BufferPool& pool, Owner& owner,
                     endpoint_distribution::ReaderId id);

    // Calls `accept` to take over the accepted socket, and starts to read. Returns false if `accept`
    // failed.
    bool start(const std::function<bool(transport::Connection&)>& accept);
    // Answers the open request. Returns the number of bytes that are still to be sent.
    std::size_t respond(const endpoint_distribution::ListResponse& response);
    std::size_t unsent() const;
    // Handles requests that were received before the last one was answered. Returns false if the
    // connection has to be closed.
    bool handlePending();

  private:
    void onData(std::string_view bytes) override;
    void onClosed() override;
    void onDrained() override;

    bool readRequests();
    void handleRequest();
    void handleListRequest();
    void send(int status, std::string_view extraHeaders, endpoint_distribution::SharedBytes body);
    void sendError(int status, std::string_view body);
    void writeOutgoing();

    Owner& owner_;
    endpoint_distribution::ReaderId id_;
    transport::Connection connection_;
    protocol::HttpRequest request_;
    std::string pending_;              // bytes received that are not parsed yet
    bool isAwaitingResponse_ = false;  // the owner has not answered the last request yet
    bool closesWhenSent_ = false;
    bool isWriteShutDown_ = false;
    bool isBroken_ = false;
    std::deque<endpoint_distribution::SharedBytes> outgoing_;
    std::size_t sentOfFirst_ = 0;    // bytes of outgoing_.front() already passed to connection_
    std::size_t outgoingBytes_ = 0;  // bytes in outgoing_ not passed to connection_ yet
};

}  // namespace poppyscale::endpoint_distributor
