#include "process/service_manager.hpp"

#include <sys/socket.h>
#include <sys/un.h>

#include <cstddef>
#include <cstdlib>
#include <cstring>

#include "base/file_descriptor.hpp"

namespace poppyscale::process {

void notifyServiceManager(const std::string& assignments) {
    const char* const path = std::getenv("NOTIFY_SOCKET");
    if (!path || (path[0] != '/' && path[0] != '@')) return;
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    const std::size_t pathBytes = std::strlen(path);
    if (pathBytes >= sizeof address.sun_path) return;
    std::memcpy(address.sun_path, path, pathBytes);
    if (path[0] == '@') address.sun_path[0] = '\0';  // abstract socket address
    const FileDescriptor socket(::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    const auto addressBytes = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + pathBytes);
    ::sendto(socket.get(), assignments.data(), assignments.size(), MSG_NOSIGNAL | MSG_DONTWAIT,
             reinterpret_cast<const sockaddr*>(&address), addressBytes);
}

}  // namespace poppyscale::process
