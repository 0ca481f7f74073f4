// Decoding and encoding of RESP2, the protocol of clients and cache servers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poppyscale::protocol {

// The commands that read and write a key.
constexpr std::string_view kReadCommand = "OBJ.GET";
constexpr std::string_view kWriteCommand = "OBJ.SET";
// Follows the bytes of a bulk string.
constexpr std::string_view kBulkTerminator = "\r\n";

struct RespValue {
    enum class Kind : std::uint8_t { simple, error, integer, bulk, array, null };
    Kind kind = Kind::null;
    std::string text;              // empty for an array
    std::vector<RespValue> items;  // the items of an array
};

// Decodes one value after the other from a stream of bytes. Never buffers more than its limits
// allow. Can't be used any more after `malformed`.
class RespDecoder {
  public:
    struct Limits {
        std::size_t maxBulkLength = 64 * 1024;
        std::size_t maxItems = 64;              // items of one array
        std::size_t maxDepth = 3;               // depth of nested arrays
        std::size_t maxValueSize = 256 * 1024;  // encoded bytes of one value with all its items
        bool commandsOnly = false;              // accepts only arrays of bulk strings
        // A bulk string longer than `maxBulkLength` and at most this long is streamed if it is the
        // item `streamedItem` of an outermost array. With `streamsLastItemOnly` it must also be the
        // last item, so that the array is well-formed once the string has ended.
        std::size_t maxStreamedLength = 0;
        std::size_t streamedItem = 0;
        bool streamsLastItemOnly = false;
    };
    // streamBegins: `itemsBeforeStream` and `streamedLength` are known. streamChunk: `chunk` is the
    // next part of the streamed bulk string, whose last byte is delivered only after its terminator
    // was found valid.
    enum class State : std::uint8_t { more, complete, malformed, streamBegins, streamChunk };

    explicit RespDecoder(const Limits& limits) : limits_(limits) {}

    // Consumes `bytes` from the front, at most up to the end of one value or one chunk.
    State feed(std::string_view& bytes);
    // Valid after `complete`.
    RespValue takeValue();
    const std::vector<RespValue>& itemsBeforeStream() const { return openArrays_.front().array.items; }
    // The length of the bulk string that is being streamed; 0 if there is none.
    std::size_t streamedLength() const { return streamedLength_; }
    // Valid until the next call of `feed`.
    std::string_view chunk() const { return chunk_; }
    // Describes the error after `malformed`.
    const std::string& problem() const { return problem_; }
    // Whether a value has begun and is incomplete.
    bool isInValue() const { return isInValue_; }
    // Whether the next bytes belong to the item that may be streamed, even if it is short and
    // buffered.
    bool isInStreamedItem() const {
        return (bulkBytesLeft_ || streamedLength_) && openArrays_.size() == 1 &&
               openArrays_[0].array.items.size() == limits_.streamedItem;
    }
    // Whether the item that is being buffered is the last one of the outermost array.
    bool isInLastItem() const { return openArrays_.size() == 1 && openArrays_[0].itemsLeft == 1; }
    // The number of buffered bytes of an incomplete value.
    std::size_t bufferedBytes() const { return bufferedBytes_; }
    // These and the rest of the bulk string that is being buffered.
    std::size_t expectedBytes() const { return bufferedBytes_ + bulkBytesLeft_.value_or(0); }

  private:
    struct OpenArray {
        RespValue array;
        std::size_t itemsLeft;
    };
    State feedBulk(std::string_view& bytes);
    State feedLine(std::string_view& bytes);
    State feedStreamed(std::string_view& bytes);
    State readLine();
    State beginBulk(std::size_t length);
    // Whether the next item is the one that may be streamed.
    bool isAtStreamedItem() const;
    State beginArray(std::size_t length);
    State addValue(RespValue value);
    State limitValueSize(State state);
    State fail(std::string_view problem);

    Limits limits_;
    std::string line_;
    std::optional<std::size_t> bulkBytesLeft_;  // including the terminator
    RespValue bulk_;
    std::size_t streamedLength_ = 0;
    std::size_t streamedBytesLeft_ = 0;  // including the terminator
    std::string_view chunk_;
    std::vector<OpenArray> openArrays_;  // the innermost last
    RespValue value_;
    std::string problem_;
    std::size_t bufferedBytes_ = 0;
    bool isInValue_ = false;
};

void appendBulk(std::string& out, std::string_view text);
std::string bulk(std::string_view text);
// The header that precedes the bytes of a bulk string.
std::string bulkHead(std::size_t length);
// An array of bulk strings, to which the caller appends `appendedArguments` more.
std::string command(const std::vector<std::string_view>& arguments, std::size_t appendedArguments = 0);

}  // namespace poppyscale::protocol
