// A poll loop's access to the result of work on another thread, without waiting.
#pragma once

#include <chrono>
#include <future>

namespace poppyscale::ctl {

// True if the work has ended, so that get() does not wait. The future must be valid.
template <typename Result>
bool isDone(const std::future<Result>& future) {
    return future.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

}  // namespace poppyscale::ctl
