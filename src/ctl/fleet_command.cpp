#include "ctl/fleet_command.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <sys/stat.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "ctl/fleet_host.hpp"
#include "ctl/folder_lock.hpp"
#include "ctl/version_store.hpp"

namespace poppyscale::ctl {
namespace {

constexpr int kExitAlreadySupervised = 1;

}  // namespace

int runFleet(const FleetDescription& description) {
    if (::mkdir(description.folder.c_str(), 0755) != 0 && errno != EEXIST)
        throw std::runtime_error(
            fmt::format("can't create folder {}: {}", description.folder, std::strerror(errno)));
    // With the default action a write beyond the file size limit would end the process instead of failing.
    ::signal(SIGXFSZ, SIG_IGN);
    const FolderLock lock(description.folder);
    if (!lock.isHeld()) {
        fmt::print(
            stderr,
            "poppyctl fleet: can't lock {}: another process supervises it, or its file 'lock' can't be "
            "opened\n",
            description.folder);
        return kExitAlreadySupervised;
    }
    removeTemporaryFiles(description.folder);
    FleetHost fleet(description);
    return fleet.run();
}

}  // namespace poppyscale::ctl
