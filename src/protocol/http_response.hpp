// HTTP/1.1 answers, as the origin and discovery give them.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace poppyscale::protocol {

class HttpResponse {
  public:
    explicit HttpResponse(std::size_t longestBody) : HttpResponse(longestBody, longestBody) {}
    // A good answer that names a length over `longestKept` gives its body in pieces; one over `longestBody`,
    // or over the first without a length, is broken.
    HttpResponse(std::size_t longestKept, std::size_t longestBody);
    HttpResponse(const HttpResponse&) = delete;
    HttpResponse& operator=(const HttpResponse&) = delete;

    enum class State : std::uint8_t { more, complete, malformed };
    State feed(std::string_view bytes);
    State end();  // the connection ended, which also ends a body without a length
    void clear();

    int status() const { return static_cast<int>(parser_.status_code); }
    bool isKeepAlive() const { return keepsOpen_; }
    bool wasNotExecuted() const { return neverRan_; }
    // Of a list, as a distributor tells it in `X-List-Age-Ms`; 0 where nothing is told.
    std::int64_t listAgeMs() const { return listAgeMs_; }
    std::size_t streamedLength() const { return longLength_; }  // 0 for one that is kept
    std::string_view chunk() const { return piece_; }           // until the next call of `feed`
    std::string& body() { return body_; }
    std::size_t bufferedBytes() const { return headers_ + body_.size(); }

  private:
    static HttpResponse& of(http_parser* parser) { return *static_cast<HttpResponse*>(parser->data); }
    void headerDone();

    http_parser_settings calls_{};
    http_parser parser_{};
    std::size_t longestKept_;
    std::size_t longestBody_;
    std::size_t longLength_ = 0;
    std::string_view piece_;
    std::size_t headers_ = 0;
    std::string field_;
    std::string value_;
    std::string body_;
    bool valueSeen_ = false;
    int interim_ = 0;  // answers of the kind 1xx ahead of the one that counts
    bool neverRan_ = false;
    std::int64_t listAgeMs_ = 0;
    bool keepsOpen_ = false;
    bool whole_ = false;
};

}  // namespace poppyscale::protocol
