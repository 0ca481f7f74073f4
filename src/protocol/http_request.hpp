// HTTP/1.1 requests without a body, as servers of endpoint lists and status get them.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poppyscale::protocol {

// Parses one request at a time; `clear` makes it ready for the next one. A request with a body is malformed.
class HttpRequest {
  public:
    HttpRequest();
    HttpRequest(const HttpRequest&) = delete;
    HttpRequest& operator=(const HttpRequest&) = delete;

    enum class State : std::uint8_t { more, complete, malformed };
    // Takes from the front of `bytes` up to the end of one request at most.
    State feed(std::string_view& bytes);
    void clear();

    // Valid after `complete`.
    bool isGet() const { return parser_.method == HTTP_GET; }
    // Without the query.
    std::string_view path() const;
    // The value of a query parameter, as it was sent; empty without one.
    std::string_view query(std::string_view name) const;
    // Another request may follow on the connection.
    bool isKeepAlive() const { return isKeepAlive_; }

  private:
    static HttpRequest& of(http_parser* parser) { return *static_cast<HttpRequest*>(parser->data); }
    // Other results than 0 end the parser.
    int countBytes(std::size_t bytes);

    http_parser_settings callbacks_{};
    http_parser parser_{};
    std::string target_;
    std::size_t bytes_ = 0;  // of the target and the headers
    bool isComplete_ = false;
    bool isKeepAlive_ = false;
};

}  // namespace poppyscale::protocol
