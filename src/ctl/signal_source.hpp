// Delivers the signals of this process as events of a poll loop.
#pragma once

#include <initializer_list>
#include <optional>

#include "base/file_descriptor.hpp"

namespace poppyscale::ctl {

// Blocks a set of signals for this thread and the threads that it starts later, and returns them one by one.
// Owns the descriptor, which is readable while a signal is pending. The signals stay blocked after this
// object is destroyed.
class SignalSource {
  public:
    explicit SignalSource(std::initializer_list<int> signals);
    // Readable (POLLIN) while a signal is pending.
    int descriptor() const { return descriptor_.get(); }
    // The number of the next pending signal, or nullopt if none is pending. Never waits.
    std::optional<int> next();

  private:
    FileDescriptor descriptor_;
};

}  // namespace poppyscale::ctl
