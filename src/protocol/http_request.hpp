// HTTP/1.1 requests without a body, as the servers of endpoint lists and of status receive them.
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
    // Consumes `bytes` from the front, at most up to the end of one request.
    State feed(std::string_view& bytes);
    void clear();

    // This and the following are valid after `complete`.
    bool isGet() const { return parser_.method == HTTP_GET; }
    // The target without its query.
    std::string_view path() const;
    // The value of a query parameter as it was sent, not decoded; empty if it is missing.
    std::string_view query(std::string_view name) const;
    // Whether another request may follow on the connection.
    bool isKeepAlive() const { return isKeepAlive_; }

  private:
    static HttpRequest& of(http_parser* parser) { return *static_cast<HttpRequest*>(parser->data); }
    // Returns the result of a parser callback: anything but 0 stops the parser with an error.
    int countBytes(std::size_t bytes);

    http_parser_settings callbacks_{};
    http_parser parser_{};
    std::string target_;
    std::size_t bytes_ = 0;  // target and headers so far
    bool isComplete_ = false;
    bool isKeepAlive_ = false;
};

}  // namespace poppyscale::protocol
