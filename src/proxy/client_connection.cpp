#include "proxy/client_connection.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "protocol/client_response.hpp"

namespace poppyscale::proxy {
namespace {

constexpr Nanos kLingerDuration = 1'000 * kMillisecond;
constexpr std::size_t kMaxPipelinedRequests = 128;
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;  // no more requests are read beyond this
constexpr std::size_t kMaxReadPerIteration = 32 * 1024;
constexpr std::size_t kMaxIgnoredBytes = 64 * 1024;  // read after a connection began to end

// Within which a client completes a request that it has begun, and sends its first one.
constexpr Nanos kRequestReadTimeout = 2'500 * kMillisecond;
// A streamed value extends that while bytes arrive at least this often, and at this rate overall: otherwise a
// few bytes a second would hold a connection for good.
constexpr Nanos kBodyIdleTimeout = 2'000 * kMillisecond;
constexpr Nanos kMaxNanosPerBodyByte = 1'000'000'000 / (32 * 1024);
// For which a client may leave a streamed response unread, which occupies a connection to a server.
constexpr Nanos kMaxStreamUnreadDuration = 10'000 * kMillisecond;

// Longer bulk strings than the first are streamed: the last argument of a write, up to 4 MiB.
constexpr protocol::RespDecoder::Limits kRequestLimits{.maxBulkLength = 64 * 1024,
                                                       .maxItems = 16,
                                                       .maxDepth = 1,
                                                       .maxValueSize = 80 * 1024,
                                                       .commandsOnly = true,
                                                       .maxStreamedLength = 4 * 1024 * 1024,
                                                       .streamedItem = 4};

std::string encode(const FinalResponse& response) {
    switch (response.kind) {
        case FinalResponse::Kind::succeeded:
            return protocol::valueResponse(response.value);
        case FinalResponse::Kind::rejected:
            return protocol::rejectedResponse(response.retryAfter);
        case FinalResponse::Kind::failed:
            break;
    }
    return protocol::failedResponse();
}

}  // namespace

ClientConnection::ClientConnection(Owner& owner, RequestDispatcher& dispatcher, transport::EventLoop& loop,
                                   transport::BufferPool& buffers)
    : owner_(owner),
      dispatcher_(dispatcher),
      loop_(loop),
      connection_(loop, buffers, *this),
      timer_(loop, [this] { onTimer(); }),
      decoder_(kRequestLimits),
      write_(*this) {}

ClientConnection::~ClientConnection() {
    owner_.onDestroyed(*this);
    write_.abandon();
    pipeline_.cancelAll([this](PendingRequest& request) { dispatcher_.onClientDisconnected(request); });
}

void ClientConnection::start() {
    const Nanos now = transport::EventLoop::now();
    lastActivity_ = now;
    requestBegunAt_ = now;
    flush();
}

void ClientConnection::continueReading() {
    if (unparsed_.empty() || write_.isActive()) return flush();
    const std::string unparsed = std::exchange(unparsed_, {});
    parse(unparsed, transport::EventLoop::now());
}

bool ClientConnection::hasDisconnectedUnread() const {
    return !isReading_ && pipeline_.hasPendingRequest() && connection_.hasPeerClosed();
}

// ---- Requests

void ClientConnection::onData(std::string_view bytes) {
    if (state_ != State::open) {
        // Read on only to see the connection end; a client that goes on sending waits until that is due.
        ignoredBytes_ += bytes.size();
        if (ignoredBytes_ > kMaxIgnoredBytes) connection_.setReading(false);
        return;
    }
    lastReadAt_ = transport::EventLoop::now();
    if (readIteration_ != owner_.iteration()) readInIteration_ = 0;
    readIteration_ = owner_.iteration();
    readInIteration_ += bytes.size();
    markActive();
    const Nanos arrivedAt = loop_.earliestArrival();
    liveness_.onRead(bytes.size(), arrivedAt);
    parse(bytes, arrivedAt);
}

void ClientConnection::parse(std::string_view bytes, Nanos arrivedAt) {
    if (!decoder_.isInValue() && requestBegunAt_ == 0) requestBegunAt_ = transport::EventLoop::now();
    using DecoderState = protocol::RespDecoder::State;
    DecoderState state = DecoderState::complete;
    while (state != DecoderState::more && state_ == State::open && !write_.holdsBackInput()) {
        state = decoder_.feed(bytes);
        onDecoded(state, arrivedAt);
        if (state == DecoderState::complete) requestBegunAt_ = lastActivity_;
    }
    unparsed_ = bytes;
    if (state_ != State::open) abandonStreamedWrite();
    reportPartialRequest();
    if (!decoder_.isInValue() || state_ != State::open) requestBegunAt_ = 0;
    flush();
}

void ClientConnection::onDecoded(protocol::RespDecoder::State state, Nanos arrivedAt) {
    switch (state) {
        case protocol::RespDecoder::State::more:
            return;
        case protocol::RespDecoder::State::malformed:
            return replyAndClose(protocol::protocolErrorResponse(decoder_.problem()));
        case protocol::RespDecoder::State::streamBegins:
            return onStreamedWriteHead(arrivedAt);
        case protocol::RespDecoder::State::streamChunk:
            return write_.onBytes(decoder_.chunk());
        case protocol::RespDecoder::State::complete:
            if (write_.isActive()) return write_.onAllRead();
            return onMessage(decoder_.takeValue(), arrivedAt);
    }
}

void ClientConnection::onMessage(protocol::RespValue message, Nanos arrivedAt) {
    auto parsed = protocol::readRequest(std::move(message));
    if (const auto* control = std::get_if<protocol::ControlCommand>(&parsed)) {
        if (control->isPing && owner_.isStandby()) return reply(protocol::standbyResponse());
        if (!protocol::isErrorResponse(control->response)) markUseful();
        if (control->closesConnection) return replyAndClose(control->response);
        return reply(control->response);
    }
    PipelinedRequest& slot = pipeline_.add(*this);
    dispatch(slot, std::move(std::get<protocol::Request>(parsed)), arrivedAt, nullptr);
}

void ClientConnection::onStreamedWriteHead(Nanos arrivedAt) {
    auto parsed = protocol::readRequestHead(decoder_.itemsBeforeStream(), decoder_.streamedLength());
    if (const auto* control = std::get_if<protocol::ControlCommand>(&parsed))
        return replyAndClose(control->response);
    PipelinedRequest& slot = pipeline_.add(*this);
    write_.begin(slot, decoder_.streamedLength());
    dispatch(slot, std::move(std::get<protocol::Request>(parsed)), arrivedAt, &write_);
}

// Of a write that is not accepted the value is read to its end all the same: the response comes behind it.
void ClientConnection::dispatch(PipelinedRequest& slot, protocol::Request request, Nanos arrivedAt,
                                RequestBody* body) {
    if (!owner_.acceptsRequests(request.timeout)) return respond(slot, protocol::rejectedResponse());
    const auto accepted = dispatcher_.accept(slot, std::move(request), arrivedAt, body);
    slot.setPending(accepted.request);
    if (body && accepted.request) write_.accept();
    if (!accepted.problem) markUseful();
    if (accepted.request) return;
    // Over its limits the router has not executed the request, so that a retry is harmless; an invalid one
    // would be as invalid the next time.
    if (accepted.problem)
        respond(slot, protocol::problemResponse(*accepted.problem));
    else
        respond(slot, protocol::rejectedResponse());
}

void ClientConnection::markUseful() {
    if (isUseful_) return;
    isUseful_ = true;
    owner_.onUseful();
}

void ClientConnection::markActive() {
    lastActivity_ = transport::EventLoop::now();
    owner_.onActive(*this);
}

void ClientConnection::reportPartialRequest() {
    std::size_t bytes = 0;
    if (state_ == State::open) {
        if (decoder_.isInValue()) bytes += decoder_.bufferedBytes();
        bytes += write_.bufferedBytes();
        bytes += unparsed_.size();
    }
    owner_.updatePartialRequestBytes(reportedPartialBytes_, bytes);
    reportedPartialBytes_ = bytes;
}

// ---- A write that is being streamed

void ClientConnection::onStreamedWriteProgress() {
    reportPartialRequest();
    updateReading();
    updateTimer();
}

void ClientConnection::onStreamedWriteFinished() {
    if (!unparsed_.empty()) owner_.deferReading(*this);
}

// Nothing more is read of it, and the error that ends the connection is its response.
void ClientConnection::abandonStreamedWrite() {
    PipelinedRequest* const request = write_.request();
    write_.abandon();
    if (!request) return;
    if (request->pending()) dispatcher_.onClientDisconnected(*request->pending());
    pipeline_.remove(*request);
    reportUnsent();
}

// ---- Responses

// Asks the kernel, unless the connection was known to be open a moment ago.
bool ClientConnection::isClientConnected() {
    const Nanos now = transport::EventLoop::now();
    if (liveness_.isKnownOpen(now)) return true;
    if (connection_.hasPeerClosed()) {
        owner_.onDisconnected(*this);
        return false;
    }
    liveness_.onFoundOpen(now);
    return true;
}

void ClientConnection::onCompleted(PipelinedRequest& request, FinalResponse response) {
    respond(request, encode(response));
    markActive();
    if (write_.request() == &request) write_.discardAndFinish();
    flush();
}

void ClientConnection::onStreamBegins(PipelinedRequest& request, std::size_t length) {
    respond(request, protocol::streamedValueHead(length));
}

FlowControl ClientConnection::onStreamChunk(PipelinedRequest& request, std::string_view bytes) {
    // Taken away meanwhile: if this removes the connection, the source learns it from what is returned.
    BodySource* const source = request.takeSource();
    const bool isLast = request.countStreamed(bytes.size());
    markActive();
    // First what is ahead of it, its own head included.
    if (pipeline_.isFront(request) && !request.unsent().empty()) {
        const Existence existence = tryFlush();
        if (existence == Existence::destroyed) return FlowControl::closed;
    }
    if (pipeline_.isFront(request) && request.unsent().empty()) {
        if (!connection_.write(bytes)) {
            owner_.remove(*this);
            return FlowControl::closed;
        }
    } else {
        append(request, bytes);
    }
    if (isLast) append(request, protocol::kBulkTerminator);
    const Existence existence = tryFlush();
    if (existence == Existence::destroyed) return FlowControl::closed;
    if (isLast) return FlowControl::ready;
    const bool isFull = connection_.unsentBytes() > 0 || !pipeline_.isFront(request);
    request.restoreSource(source, isFull);
    return isFull ? FlowControl::full : FlowControl::ready;
}

void ClientConnection::respond(PipelinedRequest& request, std::string_view text) {
    pipeline_.respond(request, text);
    reportUnsent();
}

void ClientConnection::append(PipelinedRequest& request, std::string_view text) {
    pipeline_.append(request, text);
    reportUnsent();
}

void ClientConnection::reportUnsent() {
    owner_.updateUnsentBytes(reportedUnsentBytes_, pipeline_.unsentBytes());
    reportedUnsentBytes_ = pipeline_.unsentBytes();
}

void ClientConnection::reply(std::string_view text) { respond(pipeline_.add(*this), text); }

void ClientConnection::replyAndClose(std::string_view text) {
    PipelinedRequest& slot = pipeline_.add(*this);
    respond(slot, text);
    slot.setClosesConnection();
    state_ = State::closing;
}

ClientConnection::Existence ClientConnection::tryFlush() {
    if (!owner_.relieveMemory(*this)) return Existence::destroyed;
    const RequestPipeline::Output output = pipeline_.takeOutput(write_.request());
    if (!output.bytes.empty()) {
        reportUnsent();
        lastResponseAt_ = transport::EventLoop::now();
        if (!connection_.write(output.bytes)) {
            owner_.remove(*this);
            return Existence::destroyed;
        }
    }
    if (output.closesConnection) linger();
    if (state_ == State::lingering) return Existence::exists;
    if (connection_.unsentBytes() == 0) pipeline_.resumeFront();
    updateReading();
    updateTimer();
    return Existence::exists;
}

// Closed at once, unread bytes would reset the connection under the last response.
void ClientConnection::linger() {
    connection_.shutdownWrite();
    state_ = State::lingering;
    connection_.setReading(true);
    timer_.start(transport::EventLoop::now() + kLingerDuration);
}

// ---- Reading and time

void ClientConnection::updateReading() {
    // Nothing is read behind a response that is being streamed: its abort would lose those requests too.
    const bool shouldRead = state_ == State::open && pipeline_.size() < kMaxPipelinedRequests &&
                            connection_.unsentBytes() < kMaxUnsentBytes && !write_.isBlocked() &&
                            !pipeline_.isStreaming() && unparsed_.empty();
    // That it was not read is not the client's delay.
    if (shouldRead && !isReading_ && requestBegunAt_) {
        lastReadAt_ = transport::EventLoop::now();
        requestBegunAt_ = lastReadAt_;
    }
    isReading_ = shouldRead;
    // Each has a share of an iteration: a client that sends at full speed would keep the others waiting.
    const bool isShareUsed = readIteration_ == owner_.iteration() && readInIteration_ >= kMaxReadPerIteration;
    const bool isDeferred = shouldRead && isShareUsed;
    if (isDeferred) owner_.deferReading(*this);
    const bool reads = shouldRead && !isDeferred;
    if (!reads) liveness_.onReadingStopped();
    connection_.setReading(reads);
}

// Set to when the client must have done its part: completed a request that it has begun, sent its first one,
// or read some of its responses.
void ClientConnection::updateTimer() {
    const bool hasUnsent = connection_.unsentBytes() > 0;
    if (!hasUnsent || connection_.sentBytes() != sentBytesAtLastCheck_)
        unreadSince_ = transport::EventLoop::now();
    sentBytesAtLastCheck_ = connection_.sentBytes();
    if (requestBegunAt_ && isReading_) return timer_.start(requestReadDeadline());
    if (!hasUnsent) return timer_.stop();
    Nanos maxUnreadDuration = owner_.maxRequestTimeout();
    if (pipeline_.isStreaming()) maxUnreadDuration = std::min(maxUnreadDuration, kMaxStreamUnreadDuration);
    timer_.start(unreadSince_ + maxUnreadDuration);
}

Nanos ClientConnection::requestReadDeadline() const {
    const Nanos deadline = requestBegunAt_ + kRequestReadTimeout;
    if (!decoder_.isInStreamedItem()) return deadline;
    const std::size_t length = std::max(decoder_.streamedLength(), kRequestLimits.maxBulkLength);
    const Nanos maxExtension = static_cast<Nanos>(length) * kMaxNanosPerBodyByte;
    return std::clamp(lastReadAt_ + kBodyIdleTimeout, deadline, deadline + maxExtension);
}

void ClientConnection::onTimer() {
    if (state_ == State::lingering) return owner_.remove(*this);
    if (!requestBegunAt_ || !isReading_) {
        // A client that reads slowly is not removed while something moves.
        const bool isMoving =
            connection_.unsentBytes() > 0 && connection_.sentBytes() != sentBytesAtLastCheck_;
        if (isMoving) return updateTimer();
        return owner_.remove(*this);
    }
    if (!decoder_.isInValue()) return owner_.remove(*this);
    replyAndClose(protocol::requestTimeoutResponse());
    abandonStreamedWrite();
    flush();
}

}  // namespace poppyscale::proxy
