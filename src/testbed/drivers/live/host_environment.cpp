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

// What the processes load stands beside the testbed's own program.
std::string libraryPath() {
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "libpoppyscale_host_emulation.so")
        .string();
}

// A value that several processes read is changed whole.
class Writing {
  public:
    explicit Writing(HostState& state) : state_(state) {
        state_.turn.fetch_add(1, std::memory_order_acq_rel);
        std::atomic_thread_fence(std::memory_order_seq_cst);
    }
    ~Writing() { state_.turn.fetch_add(1, std::memory_order_release); }
    Writing(const Writing&) = delete;
    Writing& operator=(const Writing&) = delete;

  private:
    HostState& state_;
};

}  // namespace

HostEnvironment::HostEnvironment(const std::string& file, const std::string& disk, Nanos now) : file_(file) {
    if (!std::filesystem::exists(libraryPath()))
        throw RunError("a machine's clock and disk need " + libraryPath());
    if (disk.size() >= kLongestFolder) throw RunError("a machine's folder has too long a path: " + disk);
    const int fd = ::open(file.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    void* at = MAP_FAILED;
    if (fd >= 0 && ::ftruncate(fd, sizeof(HostState)) == 0)
        at = ::mmap(nullptr, sizeof(HostState), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    const int failed = errno;
    if (fd >= 0) ::close(fd);
    if (at == MAP_FAILED) throw RunError(fmt::format("can't map {}: {}", file, std::strerror(failed)));
    state_ = new (at) HostState{};
    state_->format = kHostFormat;
    std::memcpy(state_->folder, disk.c_str(), disk.size() + 1);
    anchor(now, now, 1);
}

HostEnvironment::~HostEnvironment() { ::munmap(state_, sizeof(HostState)); }

std::vector<std::pair<std::string, std::string>> HostEnvironment::variables() const {
    // Built with sanitizers, a program wants its own library first; here it is loaded second, which it bears.
    return {
        {kHostVariable, file_}, {"LD_PRELOAD", libraryPath()}, {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
}

void HostEnvironment::anchor(Nanos trueAt, Nanos shownAt, double rate) {
    pieces_.push_back({trueAt, shownAt, rate});
    const Writing writing(*state_);
    state_->trueAt = trueAt;
    state_->shownAt = shownAt;
    state_->rate = rate;
}

Nanos HostEnvironment::shownAt(Nanos trueAt) const {
    const Piece& p = pieces_.back();
    return p.shownAt + static_cast<Nanos>(static_cast<double>(trueAt - p.trueAt) * p.rate);
}

void HostEnvironment::rate(Nanos now, double rate) { anchor(now, shownAt(now), rate); }

void HostEnvironment::jump(Nanos by) {
    const Writing writing(*state_);
    state_->wallLead += by;
}

void HostEnvironment::slept(Nanos from, Nanos now) {
    const Nanos shown = shownAt(from), without = shownAt(now);
    anchor(now, shown, pieces_.back().rate);
    const Writing writing(*state_);
    state_->slept += without - shown;
}

void HostEnvironment::readOnly(bool is) {
    const Writing writing(*state_);
    state_->readOnly = is;
}

void HostEnvironment::syncTakes(Nanos time) {
    const Writing writing(*state_);
    state_->syncTakes = time;
}

void HostEnvironment::syncsFail(int count) { state_->syncsFail = static_cast<std::uint32_t>(count); }

Nanos HostEnvironment::trueOf(Nanos shown) const {
    std::size_t i = pieces_.size();
    while (i > 1 && pieces_[i - 1].shownAt > shown) --i;
    const Piece& p = pieces_[i - 1];
    return p.trueAt + static_cast<Nanos>(static_cast<double>(shown - p.shownAt) / p.rate);
}

}  // namespace poppyscale::testbed
