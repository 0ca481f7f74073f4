#include "testbed/stub_routers/socket_meter.hpp"

// The kernel's header, because the C library's tcp_info lacks the byte counts.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>

namespace poppyscale::testbed::stub_routers {

void SocketMeter::reset(Nanos now) {
    lastCounts_ = readByteCounts();
    lastSampleAt_ = now;
    bytesIn_ = bytesOut_ = 0;
    peakBytesPerSecond_ = 0;
}

void SocketMeter::sample(Nanos now) {
    const double seconds = std::max(static_cast<double>(now - lastSampleAt_) / 1e9, 1e-3);
    ByteCountsByInode counts = readByteCounts();
    for (const auto& [inode, total] : counts) {
        const auto found = lastCounts_.find(inode);
        const ByteCounts previous = found == lastCounts_.end() ? ByteCounts{} : found->second;
        const std::uint64_t in = total.in - previous.in;
        const std::uint64_t out = total.out - previous.out;
        bytesIn_ += in;
        bytesOut_ += out;
        // The last sample of a run may follow the one before too closely for a meaningful rate.
        if (seconds > 0.5)
            peakBytesPerSecond_ = std::max(peakBytesPerSecond_, static_cast<double>(in + out) / seconds);
    }
    lastCounts_ = std::move(counts);
    lastSampleAt_ = now;
}

SocketMeter::ByteCountsByInode SocketMeter::readByteCounts() {
    ByteCountsByInode all;
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
