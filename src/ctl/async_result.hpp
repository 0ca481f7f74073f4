// The result of work that runs on a thread of its own, for a loop that must not wait.
#pragma once

#include <chrono>
#include <future>

namespace poppyscale::ctl {

// Whether the work has ended, so that get() does not wait. The future must be valid.
template <typename Result>
bool isDone(const std::future<Result>& future) {
    return future.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

}  // namespace poppyscale::ctl
