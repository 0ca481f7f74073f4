#include "testbed/stub_routers/socket_meter.hpp"

// The kernel's header: the C library's tcp_info ends before the counts of bytes.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>

namespace poppyscale::testbed::stub_routers {

void SocketMeter::begin(Nanos now) {
    last_ = carried();
    lastAt_ = now;
    bytesIn_ = bytesOut_ = 0;
    peak_ = 0;
}

void SocketMeter::look(Nanos now) {
    const double seconds = std::max(static_cast<double>(now - lastAt_) / 1e9, 1e-3);
    Connections present = carried();
    for (const auto& [inode, total] : present) {
        const auto before = last_.find(inode);
        const Carried from = before == last_.end() ? Carried{} : before->second;
        const std::uint64_t in = total.in - from.in;
        const std::uint64_t out = total.out - from.out;
        bytesIn_ += in;
        bytesOut_ += out;
        // The last look of a run may come right after the one before.
        if (seconds > 0.5) peak_ = std::max(peak_, static_cast<double>(in + out) / seconds);
    }
    last_ = std::move(present);
    lastAt_ = now;
}

SocketMeter::Connections SocketMeter::carried() {
    Connections all;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        const int descriptor = std::atoi(entry.path().filename().c_str());
        struct stat status {};
        if (::fstat(descriptor, &status) != 0 || !S_ISSOCK(status.st_mode)) continue;
        tcp_info info{};
        socklen_t size = sizeof info;
        if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) continue;
        all[status.st_ino] = {info.tcpi_bytes_received, info.tcpi_bytes_sent};
    }
    return all;
}

}  // namespace poppyscale::testbed::stub_routers
