// Ownership of a file descriptor.
#pragma once

#include <unistd.h>

namespace poppyscale::ctl {

// Owns one file descriptor, or none, and closes it with its own end. Moves, but is not copied.
class FileDescriptor {
  public:
    FileDescriptor() = default;
    // Takes over an open descriptor; -1: none.
    explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
    FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(other.release()) {}
    FileDescriptor& operator=(FileDescriptor&& other) noexcept {
        if (this == &other) return *this;
        reset();
        descriptor_ = other.release();
        return *this;
    }
    ~FileDescriptor() { reset(); }

    bool isOpen() const { return descriptor_ >= 0; }
    // The descriptor, still owned here; -1: none.
    int get() const { return descriptor_; }
    // The descriptor, which the caller owns from now on.
    int release() {
        const int released = descriptor_;
        descriptor_ = -1;
        return released;
    }
    // Closes the descriptor, if there is one. False where the system reports an error (errno): for a file
    // that was written, data may be lost.
    bool reset() {
        if (!isOpen()) return true;
        return ::close(release()) == 0;
    }

  private:
    int descriptor_ = -1;
};

}  // namespace poppyscale::ctl
