// Buffers of one size, used again. The pool is bounded: it is what keeps peers that don't read from filling
// the machine.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace poppyscale::transport {

constexpr std::size_t kBufferSize = 16 * 1024;
using Buffer = std::array<char, kBufferSize>;

class BufferPool {
  public:
    explicit BufferPool(std::size_t most) : most_(most) {}

    // Null when all are taken. What is given back before the next event may go past the bound: peers that
    // don't read must not keep the others from being heard.
    std::unique_ptr<Buffer> take(bool forThisEvent = false) {
        if (free_.empty()) {
            if (made_ >= most_ && !forThisEvent) return nullptr;
            ++made_;
            return std::unique_ptr<Buffer>(new Buffer);
        }
        auto buffer = std::move(free_.back());
        free_.pop_back();
        return buffer;
    }
    std::size_t available() const { return most_ - std::min(made_ - free_.size(), most_); }
    std::size_t capacity() const { return most_; }
    void setCapacity(std::size_t most) { most_ = most; }
    void give(std::unique_ptr<Buffer> buffer) { free_.push_back(std::move(buffer)); }

  private:
    std::size_t most_;
    std::size_t made_ = 0;
    std::vector<std::unique_ptr<Buffer>> free_;
};

}  // namespace poppyscale::transport
