// Whether the rest of a value is still arriving.
#pragma once

#include <algorithm>
#include <cstddef>

#include "base/time.hpp"

namespace poppyscale::proxy {

// Decides from the bytes of a value alone whether its source still sends it: not if it has paused for much
// longer than before, nor if the value arrives more slowly than 1 KiB/s. Time in which the value is not read
// does not count.
class ArrivalProgress {
  public:
    // A source that pauses for longer has stopped, however long it has paused before. Longer than the time
    // after which TCP repeats a lost packet.
    static constexpr Nanos kMaxPause = 250 * kMillisecond;

    // The value begins to arrive, or is read again.
    void restart(Nanos now) {
        since_ = now;
        lastArrivalAt_ = now;
        longestPause_ = 0;
        bytes_ = 0;
    }
    void onBytes(std::size_t count, Nanos now) {
        longestPause_ = std::max(longestPause_, now - lastArrivalAt_);
        lastArrivalAt_ = now;
        bytes_ += count;
    }
    bool isArriving(Nanos now) const {
        const Nanos allowedPause = std::clamp(kPauseMultiple * longestPause_, kMinPause, kMaxPause);
        const Nanos longestDuration = static_cast<Nanos>(bytes_) * kMaxNanosPerByte + kMinPause;
        return now - lastArrivalAt_ <= allowedPause && now - since_ <= longestDuration;
    }

  private:
    static constexpr Nanos kMinPause = 50 * kMillisecond;
    static constexpr Nanos kPauseMultiple = 4;
    static constexpr Nanos kMaxNanosPerByte = 1'000'000'000 / 1024;

    Nanos since_ = 0;
    Nanos lastArrivalAt_ = 0;
    Nanos longestPause_ = 0;
    std::size_t bytes_ = 0;  // since `since_`
};

}  // namespace poppyscale::proxy
