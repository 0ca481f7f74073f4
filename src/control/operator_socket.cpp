#include "control/operator_socket.hpp"

#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstring>
#include <utility>

namespace poppyscale::control {
namespace {

constexpr std::size_t kLongestLine = 64 * 1024;
constexpr std::size_t kMostSessions = 8;

// Which file stands at a path, so that only one's own is removed.
std::pair<dev_t, ino_t> fileAt(const std::string& path) {
    struct stat at {};
    return ::lstat(path.c_str(), &at) == 0 ? std::pair(at.st_dev, at.st_ino) : std::pair<dev_t, ino_t>(0, 0);
}

}  // namespace

OperatorSocket::OperatorSocket(transport::EventLoop& loop, transport::BufferPool& pool, RequestHandler answer)
    : loop_(loop), pool_(pool), answer_(std::move(answer)) {}

OperatorSocket::~OperatorSocket() {
    if (ours_) ::unlink(path_.c_str());
}

std::string OperatorSocket::listen(const std::string& path) {
    listener_ = std::make_unique<transport::Listener>(
        loop_,
        [this](const auto& finish) {
            auto session = std::make_unique<OperatorSession>(*this);
            if (!finish(session->connection_) || sessions_.size() >= kMostSessions) return;
            session->connection_.setReading(true);
            sessions_.push_back(std::move(session));
        },
        transport::Connection::Kind::local);
    const auto before = fileAt(path);
    struct stat at {};
    if (before.second && ::lstat(path.c_str(), &at) == 0 && !S_ISSOCK(at.st_mode))
        return "there is a file that is no socket";
    const std::string problem = listener_->listenAtPath(path);
    if (!problem.empty()) return problem;
    path_ = path;
    ours_ = true;
    return "";
}

OperatorSession& OperatorSocket::adopt(int descriptor) {
    OperatorSession& session = *sessions_.emplace_back(std::make_unique<OperatorSession>(*this));
    if (session.connection_.adopt(descriptor)) session.connection_.setReading(true);
    return session;
}

void OperatorSocket::remove(OperatorSession& session) {
    sessions_.remove_if([&](const auto& s) { return s.get() == &session; });
}

OperatorSession::OperatorSession(OperatorSocket& server)
    : server_(server), connection_(server.loop_, server.pool_, *this, transport::Connection::Kind::local) {}

OperatorSession::~OperatorSession() = default;

void OperatorSession::send(const nlohmann::json& answer) {
    connection_.write(answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

bool OperatorSession::passDescriptor(int descriptor) {
    if (toPass_.empty() && connection_.unsentBytes() == 0) return sendDescriptor(descriptor);
    toPass_.push_back(descriptor);
    return true;
}

void OperatorSession::onDrained() {
    for (const int descriptor : std::exchange(toPass_, {}))
        if (!sendDescriptor(descriptor)) return onClosed();
}

bool OperatorSession::sendDescriptor(int descriptor) {
    char byte = '+';
    iovec piece{&byte, 1};
    alignas(cmsghdr) char room[CMSG_SPACE(sizeof descriptor)] = {};
    msghdr message{};
    message.msg_iov = &piece;
    message.msg_iovlen = 1;
    message.msg_control = room;
    message.msg_controllen = sizeof room;
    cmsghdr* const head = CMSG_FIRSTHDR(&message);
    head->cmsg_level = SOL_SOCKET;
    head->cmsg_type = SCM_RIGHTS;
    head->cmsg_len = CMSG_LEN(sizeof descriptor);
    std::memcpy(CMSG_DATA(head), &descriptor, sizeof descriptor);
    return ::sendmsg(connection_.descriptor(), &message, MSG_NOSIGNAL | MSG_DONTWAIT) == 1;
}

void OperatorSession::onData(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        line_ += bytes.substr(0, end);
        if (line_.size() > kLongestLine) return onClosed();
        if (end == std::string_view::npos) return;
        bytes.remove_prefix(end + 1);
        const auto asked = nlohmann::json::parse(std::exchange(line_, {}), nullptr, false);
        nlohmann::json answer;
        try {
            if (!asked.is_object())
                answer = {{"error", "expected a line that holds a JSON object"}};
            else
                answer = server_.answer_(*this, asked);
        } catch (const nlohmann::json::exception& problem) {
            answer = {{"error", problem.what()}};
        }
        if (!answer.is_null()) send(answer);
    }
}

void OperatorSession::onClosed() {
    const auto tell = std::exchange(onPeerClosed, {});
    server_.remove(*this);
    if (tell) tell();
}

}  // namespace poppyscale::control
