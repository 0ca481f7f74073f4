// The door for the operator: a Unix socket that only its owner may open. One line of JSON asks, one answers.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "transport/connection.hpp"
#include "transport/listener.hpp"

namespace poppyscale::control {

class OperatorSession;

class OperatorSocket {
  public:
    // Answers what was asked. `session` is for calls that go on: a hand-over.
    using RequestHandler =
        std::function<nlohmann::json(OperatorSession& session, const nlohmann::json& asked)>;
    OperatorSocket(transport::EventLoop& loop, transport::BufferPool& pool, RequestHandler answer);
    ~OperatorSocket();

    // Empty when it listens at that path, else what is wrong.
    std::string listen(const std::string& path);
    const std::string& path() const { return path_; }
    // A connection that was made by hand; its other side asks and answers as any does.
    OperatorSession& adopt(int descriptor);
    // Another process has its own socket at that path by now, or will.
    void releasePath() { ours_ = false; }
    std::size_t sessionCount() const { return sessions_.size(); }

  private:
    friend class OperatorSession;
    void remove(OperatorSession& session);  // which is gone after this

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    RequestHandler answer_;
    std::string path_;
    bool ours_ = false;
    std::unique_ptr<transport::Listener> listener_;
    std::list<std::unique_ptr<OperatorSession>> sessions_;
};

class OperatorSession : private transport::Connection::Handler {
  public:
    explicit OperatorSession(OperatorSocket& server);
    ~OperatorSession() override;

    void send(const nlohmann::json& answer);
    // Sends a descriptor beside one byte, after all that was said; false when the other side can't take it.
    bool passDescriptor(int descriptor);
    // The other side has gone, which may not have been read yet.
    bool hasPeerClosed() const { return connection_.hasPeerClosed(); }
    // Called once, when the other side has gone; not when this one is dropped by its server.
    std::function<void()> onPeerClosed;

  private:
    friend class OperatorSocket;
    void onData(std::string_view bytes) override;
    void onClosed() override;
    void onDrained() override;
    bool sendDescriptor(int descriptor);

    OperatorSocket& server_;
    transport::Connection connection_;
    std::string line_;
    std::vector<int> toPass_;  // descriptors that wait until all that was said is with the kernel
};

}  // namespace poppyscale::control
