#include "proxy/client_connection.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "protocol/client_response.hpp"

namespace poppyscale::proxy {
namespace {

constexpr std::size_t kMaxPipelinedRequests = 128;
// No requests are read while this many bytes are unsent.
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;
constexpr std::size_t kMaxReadPerIteration = 32 * 1024;
constexpr std::size_t kMaxIgnoredBytes = 64 * 1024;  // read from a connection that is closing

// A client must complete a request that it has begun, and send its first one, within this time.
constexpr Nanos kRequestReadTimeout = 2'500 * kMillisecond;
// While a streamed value arrives, that timeout is extended as long as its bytes are no further
// apart than `kBodyIdleTimeout`, by at most the time that the whole value takes at 32 KiB/s.
// Without the second limit, a few bytes a second could occupy a connection indefinitely.
constexpr Nanos kBodyIdleTimeout = 2'000 * kMillisecond;
constexpr Nanos kMaxNanosPerBodyByte = 1'000'000'000 / (32 * 1024);
// How often it is checked whether a client still sends whose request waits for memory.
constexpr Nanos kReservationCheckInterval = 50 * kMillisecond;
// How long a client may leave a streamed response unread, since that occupies an upstream
// connection.
constexpr Nanos kMaxStreamUnreadDuration = 10'000 * kMillisecond;

// The value of a write, its last argument, is streamed if it is longer than `maxBulkLength`. Nothing of a
// command that has further arguments is forwarded.
constexpr protocol::RespDecoder::Limits kRequestLimits{.maxBulkLength = 64 * 1024,
                                                       .maxItems = 16,
                                                       .maxDepth = 1,
                                                       .maxValueSize = 80 * 1024,
                                                       .commandsOnly = true,
                                                       .maxStreamedLength = 4 * 1024 * 1024,
                                                       .streamedItem = 4,
                                                       .streamsLastItemOnly = true};

}  // namespace

ClientConnection::ClientConnection(Owner& owner, RequestDispatcher& dispatcher, transport::EventLoop& loop,
                                   transport::BufferPool& buffers)
    : owner_(owner),
      dispatcher_(dispatcher),
      loop_(loop),
      connection_(loop, buffers, *this),
      timer_(loop, [this] { onTimer(); }),
      collectTimer_(loop, [this] { onCollectTimeout(); }),
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
    if (holdsInput() && lacksResponseCapacity()) awaitMemory();
    if (unparsed_.isEmpty() || holdsBackInput()) return flush();
    const std::string_view held = unparsed_.view();
    const std::string_view rest = parse(held, unparsed_.arrivedAt());
    unparsed_.consume(held.size() - rest.size());
    afterParsing();
}

void ClientConnection::awaitMemory() {
    if (isAwaitingMemory_) return;
    isAwaitingMemory_ = true;
    owner_.awaitMemory(*this);
}

void ClientConnection::onMemoryReleased() {
    isAwaitingMemory_ = false;
    owner_.deferReading(*this);
}

bool ClientConnection::hasDisconnectedUnread() const {
    return !isReadingAllowed_ && pipeline_.hasPendingRequest() && connection_.hasPeerClosed();
}

// ---- Requests

void ClientConnection::onData(std::string_view bytes) {
    if (state_ != State::open) {
        // Input is read only to notice that the client closes the connection. A client that sends
        // more than `kMaxIgnoredBytes` is not read any further.
        ignoredBytes_ += bytes.size();
        if (ignoredBytes_ > kMaxIgnoredBytes) connection_.setReading(false);
        return;
    }
    const Nanos now = transport::EventLoop::now();
    const Nanos idleTime = now - lastReadAt_;
    // What the kernel had before reading resumed has arrived earlier.
    const bool isNew = unreadAtLastCheck_ == 0;
    unreadAtLastCheck_ -= std::min(unreadAtLastCheck_, bytes.size());
    if (isNew) lastReadAt_ = now;
    if (readIteration_ != owner_.iteration()) readInIteration_ = 0;
    readIteration_ = owner_.iteration();
    readInIteration_ += bytes.size();
    markActive();
    const Nanos arrivedAt = loop_.earliestArrival();
    const bool hadReadAll = liveness_.onRead(bytes.size(), arrivedAt);
    if (hadReadAll) write_.onArrival(arrivedAt, idleTime);
    const std::string_view rest = unparsed_.isEmpty() ? parse(bytes, arrivedAt) : bytes;
    unparsed_.append(rest, arrivedAt);
    afterParsing();
}

