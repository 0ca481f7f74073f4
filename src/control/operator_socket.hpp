// The operator's socket: a Unix socket that only its owner may open.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/file_descriptor.hpp"
#include "control/operator_session.hpp"
#include "control/session_list.hpp"
#include "transport/listener.hpp"

namespace poppyscale::control {

// Owns the listening socket, its file while the path is this process's, and a bounded number of sessions; a
// connection beyond these is closed at once. Runs on the event loop, which outlives it.
class OperatorSocket : private OperatorSession::Owner {
  public:
    // Answers a request; see OperatorSession::Owner::handle. `session` is for answers that are sent later.
    using RequestHandler =
        std::function<nlohmann::json(OperatorSession& session, const nlohmann::json& message)>;
    OperatorSocket(transport::EventLoop& loop, transport::BufferPool& pool, RequestHandler handler);
    ~OperatorSocket() override;

    // Listens at `path`, in place of any process that listens there; returns what is wrong, or nothing when
    // it listens.
    std::optional<std::string> listen(const std::string& path);
    // Adds a session on a connection that this process has made itself.
    OperatorSession& adopt(FileDescriptor connection);
    // Another process has its own socket at the path by now, or will: the file is not removed.
    void releasePath() { ownsPath_ = false; }

  private:
    nlohmann::json handle(OperatorSession& session, const nlohmann::json& message) override {
        return handler_(session, message);
    }
    void remove(OperatorSession& session) override { sessions_.remove(session); }
    std::unique_ptr<OperatorSession> makeSession();
    void onAccept(const std::function<bool(transport::Connection&)>& finish);

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    RequestHandler handler_;
    std::string path_;
    bool ownsPath_ = false;
    std::unique_ptr<transport::Listener> listener_;
    SessionList<OperatorSession> sessions_;
};

}  // namespace poppyscale::control
