#include "ctl/control_client.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <optional>

#include "base/file_descriptor.hpp"

namespace poppyscale::ctl {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kReadSize = 65'536;  // bytes

// Returns nullopt if the path is too long for a Unix socket.
std::optional<sockaddr_un> socketAddress(const std::string& path) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    if (path.size() >= sizeof address.sun_path) return std::nullopt;
    std::memcpy(address.sun_path, path.data(), path.size());
    return address;
}

bool connectTo(const FileDescriptor& socket, const sockaddr_un& address) {
    return ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

bool sendAll(const FileDescriptor& socket, const std::string& text) {
    return ::send(socket.get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

// Milliseconds until the deadline; negative once it has passed.
long remainingMs(Clock::time_point deadline) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
}

// One of several requests that are sent at once.
class PendingRequest {
  public:
    PendingRequest(const std::string& path, const nlohmann::json& request) {
        const std::optional<sockaddr_un> address = socketAddress(path);
        if (request.is_null() || !address) return;
        socket_ = FileDescriptor(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        if (!connectTo(socket_, *address)) socket_.reset();
        unsent_ = request.dump() + "\n";
    }
    bool isOpen() const { return socket_.isOpen(); }
    pollfd pollDescriptor() const {
        return {socket_.get(), static_cast<short>(unsent_.empty() ? POLLIN : POLLOUT), 0};
    }
    // Continues to send or receive after poll() has reported an event.
    void advance() {
        if (unsent_.empty())
            receive();
        else
            send();
    }
    // Null until the answer is complete, or if it is not a JSON object.
    const nlohmann::json& answer() const { return answer_; }

  private:
    void send() {
        const ssize_t sent = ::send(socket_.get(), unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
        if (sent > 0) unsent_.erase(0, static_cast<std::size_t>(sent));
        if (sent < 0 && errno != EAGAIN) socket_.reset();
    }
    void receive() {
        char buffer[kReadSize];
        const ssize_t received = ::recv(socket_.get(), buffer, sizeof buffer, 0);
        if (received < 0 && errno == EAGAIN) return;
        if (received > 0) {
            received_.append(buffer, static_cast<std::size_t>(received));
            if (!received_.ends_with('\n')) return;
            answer_ = nlohmann::json::parse(received_, nullptr, false);
        }
        if (!answer_.is_object()) answer_ = nullptr;
        socket_.reset();
    }

    FileDescriptor socket_;
    std::string unsent_;
    std::string received_;
    nlohmann::json answer_;
};

}  // namespace

nlohmann::json sendRequest(const std::string& path, const nlohmann::json& request, int timeoutMs) {
    const std::optional<sockaddr_un> address = socketAddress(path);
    if (!address) throw Unreachable("path too long for a Unix socket: " + path);
    const FileDescriptor socket(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const std::string line = request.dump() + "\n";
    if (!connectTo(socket, *address) || !sendAll(socket, line))
        throw Unreachable(fmt::format("connection to {} failed: {}", path, std::strerror(errno)));
    const auto deadline = Clock::now() + std::chrono::milliseconds(timeoutMs);
    std::string received;
    while (!received.ends_with('\n')) {
        const auto remaining = remainingMs(deadline);
        pollfd descriptor{socket.get(), POLLIN, 0};
        if (remaining <= 0 || ::poll(&descriptor, 1, static_cast<int>(remaining)) != 1)
            throw Unreachable(fmt::format("no answer from {} within {} ms", path, timeoutMs));
        char buffer[kReadSize];
        const ssize_t size = ::recv(socket.get(), buffer, sizeof buffer, 0);
        if (size <= 0) throw Unreachable("connection closed before the answer was complete: " + path);
        received.append(buffer, static_cast<std::size_t>(size));
    }
    auto answer = nlohmann::json::parse(received, nullptr, false);
    if (!answer.is_object()) throw Unreachable("expected a JSON object as the answer from " + path);
    return answer;
}

std::vector<nlohmann::json> sendRequests(const std::vector<std::string>& paths,
                                         const std::vector<nlohmann::json>& requests, int timeoutMs) {
    std::vector<PendingRequest> pending;
    for (std::size_t i = 0; i < paths.size(); ++i) pending.emplace_back(paths[i], requests[i]);
    const auto deadline = Clock::now() + std::chrono::milliseconds(timeoutMs);
    for (;;) {
        std::vector<pollfd> descriptors;
        std::vector<PendingRequest*> polled;
        for (PendingRequest& request : pending) {
            if (!request.isOpen()) continue;
            descriptors.push_back(request.pollDescriptor());
            polled.push_back(&request);
        }
        const auto remaining = remainingMs(deadline);
        if (descriptors.empty() || remaining <= 0) break;
        ::poll(descriptors.data(), descriptors.size(), static_cast<int>(remaining));
        for (std::size_t i = 0; i < descriptors.size(); ++i)
            if (descriptors[i].revents != 0) polled[i]->advance();
    }
    std::vector<nlohmann::json> answers;
    for (const PendingRequest& request : pending) answers.push_back(request.answer());
    return answers;
}

}  // namespace poppyscale::ctl