std::string_view ClientConnection::parse(std::string_view bytes, Nanos arrivedAt) {
    if (!decoder_.isInValue()) requestBegunAt_ = transport::EventLoop::now();
    using DecoderState = protocol::RespDecoder::State;
    DecoderState state = DecoderState::complete;
    while (state != DecoderState::more && state_ == State::open && !holdsBackInput()) {
        state = decoder_.feed(bytes);
        onDecoded(state, arrivedAt);
        if (state == DecoderState::complete) requestBegunAt_ = lastActivity_;
    }
    return bytes;
}

void ClientConnection::afterParsing() {
    if (state_ != State::open) {
        unparsed_.clear();
        abandonStreamedWrite();
    }
    if (holdsInput() && !write_.isActive()) awaitMemory();
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
        if (!protocol::isErrorResponse(control->response)) markValidRequestSent();
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
    write_.begin(slot, decoder_.streamedLength(), arrivedAt);
    dispatch(slot, std::move(std::get<protocol::Request>(parsed)), arrivedAt, &write_);
}

// The value of a write that is not accepted is still read to its end, since the response to the
// write is sent only after that.
void ClientConnection::dispatch(PipelinedRequest& slot, protocol::Request request, Nanos arrivedAt,
                                RequestBody* body) {
    slot.setDeadline(arrivedAt + request.timeout);
    const bool isBehindAnother = !pipeline_.isFront(slot) || unsentBytes() > 0;
    const bool hasCapacity = !isBehindAnother || owner_.responseBudget().hasCapacity();
    const bool isShed = !hasCapacity && !owner_.mayHoldInput();
    if (isShed || !owner_.acceptsRequests(request.timeout))
        return respond(slot, protocol::rejectedResponse());
    const auto accepted = dispatcher_.accept(slot, std::move(request), arrivedAt, body);
    slot.setPending(accepted.request);
    reportUsage();
    if (body && accepted.request) write_.accept();
    if (!accepted.problem) markValidRequestSent();
    if (accepted.request) return;
    // A request that exceeds the router's limits was not executed, so that a retry is harmless. A
    // retry of an invalid request would be just as invalid.
    if (accepted.problem)
        respond(slot, protocol::problemResponse(*accepted.problem));
    else
        respond(slot, protocol::rejectedResponse());
}

void ClientConnection::markValidRequestSent() {
    if (hasSentValidRequest_) return;
    hasSentValidRequest_ = true;
    owner_.onFirstValidRequest();
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
    updateReservation();
}

void ClientConnection::updateReservation() {
    const std::size_t wanted = wantedReservation();
    RequestBudget& budget = owner_.requestBudget();
    if (wanted <= reservedRequestBytes_) {
        if (isAwaitingReservation()) budget.cancel(*this);
        awaitedReservation_ = 0;
        budget.release(reservedRequestBytes_ - wanted);
        reservedRequestBytes_ = wanted;
        return;
    }
    if (isAwaitingReservation()) return;
    const std::size_t missing = wanted - reservedRequestBytes_;
    if (budget.tryReserve(missing)) {
        reservedRequestBytes_ = wanted;
        return;
    }
    awaitedReservation_ = missing;
    budget.await(*this, missing);
    lastUnreadArrivalAt_ = transport::EventLoop::now();
    unreadAtLastCheck_ = 0;
    checkUnread();
}

