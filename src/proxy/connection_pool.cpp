#include "proxy/connection_pool.hpp"

#include <algorithm>
#include <utility>

#include "protocol/http_response.hpp"
#include "protocol/resp.hpp"

namespace poppyscale::proxy {
namespace {

constexpr std::size_t kLongestKept = 64 * 1024;         // of values that are taken whole and checked
constexpr std::size_t kLongestValue = 4 * 1024 * 1024;  // longer ones come in pieces, up to this
constexpr Nanos kStill = 5'000 * kMillisecond;          // such a one may stand still for
constexpr protocol::RespDecoder::Limits kAnswers{kLongestKept,  16, 3, 2 * kLongestKept, false,
                                                 kLongestValue, 0};

}  // namespace

// One connection, with one relay at a time: answers come in order, so behind a heavy command a second one
// would only wait.
class UpstreamConnection : private transport::Connection::Handler, private BodySource, private BodySink {
  public:
    explicit UpstreamConnection(UpstreamServer& upstream)
        : server_(upstream),
          address_(*upstream.address_),
          connection_(upstream.pool_.loop, upstream.pool_.pool, *this),
          timer_(upstream.pool_.loop,
                 [this] { isConnected_ ? server_.remove(*this) : hasNeverConnected(); }) {
        if (upstream.origin_) http_.emplace(kLongestKept, kLongestValue);
    }
    ~UpstreamConnection() override {
        server_.pool_.bufferedBytes -= bufferedBytes_;
        if (sink_) sink_->onAborted();
        if (body_) body_->cancel();
    }

    bool open() {
        timer_.start(transport::EventLoop::now() + server_.pool_.connectTimeout);
        return connection_.connect(address_);
    }
    bool isConnected() const { return isConnected_; }
    bool isIdle() const { return isConnected_ && !attempt_; }
    bool isFree() const { return !attempt_; }
    bool isQuiet() const { return connection_.isIdle(); }
    Nanos idleSince() const { return idleSince_; }
    // Of an earlier address, or of a cache that is to get nothing new.
    bool isStale() const {
        return !server_.isUsable() || !server_.address_ ||
               !transport::sameAddress(address_, *server_.address_);
    }

    void begin(Attempt& attempt) {
        timer_.stop();
        attempt.timeout.start(attempt.deadline);
        attempt_ = &attempt;
        attempt.connection = this;
        const Nanos timeLeft = attempt.deadline - transport::EventLoop::now();
        // All that is sent comes by here; whatever was decided, nothing may be wrong with it now.
        if (isStale() || timeLeft <= 0)
            server_.pool_.guard.reportViolation(Invariant::sending,
                                                "request " + attempt.message.id + " to " + server_.host_);
        const std::string head = server_.origin_
                                     ? protocol::originRequest(attempt.message, server_.host_, timeLeft)
                                     : protocol::cacheRequest(attempt.message, timeLeft);
        if (!connection_.write(head))
            return onBroken(AttemptOutcome::connectFailed);  // its last byte was not taken
        if (!attempt.body) return;
        body_ = std::exchange(attempt.body, nullptr);
        bodyLeft_ = attempt.message.longLength;
        noteProgress();
        body_->streamTo(*this);
    }
    void hasNeverConnected() { abandon(server_.nextWaiting(), AttemptOutcome::connectFailed); }
    // Whether the command's last byte is with the kernel: before that it can't have run.
    bool isWritten() const { return connection_.unsentBytes() == 0 && bodyLeft_ == 0; }
    Attempt* take() {
        Attempt* const attempt = std::exchange(attempt_, nullptr);
        if (attempt) attempt->connection = nullptr;
        return attempt;
    }

  private:
    void onConnected(bool success) override {
        if (!success) return hasNeverConnected();
        isConnected_ = true;
        server_.lastActivity_ = transport::EventLoop::now();
        // Out since it was asked for, or at another address: not a place to be taken up, nor one to be used.
        if (isStale()) return server_.remove(*this);
        connection_.setReading(true);
        becomeIdle();
    }

