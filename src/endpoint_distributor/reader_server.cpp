#include "endpoint_distributor/reader_server.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "protocol/number.hpp"

namespace poppyscale::endpoint_distributor {
namespace {

using endpoint_distribution::ReaderId;
using endpoint_distribution::SharedBytes;

constexpr std::size_t kMaxPending = 16 * 1024;  // bytes of requests ahead of their turn
constexpr std::size_t kPiece = 32 * 1024;       // of an answer that is handed to the connection at once

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

// ---- ReaderServer

ReaderServer::ReaderServer(transport::EventLoop& loop, transport::BufferPool& pool,
                           std::size_t maxConnections, std::function<std::string()> status)
    : loop_(loop), pool_(pool), maxConnections_(maxConnections), status_(std::move(status)) {}

ReaderServer::~ReaderServer() = default;

std::string ReaderServer::listen(const transport::Address& at) {
    listener_ = std::make_unique<transport::Listener>(loop_, [this](const auto& finish) { admit(finish); });
    return listener_->listen(at);
}

void ReaderServer::admit(const std::function<bool(transport::Connection&)>& finish) {
    const ReaderId id = ++lastId_;
    auto connection = std::make_unique<ReaderConnection>(*this, id);
    const bool hasRoom = connections_.size() < maxConnections_;
    if (!connection->start(finish) || !hasRoom) return;
    connections_[id] = std::move(connection);
    distributor_->onReaderConnected(transport::EventLoop::now(), id);
}

std::size_t ReaderServer::answer(ReaderId id, const endpoint_distribution::ListResponse& answer) {
    const auto found = connections_.find(id);
    return found == connections_.end() ? 0 : found->second->send(answer);
}

void ReaderServer::close(ReaderId id) { connections_.erase(id); }

void ReaderServer::turn() {
    std::vector<ReaderId> ids;
    ids.swap(toVisit_);
    for (const ReaderId id : ids) {
        const auto found = connections_.find(id);
        if (found == connections_.end() || found->second->visit()) continue;
        connections_.erase(found);
        distributor_->onReaderClosed(transport::EventLoop::now(), id);
    }
}

bool ReaderServer::allSent() const {
    return std::all_of(connections_.begin(), connections_.end(),
                       [](const auto& entry) { return entry.second->unsent() == 0; });
}

// ---- ReaderConnection

ReaderConnection::ReaderConnection(ReaderServer& server, ReaderId id)
    : server_(server), id_(id), connection_(server.loop_, server.pool_, *this) {}

bool ReaderConnection::start(const std::function<bool(transport::Connection&)>& finish) {
    if (!finish(connection_)) return false;
    connection_.setReading(true);
    return true;
}

void ReaderConnection::visitLater() { server_.toVisit_.push_back(id_); }

bool ReaderConnection::visit() { return !isBroken_ && readRequests(); }

void ReaderConnection::onData(std::string_view bytes) {
    pending_.append(bytes);
    if (!readRequests()) onClosed();
}

void ReaderConnection::onClosed() {
    ReaderServer& server = server_;
    const ReaderId id = id_;
    server.connections_.erase(id);  // and this with it
    server.distributor_->onReaderClosed(transport::EventLoop::now(), id);
}

// False when the connection is of no further use.
bool ReaderConnection::readRequests() {
    while (!pending_.empty() && !isAsking_ && !closes_) {
        std::string_view rest = pending_;
        const auto state = request_.feed(rest);
        pending_.erase(0, pending_.size() - rest.size());
        if (state == protocol::HttpRequest::State::malformed) return false;
        if (state == protocol::HttpRequest::State::more) return true;
        request();
        request_.clear();
    }
    return pending_.size() <= kMaxPending && !isBroken_;
}

void ReaderConnection::request() {
    closes_ = !request_.isKeepAlive();
    if (!request_.isGet() || (request_.path() != "/api/targets" && request_.path() != "/status"))
        return respond(404, "", std::make_shared<const std::string>("{\"error\":\"not found\"}"));
    if (request_.path() == "/status")
        return respond(200, "", std::make_shared<const std::string>(server_.status_()));
    endpoint_distribution::ReaderRequest asked;
    const auto after = request_.query("after");
    if (!after.empty()) {
        asked.after = protocol::parse<endpoint_distribution::Version>(after);
        if (!asked.after)
            return respond(400, "",
                           std::make_shared<const std::string>("{\"error\":\"after is not a version\"}"));
    }
    const auto waitMs = protocol::parse<std::int64_t>(request_.query("wait_ms")).value_or(0);
    asked.wait = std::clamp<std::int64_t>(waitMs, 0, endpoint_distribution::kMaxReaderWait / kMillisecond) *
                 kMillisecond;
    isAsking_ = true;
    server_.distributor_->onReaderPoll(transport::EventLoop::now(), id_, asked);
}

std::size_t ReaderConnection::send(const endpoint_distribution::ListResponse& answer) {
    isAsking_ = false;
    closes_ = closes_ || answer.close;
    std::string headers = fmt::format("X-List-Age-Ms: {}\r\n", answer.listAgeMs);
    if (answer.retryAfterSeconds > 0) headers += fmt::format("Retry-After: {}\r\n", answer.retryAfterSeconds);
    respond(answer.status, headers, answer.body);
    if (!pending_.empty()) visitLater();
    return unsent();
}

void ReaderConnection::respond(int status, std::string_view extraHeaders, SharedBytes body) {
    std::string head = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}{}\r\n", status,
        reasonPhrase(status), body->size(), extraHeaders, closes_ ? "Connection: close\r\n" : "");
    // In one piece with its body where that costs less than a call to the kernel.
    const bool isSmall = body->size() <= kPiece;
    if (isSmall) head += *body;
    outgoingBytes_ += head.size() + (isSmall ? 0 : body->size());
    outgoing_.push_back(std::make_shared<const std::string>(std::move(head)));
    if (!isSmall) outgoing_.push_back(std::move(body));
    pump();
}

void ReaderConnection::pump() {
    while (!outgoing_.empty() && connection_.unsentBytes() == 0 && !isBroken_) {
        const std::string& first = *outgoing_.front();
        const auto piece = std::string_view(first).substr(sentOfFirst_, kPiece);
        isBroken_ = !connection_.write(piece);
        sentOfFirst_ += piece.size();
        outgoingBytes_ -= piece.size();
        server_.bytesSent_ += piece.size();
        if (sentOfFirst_ < first.size()) continue;
        outgoing_.pop_front();
        sentOfFirst_ = 0;
    }
    if (isBroken_) return visitLater();
    if (!closes_ || isFinishing_ || unsent() > 0) return;
    isFinishing_ = true;
    connection_.shutdownWrite();
}

std::size_t ReaderConnection::unsent() const { return outgoingBytes_ + connection_.unsentBytes(); }

void ReaderConnection::onDrained() {
    pump();
    server_.distributor_->onReaderBytesSent(transport::EventLoop::now(), id_, unsent());
}

}  // namespace poppyscale::endpoint_distributor
