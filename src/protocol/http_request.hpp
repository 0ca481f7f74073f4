// HTTP/1.1 requests without a body, as a server of lists and status gets them.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poppyscale::protocol {

class HttpRequest {
  public:
    HttpRequest();
    HttpRequest(const HttpRequest&) = delete;
    HttpRequest& operator=(const HttpRequest&) = delete;

    enum class State : std::uint8_t { more, complete, malformed };
    // Takes from the front of `bytes` up to the end of one request at most.
    State feed(std::string_view& bytes);
    void clear();

    bool isGet() const { return parser_.method == HTTP_GET; }
    std::string_view path() const;
    // A value of the part behind '?'; empty without one.
    std::string_view query(std::string_view name) const;
    bool isKeepAlive() const { return keepsOpen_; }

  private:
    static HttpRequest& of(http_parser* parser) { return *static_cast<HttpRequest*>(parser->data); }
    int count(std::size_t bytes);

    http_parser_settings callbacks_{};
    http_parser parser_{};
    std::string target_;
    std::size_t size_ = 0;
    bool whole_ = false;
    bool keepsOpen_ = false;
};

}  // namespace poppyscale::protocol