    void onData(std::string_view bytes) override {
        server_.lastActivity_ = transport::EventLoop::now();
        if (!attempt_) return server_.remove(*this);  // nobody asked
        if (http_) {
            const auto state = http_->feed(bytes);
            if (!http_->chunk().empty() && !pass(http_->streamedLength(), http_->chunk())) return;
            if (state == protocol::HttpResponse::State::complete)
                return end(readHttp(), http_->isKeepAlive());
            if (state == protocol::HttpResponse::State::malformed) return end({}, false);
        } else {
            using State = protocol::RespDecoder::State;
            auto state = State::streamBegins;
            while (state == State::streamBegins || state == State::streamChunk) {
                state = decoder_.feed(bytes);
                if (state == State::streamChunk && !pass(decoder_.streamedLength(), decoder_.chunk())) return;
            }
            if (state == State::complete)
                return end(protocol::readCacheResponse(decoder_.takeValue()), bytes.empty());
            if (state == State::malformed) return end({}, false);
        }
        // Each has its bound, but all of them together would fill a small machine.
        reserveBytes(http_ ? http_->bufferedBytes() : decoder_.bufferedBytes());
        if (server_.pool_.bufferedBytes > server_.pool_.maxBufferedBytes) end({}, false);
    }

    void onClosed() override {
        if (!isConnected_) return hasNeverConnected();
        // An answer that lasts to the end of the connection: cut off, it would pass for a shorter one.
        if (attempt_ && http_ && isWritten() && connection_.hasPeerFinished() &&
            http_->end() == protocol::HttpResponse::State::complete)
            return end(readHttp(), false);
        onBroken(isWritten() ? AttemptOutcome::connectionLost : AttemptOutcome::connectFailed);
    }

    // A piece of a long answer. False when this link is gone.
    bool pass(std::size_t length, std::string_view bytes) {
        if (attempt_->firstByteAt == 0) {
            left_ = length;
            sink_ = server_.pool_.handler.onStreamBegins(*attempt_, length, *this);
        }
        left_ -= bytes.size();
        const FlowControl room = sink_ ? sink_->onChunk(bytes) : FlowControl::closed;
        if (room == FlowControl::closed) {
            sink_ = nullptr;
            end({AttemptOutcome::succeeded, {}, false}, false);
            return false;
        }
        if (left_ == 0) sink_ = nullptr;
        noteProgress();
        if (room == FlowControl::full && sink_) {
            // Who reads slowly is the client; how long is its front's to say.
            connection_.setReading(false);
            attempt_->timeout.stop();
        }
        return true;
    }
    void resume() override {
        connection_.setReading(true);
        noteProgress();
    }
    void cancel() override {
        sink_ = nullptr;
        onBroken(AttemptOutcome::succeeded);
    }

    // A piece of what is written.
    FlowControl onChunk(std::string_view bytes) override {
        bodyLeft_ -= bytes.size();
        const bool last = bodyLeft_ == 0;
        if (!connection_.write(bytes) || (last && !http_ && !connection_.write(protocol::kValueTerminator))) {
            body_ = nullptr;
            onBroken(AttemptOutcome::connectFailed);
            return FlowControl::closed;
        }
        noteProgress();
        if (!last) return connection_.unsentBytes() > 0 ? FlowControl::full : FlowControl::ready;
        // Its time, and the origin's, count from its last byte.
        body_ = nullptr;
        attempt_->sentAt = transport::EventLoop::now();
        attempt_->timeout.start(attempt_->sentAt + attempt_->message.timeout);
        return FlowControl::ready;
    }
    void onAborted() override {
        body_ = nullptr;
        onBroken(AttemptOutcome::notSent);  // by its client, of which the cache knows nothing
    }
    void onDrained() override {
        if (body_) body_->resume();
    }
    void noteProgress() { attempt_->timeout.start(transport::EventLoop::now() + kStill); }

    void onBroken(AttemptOutcome ending) { abandon(take(), ending); }

    // The relay is taken first: a waiting one would have another connection opened for it.
    void abandon(Attempt* attempt, AttemptOutcome ending) {
        UpstreamServer& upstream = server_;
        upstream.remove(*this);
        if (attempt) upstream.pool_.handler.onAttemptEnded(*attempt, {ending, {}});
    }

    void end(protocol::AttemptResponse outcome, bool keep) {
        UpstreamServer& upstream = server_;
        // An answer before the command was whole: what of it was read is not known.
        keep = keep && outcome.isWellFormed && isWritten() && !isStale();
        Attempt* const attempt = take();
        if (http_) http_->clear();
        reserveBytes(0);
        left_ = 0;
        if (keep)
            becomeIdle();
        else
            upstream.remove(*this);
        upstream.pool_.handler.onAttemptEnded(*attempt, std::move(outcome));
    }

    void becomeIdle() {
        idleSince_ = transport::EventLoop::now();
        timer_.start(idleSince_ + server_.pool_.idleTimeout);
        server_.pool_.hasCapacityFreed = true;
    }

