// The operator's socket: a Unix socket that only the user who owns it may open.
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

// Owns the listening socket, its file as long as the path belongs to this process, and a bounded
// number of sessions; a further connection is closed at once. Runs on the event loop, which must
// outlive it.
class OperatorSocket : private OperatorSession::Owner {
  public:
    // Answers a request as OperatorSession::Owner::handle does. `session` is for answers that are
    // sent later.
    using RequestHandler =
        std::function<nlohmann::json(OperatorSession& session, const nlohmann::json& message)>;
    OperatorSocket(transport::EventLoop& loop, transport::BufferPool& pool, RequestHandler handler);
    ~OperatorSocket() override;

    // Listens at `path`, in place of any process that listens there; returns the error, or nothing
    // on success.
    std::optional<std::string> listen(const std::string& path);
    // Adds a session on a connection that this process has opened itself.
    OperatorSession& adopt(FileDescriptor connection);
    // Leaves the file in place at destruction, for a process that has or will have its own socket
    // at the path.
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
