// Ownership of one descriptor of the operating system.
#pragma once

#include <unistd.h>

namespace poppyscale {

// Owns an open descriptor, or none, and closes it when it is destroyed. Movable, not copyable.
class FileDescriptor {
  public:
    FileDescriptor() = default;
    // Takes ownership; a negative number means none.
    explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
    FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(other.release()) {}
    FileDescriptor& operator=(FileDescriptor&& other) noexcept {
        if (this != &other) reset(other.release());
        return *this;
    }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    ~FileDescriptor() { reset(); }

    bool isOpen() const { return descriptor_ >= 0; }
    // The number for a system call; ownership stays here. Negative when there is none.
    int get() const { return descriptor_; }
    // Gives ownership to the caller.
    [[nodiscard]] int release() {
        const int released = descriptor_;
        descriptor_ = -1;
        return released;
    }
    // Closes the owned descriptor, if any. Returns false if the system reports an error (in errno):
    // data that was written to the file may then be lost.
    bool close() {
        if (!isOpen()) return true;
        return ::close(release()) == 0;
    }
    // Closes the owned descriptor, if any, and takes ownership of `descriptor`.
    void reset(int descriptor = -1) {
        if (descriptor_ >= 0) ::close(descriptor_);
        descriptor_ = descriptor;
    }

  private:
    int descriptor_ = -1;
};

}  // namespace poppyscale
