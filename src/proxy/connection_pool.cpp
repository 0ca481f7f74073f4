#include "proxy/connection_pool.hpp"

#include "proxy/upstream_connection.hpp"
#include "proxy/upstream_server.hpp"

namespace poppyscale::proxy {

void ConnectionPool::setCapacity(std::size_t maxConnections) {
    limits_.maxConnections = maxConnections;
    while (connectionCount_ > limits_.maxConnections) {
        const bool wasClosed = closeLongestIdle();
        if (!wasClosed) break;
    }
}

bool ConnectionPool::ensureCapacity() {
    if (connectionCount_ < limits_.maxConnections) return true;
    return closeLongestIdle();
}

void ConnectionPool::onConnectionOpened() {
    ++connectionCount_;
    ++connectionsOpened_;
}

bool ConnectionPool::closeLongestIdle() {
    UpstreamServer* oldest = nullptr;
    for (UpstreamServer* server : servers_) {
        const Nanos idleSince = server->oldestIdleSince();
        if (idleSince > 0 && (!oldest || idleSince < oldest->oldestIdleSince())) oldest = server;
    }
    if (!oldest) return false;
    oldest->closeLongestIdle();
    return true;
}

void ConnectionPool::serveWaiting() {
    hasFreedCapacity_ = false;
    // The end of an attempt during this loop only queues an event, so no server is removed meanwhile.
    for (UpstreamServer* server : servers_)
        if (server->hasWaitingAttempts()) server->serveWaiting();
}

void ConnectionPool::admitReaders() {
    while (!awaitingRead_.empty()) {
        UpstreamConnection& connection = *awaitingRead_.front();
        if (!connection.tryRead()) return;
        awaitingRead_.pop_front();
    }
}

}  // namespace poppyscale::proxy
