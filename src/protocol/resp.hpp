// RESP2: what clients and caches speak. Bytes to values and back, taken in pieces as they come.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poppyscale::protocol {

struct RespValue {
    enum class Kind : std::uint8_t { simple, error, integer, bulk, array, null };
    Kind kind = Kind::null;
    std::string text;  // of all but arrays
    std::vector<RespValue> items;
};

// Takes one value after the other out of a stream; never holds more than its bounds allow.
class RespDecoder {
  public:
    struct Limits {
        std::size_t maxBulkLength = 64 * 1024;
        std::size_t maxItems = 64;              // of one array
        std::size_t maxDepth = 3;               // arrays within arrays
        std::size_t maxValueSize = 256 * 1024;  // bytes of one value with all it holds
        bool commandsOnly = false;              // an array of bulk strings and nothing else
        // A bulk string of this length at most, in that place of an outermost array, comes in pieces.
        std::size_t maxStreamedLength = 0;
        std::size_t streamedItem = 0;
    };
    // A long bulk string is told first: what stands before it in its array is `before()`. Then come pieces of
    // it, until all of its length did; its last byte comes only once its end was right.
    enum class State : std::uint8_t { more, complete, malformed, streamBegins, streamChunk };

    explicit RespDecoder(const Limits& bounds) : bounds_(bounds) {}

    // Eats of `bytes` up to the end of one value at most.
    State feed(std::string_view& bytes);
    RespValue takeValue();
    const std::vector<RespValue>& itemsBeforeStream() const { return open_.front().array.items; }
    std::size_t streamedLength() const { return longLength_; }
    std::string_view chunk() const { return piece_; }  // until the next call of `feed`
    const std::string& problem() const { return problem_; }
    bool isInValue() const { return begun_; }  // a value has begun and is not whole
    // Within the bulk string that may be long, whether or not this one is.
    bool isInStreamedItem() const {
        return (bulkLeft_ || longLength_) && open_.size() == 1 &&
               open_[0].array.items.size() == bounds_.streamedItem;
    }
    std::size_t bufferedBytes() const { return held_; }

  private:
    struct Open {
        RespValue array;
        std::size_t left;
    };
    State header();
    State feedLong(std::string_view& bytes);
    State put(RespValue value);
    State fail(std::string_view what);

    Limits bounds_;
    std::string line_;
    std::optional<std::size_t> bulkLeft_;  // with its closing CR LF
    RespValue bulk_;
    std::size_t longLength_ = 0;  // of the one that comes in pieces now; 0: none does
    std::size_t longLeft_ = 0;    // of it, with its closing CR LF
    std::string_view piece_;
    std::vector<Open> open_;
    RespValue done_;
    std::string problem_;
    std::size_t held_ = 0;
    bool begun_ = false;
};

void appendBulk(std::string& out, std::string_view text);
std::string bulk(std::string_view text);
// `more` words follow that are not written here.
std::string command(const std::vector<std::string_view>& words, std::size_t more = 0);

}  // namespace poppyscale::protocol
