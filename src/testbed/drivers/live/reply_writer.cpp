#include "testbed/drivers/live/reply_writer.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>

#include "protocol/resp.hpp"
#include "testbed/drivers/live/http_request.hpp"

namespace poppyscale::testbed {
namespace {

constexpr Nanos kPartInterval = 20 * kMillisecond;  // between the parts of a slow reply
constexpr Nanos kSecond = 1'000 * kMillisecond;
// Missing at the end of a reply that stops before it.
constexpr std::size_t kMissingEndBytes = 2;

std::string originText(const Reply& reply) {
    switch (reply.kind) {
        case Reply::Kind::value:
            return httpResponse(200, "", reply.token);
        case Reply::Kind::error:
        case Reply::Kind::miss:
            return httpResponse(500, "", "");
        case Reply::Kind::busy:
            return httpResponse(503, "X-Rejected: 1\r\n", "");
        case Reply::Kind::malformed:
            break;
    }
    return "HTTQ/9.9 ???\r\n\r\n";
}

std::string cacheText(const Reply& reply) {
    switch (reply.kind) {
        case Reply::Kind::value:
            return "*3\r\n" + protocol::bulk(reply.token) + protocol::bulk("hit") + "$-1\r\n";
        case Reply::Kind::miss:
            return "*3\r\n$-1\r\n" + protocol::bulk("miss") + "$-1\r\n";
        case Reply::Kind::error:
            return "-ERR failed\r\n";
        case Reply::Kind::busy:
            return "-BUSY\r\n";
        case Reply::Kind::malformed:
            break;
    }
    return "$x9\r\n\x01\x02*\r\n";
}

}  // namespace

void ReplyWriter::write(const Reply& reply) {
    const ReplyDelivery& delivery = reply.delivery;
    if (!delivery.isSlow() && !delivery.isStopped()) {
        connection_.write(isOrigin_ ? originText(reply) : cacheText(reply));
        return;
    }
    const std::string head = splitReply(reply);
    if (delivery.isStopped()) return writeStopped(head);
    connection_.write(head);
    partTimer_.start(transport::EventLoop::now() + delivery.pause);
}

std::string ReplyWriter::splitReply(const Reply& reply) {
    std::string value = reply.token;
    value.resize(std::max(value.size(), reply.delivery.length), kFiller);
    reply_ = reply;
    sentBytes_ = 0;
    valueLength_ = value.size();
    if (isOrigin_) {
        rest_ = std::move(value);
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", valueLength_);
    }
    rest_ = value + "\r\n" + protocol::bulk("hit") + "$-1\r\n";
    return "*3\r\n" + protocol::bulkHead(valueLength_);
}

void ReplyWriter::writeStopped(const std::string& head) {
    const std::string_view rest = rest_;
    switch (reply_.delivery.stop) {
        case StopPoint::never:
            break;
        case StopPoint::inHead:
            connection_.write(std::string_view(head).substr(0, head.size() / 2));
            break;
        case StopPoint::afterHead:
            connection_.write(head);
            break;
        case StopPoint::inValue:
            connection_.write(head);
            connection_.write(rest.substr(0, valueLength_ / 2));
            break;
        case StopPoint::beforeEnd:
            connection_.write(head);
            connection_.write(rest.substr(0, rest.size() - kMissingEndBytes));
            break;
    }
}

void ReplyWriter::sendPart() {
    const auto part = static_cast<std::size_t>(static_cast<Nanos>(reply_.delivery.bytesPerSecond) *
                                               kPartInterval / kSecond);
    const std::string_view bytes = std::string_view(rest_).substr(sentBytes_, part);
    sentBytes_ += bytes.size();
    connection_.write(bytes);
    if (sentBytes_ < rest_.size())
        partTimer_.start(transport::EventLoop::now() + kPartInterval);
    else
        rest_.clear();
}

}  // namespace poppyscale::testbed
