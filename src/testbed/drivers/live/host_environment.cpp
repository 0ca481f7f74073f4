#include "testbed/drivers/live/host_environment.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <new>

#include "testbed/drivers/live/live_run.hpp"

namespace poppyscale::testbed {
namespace {

// The library that the machine's processes preload lies beside the testbed's own program.
std::string libraryPath() {
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "libpoppyscale_host_emulation.so")
        .string();
}

// Makes an update of the state atomic for readers in other processes: the counter `sequence` is odd
// during the update, and readers retry (a seqlock).
class StateWrite {
  public:
    explicit StateWrite(HostState& state) : state_(state) {
        state_.sequence.fetch_add(1, std::memory_order_acq_rel);
        std::atomic_thread_fence(std::memory_order_seq_cst);
    }
    ~StateWrite() { state_.sequence.fetch_add(1, std::memory_order_release); }
    StateWrite(const StateWrite&) = delete;
    StateWrite& operator=(const StateWrite&) = delete;

  private:
    HostState& state_;
};

}  // namespace

HostEnvironment::HostEnvironment(const std::string& file, const std::string& disk, Nanos now) : file_(file) {
    if (!std::filesystem::exists(libraryPath()))
        throw RunError("clock and disk faults need a library that does not exist: " + libraryPath());
    if (disk.size() >= kMaxFolderLength)
        throw RunError("the path of a machine's folder is too long: " + disk);
    const int fd = ::open(file.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    void* at = MAP_FAILED;
    if (fd >= 0 && ::ftruncate(fd, sizeof(HostState)) == 0)
        at = ::mmap(nullptr, sizeof(HostState), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    const int error = errno;
    if (fd >= 0) ::close(fd);
    if (at == MAP_FAILED) throw RunError(fmt::format("can't map {}: {}", file, std::strerror(error)));
    state_ = new (at) HostState{};
    state_->format = kHostFormat;
    std::memcpy(state_->folder, disk.c_str(), disk.size() + 1);
    startSegment(now, now, 1);
}

HostEnvironment::~HostEnvironment() { ::munmap(state_, sizeof(HostState)); }

std::vector<std::pair<std::string, std::string>> HostEnvironment::variables() const {
    // A program built with AddressSanitizer checks that its runtime library is loaded first. It
    // works as the second one, so the check is turned off.
    return {
        {kHostVariable, file_}, {"LD_PRELOAD", libraryPath()}, {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
}

void HostEnvironment::startSegment(Nanos trueTime, Nanos shownTime, double rate) {
    segments_.push_back({trueTime, shownTime, rate});
    const StateWrite write(*state_);
    state_->trueTime = trueTime;
    state_->shownTime = shownTime;
    state_->rate = rate;
}

Nanos HostEnvironment::shownTimeOf(Nanos trueTime) const {
    const ClockSegment& segment = segments_.back();
    return segment.shownTime +
           static_cast<Nanos>(static_cast<double>(trueTime - segment.trueTime) * segment.rate);
}

void HostEnvironment::setClockRate(Nanos now, double rate) { startSegment(now, shownTimeOf(now), rate); }

void HostEnvironment::jumpWallClock(Nanos offset) {
    const StateWrite write(*state_);
    state_->wallOffset += offset;
}

void HostEnvironment::endSleep(Nanos from, Nanos now) {
    const Nanos shownBefore = shownTimeOf(from), shownNow = shownTimeOf(now);
    startSegment(now, shownBefore, segments_.back().rate);
    const StateWrite write(*state_);
    state_->bootOffset += shownNow - shownBefore;
}

void HostEnvironment::setReadOnly(bool isReadOnly) {
    const StateWrite write(*state_);
    state_->readOnly = isReadOnly;
}

void HostEnvironment::setSyncDelay(Nanos delay) {
    const StateWrite write(*state_);
    state_->syncDelayNs = delay;
}

void HostEnvironment::failNextSyncs(int count) { state_->failingSyncs = static_cast<std::uint32_t>(count); }

Nanos HostEnvironment::trueTimeOf(Nanos shown) const {
    std::size_t i = segments_.size();
    while (i > 1 && segments_[i - 1].shownTime > shown) --i;
    const ClockSegment& segment = segments_[i - 1];
    return segment.trueTime +
           static_cast<Nanos>(static_cast<double>(shown - segment.shownTime) / segment.rate);
}

}  // namespace poppyscale::testbed
