#include "testbed/drivers/live/http_request.hpp"

#include <fmt/format.h>
#include <strings.h>

namespace poppyscale::testbed {
namespace {

constexpr std::size_t kMaxRequestBytes = 256 * 1024;  // path, headers and body together

}  // namespace

HttpRequestParser::HttpRequestParser() {
    http_parser_settings_init(&callbacks_);
    callbacks_.on_url = [](http_parser* p, const char* at, std::size_t size) {
        of(p).path_.append(at, size);
        return (of(p).receivedBytes_ += size) > kMaxRequestBytes ? 1 : 0;
    };
    callbacks_.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
        if (of(p).hasHeaderValue_) of(p).onHeaderComplete();
        of(p).headerName_.append(at, size);
        return (of(p).receivedBytes_ += size) > kMaxRequestBytes ? 1 : 0;
    };
    callbacks_.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
        of(p).hasHeaderValue_ = true;
        of(p).headerValue_.append(at, size);
        return (of(p).receivedBytes_ += size) > kMaxRequestBytes ? 1 : 0;
    };
    callbacks_.on_headers_complete = [](http_parser* p) {
        of(p).onHeaderComplete();
        return 0;
    };
    callbacks_.on_body = [](http_parser* p, const char*, std::size_t size) {
        return (of(p).receivedBytes_ += size) > kMaxRequestBytes ? 1 : 0;
    };
    callbacks_.on_message_complete = [](http_parser* p) {
        of(p).isComplete_ = true;
        http_parser_pause(p, 1);  // the bytes that follow belong to the next request
        return 0;
    };
    clear();
}

void HttpRequestParser::clear() {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    for (auto* text : {&path_, &headerName_, &headerValue_, &requestId_, &infoList_}) text->clear();
    receivedBytes_ = 0;
    hasHeaderValue_ = isComplete_ = false;
}

void HttpRequestParser::onHeaderComplete() {
    if (strcasecmp(headerName_.c_str(), "X-Call-Id") == 0) requestId_ = headerValue_;
    if (strcasecmp(headerName_.c_str(), "X-Call-Info") == 0) infoList_ = headerValue_;
    headerName_.clear();
    headerValue_.clear();
    hasHeaderValue_ = false;
}

HttpRequestParser::State HttpRequestParser::feed(std::string_view& bytes) {
    const std::size_t parsed = http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
    bytes.remove_prefix(std::min(parsed, bytes.size()));
    if (isComplete_) return State::complete;
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK ? State::more : State::malformed;
}

std::string_view HttpRequestParser::queryParameter(std::string_view name) const {
    std::string_view rest = path_;
    const auto queryStart = rest.find('?');
    rest.remove_prefix(queryStart == std::string_view::npos ? rest.size() : queryStart + 1);
    while (!rest.empty()) {
        const auto item = rest.substr(0, rest.find('&'));
        if (item.starts_with(name) && item.size() > name.size() && item[name.size()] == '=')
            return item.substr(name.size() + 1);
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
    }
    return {};
}

std::string httpResponse(int status, std::string_view extra, std::string_view body) {
    return fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\n\r\n{}", status,
                       status == 200 ? "OK" : "No", extra, body.size(), body);
}

}  // namespace poppyscale::testbed
