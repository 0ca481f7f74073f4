// Input of a client that was read and is not parsed yet.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace poppyscale::proxy {

// Bytes are added at the end and consumed from the front. Keeps the arrival of the earliest ones, so that no
// request counts as having arrived later than it did.
class HeldInput {
  public:
    bool isEmpty() const { return bytes_.empty(); }
    // Valid until the next change.
    std::string_view view() const { return std::string_view(bytes_).substr(consumed_); }
    // When the first of these bytes arrived.
    Nanos arrivedAt() const { return arrivedAt_; }
    // What it takes of the memory.
    std::size_t size() const { return bytes_.size(); }

    void append(std::string_view bytes, Nanos arrivedAt) {
        if (isEmpty()) arrivedAt_ = arrivedAt;
        bytes_ += bytes;
    }
    // Moves the rest only when as much has been consumed, so that small steps don't copy it each time.
    void consume(std::size_t size) {
        consumed_ += size;
        if (consumed_ == bytes_.size()) return clear();
        if (consumed_ < bytes_.size() / 2) return;
        bytes_ = bytes_.substr(consumed_);
        consumed_ = 0;
    }
    // Releases the memory.
    void clear() {
        bytes_ = std::string();
        consumed_ = 0;
    }

  private:
    std::string bytes_;
    std::size_t consumed_ = 0;
    Nanos arrivedAt_ = 0;
};

}  // namespace poppyscale::proxy
