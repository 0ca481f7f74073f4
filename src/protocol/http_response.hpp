// HTTP/1.1 responses, as the origin, discovery and distributors send them.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poppyscale::protocol {

// Parses one response at a time; `clear` makes it ready for the next one. Buffers the body, or streams a long
// one of status 200 that names its length.
class HttpResponse {
  public:
    // A body longer than `maxBody` bytes makes a response malformed.
    explicit HttpResponse(std::size_t maxBody) : HttpResponse(maxBody, maxBody) {}
    // A body that names a length over `maxBufferedBody` is streamed; one over `maxBody`, or over the first
    // without a length, makes the response malformed.
    HttpResponse(std::size_t maxBufferedBody, std::size_t maxBody);
    HttpResponse(const HttpResponse&) = delete;
    HttpResponse& operator=(const HttpResponse&) = delete;

    enum class State : std::uint8_t { more, complete, malformed };
    State feed(std::string_view bytes);
    // The connection has ended, which also ends a body without a length.
    State end();
    void clear();

    // Valid after `complete`.
    int status() const { return static_cast<int>(parser_.status_code); }
    // Another request may be sent on the connection.
    bool isKeepAlive() const { return isKeepAlive_; }
    // The origin's `X-Rejected: 1`: the request was not executed.
    bool wasNotExecuted() const { return wasNotExecuted_; }
    // The age of an endpoint list by a distributor's `X-List-Age-Ms`; 0 without that header.
    std::int64_t listAgeMs() const { return listAgeMs_; }
    // Of a streamed body; 0 for a buffered one.
    std::size_t streamedLength() const { return streamedLength_; }
    // The part of a streamed body in the last call of `feed`; valid until the next one, or empty.
    std::string_view chunk() const { return chunk_; }
    // Buffered; the caller may take it.
    std::string& body() { return body_; }
    std::size_t bufferedBytes() const { return headerBytes_ + body_.size(); }

  private:
    static HttpResponse& of(http_parser* parser) { return *static_cast<HttpResponse*>(parser->data); }
    // Callbacks of the parser: other results than 0 end it.
    int onHeaderField(std::string_view part);
    int onHeaderValue(std::string_view part);
    int onHeadersComplete();
    int onBody(std::string_view part);
    int onMessageComplete();
    int countHeaderBytes(std::size_t bytes);
    void finishHeader();

    http_parser_settings callbacks_{};
    http_parser parser_{};
    const std::size_t maxBufferedBody_;
    const std::size_t maxBody_;
    std::size_t streamedLength_ = 0;
    std::string_view chunk_;
    std::size_t headerBytes_ = 0;
    std::string headerField_;
    std::string headerValue_;
    std::string body_;
    bool hasHeaderValue_ = false;
    int interimResponses_ = 0;  // of status 1xx, ahead of the final one
    bool wasNotExecuted_ = false;
    std::int64_t listAgeMs_ = 0;
    bool isKeepAlive_ = false;
    bool isComplete_ = false;
};

}  // namespace poppyscale::protocol
