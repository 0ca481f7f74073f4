#include "process/hot_restart/new_process.hpp"

#include <fmt/format.h>
#include <sys/socket.h>

#include <stdexcept>

#include "process/hot_restart/messages.hpp"

namespace poppyscale::process {
namespace {

constexpr Nanos kReplyTimeout = 5'000 * kMillisecond;

}  // namespace

InheritedSockets::InheritedSockets(const std::string& path) try : client_(path, kReplyTimeout) {
    client_.write(passSocketsRequest());
    const PassSocketsReply reply = readPassSocketsReply(client_.read());
    describedConfig_ = reply.describedConfig;
    listener_ = client_.receiveDescriptor();
    if (reply.hasConsole) console_ = client_.receiveDescriptor();
} catch (const std::exception& problem) {
    throw std::runtime_error(fmt::format("can't take over: {}", problem.what()));
}

bool InheritedSockets::isListeningOn(const transport::Address& address) const {
    transport::Address bound{};
    socklen_t size = sizeof bound;
    return ::getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&bound), &size) == 0 &&
           transport::sameAddress(bound, address);
}

void InheritedSockets::reportReady(pid_t process) {
    client_.write(readyRequest(process));
    try {
        client_.read();
    } catch (const PeerUnresponsive&) {
        // A suspended old process may read the request when it resumes, and must not stop accepting
        // if this process has exited by then. It checks for the end of this connection before it
        // acts on the request. If it replied before it saw the end, this read returns the reply,
        // else the read fails.
        client_.shutdownWrite();
        client_.read();
    }
}

void InheritedSockets::reportFailure(const std::string& reason) noexcept {
    try {
        client_.write(failureRequest(reason));
        client_.read();
    } catch (const std::exception&) {
        // The old process continues to serve in any case.
    }
}

}  // namespace poppyscale::process
