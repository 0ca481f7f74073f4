#include "endpoint_distributor/reader_connection.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "protocol/number.hpp"

namespace poppyscale::endpoint_distributor {
namespace {

using endpoint_distribution::ReaderId;
using endpoint_distribution::SharedBytes;

constexpr std::size_t kMaxPendingBytes = 16 * 1024;  // limit for unparsed bytes behind an open request
constexpr std::size_t kChunkBytes = 32 * 1024;       // most bytes passed to the connection at a time

const char* reasonPhrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        default:
            return "Service Unavailable";
    }
}

}  // namespace

ReaderConnection::ReaderConnection(transport::EventLoop& loop, transport::BufferPool& pool, Owner& owner,
                                   ReaderId id)
    : owner_(owner), id_(id), connection_(loop, pool, *this) {}

bool ReaderConnection::start(const std::function<bool(transport::Connection&)>& accept) {
    if (!accept(connection_)) return false;
    connection_.setReading(true);
    return true;
}

bool ReaderConnection::handlePending() { return !isBroken_ && readRequests(); }

void ReaderConnection::onData(std::string_view bytes) {
    pending_.append(bytes);
    if (!readRequests()) onClosed();
}

void ReaderConnection::onClosed() { owner_.onConnectionClosed(id_); }

void ReaderConnection::onDrained() {
    writeOutgoing();
    owner_.onBytesSent(id_, unsent());
}

// ---- requests

// Returns false if the connection has to be closed.
bool ReaderConnection::readRequests() {
    while (!pending_.empty() && !isAwaitingResponse_ && !closesWhenSent_) {
        std::string_view rest = pending_;
        const auto state = request_.feed(rest);
        pending_.erase(0, pending_.size() - rest.size());
        if (state == protocol::HttpRequest::State::malformed) return false;
        if (state == protocol::HttpRequest::State::more) return true;
        handleRequest();
        request_.clear();
    }
    return pending_.size() <= kMaxPendingBytes && !isBroken_;
}

void ReaderConnection::handleRequest() {
    closesWhenSent_ = !request_.isKeepAlive();
    if (request_.isGet() && request_.path() == "/api/targets") return handleListRequest();
    if (request_.isGet() && request_.path() == "/status")
        return send(200, "", std::make_shared<const std::string>(owner_.statusJson()));
    sendError(404, "{\"error\":\"not found\"}");
}

void ReaderConnection::handleListRequest() {
    endpoint_distribution::ReaderRequest listRequest;
    const auto after = request_.query("after");
    if (!after.empty()) {
        listRequest.after = protocol::parse<endpoint_distribution::Version>(after);
        if (!listRequest.after)
            return sendError(400, "{\"error\":\"query parameter 'after' is not a version\"}");
    }
    constexpr std::int64_t kMaxWaitMs = endpoint_distribution::kMaxReaderWait / kMillisecond;
    const auto waitMs = protocol::parse<std::int64_t>(request_.query("wait_ms")).value_or(0);
    listRequest.wait = std::clamp<std::int64_t>(waitMs, 0, kMaxWaitMs) * kMillisecond;
    isAwaitingResponse_ = true;
    owner_.onRequest(id_, listRequest);
}

// ---- responses

std::size_t ReaderConnection::respond(const endpoint_distribution::ListResponse& response) {
    isAwaitingResponse_ = false;
    closesWhenSent_ = closesWhenSent_ || response.closesConnection;
    std::string headers = fmt::format("X-List-Age-Ms: {}\r\n", response.listAgeMs);
    if (response.retryAfterSeconds > 0)
        headers += fmt::format("Retry-After: {}\r\n", response.retryAfterSeconds);
    send(response.status, headers, response.body);
    if (!pending_.empty()) owner_.schedulePending(id_);
    return unsent();
}

void ReaderConnection::sendError(int status, std::string_view body) {
    send(status, "", std::make_shared<const std::string>(body));
}

void ReaderConnection::send(int status, std::string_view extraHeaders, SharedBytes body) {
    std::string head = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}{}\r\n", status,
        reasonPhrase(status), body->size(), extraHeaders, closesWhenSent_ ? "Connection: close\r\n" : "");
    // Copying a small body behind the head is cheaper than another system call.
    const bool isSmall = body->size() <= kChunkBytes;
    if (isSmall) head += *body;
    outgoingBytes_ += head.size();
    outgoing_.push_back(std::make_shared<const std::string>(std::move(head)));
    if (!isSmall) {
        outgoingBytes_ += body->size();
        outgoing_.push_back(std::move(body));
    }
    writeOutgoing();
}

void ReaderConnection::writeOutgoing() {
    while (!outgoing_.empty() && connection_.unsentBytes() == 0 && !isBroken_) {
        const std::string& first = *outgoing_.front();
        const auto chunk = std::string_view(first).substr(sentOfFirst_, kChunkBytes);
        isBroken_ = !connection_.write(chunk);
        sentOfFirst_ += chunk.size();
        outgoingBytes_ -= chunk.size();
        owner_.countSent(chunk.size());
        if (sentOfFirst_ < first.size()) continue;
        outgoing_.pop_front();
        sentOfFirst_ = 0;
    }
    if (isBroken_) return owner_.schedulePending(id_);
    if (!closesWhenSent_ || isWriteShutDown_ || unsent() > 0) return;
    isWriteShutDown_ = true;
    connection_.shutdownWrite();
}

std::size_t ReaderConnection::unsent() const { return outgoingBytes_ + connection_.unsentBytes(); }

}  // namespace poppyscale::endpoint_distributor
