#include "protocol/resp.hpp"

#include <algorithm>

#include "protocol/number.hpp"

namespace poppyscale::protocol {
namespace {

constexpr std::size_t kLongestLine = 1024;  // of an error or a simple string too

void appendCount(std::string& out, char kind, std::size_t count) {
    out += kind;
    out += std::to_string(count);
    out += "\r\n";
}

}  // namespace

RespDecoder::State RespDecoder::fail(std::string_view what) {
    problem_ = what;
    return State::malformed;
}

RespDecoder::State RespDecoder::feed(std::string_view& bytes) {
    if (!problem_.empty()) return State::malformed;
    if (longLength_) {
        const State state = feedLong(bytes);
        if (state != State::more || longLength_) return state;
    }
    while (!bytes.empty()) {
        State state = State::more;
        begun_ = true;
        if (bulkLeft_) {
            const std::size_t size = std::min(*bulkLeft_, bytes.size());
            bulk_.text.append(bytes.substr(0, size));
            bytes.remove_prefix(size);
            held_ += size;
            if ((*bulkLeft_ -= size) > 0) return State::more;
            bulkLeft_.reset();
            if (!bulk_.text.ends_with("\r\n")) return fail("bulk string without its end");
            bulk_.text.resize(bulk_.text.size() - 2);
            state = put(std::move(bulk_));
        } else {
            const auto end = bytes.find('\n');
            const auto part = bytes.substr(0, end == std::string_view::npos ? end : end + 1);
            if (line_.size() + part.size() > kLongestLine) return fail("line too long");
            line_ += part;
            bytes.remove_prefix(part.size());
            held_ += part.size();
            // Told by its first byte, before a line that may never end.
            if (bounds_.commandsOnly && line_[0] != (open_.empty() ? '*' : '$'))
                return fail(open_.empty() ? "expected an array" : "expected a bulk string");
            if (end == std::string_view::npos) return State::more;
            state = header();
            line_.clear();
        }
        if (held_ > bounds_.maxValueSize) return fail("value too large");
        if (state != State::more) return state;
    }
    return State::more;
}

// Nothing of it is kept but its last byte and its end.
RespDecoder::State RespDecoder::feedLong(std::string_view& bytes) {
    if (longLeft_ == 0) {
        longLength_ = 0;
        return put({RespValue::Kind::bulk, {}, {}});
    }
    if (bytes.empty()) return State::more;
    if (longLeft_ > 3) {
        piece_ = bytes.substr(0, longLeft_ - 3);
        bytes.remove_prefix(piece_.size());
        longLeft_ -= piece_.size();
        return State::streamChunk;
    }
    const std::size_t size = std::min(longLeft_, bytes.size());
    bulk_.text.append(bytes.substr(0, size));
    bytes.remove_prefix(size);
    if ((longLeft_ -= size) > 0) return State::more;
    if (!bulk_.text.ends_with("\r\n")) return fail("bulk string without its end");
    piece_ = std::string_view(bulk_.text).substr(0, 1);
    return State::streamChunk;
}

RespDecoder::State RespDecoder::header() {
    if (!line_.ends_with("\r\n") || line_.size() < 3) return fail("line without its end");
    const std::string_view rest(line_.data() + 1, line_.size() - 3);
    const char kind = line_[0];
    if (kind == '+') return put({RespValue::Kind::simple, std::string(rest), {}});
    if (kind == '-') return put({RespValue::Kind::error, std::string(rest), {}});
    const auto number = parse<std::int64_t>(rest);
    if (!number) return fail("not a number");
    if (kind == ':') return put({RespValue::Kind::integer, std::string(rest), {}});
    if (kind != '$' && kind != '*') return fail("unknown type");
    if (*number == -1 && !bounds_.commandsOnly) return put({});
    if (*number < 0) return fail("negative length");
    const auto size = static_cast<std::size_t>(*number);
    if (kind == '$') {
        const bool there = open_.size() == 1 && open_[0].array.items.size() == bounds_.streamedItem;
        if (size > bounds_.maxBulkLength && size <= bounds_.maxStreamedLength && there) {
            longLength_ = size;
            longLeft_ = size + 2;
            bulk_ = {RespValue::Kind::bulk, {}, {}};
            return State::streamBegins;
        }
        if (size > bounds_.maxBulkLength) return fail("bulk string too long");
        bulk_ = {RespValue::Kind::bulk, {}, {}};
        bulkLeft_ = size + 2;
        return State::more;
    }
    if (size > bounds_.maxItems) return fail("array too long");
    if (open_.size() >= bounds_.maxDepth) return fail("arrays too deep");
    if (size == 0) return put({RespValue::Kind::array, {}, {}});
    open_.push_back({{RespValue::Kind::array, {}, {}}, size});
    return State::more;
}

RespDecoder::State RespDecoder::put(RespValue value) {
    while (!open_.empty()) {
        Open& top = open_.back();
        top.array.items.push_back(std::move(value));
        if (--top.left > 0) return State::more;
        value = std::move(top.array);
        open_.pop_back();
    }
    done_ = std::move(value);
    begun_ = false;
    held_ = 0;
    return State::complete;
}

RespValue RespDecoder::takeValue() { return std::move(done_); }

void appendBulk(std::string& out, std::string_view text) {
    appendCount(out, '$', text.size());
    out += text;
    out += "\r\n";
}

std::string bulk(std::string_view text) {
    std::string out;
    appendBulk(out, text);
    return out;
}

std::string command(const std::vector<std::string_view>& words, std::size_t more) {
    std::string out;
    appendCount(out, '*', words.size() + more);
    for (const auto word : words) appendBulk(out, word);
    return out;
}

}  // namespace poppyscale::protocol
