#include "ctl/control_listener.hpp"

#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace poppyscale::ctl {
namespace {

constexpr int kBacklog = 64;               // connections not yet accepted
constexpr std::size_t kReadSize = 65'536;  // bytes
constexpr mode_t kOwnerOnlyUmask = 0177;   // leaves read and write permission for the owner

}  // namespace

ControlListener::ControlListener(std::string path, RequestHandler onRequest)
    : path_(std::move(path)), onRequest_(std::move(onRequest)) {
    listen();
}

ControlListener::~ControlListener() {
    clients_.clear();
    socket_.reset();
    ::unlink(path_.c_str());
}

void ControlListener::listen() {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    if (path_.size() >= sizeof address.sun_path)
        throw std::runtime_error("path too long for a Unix socket: " + path_);
    std::memcpy(address.sun_path, path_.data(), path_.size());
    // An existing file was left by a killed process: the FolderLock excludes a second running one.
    ::unlink(path_.c_str());
    socket_ = FileDescriptor(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const mode_t previousMask = ::umask(kOwnerOnlyUmask);
    const bool isBound =
        ::bind(socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    const int error = errno;
    ::umask(previousMask);
    if (!isBound || ::listen(socket_.get(), kBacklog) != 0)
        throw std::runtime_error(fmt::format("can't listen at {}: {}", path_, std::strerror(error)));
}

void ControlListener::addPollDescriptors(std::vector<pollfd>& descriptors) const {
    descriptors.push_back({socket_.get(), POLLIN, 0});
    for (const Client& client : clients_) {
        const int events = client.unsent.empty() ? POLLIN : POLLIN | POLLOUT;
        descriptors.push_back({client.socket.get(), static_cast<short>(events), 0});
    }
}

void ControlListener::runIteration() {
    acceptClients();
    for (Client& client : clients_) {
        receive(client);
        handleRequests(client);
        flush(client);
    }
    clients_.remove_if([](const Client& client) { return client.isClosed; });
}

void ControlListener::acceptClients() {
    for (;;) {
        FileDescriptor accepted(::accept4(socket_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
        if (!accepted.isOpen()) return;
        if (clients_.size() >= kMaxClients) continue;  // closes the accepted connection
        ++lastClientId_;
        clients_.push_back({lastClientId_, std::move(accepted), {}, {}, false});
    }
}

void ControlListener::receive(Client& client) {
    char buffer[kReadSize];
    for (;;) {
        const ssize_t size = ::recv(client.socket.get(), buffer, sizeof buffer, 0);
        if (size <= 0) {
            const bool isPending = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
            if (!isPending) client.isClosed = true;
            return;
        }
        client.received.append(buffer, static_cast<std::size_t>(size));
        if (client.received.size() > kMaxLine) {
            client.isClosed = true;
            return;
        }
    }
}

void ControlListener::handleRequests(Client& client) {
    while (!client.isClosed) {
        const auto end = client.received.find('\n');
        if (end == std::string::npos) return;
        const auto request = nlohmann::json::parse(client.received.substr(0, end), nullptr, false);
        client.received.erase(0, end + 1);
        if (request.is_object())
            onRequest_(client.id, request);
        else
            answer(client.id, {{"error", "expected a line that holds a JSON object"}});
    }
}

void ControlListener::flush(Client& client) {
    while (!client.unsent.empty() && !client.isClosed) {
        const ssize_t sent =
            ::send(client.socket.get(), client.unsent.data(), client.unsent.size(), MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
        if (sent <= 0)
            client.isClosed = true;
        else
            client.unsent.erase(0, static_cast<std::size_t>(sent));
    }
}

void ControlListener::answer(std::uint64_t client, const nlohmann::json& answer) {
    for (Client& recipient : clients_) {
        if (recipient.id != client) continue;
        recipient.unsent += answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
        flush(recipient);
    }
}

}  // namespace poppyscale::ctl
