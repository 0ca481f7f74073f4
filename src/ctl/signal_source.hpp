// Signals of this process as events of a poll loop.
#pragma once

#include <initializer_list>
#include <optional>

#include "base/file_descriptor.hpp"

namespace poppyscale::ctl {

// Blocks a set of signals for this thread, and for threads started later, and hands them out one by one.
// Owns the descriptor that becomes readable with a signal. The signals stay blocked after its end.
class SignalSource {
  public:
    explicit SignalSource(std::initializer_list<int> signals);
    // Readable (POLLIN) while a signal is pending.
    int descriptor() const { return descriptor_.get(); }
    // The number of the next pending signal; nothing where none is pending. Never waits.
    std::optional<int> next();

  private:
    FileDescriptor descriptor_;
};

}  // namespace poppyscale::ctl