// Before the last item the length of the request is not known, so the longest one is reserved: a reservation
// that grew while others wait could wait for them.
std::size_t ClientConnection::wantedReservation() const {
    const bool isIncomplete = state_ == State::open && decoder_.isInValue() && !write_.isActive();
    if (!isIncomplete || decoder_.expectedBytes() <= RequestBudget::kUnreservedBytes) return 0;
    return decoder_.isInLastItem() ? decoder_.expectedBytes() : kRequestLimits.maxValueSize;
}

void ClientConnection::onReservationGranted() {
    reservedRequestBytes_ += std::exchange(awaitedReservation_, 0);
    owner_.deferReading(*this);
}

// The rest of a request fits in the kernel's receive buffer, so a client that is not read can send all of it.
void ClientConnection::checkUnread() {
    const Nanos now = transport::EventLoop::now();
    const std::size_t missing = decoder_.expectedBytes() - decoder_.bufferedBytes();
    const std::size_t unread = connection_.unreadBytes();
    const bool isComplete = unread + unparsed_.size() >= missing;
    if (isComplete || unread > unreadAtLastCheck_) lastUnreadArrivalAt_ = now;
    unreadAtLastCheck_ = unread;
    reservationCheckAt_ = now + kReservationCheckInterval;
    const bool isGranted =
        isComplete && owner_.requestBudget().tryReserveComplete(*this, awaitedReservation_);
    if (isGranted) onReservationGranted();
}

// ---- A write that is being streamed

void ClientConnection::onStreamedWriteProgress() {
    reportPartialRequest();
    updateReading();
    updateTimer();
}

void ClientConnection::onStreamedWriteFinished() {
    if (!unparsed_.isEmpty()) owner_.deferReading(*this);
}

// Ends the write without reading the rest of its value. The error that closes the connection takes
// the place of its response.
void ClientConnection::abandonStreamedWrite() {
    PipelinedRequest* const request = write_.request();
    write_.abandon();
    if (!request) return;
    if (request->pending()) dispatcher_.onClientDisconnected(*request->pending());
    pipeline_.remove(*request);
    reportUsage();
}

void ClientConnection::rejectIncompleteRequest() {
    if (!hasOutstandingResponses()) return owner_.remove(*this);
    replyAndClose(protocol::protocolErrorResponse("no memory is left for incomplete commands"));
    abandonStreamedWrite();
    unparsed_.clear();
    reportPartialRequest();
    owner_.deferReading(*this);
}

// ---- Reading and time

// Bytes of responses that wait because the client does not read.
std::size_t ClientConnection::unreadBytes() const {
    const std::size_t unsent = unsentBytes();
    return unsent == 0 ? 0 : unsent + pipeline_.waitingBytes() + pipeline_.collectedBytes();
}

bool ClientConnection::lacksResponseCapacity() const {
    const bool isBetweenRequests = !decoder_.isInValue() && !write_.isActive();
    return isBetweenRequests && hasResponsesAhead() && !owner_.responseBudget().hasCapacity() &&
           owner_.mayHoldInput();
}

// Requests that are not accepted any more are answered at once, however many there are.
bool ClientConnection::isPipelineFull() const {
    if (!owner_.acceptsRequests(0)) return false;
    return pipeline_.size() >= kMaxPipelinedRequests || unreadBytes() >= kMaxUnsentBytes;
}

bool ClientConnection::mayRead() const {
    return !isPipelineFull() && !write_.isBlocked() && unparsed_.isEmpty() && !isAwaitingReservation();
}

// The end of the stream is behind the bytes before it, and stays on the client's machine if these exceed the
// receive window. So they are read while an attempt may still start for the client.
bool ClientConnection::mayReadAhead() const {
    return pipeline_.hasPendingRequest() && owner_.mayReadAhead() && !write_.hasSink();
}

