#include "protocol/http_request.hpp"

#include <algorithm>

namespace poppyscale::protocol {
namespace {

constexpr std::size_t kMaxRequestBytes = 16 * 1024;  // target and headers together

}  // namespace

HttpRequest::HttpRequest() {
    http_parser_settings_init(&callbacks_);
    callbacks_.on_url = [](http_parser* parser, const char* at, std::size_t size) {
        of(parser).target_.append(at, size);
        return of(parser).countBytes(size);
    };
    const auto countHeader = [](http_parser* parser, const char*, std::size_t size) {
        return of(parser).countBytes(size);
    };
    callbacks_.on_header_field = countHeader;
    callbacks_.on_header_value = countHeader;
    callbacks_.on_body = [](http_parser*, const char*, std::size_t) { return 1; };
    callbacks_.on_message_complete = [](http_parser* parser) {
        of(parser).isComplete_ = true;
        of(parser).isKeepAlive_ = http_should_keep_alive(parser) != 0;
        http_parser_pause(parser, 1);  // the bytes that follow are another request
        return 0;
    };
    clear();
}

int HttpRequest::countBytes(std::size_t bytes) {
    bytes_ += bytes;
    return bytes_ > kMaxRequestBytes ? 1 : 0;
}

void HttpRequest::clear() {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    target_.clear();
    bytes_ = 0;
    isComplete_ = false;
    isKeepAlive_ = false;
}

HttpRequest::State HttpRequest::feed(std::string_view& bytes) {
    const std::size_t parsed = http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
    bytes.remove_prefix(std::min(parsed, bytes.size()));
    if (isComplete_) return State::complete;
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK ? State::more : State::malformed;
}

std::string_view HttpRequest::path() const {
    const std::string_view target = target_;
    return target.substr(0, target.find('?'));
}

std::string_view HttpRequest::query(std::string_view name) const {
    std::string_view rest = target_;
    const auto questionMark = rest.find('?');
    rest.remove_prefix(questionMark == std::string_view::npos ? rest.size() : questionMark + 1);
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, rest.find('&'));
        const bool isNamed = item.size() > name.size() && item.starts_with(name) && item[name.size()] == '=';
        if (isNamed) return item.substr(name.size() + 1);
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
    }
    return {};
}

}  // namespace poppyscale::protocol
