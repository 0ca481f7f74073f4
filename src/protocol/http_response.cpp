#include "protocol/http_response.hpp"

#include <strings.h>

#include <algorithm>

#include "protocol/number.hpp"

namespace poppyscale::protocol {
namespace {

constexpr std::size_t kMostHeaders = 16 * 1024;
constexpr int kMostInterim = 8;
constexpr std::int64_t kMaxListAgeMs = 1'000'000'000;  // in nanoseconds it must not overflow

}  // namespace

HttpResponse::HttpResponse(std::size_t longestKept, std::size_t longestBody)
    : longestKept_(longestKept), longestBody_(longestBody) {
    http_parser_settings_init(&calls_);
    calls_.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
        HttpResponse& a = of(p);
        if (a.valueSeen_) a.headerDone();
        a.field_.append(at, size);
        return (a.headers_ += size) > kMostHeaders ? 1 : 0;
    };
    calls_.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
        HttpResponse& a = of(p);
        a.valueSeen_ = true;
        a.value_.append(at, size);
        return (a.headers_ += size) > kMostHeaders ? 1 : 0;
    };
    calls_.on_headers_complete = [](http_parser* p) {
        HttpResponse& a = of(p);
        a.headerDone();
        // Told by the length it names, before any of it is kept.
        if (p->content_length == ~std::uint64_t{0} || p->content_length <= a.longestKept_) return 0;
        if (p->content_length > a.longestBody_ || p->status_code != 200) return -1;
        a.longLength_ = p->content_length;
        return 0;
    };
    calls_.on_body = [](http_parser* p, const char* at, std::size_t size) {
        HttpResponse& a = of(p);
        // In one stretch: a body with a length has nothing between its bytes.
        if (a.longLength_) return a.piece_ = {at, size}, 0;
        a.body_.append(at, size);
        return a.body_.size() > a.longestKept_ ? 1 : 0;
    };
    calls_.on_message_complete = [](http_parser* p) {
        // Not the answer yet, but for 101, after which something else than HTTP would follow.
        if (p->status_code / 100 == 1) {
            of(p).neverRan_ = false;
            return p->status_code != 101 && ++of(p).interim_ <= kMostInterim ? 0 : 1;
        }
        of(p).whole_ = true;
        of(p).keepsOpen_ = http_should_keep_alive(p) != 0;
        http_parser_pause(p, 1);  // whatever follows was not asked for
        return 0;
    };
    clear();
}

void HttpResponse::clear() {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    headers_ = 0;
    interim_ = 0;
    listAgeMs_ = 0;
    longLength_ = 0;
    // Given back, not only emptied: connections keep one of these each for as long as they idle.
    field_ = value_ = body_ = std::string();
    valueSeen_ = neverRan_ = keepsOpen_ = whole_ = false;
}

void HttpResponse::headerDone() {
    if (strcasecmp(field_.c_str(), "X-Rejected") == 0 && value_ == "1") neverRan_ = true;
    if (strcasecmp(field_.c_str(), "X-List-Age-Ms") == 0)
        listAgeMs_ = std::clamp<std::int64_t>(parse<std::int64_t>(value_).value_or(0), 0, kMaxListAgeMs);
    field_.clear();
    value_.clear();
    valueSeen_ = false;
}

HttpResponse::State HttpResponse::feed(std::string_view bytes) {
    piece_ = {};
    const std::size_t parsed = http_parser_execute(&parser_, &calls_, bytes.data(), bytes.size());
    if (whole_) {
        // What follows is no part of it: served all the same, but nothing more is read of that connection.
        if (parsed < bytes.size()) keepsOpen_ = false;
        return State::complete;
    }
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK ? State::more : State::malformed;
}

HttpResponse::State HttpResponse::end() {
    http_parser_execute(&parser_, &calls_, nullptr, 0);
    return whole_ ? State::complete : State::malformed;
}

}  // namespace poppyscale::protocol
