// HTTP/1.1 calls, as the origin and discovery of the testbed hear them.
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
    // Eats of `bytes` up to the end of one call at most.
    State feed(std::string_view& bytes);
    void clear();

    bool write() const { return parser_.method == HTTP_PUT; }
    const std::string& path() const { return path_; }
    // A value of the part behind '?', "" without one.
    std::string_view query(std::string_view name) const;
    const std::string& id() const { return id_; }
    const std::string& info() const { return info_; }

  private:
    static HttpRequestParser& of(http_parser* parser) {
        return *static_cast<HttpRequestParser*>(parser->data);
    }
    void headerDone();

    http_parser_settings calls_{};
    http_parser parser_{};
    std::string path_, field_, value_, id_, info_;
    std::size_t size_ = 0;
    bool valueSeen_ = false;
    bool whole_ = false;
};

std::string httpAnswer(int status, std::string_view extra, std::string_view body);

}  // namespace poppyscale::testbed
