#include "process/hot_restart/peer_client.hpp"

#include <sys/socket.h>
#include <sys/time.h>
#include <sys/un.h>

#include <cerrno>
#include <cstring>
#include <system_error>

namespace poppyscale::process {
namespace {

constexpr std::size_t kReadBytes = 64 * 1024;
constexpr std::size_t kMaxLineBytes = 64 << 20;  // more than a reply with a million servers

sockaddr_un localAddress(const std::string& path) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    if (path.size() >= sizeof address.sun_path)
        throw std::runtime_error("the socket path is too long: " + path);
    std::memcpy(address.sun_path, path.data(), path.size());
    return address;
}

}  // namespace

PeerClient::PeerClient(const std::string& path, Nanos timeout) {
    const sockaddr_un address = localAddress(path);
    const timeval wait{static_cast<time_t>(timeout / (1000 * kMillisecond)),
                       static_cast<suseconds_t>(timeout % (1000 * kMillisecond) / 1000)};
    socket_.reset(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    if (::connect(socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw std::system_error(errno, std::generic_category(), path);
}

void PeerClient::shutdownWrite() { ::shutdown(socket_.get(), SHUT_WR); }

void PeerClient::write(const nlohmann::json& message) {
    const std::string line = message.dump() + "\n";
    if (::send(socket_.get(), line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size()))
        throw std::runtime_error("can't send to the other process");
}

nlohmann::json PeerClient::read() {
    std::string line;
    while (!line.ends_with('\n')) {
        if (line.size() > kMaxLineBytes) throw std::runtime_error("the other process sent too long a line");
        line += readPartOfLine();
    }
    const auto message = nlohmann::json::parse(line);
    if (message.contains("error")) throw std::runtime_error(message["error"].get<std::string>());
    return message;
}

// Peeks in order to read only up to the end of the line: the next byte may carry a descriptor and
// must not be read together with the line.
std::string PeerClient::readPartOfLine() {
    std::string part(kReadBytes, '\0');
    const auto peekedBytes = ::recv(socket_.get(), part.data(), part.size(), MSG_PEEK);
    if (peekedBytes <= 0) throw PeerUnresponsive("no answer from the other process");
    part.resize(static_cast<std::size_t>(peekedBytes));
    const auto end = part.find('\n');
    if (end != std::string::npos) part.resize(end + 1);
    const auto readBytes = ::recv(socket_.get(), part.data(), part.size(), 0);
    if (readBytes <= 0) throw PeerUnresponsive("no answer from the other process");
    part.resize(static_cast<std::size_t>(readBytes));
    return part;
}

FileDescriptor PeerClient::receiveDescriptor() {
    char byte = 0;
    iovec data{&byte, 1};
    alignas(cmsghdr) char ancillary[CMSG_SPACE(sizeof(int))] = {};
    msghdr message{};
    message.msg_iov = &data;
    message.msg_iovlen = 1;
    message.msg_control = ancillary;
    message.msg_controllen = sizeof ancillary;
    const auto readBytes = ::recvmsg(socket_.get(), &message, MSG_CMSG_CLOEXEC);
    const cmsghdr* const header = readBytes == 1 ? CMSG_FIRSTHDR(&message) : nullptr;
    // At this process's descriptor limit the kernel delivers the byte without the descriptor.
    if (!header || header->cmsg_type != SCM_RIGHTS || message.msg_flags & MSG_CTRUNC)
        throw std::runtime_error("no listening socket received from the other process");
    int received = -1;
    std::memcpy(&received, CMSG_DATA(header), sizeof received);
    return FileDescriptor(received);
}

}  // namespace poppyscale::process
