// The responses of a client's connection: their order, their memory, and streamed values.
#include <algorithm>
#include <utility>

#include "protocol/client_response.hpp"
#include "proxy/client_connection.hpp"

namespace poppyscale::proxy {
namespace {

constexpr Nanos kLingerDuration = 1'000 * kMillisecond;
// Responses are written in parts of about this size.
constexpr std::size_t kMaxWriteBytes = 64 * 1024;
// How long a streamed value waits for memory in which to be collected. Requests behind it wait as well.
constexpr Nanos kMaxMemoryWait = 200 * kMillisecond;
// What a streamed value counts as, when the memory for a response is estimated.
constexpr std::size_t kStreamedResponseBytes = 64 * 1024;

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

// Asks the kernel, unless the connection is known to have been open within the last 20 ms.
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
    owner_.responseBudget().recordResponse(response.value.size());
    respond(request, encode(response));
    markActive();
    if (write_.request() == &request) write_.discardAndFinish();
    flush();
}

void ClientConnection::onStreamBegins(PipelinedRequest& request, std::size_t length) {
    owner_.responseBudget().recordResponse(std::min(length, kStreamedResponseBytes));
    pipeline_.beginStream(request, protocol::streamedValueHead(length));
    reportUsage();
}

FlowControl ClientConnection::onStreamChunk(PipelinedRequest& request, std::string_view bytes) {
    // The source is detached during this call: if the connection or the response is removed, the source
    // must not be cancelled, since it learns of the removal from the returned `FlowControl::closed`.
    BodySource* const source = request.takeSource();
    markActive();
    if (pipeline_.isFront(request))
        decideDelivery(request);
    else
        request.noteBehindAnother();
    if (!request.isStreaming()) {
        flush();
        return FlowControl::closed;
    }
    // Bytes that precede this chunk are written first, including the head of this response.
    if (request.isDirect() && !request.unsent().empty()) {
        const Existence existence = tryFlush();
        if (existence == Existence::destroyed) return FlowControl::closed;
    }
    const bool isWritable = request.isDirect() && request.unsent().empty() && unsentBytes() == 0;
    if (!isWritable) {
        append(request, bytes);
    } else {
        const Existence existence = write(bytes);
        if (existence == Existence::destroyed) return FlowControl::closed;
    }
    const bool isLast = request.countStreamed(bytes.size());
    if (isLast) append(request, protocol::kBulkTerminator);
    const Existence existence = tryFlush();
    if (existence == Existence::destroyed) return FlowControl::closed;
    if (isLast) return FlowControl::ready;
    const bool isFull = !request.isCollected() && (!request.isDirect() || unsentBytes() > 0);
    request.restoreSource(source, isFull);
    // It has become the first one while its source was detached.
    if (request.isUndecided() && pipeline_.isFront(request)) owner_.deferReading(*this);
    return isFull ? FlowControl::full : FlowControl::ready;
}

// Closing the connection is the only way to tell the client that a response is cut which it has begun to
// receive. There are no other requests on the connection then.
void ClientConnection::onStreamAborted(PipelinedRequest& request) {
    if (request.isDirect()) return owner_.remove(*this);
    fail(request);
    // Called while a server's connection is destroyed, so the output waits for the next iteration.
    owner_.deferReading(*this);
}

// If a response that is delivered directly is cut, the connection is closed, and requests behind it would be
// lost. With requests behind it, the response is collected first.
void ClientConnection::decideDelivery(PipelinedRequest& front) {
    if (!front.isUndecided()) return;
    const Nanos now = transport::EventLoop::now();
    const bool mayCollect = owner_.responseBudget().mayCollect(front.collectableBytes());
    const bool isOverdue = now >= front.deadline();
    if (isOnlyRequest() || (isOverdue && !mayCollect)) return front.deliverDirectly();
    if (!mayCollect) {
        if (!mayAwaitMemory(front)) return fail(front);
        collectTimer_.start(front.memoryWaitEnd());
        return awaitMemory();
    }
    pipeline_.collect(front);
    reportUsage();
    // While a response is behind another one it is not read, so that it is not known whether it still
    // arrives.
    const Nanos earliestEnd = front.wasBehindAnother() ? now + ArrivalProgress::kMaxPause : 0;
    front.setCollectEnd(std::max(front.deadline(), earliestEnd));
    collectTimer_.start(front.collectEnd());
}

bool ClientConnection::mayAwaitMemory(PipelinedRequest& front) {
    const Nanos now = transport::EventLoop::now();
    if (front.memoryWaitEnd() == 0) front.setMemoryWaitEnd(std::min(front.deadline(), now + kMaxMemoryWait));
    return now < front.memoryWaitEnd() && owner_.responseBudget().mayCollectLater(front.collectableBytes());
}

void ClientConnection::decideFrontDelivery() {
    PipelinedRequest* const front = pipeline_.streamingFront();
    if (!front || !front->hasSource() || !front->isUndecided()) return;
    decideDelivery(*front);
    if (front->isCollected() && front->hasPausedSource()) front->resumeSource();
}

void ClientConnection::onCollectTimeout() {
    PipelinedRequest* const front = pipeline_.streamingFront();
    if (!front || front->isDirect()) return;
    const Nanos now = transport::EventLoop::now();
    const Nanos end = front->isUndecided() ? front->memoryWaitEnd() : front->collectEnd();
    if (end == 0 || now < end) return;
    if (front->isUndecided())
        fail(*front);
    else
        decideIncomplete(*front, now);
    flush();
}

// The request's time is over. A value whose server still sends it must not be cut off, so its first bytes go
// out now, although requests behind it are lost if the rest does not follow.
void ClientConnection::decideIncomplete(PipelinedRequest& front, Nanos now) {
    if (front.isArriving(now)) return pipeline_.stopCollecting(front);
    front.expireSource();
    fail(front);
}

void ClientConnection::fail(PipelinedRequest& request) {
    pipeline_.replace(request, protocol::failedResponse());
    reportUsage();
}

void ClientConnection::respond(PipelinedRequest& request, std::string_view text) {
    pipeline_.respond(request, text);
    reportUsage();
}

void ClientConnection::append(PipelinedRequest& request, std::string_view text) {
    pipeline_.append(request, text);
    reportUsage();
}

void ClientConnection::reportUsage() {
    const std::size_t waitingBytes = pipeline_.waitingBytes() + output_.size();
    const ResponseUsage usage{
        .waitingBytes = waitingBytes,
        .unreadBytes = unsentBytes() > 0 ? waitingBytes : 0,
        .collectedBytes = pipeline_.collectedBytes(),
        .pendingRequests = unsentBytes() > 0 ? pipeline_.awaiting() : pipeline_.awaitingBehindFront()};
    owner_.responseBudget().update(reportedUsage_, usage);
    reportedUsage_ = usage;
}

bool ClientConnection::failLargestResponse() {
    const bool isReplaced = pipeline_.replaceLargest(protocol::failedResponse());
    if (!isReplaced) return false;
    reportUsage();
    owner_.deferReading(*this);
    return true;
}

void ClientConnection::reply(std::string_view text) { respond(pipeline_.add(*this), text); }

void ClientConnection::replyAndClose(std::string_view text) {
    PipelinedRequest& slot = pipeline_.add(*this);
    respond(slot, text);
    slot.setClosesConnection();
    state_ = State::closing;
}

ClientConnection::Existence ClientConnection::tryFlush() {
    owner_.relievePartialRequests(*this);
    const Existence existence = writeOutput();
    if (existence == Existence::destroyed) return existence;
    reportUsage();
    owner_.relieveResponses();
    if (state_ == State::lingering) return Existence::exists;
    if (unsentBytes() == 0) pipeline_.resumeFront();
    if (holdsInput() && !holdsBackInput()) owner_.deferReading(*this);
    updateReading();
    updateTimer();
    return Existence::exists;
}

// The rest waits here and in the pipeline while the kernel does not take what was written: so it is counted
// as waiting, and requests and responses are held back for it.
ClientConnection::Existence ClientConnection::writeOutput() {
    while (connection_.unsentBytes() == 0) {
        if (output_.empty()) takeOutput();
        if (output_.empty()) break;
        const std::string output = std::exchange(output_, {});
        const Existence existence = write(output);
        if (existence == Existence::destroyed) return existence;
        if (!output_.empty()) break;
        if (!closesAfterOutput_) continue;
        closesAfterOutput_ = false;
        linger();
        break;
    }
    return Existence::exists;
}

void ClientConnection::takeOutput() {
    if (closesAfterOutput_) return;
    decideFrontDelivery();
    RequestPipeline::Output output = pipeline_.takeOutput(write_.request(), kMaxWriteBytes);
    if (output.bytes.empty()) return;
    output_ = std::move(output.bytes);
    closesAfterOutput_ = output.closesConnection;
    lastResponseAt_ = transport::EventLoop::now();
}

ClientConnection::Existence ClientConnection::write(std::string_view bytes) {
    const auto written = connection_.writeSome(bytes);
    if (!written) {
        owner_.remove(*this);
        return Existence::destroyed;
    }
    output_ = bytes.substr(*written);
    reportUsage();
    return Existence::exists;
}

// If the connection were closed at once, unread bytes in the kernel would cause a reset, and the
// client could lose the last response.
void ClientConnection::linger() {
    connection_.shutdownWrite();
    state_ = State::lingering;
    connection_.setReading(true);
    timer_.start(transport::EventLoop::now() + kLingerDuration);
}

}  // namespace poppyscale::proxy
