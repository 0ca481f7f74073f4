#include "control/operator_session.hpp"

#include <sys/socket.h>

#include <cstring>
#include <utility>

namespace poppyscale::control {
namespace {

constexpr std::size_t kMaxLineBytes = 64 * 1024;

}  // namespace

OperatorSession::OperatorSession(transport::EventLoop& loop, transport::BufferPool& pool, Owner& owner)
    : owner_(owner), connection_(loop, pool, *this, transport::Connection::Kind::local) {}

void OperatorSession::send(const nlohmann::json& message) {
    connection_.write(message.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

bool OperatorSession::passDescriptor(int descriptor) {
    if (pendingDescriptors_.empty() && connection_.unsentBytes() == 0) return sendDescriptor(descriptor);
    pendingDescriptors_.push_back(descriptor);
    return true;
}

void OperatorSession::onDrained() {
    const std::vector<int> descriptors = std::move(pendingDescriptors_);
    pendingDescriptors_.clear();
    for (const int descriptor : descriptors) {
        if (sendDescriptor(descriptor)) continue;
        onClosed();
        return;
    }
}

bool OperatorSession::sendDescriptor(int descriptor) {
    char byte = '+';
    iovec data{&byte, 1};
    alignas(cmsghdr) char ancillary[CMSG_SPACE(sizeof descriptor)] = {};
    msghdr message{};
    message.msg_iov = &data;
    message.msg_iovlen = 1;
    message.msg_control = ancillary;
    message.msg_controllen = sizeof ancillary;
    cmsghdr* const header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof descriptor);
    std::memcpy(CMSG_DATA(header), &descriptor, sizeof descriptor);
    return ::sendmsg(connection_.descriptor(), &message, MSG_NOSIGNAL | MSG_DONTWAIT) == 1;
}

void OperatorSession::onData(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        line_ += bytes.substr(0, end);
        if (line_.size() > kMaxLineBytes) {
            onClosed();
            return;
        }
        if (end == std::string_view::npos) return;
        bytes.remove_prefix(end + 1);
        const std::string line = std::move(line_);
        line_.clear();
        handleLine(line);
    }
}

void OperatorSession::handleLine(const std::string& line) {
    const auto message = nlohmann::json::parse(line, nullptr, false);
    nlohmann::json answer;
    try {
        if (message.is_object())
            answer = owner_.handle(*this, message);
        else
            answer = {{"error", "expected a line that holds a JSON object"}};
    } catch (const nlohmann::json::exception& problem) {
        answer = {{"error", problem.what()}};
    }
    if (!answer.is_null()) send(answer);
}

void OperatorSession::onClosed() {
    const std::function<void()> notifyClosed = std::move(onPeerClosed);
    owner_.remove(*this);
    // The owner has destroyed this object.
    if (notifyClosed) notifyClosed();
}

}  // namespace poppyscale::control
