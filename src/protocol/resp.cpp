#include "protocol/resp.hpp"

#include <algorithm>
#include <utility>

#include "protocol/number.hpp"

namespace poppyscale::protocol {
namespace {

// Bytes including CRLF; also bounds errors and simple strings.
constexpr std::size_t kMaxLineLength = 1024;
// The last byte of a streamed bulk string is withheld until its terminator has arrived.
constexpr std::size_t kWithheldBytes = 1 + kBulkTerminator.size();

void appendHead(std::string& out, char type, std::size_t count) {
    out += type;
    out += std::to_string(count);
    out += "\r\n";
}

}  // namespace

RespDecoder::State RespDecoder::fail(std::string_view problem) {
    problem_ = problem;
    return State::malformed;
}

RespDecoder::State RespDecoder::feed(std::string_view& bytes) {
    if (!problem_.empty()) return State::malformed;
    if (streamedLength_) {
        const State state = feedStreamed(bytes);
        if (state != State::more || streamedLength_) return state;
    }
    while (!bytes.empty()) {
        isInValue_ = true;
        const State state = bulkBytesLeft_ ? feedBulk(bytes) : feedLine(bytes);
        if (state != State::more) return state;
    }
    return State::more;
}

RespDecoder::State RespDecoder::feedBulk(std::string_view& bytes) {
    const std::size_t size = std::min(*bulkBytesLeft_, bytes.size());
    bulk_.text.append(bytes.substr(0, size));
    bytes.remove_prefix(size);
    bufferedBytes_ += size;
    *bulkBytesLeft_ -= size;
    if (*bulkBytesLeft_ > 0) return State::more;
    bulkBytesLeft_.reset();
    if (!bulk_.text.ends_with(kBulkTerminator)) return fail("bulk string not terminated by CRLF");
    bulk_.text.resize(bulk_.text.size() - kBulkTerminator.size());
    return limitValueSize(addValue(std::move(bulk_)));
}

RespDecoder::State RespDecoder::feedLine(std::string_view& bytes) {
    const auto end = bytes.find('\n');
    const auto part = bytes.substr(0, end == std::string_view::npos ? end : end + 1);
    if (line_.size() + part.size() > kMaxLineLength) return fail("line longer than 1024 bytes");
    line_ += part;
    bytes.remove_prefix(part.size());
    bufferedBytes_ += part.size();
    // Checks the first byte at once, since the line may never end.
    const bool isOutermost = openArrays_.empty();
    if (limits_.commandsOnly && line_[0] != (isOutermost ? '*' : '$'))
        return fail(isOutermost ? "expected an array, which begins with '*'"
                                : "expected a bulk string, which begins with '$'");
    if (end == std::string_view::npos) return State::more;
    const State state = readLine();
    line_.clear();
    return limitValueSize(state);
}

RespDecoder::State RespDecoder::limitValueSize(State state) {
    return bufferedBytes_ > limits_.maxValueSize
               ? fail("value larger than " + std::to_string(limits_.maxValueSize) + " bytes")
               : state;
}

// Buffers only the last byte of the streamed bulk string and its terminator.
RespDecoder::State RespDecoder::feedStreamed(std::string_view& bytes) {
    if (streamedBytesLeft_ == 0) {
        streamedLength_ = 0;
        return addValue({RespValue::Kind::bulk, {}, {}});
    }
    if (bytes.empty()) return State::more;
    if (streamedBytesLeft_ > kWithheldBytes) {
        chunk_ = bytes.substr(0, streamedBytesLeft_ - kWithheldBytes);
        bytes.remove_prefix(chunk_.size());
        streamedBytesLeft_ -= chunk_.size();
        return State::streamChunk;
    }
    const std::size_t size = std::min(streamedBytesLeft_, bytes.size());
    bulk_.text.append(bytes.substr(0, size));
    bytes.remove_prefix(size);
    streamedBytesLeft_ -= size;
    if (streamedBytesLeft_ > 0) return State::more;
    if (!bulk_.text.ends_with(kBulkTerminator)) return fail("bulk string not terminated by CRLF");
    chunk_ = std::string_view(bulk_.text).substr(0, 1);
    return State::streamChunk;
}

RespDecoder::State RespDecoder::readLine() {
    if (!line_.ends_with("\r\n") || line_.size() < 3) return fail("line empty or not terminated by CRLF");
    const std::string_view rest(line_.data() + 1, line_.size() - 3);
    const char type = line_[0];
    if (type == '+') return addValue({RespValue::Kind::simple, std::string(rest), {}});
    if (type == '-') return addValue({RespValue::Kind::error, std::string(rest), {}});
    const auto number = parse<std::int64_t>(rest);
    if (!number) return fail("expected a whole number after the type byte");
    if (type == ':') return addValue({RespValue::Kind::integer, std::string(rest), {}});
    if (type != '$' && type != '*') return fail("unknown type byte, expected one of + - : $ *");
    if (*number == -1 && !limits_.commandsOnly) return addValue({});
    if (*number < 0) return fail("negative length " + std::to_string(*number));
    const auto length = static_cast<std::size_t>(*number);
    return type == '$' ? beginBulk(length) : beginArray(length);
}

bool RespDecoder::isAtStreamedItem() const {
    if (openArrays_.size() != 1) return false;
    const OpenArray& outermost = openArrays_[0];
    const bool mayStream = !limits_.streamsLastItemOnly || outermost.itemsLeft == 1;
    return mayStream && outermost.array.items.size() == limits_.streamedItem;
}

RespDecoder::State RespDecoder::beginBulk(std::size_t length) {
    const bool isTooLong = length > limits_.maxBulkLength;
    if (isTooLong && length <= limits_.maxStreamedLength && isAtStreamedItem()) {
        streamedLength_ = length;
        streamedBytesLeft_ = length + kBulkTerminator.size();
        bulk_ = {RespValue::Kind::bulk, {}, {}};
        return State::streamBegins;
    }
    if (isTooLong) return fail("bulk string of " + std::to_string(length) + " bytes is too long");
    bulk_ = {RespValue::Kind::bulk, {}, {}};
    bulkBytesLeft_ = length + kBulkTerminator.size();
    return State::more;
}

RespDecoder::State RespDecoder::beginArray(std::size_t length) {
    if (length > limits_.maxItems)
        return fail("array of " + std::to_string(length) + " items, at most " +
                    std::to_string(limits_.maxItems) + " are allowed");
    if (openArrays_.size() >= limits_.maxDepth)
        return fail("arrays nested more than " + std::to_string(limits_.maxDepth) + " deep");
    if (length == 0) return addValue({RespValue::Kind::array, {}, {}});
    openArrays_.push_back({{RespValue::Kind::array, {}, {}}, length});
    return State::more;
}

// Adds `value` to the innermost open array. An array that this completes is added to the one around
// it.
RespDecoder::State RespDecoder::addValue(RespValue value) {
    while (!openArrays_.empty()) {
        OpenArray& innermost = openArrays_.back();
        innermost.array.items.push_back(std::move(value));
        --innermost.itemsLeft;
        if (innermost.itemsLeft > 0) return State::more;
        value = std::move(innermost.array);
        openArrays_.pop_back();
    }
    value_ = std::move(value);
    isInValue_ = false;
    bufferedBytes_ = 0;
    return State::complete;
}

RespValue RespDecoder::takeValue() { return std::move(value_); }

void appendBulk(std::string& out, std::string_view text) {
    appendHead(out, '$', text.size());
    out += text;
    out += kBulkTerminator;
}

std::string bulk(std::string_view text) {
    std::string out;
    appendBulk(out, text);
    return out;
}

std::string bulkHead(std::size_t length) {
    std::string out;
    appendHead(out, '$', length);
    return out;
}

std::string command(const std::vector<std::string_view>& arguments, std::size_t appendedArguments) {
    std::string out;
    appendHead(out, '*', arguments.size() + appendedArguments);
    for (const auto argument : arguments) appendBulk(out, argument);
    return out;
}

}  // namespace poppyscale::protocol
