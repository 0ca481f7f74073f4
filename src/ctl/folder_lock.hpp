// The lock of a fleet's folder.
#pragma once

#include <string>

#include "base/file_descriptor.hpp"

namespace poppyscale::ctl {

// Ensures that only one process at a time supervises the fleet of a folder, by an exclusive lock on the file
// `lock` in the folder. The lock is released when this object is destroyed or the process ends, even if it
// crashes.
class FolderLock {
  public:
    // Tries once to take the lock and never waits.
    explicit FolderLock(const std::string& folder);
    // False if another process holds the lock, or the file can't be opened.
    bool isHeld() const { return isHeld_; }

  private:
    FileDescriptor file_;
    bool isHeld_ = false;
};

}  // namespace poppyscale::ctl