    void reserveBytes(std::size_t bytes) {
        server_.pool_.bufferedBytes += bytes - bufferedBytes_;
        bufferedBytes_ = bytes;
    }

    protocol::AttemptResponse readHttp() {
        const int status = http_->status();
        if (status == 200) return {AttemptOutcome::succeeded, std::move(http_->body()), true};
        const bool neverRan = (status == 503 || status == 504) && http_->wasNotExecuted();
        return {neverRan ? AttemptOutcome::overloaded : AttemptOutcome::failed, {}, status >= 500};
    }

    UpstreamServer& server_;
    transport::Address address_;
    transport::Connection connection_;
    transport::Timer timer_;  // to be up by then; later, to have idled long enough
    protocol::RespDecoder decoder_{kAnswers};
    std::optional<protocol::HttpResponse> http_;
    Attempt* attempt_ = nullptr;
    BodySink* sink_ = nullptr;     // of an answer that comes in pieces, until it has all of them
    std::size_t left_ = 0;         // of that answer
    RequestBody* body_ = nullptr;  // of a write that comes in pieces, until all of it did
    std::size_t bodyLeft_ = 0;
    Nanos idleSince_ = 0;
    std::size_t bufferedBytes_ = 0;  // bytes of an answer that is not whole yet
    bool isConnected_ = false;
};

Attempt::Attempt(transport::EventLoop& loop, const protocol::Request& said, UpstreamServer& to)
    : message(said), server(to), timeout(loop, [this] { this->server.abandon(*this); }) {}

void ConnectionPool::trim() {
    while (connectionCount > maxConnections && closeLongestIdle()) {
    }
}

bool ConnectionPool::ensureCapacity() { return connectionCount < maxConnections || closeLongestIdle(); }

bool ConnectionPool::closeLongestIdle() {
    UpstreamServer* oldest = nullptr;
    for (UpstreamServer* u : servers)
        if (u->maxIdleTime() > 0 && (!oldest || u->maxIdleTime() < oldest->maxIdleTime())) oldest = u;
    if (!oldest) return false;
    const auto it =
        std::min_element(oldest->connections_.begin(), oldest->connections_.end(), [](auto& a, auto& b) {
            return std::pair(!a->isIdle(), a->idleSince()) < std::pair(!b->isIdle(), b->idleSince());
        });
    std::swap(*it, oldest->connections_.back());
    oldest->connections_.pop_back();
    --connectionCount;
    return true;
}

void ConnectionPool::serveWaiting() {
    hasCapacityFreed = false;
    // What ends at once is only noted, so none of them goes while this looks at it.
    for (UpstreamServer* u : servers)
        if (!u->waiting_.empty()) u->serveWaiting();
}

UpstreamServer::UpstreamServer(ConnectionPool& links, bool origin) : pool_(links), origin_(origin) {
    pool_.servers.push_back(this);
}

UpstreamServer::~UpstreamServer() {
    pool_.connectionCount -= connections_.size();
    std::erase(pool_.servers, this);
}

void UpstreamServer::updateEndpoint(EndpointState presence, const std::optional<transport::Address>& address,
                                    const std::string& host) {
    state_ = presence;
    address_ = address;
    host_ = host;
    closeIdle();
}

void UpstreamServer::setEjected(bool on) {
    isEjected_ = on;
    closeIdle();
}

void UpstreamServer::closeIdle() {
    std::vector<UpstreamConnection*> stale;
    for (auto& link : connections_)
        if (link->isFree() && link->isStale()) stale.push_back(link.get());
    for (UpstreamConnection* link : stale) remove(*link);
    if (isUsable()) return;
    // What still waits for a connection would go out to a cache that is to get nothing new.
    while (Attempt* const attempt = nextWaiting())
        pool_.handler.onAttemptEnded(*attempt, {AttemptOutcome::notSent, {}});
}

// Connections on their way that no relay waits for, the youngest first.
void UpstreamServer::closeSurplus() {
    for (auto left = connectingCount(); left > waiting_.size(); --left)
        remove(**std::find_if(connections_.rbegin(), connections_.rend(), [](auto& l) { return !l->isConnected(); }));
}

std::size_t UpstreamServer::connectingCount() const {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [](auto& l) { return !l->isConnected(); }));
}

