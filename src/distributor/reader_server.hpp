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

#include "distribution/distributor.hpp"
#include "protocol/http_request.hpp"
#include "transport/connection.hpp"
#include "transport/listener.hpp"

namespace poppyscale::distributor {

class ReaderConnection;

class ReaderServer {
  public:
    // `status` makes the JSON that answers GET /status.
    ReaderServer(transport::Loop& loop, transport::Pool& pool, std::size_t maxConnections,
                 std::function<std::string()> status);
    ~ReaderServer();

    void attach(distribution::Distributor& distributor) { distributor_ = &distributor; }
    // Empty when it listens, else what is wrong.
    std::string listen(const transport::Address& at);
    void stopListening() { listener_.reset(); }

    // What the decisions ask for.
    std::size_t answer(distribution::ReaderId id, const distribution::Answer& answer);
    void close(distribution::ReaderId id);
    // Once a turn, before the decisions: connections that broke while they were written to, and requests that
    // came behind one that has been answered since.
    void turn();

    std::uint64_t bytesSent() const { return bytesSent_; }
    bool allSent() const;

  private:
    friend class ReaderConnection;
    void admit(const std::function<bool(transport::Connection&)>& finish);

    transport::Loop& loop_;
    transport::Pool& pool_;
    std::size_t maxConnections_;
    std::function<std::string()> status_;
    distribution::Distributor* distributor_ = nullptr;
    std::unique_ptr<transport::Listener> listener_;
    std::map<distribution::ReaderId, std::unique_ptr<ReaderConnection>> connections_;
    distribution::ReaderId lastId_ = 0;
    std::vector<distribution::ReaderId> toVisit_;  // in the next turn
    std::uint64_t bytesSent_ = 0;
};

class ReaderConnection : private transport::Connection::Owner {
  public:
    ReaderConnection(ReaderServer& server, distribution::ReaderId id);

    bool start(const std::function<bool(transport::Connection&)>& finish);
    std::size_t send(const distribution::Answer& answer);
    std::size_t unsent() const;
    // What is left to do outside of the decisions; false when the connection is of no further use.
    bool visit();

  private:
    void received(std::string_view bytes) override;
    void ended() override;
    void emptied() override;

    bool readRequests();
    void request();
    void respond(int status, std::string_view extraHeaders, distribution::SharedBytes body);
    void pump();
    void visitLater();

    ReaderServer& server_;
    distribution::ReaderId id_;
    transport::Connection connection_;
    protocol::HttpRequest request_;
    std::string pending_;    // came behind a request that is not answered yet
    bool isAsking_ = false;  // the request has gone to the decisions
    bool closes_ = false;    // once everything is sent
    bool isFinishing_ = false;
    bool isBroken_ = false;
    std::deque<distribution::SharedBytes> outgoing_;
    std::size_t sentOfFirst_ = 0;
    std::size_t outgoingBytes_ = 0;  // beside what the connection holds
};

}  // namespace poppyscale::distributor
