#include "endpoint_distributor/reader_server.hpp"

#include <algorithm>
#include <utility>

namespace poppyscale::endpoint_distributor {

using endpoint_distribution::ReaderId;

ReaderServer::ReaderServer(transport::EventLoop& loop, transport::BufferPool& pool,
                           std::size_t maxConnections, std::function<std::string()> status)
    : loop_(loop), pool_(pool), maxConnections_(maxConnections), status_(std::move(status)) {}

std::string ReaderServer::listen(const transport::Address& address) {
    listener_ = std::make_unique<transport::Listener>(
        loop_, [this](const auto& accept) { acceptConnection(accept); });
    return listener_->listen(address);
}

// Beyond `maxConnections_` a connection is accepted and closed, so that it does not stay in the
// kernel's queue.
void ReaderServer::acceptConnection(const std::function<bool(transport::Connection&)>& accept) {
    ++lastId_;
    const ReaderId id = lastId_;
    Owner& self = *this;
    auto connection = std::make_unique<ReaderConnection>(loop_, pool_, self, id);
    const bool hasCapacity = connections_.size() < maxConnections_;
    const bool isStarted = connection->start(accept);
    if (!isStarted || !hasCapacity) return;
    connections_[id] = std::move(connection);
    distributor_->onReaderConnected(transport::EventLoop::now(), id);
}

std::size_t ReaderServer::respond(ReaderId id, const endpoint_distribution::ListResponse& response) {
    const auto found = connections_.find(id);
    return found == connections_.end() ? 0 : found->second->respond(response);
}

void ReaderServer::close(ReaderId id) { connections_.erase(id); }

void ReaderServer::handlePending() {
    std::vector<ReaderId> pendingReaders;
    pendingReaders.swap(pendingReaders_);
    for (const ReaderId id : pendingReaders) {
        const auto found = connections_.find(id);
        if (found == connections_.end()) continue;
        const bool isUsable = found->second->handlePending();
        if (!isUsable) onConnectionClosed(id);
    }
}

bool ReaderServer::isAllSent() const {
    return std::all_of(connections_.begin(), connections_.end(),
                       [](const auto& entry) { return entry.second->unsent() == 0; });
}

// ---- ReaderConnection::Owner

void ReaderServer::onRequest(ReaderId id, const endpoint_distribution::ReaderRequest& request) {
    distributor_->onReaderPoll(transport::EventLoop::now(), id, request);
}

void ReaderServer::onBytesSent(ReaderId id, std::size_t unsent) {
    distributor_->onReaderBytesSent(transport::EventLoop::now(), id, unsent);
}

void ReaderServer::onConnectionClosed(ReaderId id) {
    connections_.erase(id);
    distributor_->onReaderClosed(transport::EventLoop::now(), id);
}

void ReaderServer::schedulePending(ReaderId id) { pendingReaders_.push_back(id); }

void ReaderServer::countSent(std::size_t bytes) { bytesSent_ += bytes; }

std::string ReaderServer::statusJson() const { return status_(); }

}  // namespace poppyscale::endpoint_distributor
