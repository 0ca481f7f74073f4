#include "control/operator_socket.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <utility>

#include "control/listen_error.hpp"

namespace poppyscale::control {
namespace {

constexpr std::size_t kMaxSessions = 8;

// Whether `path` exists and is not a socket; such a file must not be replaced.
bool isOtherFile(const std::string& path) {
    struct stat file {};
    return ::lstat(path.c_str(), &file) == 0 && file.st_ino && !S_ISSOCK(file.st_mode);
}

}  // namespace

OperatorSocket::OperatorSocket(transport::EventLoop& loop, transport::BufferPool& pool,
                               RequestHandler handler)
    : loop_(loop), pool_(pool), handler_(std::move(handler)) {}

OperatorSocket::~OperatorSocket() {
    if (ownsPath_) ::unlink(path_.c_str());
}

std::optional<std::string> OperatorSocket::listen(const std::string& path) {
    listener_ = std::make_unique<transport::Listener>(
        loop_, [this](const auto& finish) { onAccept(finish); }, transport::Connection::Kind::local);
    if (isOtherFile(path)) return "'" + path + "' exists and is not a socket";
    auto error = listenError(listener_->listenAtPath(path));
    if (error) return error;
    path_ = path;
    ownsPath_ = true;
    return std::nullopt;
}

OperatorSession& OperatorSocket::adopt(FileDescriptor connection) {
    OperatorSession& session = sessions_.add(makeSession());
    if (session.connection().adopt(connection.release())) session.start();
    return session;
}

std::unique_ptr<OperatorSession> OperatorSocket::makeSession() {
    OperatorSession::Owner& owner = *this;
    return std::make_unique<OperatorSession>(loop_, pool_, owner);
}

void OperatorSocket::onAccept(const std::function<bool(transport::Connection&)>& finish) {
    auto session = makeSession();
    if (!finish(session->connection()) || sessions_.size() >= kMaxSessions) return;
    session->start();
    sessions_.add(std::move(session));
}

}  // namespace poppyscale::control
