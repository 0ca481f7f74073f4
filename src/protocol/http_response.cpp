#include "protocol/http_response.hpp"

#include <strings.h>

#include <algorithm>
#include <utility>

#include "protocol/number.hpp"

namespace poppyscale::protocol {
namespace {

constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr int kMaxInterimResponses = 8;
constexpr std::uint64_t kUnknownLength =
    ~std::uint64_t{0};                                 // http_parser's, where there is no Content-Length
constexpr std::int64_t kMaxListAgeMs = 1'000'000'000;  // keeps the age in nanoseconds from overflowing

constexpr const char* kRejectedHeader = "X-Rejected";
constexpr const char* kListAgeHeader = "X-List-Age-Ms";

}  // namespace

HttpResponse::HttpResponse(std::size_t maxBufferedBody, std::size_t maxBody)
    : maxBufferedBody_(maxBufferedBody), maxBody_(maxBody) {
    http_parser_settings_init(&callbacks_);
    callbacks_.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
        return of(parser).onHeaderField({at, size});
    };
    callbacks_.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
        return of(parser).onHeaderValue({at, size});
    };
    callbacks_.on_headers_complete = [](http_parser* parser) { return of(parser).onHeadersComplete(); };
    callbacks_.on_body = [](http_parser* parser, const char* at, std::size_t size) {
        return of(parser).onBody({at, size});
    };
    callbacks_.on_message_complete = [](http_parser* parser) { return of(parser).onMessageComplete(); };
    clear();
}

int HttpResponse::countHeaderBytes(std::size_t bytes) {
    headerBytes_ += bytes;
    return headerBytes_ > kMaxHeaderBytes ? 1 : 0;
}

// The parser may deliver a header's name and value in several parts. A name after a value begins
// the next header.
int HttpResponse::onHeaderField(std::string_view part) {
    if (hasHeaderValue_) finishHeader();
    headerField_.append(part);
    return countHeaderBytes(part.size());
}

int HttpResponse::onHeaderValue(std::string_view part) {
    hasHeaderValue_ = true;
    headerValue_.append(part);
    return countHeaderBytes(part.size());
}

// Decides by the Content-Length whether the body is buffered, streamed or refused, before any of it
// is buffered.
int HttpResponse::onHeadersComplete() {
    finishHeader();
    const bool hasLength = parser_.content_length != kUnknownLength;
    if (!hasLength || parser_.content_length <= maxBufferedBody_) return 0;
    if (parser_.content_length > maxBody_ || parser_.status_code != 200) return -1;
    streamedLength_ = parser_.content_length;
    return 0;
}

int HttpResponse::onBody(std::string_view part) {
    // There is one part in each call of `feed`: nothing interrupts the bytes of a body with a
    // Content-Length.
    if (streamedLength_) {
        chunk_ = part;
        return 0;
    }
    body_.append(part);
    return body_.size() > maxBufferedBody_ ? 1 : 0;
}

// The parser counts `content_length` down to what is left of the body, or of a chunk.
std::size_t HttpResponse::expectedBytes() const {
    const bool isInBufferedBody = !body_.empty() && !streamedLength_;
    const bool hasLength = parser_.content_length != kUnknownLength;
    return bufferedBytes() + (isInBufferedBody && hasLength ? parser_.content_length : 0);
}

int HttpResponse::onMessageComplete() {
    // The final response follows an interim one (1xx). After 101 another protocol would follow,
    // which is an error.
    if (parser_.status_code / 100 == 1) {
        wasNotExecuted_ = false;
        if (parser_.status_code == 101) return 1;
        ++interimResponses_;
        return interimResponses_ <= kMaxInterimResponses ? 0 : 1;
    }
    isComplete_ = true;
    isKeepAlive_ = http_should_keep_alive(&parser_) != 0;
    http_parser_pause(&parser_, 1);  // bytes that follow belong to no request
    return 0;
}

void HttpResponse::clear() {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    headerBytes_ = 0;
    interimResponses_ = 0;
    listAgeMs_ = 0;
    streamedLength_ = 0;
    // The strings are replaced rather than cleared, to release their memory: each idle connection has
    // one of these objects.
    headerField_ = std::string();
    headerValue_ = std::string();
    body_ = std::string();
    hasHeaderValue_ = false;
    wasNotExecuted_ = false;
    isKeepAlive_ = false;
    isComplete_ = false;
}

void HttpResponse::finishHeader() {
    if (strcasecmp(headerField_.c_str(), kRejectedHeader) == 0 && headerValue_ == "1") wasNotExecuted_ = true;
    if (strcasecmp(headerField_.c_str(), kListAgeHeader) == 0) {
        const std::int64_t age = parse<std::int64_t>(headerValue_).value_or(0);
        listAgeMs_ = std::clamp<std::int64_t>(age, 0, kMaxListAgeMs);
    }
    headerField_.clear();
    headerValue_.clear();
    hasHeaderValue_ = false;
}

HttpResponse::State HttpResponse::feed(std::string_view bytes) {
    chunk_ = {};
    const std::size_t parsed = http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
    if (isComplete_) {
        // Bytes that follow belong to no request: the response is valid, but the connection can't
        // be reused.
        if (parsed < bytes.size()) isKeepAlive_ = false;
        return State::complete;
    }
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK ? State::more : State::malformed;
}

HttpResponse::State HttpResponse::end() {
    http_parser_execute(&parser_, &callbacks_, nullptr, 0);
    return isComplete_ ? State::complete : State::malformed;
}

}  // namespace poppyscale::protocol
