#include "ctl/folder_lock.hpp"

#include <fcntl.h>
#include <sys/file.h>

namespace poppyscale::ctl {

FolderLock::FolderLock(const std::string& folder)
    : file_(::open((folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644)) {
    isHeld_ = file_.isOpen() && ::flock(file_.get(), LOCK_EX | LOCK_NB) == 0;
}

}  // namespace poppyscale::ctl
