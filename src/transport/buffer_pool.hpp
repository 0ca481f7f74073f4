// A bounded pool of reusable buffers of one size. The bound keeps data for peers that don't read from
// filling the memory.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace poppyscale::transport {

constexpr std::size_t kBufferSize = 16 * 1024;  // bytes
using Buffer = std::array<char, kBufferSize>;

// Not thread-safe: a pool belongs to one event loop.
class BufferPool {
  public:
    // `capacity` is the number of buffers that may be in use at a time.
    explicit BufferPool(std::size_t capacity) : capacity_(capacity) {}

    // Null when `capacity` buffers are in use, unless `mayExceedCapacity` is true. That is for a buffer that
    // is returned before the next event: peers that don't read must not prevent reads from others.
    std::unique_ptr<Buffer> take(bool mayExceedCapacity = false) {
        if (free_.empty()) {
            if (allocated_ >= capacity_ && !mayExceedCapacity) return nullptr;
            ++allocated_;
            return std::unique_ptr<Buffer>(new Buffer);
        }
        auto buffer = std::move(free_.back());
        free_.pop_back();
        return buffer;
    }
    // Returns a buffer to the pool.
    void give(std::unique_ptr<Buffer> buffer) { free_.push_back(std::move(buffer)); }

    // Buffers that may still be taken.
    std::size_t available() const { return capacity_ - std::min(allocated_ - free_.size(), capacity_); }
    std::size_t capacity() const { return capacity_; }
    // A lower capacity does not affect buffers that are in use.
    void setCapacity(std::size_t capacity) { capacity_ = capacity; }

  private:
    std::size_t capacity_;
    std::size_t allocated_ = 0;
    std::vector<std::unique_ptr<Buffer>> free_;
};

}  // namespace poppyscale::transport
