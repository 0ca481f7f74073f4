// The lock of a fleet's folder.
#pragma once

#include <string>

#include "base/file_descriptor.hpp"

namespace poppyscale::ctl {

// Ensures that one process at a time supervises the fleet of a folder: an exclusive lock on the file `lock`
// in it, held until the end of this object or of the process, however it ends.
class FolderLock {
  public:
    // Tries once and never waits.
    explicit FolderLock(const std::string& folder);
    // False where another process holds the lock, or the file can't be opened.
    bool isHeld() const { return isHeld_; }

  private:
    FileDescriptor file_;
    bool isHeld_ = false;
};

}  // namespace poppyscale::ctl