void UpstreamServer::send(Attempt& attempt) {
    if (isEjected_) {
        pool_.guard.recordBlocked(BlockedAction::serverUnavailable);
        return pool_.handler.onAttemptEnded(attempt, {AttemptOutcome::notSent, {}});
    }
    if (!address_) return pool_.handler.onAttemptEnded(attempt, {AttemptOutcome::connectFailed, {}});
    attempt.timeout.start(std::min(attempt.deadline, attempt.latestStart));
    waiting_.push_back(&attempt);
    ++attemptCount_;
    serveWaiting();
}

// As many connections on their way as relays wait for one; whichever is free first takes the next relay.
void UpstreamServer::serveWaiting() {
    while (!waiting_.empty()) {
        UpstreamConnection* const link = idleConnection();
        if (!link) break;
        // Ended or spoken on since its last answer, and not read yet: a command would be lost on it.
        if (!link->isQuiet()) {
            remove(*link);
            continue;
        }
        Attempt& attempt = *nextWaiting();
        if (const auto why = blockedBy(attempt)) {
            pool_.guard.recordBlocked(*why);
            pool_.handler.onAttemptEnded(attempt, {AttemptOutcome::notSent, {}});
        } else {
            link->begin(attempt);
        }
    }
    for (auto on = connectingCount(); on < waiting_.size() && address_ && pool_.ensureCapacity(); ++on) {
        connections_.push_back(std::make_unique<UpstreamConnection>(*this));
        ++pool_.connectionCount;
        ++pool_.connectionsOpened;
        UpstreamConnection& link = *connections_.back();
        if (!link.open()) return link.hasNeverConnected();
    }
}

std::optional<BlockedAction> UpstreamServer::blockedBy(Attempt& attempt) const {
    const Nanos now = transport::EventLoop::now();
    if (!isUsable()) return BlockedAction::serverUnavailable;
    if (now >= attempt.latestStart || attempt.deadline - now < protocol::kMinForwardedTimeout)
        return BlockedAction::deadlinePassed;
    if (!pool_.handler.isAwaited(attempt)) return BlockedAction::clientDisconnected;
    return std::nullopt;
}

// The one used last, so that the others can reach their idle time.
UpstreamConnection* UpstreamServer::idleConnection() {
    UpstreamConnection* best = nullptr;
    for (auto& link : connections_)
        if (link->isIdle() && (!best || link->idleSince() > best->idleSince())) best = link.get();
    return best;
}

Nanos UpstreamServer::maxIdleTime() const {
    Nanos since = 0;
    for (auto& link : connections_)
        if (link->isIdle() && (since == 0 || link->idleSince() < since)) since = link->idleSince();
    return since;
}

Attempt* UpstreamServer::nextWaiting() {
    if (waiting_.empty()) return nullptr;
    Attempt* const attempt = waiting_.front();
    waiting_.pop_front();
    return attempt;
}

void UpstreamServer::abandon(Attempt& attempt) {
    if (!attempt.connection) {
        std::erase(waiting_, &attempt);
        return pool_.handler.onAttemptEnded(
            attempt, {connectingCount() > 0 ? AttemptOutcome::connectFailed : AttemptOutcome::notSent, {}});
    }
    // Closed before the module hears of it: a next relay must not go while this one is still out.
    AttemptOutcome ending =
        attempt.connection->isWritten() ? AttemptOutcome::timedOut : AttemptOutcome::connectFailed;
    if (attempt.firstByteAt) ending = AttemptOutcome::failed;  // its value stands still
    UpstreamConnection& link = *attempt.connection;
    link.take();
    remove(link);
    // Not a byte came from there while the relay was out: a machine that is cut off leaves its connections
    // open and silent. On a new one that shows as never run, on these as one more relay that may have.
    while (UpstreamConnection* const silent = lastActivity_ < attempt.sentAt ? idleConnection() : nullptr)
        remove(*silent);
    pool_.handler.onAttemptEnded(attempt, {ending, {}});
}

void UpstreamServer::withdraw(Attempt& attempt) {
    if (attempt.connection && attempt.connection->isWritten()) return;
    if (UpstreamConnection* const link = attempt.connection) {
        link->take();
        remove(*link);
    } else {
        std::erase(waiting_, &attempt);
        closeSurplus();
    }
    pool_.handler.onAttemptEnded(attempt, {AttemptOutcome::notSent, {}});
}

void UpstreamServer::remove(UpstreamConnection& link) {
    const auto it =
        std::find_if(connections_.begin(), connections_.end(), [&](auto& l) { return l.get() == &link; });
    const auto gone = std::move(*it);
    connections_.erase(it);
    --pool_.connectionCount;
    pool_.hasCapacityFreed = true;
}

}  // namespace poppyscale::proxy
