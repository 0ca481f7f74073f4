// The readers' connections: requests in, answers out. An answer stays shared by all readers until the kernel
// takes it: of what a connection has still to send, one piece at most is copied.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "endpoint_distribution/distributor.hpp"
#include "protocol/http_request.hpp"
#include "transport/connection.hpp"
#include "transport/listener.hpp"

namespace poppyscale::endpoint_distributor {

class ReaderConnection;

class ReaderServer {
  public:
    // `status` makes the JSON that answers GET /status.
    ReaderServer(transport::EventLoop& loop, transport::BufferPool& pool, std::size_t maxConnections,
                 std::function<std::string()> status);
    ~ReaderServer();

    void attach(endpoint_distribution::Distributor& distributor) { distributor_ = &distributor; }
    // Empty when it listens, else what is wrong.
    std::string listen(const transport::Address& at);
    void stopListening() { listener_.reset(); }

    // What the decisions ask for.
    std::size_t answer(endpoint_distribution::ReaderId id, const endpoint_distribution::ListResponse& answer);
    void close(endpoint_distribution::ReaderId id);
    // Once a turn, before the decisions: connections that broke while they were written to, and requests that
    // came behind one that has been answered since.
    void turn();

    std::uint64_t bytesSent() const { return bytesSent_; }
    bool allSent() const;

  private:
    friend class ReaderConnection;
    void admit(const std::function<bool(transport::Connection&)>& finish);

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    std::size_t maxConnections_;
    std::function<std::string()> status_;
    endpoint_distribution::Distributor* distributor_ = nullptr;
    std::unique_ptr<transport::Listener> listener_;
    std::map<endpoint_distribution::ReaderId, std::unique_ptr<ReaderConnection>> connections_;
    endpoint_distribution::ReaderId lastId_ = 0;
    std::vector<endpoint_distribution::ReaderId> toVisit_;  // in the next turn
    std::uint64_t bytesSent_ = 0;
};

class ReaderConnection : private transport::Connection::Handler {
  public:
    ReaderConnection(ReaderServer& server, endpoint_distribution::ReaderId id);

    bool start(const std::function<bool(transport::Connection&)>& finish);
    std::size_t send(const endpoint_distribution::ListResponse& answer);
    std::size_t unsent() const;
    // What is left to do outside of the decisions; false when the connection is of no further use.
    bool visit();

  private:
    void onData(std::string_view bytes) override;
    void onClosed() override;
    void onDrained() override;

    bool readRequests();
    void request();
    void respond(int status, std::string_view extraHeaders, endpoint_distribution::SharedBytes body);
    void pump();
    void visitLater();

    ReaderServer& server_;
    endpoint_distribution::ReaderId id_;
    transport::Connection connection_;
    protocol::HttpRequest request_;
    std::string pending_;    // came behind a request that is not answered yet
    bool isAsking_ = false;  // the request has gone to the decisions
    bool closes_ = false;    // once everything is sent
    bool isFinishing_ = false;
    bool isBroken_ = false;
    std::deque<endpoint_distribution::SharedBytes> outgoing_;
    std::size_t sentOfFirst_ = 0;
    std::size_t outgoingBytes_ = 0;  // beside what the connection holds
};

}  // namespace poppyscale::endpoint_distributor
