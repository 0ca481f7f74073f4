// HTTP/1.1 requests to the testbed's origin and discovery, and their responses.
#pragma once

#include <http_parser.h>

#include <string>
#include <string_view>

namespace poppyscale::testbed {

class HttpRequestParser {
  public:
    HttpRequestParser();
    HttpRequestParser(const HttpRequestParser&) = delete;
    HttpRequestParser& operator=(const HttpRequestParser&) = delete;

    enum class State : std::uint8_t { more, complete, malformed };
    // Consumes `bytes` up to the end of one request at most; `bytes` keeps the rest.
    State feed(std::string_view& bytes);
    // Prepares the parser for the next request; required after a complete one.
    void clear();

    bool isWrite() const { return parser_.method == HTTP_PUT; }
    const std::string& path() const { return path_; }
    // The value of a query parameter of the path; "" if it has none of that name.
    std::string_view queryParameter(std::string_view name) const;
    const std::string& requestId() const { return requestId_; }
    const std::string& infoList() const { return infoList_; }

  private:
    static HttpRequestParser& of(http_parser* parser) {
        return *static_cast<HttpRequestParser*>(parser->data);
    }
    void onHeaderComplete();

    http_parser_settings callbacks_{};
    http_parser parser_{};
    std::string path_, headerName_, headerValue_, requestId_, infoList_;
    std::size_t receivedBytes_ = 0;
    bool hasHeaderValue_ = false;
    bool isComplete_ = false;
};

// `extra` holds further header lines, each with its line end.
std::string httpResponse(int status, std::string_view extra, std::string_view body);

}  // namespace poppyscale::testbed
