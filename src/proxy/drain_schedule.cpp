#include "proxy/drain_schedule.hpp"

#include <algorithm>

namespace poppyscale::proxy {

bool DrainSchedule::acceptsRequests(Nanos timeout, Nanos now) const {
    return now < acceptUntil && timeout <= deadline - now;
}

double DrainSchedule::idleFraction(Nanos now) const {
    const auto remaining = static_cast<double>(idleUntil - now);
    const auto duration = static_cast<double>(std::max<Nanos>(idleUntil - idleFrom, 1));
    return std::clamp(remaining / duration, 0.0, 1.0);
}

}  // namespace poppyscale::proxy
