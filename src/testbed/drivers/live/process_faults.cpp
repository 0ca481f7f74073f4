#include "testbed/drivers/live/process_faults.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <new>
#include <stdexcept>

namespace poppyscale::testbed {
namespace {

// One event loop iteration in 50 is delayed.
constexpr std::uint32_t kDelayedIterationShare = fault_injection::kShareUnit / 50;

std::string libraryPath() {
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() /
            "libpoppyscale_fault_injection.so")
        .string();
}

}  // namespace

ProcessFaults::ProcessFaults(const std::string& folder, std::uint64_t seed)
    : file_(std::filesystem::absolute(folder + "/process-faults").string()) {
    const int fd = ::open(file_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (fd < 0 || ::ftruncate(fd, sizeof(fault_injection::InjectionPlan)) != 0)
        throw std::runtime_error(
            fmt::format("can't create the fault plan {}: {}", file_, std::strerror(errno)));
    void* const at =
        ::mmap(nullptr, sizeof(fault_injection::InjectionPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    if (at == MAP_FAILED)
        throw std::runtime_error(fmt::format("can't map the fault plan {}: {}", file_, std::strerror(errno)));
    plan_ = new (at) fault_injection::InjectionPlan;
    plan_->seed = static_cast<std::uint32_t>(seed);
}

ProcessFaults::~ProcessFaults() { ::munmap(plan_, sizeof(fault_injection::InjectionPlan)); }

std::vector<std::pair<std::string, std::string>> ProcessFaults::variables() const {
    return {{fault_injection::kPlanVariable, file_},
            {"LD_PRELOAD", libraryPath()},
            {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
}

void ProcessFaults::inject(const FaultPlan& fault, bool begins) {
    const auto delay = static_cast<std::int64_t>(fault.magnitude * kMillisecond);
    if (fault.kind == FaultKind::wallClockOffset) plan_->wallOffset = begins ? delay : 0;
    if (fault.kind == FaultKind::eventLoopDelay) {
        plan_->maxDelay = begins ? delay : 0;
        plan_->delayShare = begins ? kDelayedIterationShare : 0;
    }
    if (fault.kind != FaultKind::callsFail) return;
    const auto call = static_cast<std::size_t>(*fault_injection::parseSystemCall(fault.call));
    const auto effect = static_cast<std::size_t>(*fault_injection::parseFaultEffect(fault.effect));
    plan_->share[call][effect] =
        begins ? static_cast<std::uint32_t>(fault.magnitude * fault_injection::kShareUnit) : 0;
}

std::map<std::string, std::uint64_t> ProcessFaults::counts() const {
    std::map<std::string, std::uint64_t> counts;
    for (std::size_t c = 0; c < fault_injection::kSystemCalls; ++c)
        for (std::size_t w = 0; w < fault_injection::kFaultEffects; ++w)
            if (const std::uint64_t count = plan_->occurrences[c][w]; count > 0)
                counts[fmt::format("{} {}", fault_injection::kSystemCallNames[c],
                                   fault_injection::kFaultEffectNames[w])] = count;
    if (const std::uint64_t count = plan_->delays; count > 0) counts["held up"] = count;
    return counts;
}

}  // namespace poppyscale::testbed
