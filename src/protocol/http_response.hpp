// HTTP/1.1 responses, as the origin, discovery and distributors send them.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poppyscale::protocol {

// Parses one response at a time; `clear` makes it ready for the next one. Buffers the body, or
// streams a long one if the status is 200 and there is a Content-Length.
class HttpResponse {
  public:
    // A body longer than `maxBody` bytes makes a response malformed.
    explicit HttpResponse(std::size_t maxBody) : HttpResponse(maxBody, maxBody) {}
    // A body of status 200 is streamed if its Content-Length is over `maxBufferedBody` and at most
    // `maxBody`. Any other body longer than `maxBufferedBody` makes the response malformed.
    HttpResponse(std::size_t maxBufferedBody, std::size_t maxBody);
    HttpResponse(const HttpResponse&) = delete;
    HttpResponse& operator=(const HttpResponse&) = delete;

    enum class State : std::uint8_t { more, complete, malformed };
    // Parses all of `bytes`. Those after the end of the response are ignored, but make `isKeepAlive`
    // false.
    State feed(std::string_view bytes);
    // To be called when the connection has ended, which also ends a body without a Content-Length.
    State end();
    void clear();

    // Valid after `complete`.
    int status() const { return static_cast<int>(parser_.status_code); }
    // Whether another request may be sent on the connection.
    bool isKeepAlive() const { return isKeepAlive_; }
    // Whether the origin sent `X-Rejected: 1`, which says that it did not execute the request.
    bool wasNotExecuted() const { return wasNotExecuted_; }
    // The age of an endpoint list from a distributor's header `X-List-Age-Ms`; 0 without that
    // header.
    std::int64_t listAgeMs() const { return listAgeMs_; }
    // The length of a streamed body; 0 for a buffered one.
    std::size_t streamedLength() const { return streamedLength_; }
    // The part of a streamed body in the last call of `feed`, which may be empty; valid until the
    // next call.
    std::string_view chunk() const { return chunk_; }
    // The buffered body, which the caller may move out.
    std::string& body() { return body_; }
    std::size_t bufferedBytes() const { return headerBytes_ + body_.size(); }
    // These and the rest of the body that is being buffered, if its length is known.
    std::size_t expectedBytes() const;

  private:
    static HttpResponse& of(http_parser* parser) { return *static_cast<HttpResponse*>(parser->data); }
    // Callbacks of the parser: a result other than 0 stops it with an error.
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
    int interimResponses_ = 0;  // responses of status 1xx before the final one
    bool wasNotExecuted_ = false;
    std::int64_t listAgeMs_ = 0;
    bool isKeepAlive_ = false;
    bool isComplete_ = false;
};

}  // namespace poppyscale::protocol
