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

Server::Server(transport::Loop& loop, transport::Pool& pool, Answer answer)
    : loop_(loop), pool_(pool), answer_(std::move(answer)) {}

Server::~Server() {
    if (ours_) ::unlink(path_.c_str());
}

std::string Server::listen(const std::string& path) {
    listener_ = std::make_unique<transport::Listener>(
        loop_,
        [this](const auto& finish) {
            auto session = std::make_unique<Session>(*this);
            if (!finish(session->connection_) || sessions_.size() >= kMostSessions) return;
            session->connection_.read(true);
            sessions_.push_back(std::move(session));
        },
        transport::Connection::Kind::local);
    const auto before = fileAt(path);
    struct stat at {};
    if (before.second && ::lstat(path.c_str(), &at) == 0 && !S_ISSOCK(at.st_mode))
        return "there is a file that is no socket";
    const std::string problem = listener_->listenAt(path);
    if (!problem.empty()) return problem;
    path_ = path;
    ours_ = true;
    return "";
}

Session& Server::join(int descriptor) {
    Session& session = *sessions_.emplace_back(std::make_unique<Session>(*this));
    if (session.connection_.adopt(descriptor)) session.connection_.read(true);
    return session;
}

void Server::drop(Session& session) {
    sessions_.remove_if([&](const auto& s) { return s.get() == &session; });
}

Session::Session(Server& server)
    : server_(server), connection_(server.loop_, server.pool_, *this, transport::Connection::Kind::local) {}

Session::~Session() = default;

void Session::say(const nlohmann::json& answer) {
    connection_.write(answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

bool Session::pass(int descriptor) {
    if (toPass_.empty() && connection_.unsent() == 0) return send(descriptor);
    toPass_.push_back(descriptor);
    return true;
}

void Session::emptied() {
    for (const int descriptor : std::exchange(toPass_, {}))
        if (!send(descriptor)) return ended();
}

bool Session::send(int descriptor) {
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

void Session::received(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        line_ += bytes.substr(0, end);
        if (line_.size() > kLongestLine) return ended();
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
        if (!answer.is_null()) say(answer);
    }
}

void Session::ended() {
    const auto tell = std::exchange(gone, {});
    server_.drop(*this);
    if (tell) tell();
}

}  // namespace poppyscale::control
