#include "testbed/drivers/live/http_request.hpp"

#include <fmt/format.h>
#include <strings.h>

namespace poppyscale::testbed {
namespace {

constexpr std::size_t kLongest = 256 * 1024;  // of a call with its body

}  // namespace

HttpRequestParser::HttpRequestParser() {
    http_parser_settings_init(&calls_);
    calls_.on_url = [](http_parser* p, const char* at, std::size_t size) {
        of(p).path_.append(at, size);
        return (of(p).size_ += size) > kLongest ? 1 : 0;
    };
    calls_.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
        if (of(p).valueSeen_) of(p).headerDone();
        of(p).field_.append(at, size);
        return (of(p).size_ += size) > kLongest ? 1 : 0;
    };
    calls_.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
        of(p).valueSeen_ = true;
        of(p).value_.append(at, size);
        return (of(p).size_ += size) > kLongest ? 1 : 0;
    };
    calls_.on_headers_complete = [](http_parser* p) {
        of(p).headerDone();
        return 0;
    };
    calls_.on_body = [](http_parser* p, const char*, std::size_t size) {
        return (of(p).size_ += size) > kLongest ? 1 : 0;
    };
    calls_.on_message_complete = [](http_parser* p) {
        of(p).whole_ = true;
        http_parser_pause(p, 1);  // what follows is another call's
        return 0;
    };
    clear();
}

void HttpRequestParser::clear() {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    for (auto* text : {&path_, &field_, &value_, &id_, &info_}) text->clear();
    size_ = 0;
    valueSeen_ = whole_ = false;
}

void HttpRequestParser::headerDone() {
    if (strcasecmp(field_.c_str(), "X-Call-Id") == 0) id_ = value_;
    if (strcasecmp(field_.c_str(), "X-Call-Info") == 0) info_ = value_;
    field_.clear();
    value_.clear();
    valueSeen_ = false;
}

HttpRequestParser::State HttpRequestParser::feed(std::string_view& bytes) {
    const std::size_t parsed = http_parser_execute(&parser_, &calls_, bytes.data(), bytes.size());
    bytes.remove_prefix(std::min(parsed, bytes.size()));
    if (whole_) return State::complete;
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK ? State::more : State::malformed;
}

std::string_view HttpRequestParser::query(std::string_view name) const {
    std::string_view rest = path_;
    const auto mark = rest.find('?');
    rest.remove_prefix(mark == std::string_view::npos ? rest.size() : mark + 1);
    while (!rest.empty()) {
        const auto item = rest.substr(0, rest.find('&'));
        if (item.starts_with(name) && item.size() > name.size() && item[name.size()] == '=')
            return item.substr(name.size() + 1);
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
    }
    return {};
}

std::string httpAnswer(int status, std::string_view extra, std::string_view body) {
    return fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\n\r\n{}", status,
                       status == 200 ? "OK" : "No", extra, body.size(), body);
}

}  // namespace poppyscale::testbed
