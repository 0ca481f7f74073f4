#include "process/hot_restart/passed_socket.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <stdexcept>

#include "protocol/number.hpp"

namespace poppyscale::process {

FileDescriptor takePassedSocket(const std::string& text) {
    const auto error = [&](const char* reason) {
        return std::runtime_error(fmt::format("ROUTER_PASSED_SOCKET is '{}': {}", text, reason));
    };
    const auto descriptor = protocol::parse<int>(text);
    if (!descriptor || *descriptor < 0) throw error("not a descriptor number");
    if (::fcntl(*descriptor, F_GETFD) < 0) throw error("not an open descriptor");
    const auto option = [&](int name) {
        int value = 0;
        socklen_t size = sizeof value;
        return ::getsockopt(*descriptor, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
    };
    if (option(SO_TYPE) != SOCK_STREAM) throw error("not a stream socket");
    if (option(SO_ACCEPTCONN) != 1) throw error("not a listening socket");
    ::fcntl(*descriptor, F_SETFD, FD_CLOEXEC);
    return FileDescriptor(*descriptor);
}

}  // namespace poppyscale::process