void ClientConnection::updateReading() {
    // Nothing is read while a response is being streamed: if it is aborted, the connection is
    // closed, and requests that were read meanwhile would be lost.
    const bool isReadable = state_ == State::open && !pipeline_.isStreaming();
    const bool isAllowed = isReadable && mayRead();
    const bool isReadAhead = isReadable && !isAllowed && mayReadAhead();
    // The time during which the connection was not read does not count against the client, unless it has sent
    // nothing meanwhile.
    if (isAllowed && !isReadingAllowed_ && requestBegunAt_) {
        lastReadAt_ = lastUnreadArrivalAt_ ? lastUnreadArrivalAt_ : transport::EventLoop::now();
        requestBegunAt_ = lastReadAt_;
    }
    if (isAllowed) lastUnreadArrivalAt_ = 0;
    isReadingAllowed_ = isAllowed;
    // Each connection has a share of an iteration, so that a client that sends at full speed does
    // not delay the others.
    const bool isShareUsed = readIteration_ == owner_.iteration() && readInIteration_ >= kMaxReadPerIteration;
    const bool isDeferred = (isAllowed || isReadAhead) && isShareUsed;
    if (isDeferred) owner_.deferReading(*this);
    const bool isReading = (isAllowed || isReadAhead) && !isDeferred;
    if (!isReading) liveness_.onReadingStopped();
    if (!isReading && write_.isBlocked()) write_.onReadingStopped();
    connection_.setReading(isReading);
}

// Sets the timer to the time by which the client must complete a request that it has begun, send
// its first request, or read some of its responses.
void ClientConnection::updateTimer() {
    const bool hasUnsent = unsentBytes() > 0;
    updateUnreadSince();
    if (isAwaitingReservation()) return timer_.start(reservationCheckAt_);
    if (requestBegunAt_ && isReadingAllowed_) return timer_.start(requestReadDeadline());
    if (!hasUnsent) return timer_.stop();
    Nanos maxUnreadDuration = owner_.maxUnreadDuration();
    if (pipeline_.isStreaming()) maxUnreadDuration = std::min(maxUnreadDuration, kMaxStreamUnreadDuration);
    timer_.start(unreadSince_ + maxUnreadDuration);
}

// What the client has read is what its system has acknowledged: the kernel takes more only when a good part
// of its buffer is free, and a client that reads slowly may take seconds for that part.
void ClientConnection::updateUnreadSince() {
    const std::uint64_t acknowledgedBytes = connection_.acknowledgedBytes();
    const bool hasProgressed = acknowledgedBytes != acknowledgedBytesAtLastCheck_;
    if (unsentBytes() == 0 || hasProgressed) unreadSince_ = transport::EventLoop::now();
    acknowledgedBytesAtLastCheck_ = acknowledgedBytes;
}

bool ClientConnection::hasStalled(Nanos duration) {
    updateUnreadSince();
    return unreadSince_ + duration <= transport::EventLoop::now();
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
    if (isAwaitingReservation()) return onReservationCheck();
    if (!requestBegunAt_ || !isReadingAllowed_) {
        // A client that reads slowly is not removed as long as it has read something since the last
        // check.
        const Nanos unreadSince = unreadSince_;
        updateUnreadSince();
        const bool hasProgressed = unsentBytes() > 0 && unreadSince_ != unreadSince;
        if (hasProgressed) return updateTimer();
        return owner_.remove(*this);
    }
    if (!decoder_.isInValue()) return owner_.remove(*this);
    endIncompleteRequest();
}

void ClientConnection::onReservationCheck() {
    checkUnread();
    const bool hasStopped = lastUnreadArrivalAt_ + kRequestReadTimeout <= transport::EventLoop::now();
    if (isAwaitingReservation() && hasStopped) return endIncompleteRequest();
    updateTimer();
}

void ClientConnection::endIncompleteRequest() {
    replyAndClose(protocol::requestTimeoutResponse());
    abandonStreamedWrite();
    unparsed_.clear();
    reportPartialRequest();
    flush();
}

}  // namespace poppyscale::proxy
