#include "discovery/endpoint_watcher.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace poppyscale::discovery {
namespace {

// Limits the wait of a long poll where there are several sources. An unresponsive source is noticed
// only when the wait has ended, and another one can be polled then.
constexpr Nanos kMaxPollWaitWithSeveralSources = 2'000 * kMillisecond;
// At most kMaxLoggedMoves moves to another source are logged within each window.
constexpr Nanos kMoveLogWindow = 60'000 * kMillisecond;
constexpr int kHttpOk = 200;
constexpr int kMaxLoggedMoves = 20;
// Pause before the next attempt to poll while kMaxConcurrentPolls are in flight.
constexpr Nanos kPauseAtMaxPolls = 200 * kMillisecond;

bool isSameSource(const EndpointSource& a, const EndpointSource& b) {
    return transport::sameAddress(a.address, b.address);
}

}  // namespace

EndpointWatcher::EndpointWatcher(transport::EventLoop& loop, transport::BufferPool& pool,
                                 proxy::RequestDispatcher& dispatcher, Settings settings, proxy::Log log)
    : loop_(loop),
      pool_(pool),
      dispatcher_(dispatcher),
      maxPollWait_(settings.maxPollWait),
      sourceSeed_(settings.sourceSeed),
      maxListBytes_(settings.maxListBytes),
      log_(std::move(log)),
      version_(settings.version),
      isPushed_(settings.isPushed),
      pacing_(settings.routerCount, settings.seed, false),
      nextPoll_(loop, [this] { onPollDue(); }),
      lastResponseAt_(transport::EventLoop::now()) {
    replaceSources(std::move(settings.sources));
}

void EndpointWatcher::replaceSources(std::vector<EndpointSource> sources) {
    sourceSet_.reset();
    std::size_t first = 0;
    if (sources.size() > 1) {
        SourceSelector selector(sources.size(), sourceSeed_);
        first = selector.current();
        sourceSet_.reset(new SourceSet{sources, std::move(selector), 0, 0, 0});
    }
    source_ = sources[first];
    pacing_.setMayBeOverloaded(!isPushed_ && !sourceSet_);
}

void EndpointWatcher::pollNow() {
    if (awaitedPoll_ || (nextPoll_.isActive() && (sourceSet_ || pacing_.isOverloaded()))) return;
    beginPoll();
}

void EndpointWatcher::setSources(std::vector<EndpointSource> sources) {
    if (sourceSet_ && std::equal(sources.begin(), sources.end(), sourceSet_->sources.begin(),
                                 sourceSet_->sources.end(), isSameSource))
        return;
    const auto current = std::find_if(sources.begin(), sources.end(), [&](const EndpointSource& source) {
        return isSameSource(source, source_);
    });
    if (current != sources.end()) {
        const EndpointSource kept = *current;
        const auto index = static_cast<std::size_t>(current - sources.begin());
        replaceSources(std::move(sources));
        source_ = kept;
        if (sourceSet_) sourceSet_->selector.resumeAt(index);
        // Only the polls of the current source stay in flight.
        for (std::size_t i = polls_.size(); i > 0; --i)
            if (!isSameSource(polls_[i - 1]->source(), source_)) removePoll(*polls_[i - 1]);
        pollNow();
        return;
    }
    replaceSources(std::move(sources));
    if (sourceSet_) version_ = 0;
    needsCompleteList_ = true;
    longPoll_ = nullptr;
    awaitedPoll_ = nullptr;
    polls_.clear();
    nextPoll_.stop();
    dispatcher_.onDiscoveryMoved();
    pollNow();
}

EndpointPoll::Request EndpointWatcher::nextRequest() {
    EndpointPoll::Request request;
    request.known = version_;
    if (needsCompleteList_) return request;
    request.after = version_;
    // No wait at a source that has not responded yet, after a failure, or at an overloaded source.
    if (isProbing() || !lastFailure_.empty() || pacing_.isOverloaded()) return request;
    request.wait = pacing_.longPollWait(sourceSet_ ? std::min(maxPollWait_, kMaxPollWaitWithSeveralSources)
                                                   : maxPollWait_);
    return request;
}

void EndpointWatcher::beginPoll() {
    // A poll in flight is never cancelled in favour of a new one.
    if (polls_.size() >= kMaxConcurrentPolls) {
        nextPoll_.start(transport::EventLoop::now() + kPauseAtMaxPolls);
        return;
    }
    polls_.push_back(std::make_unique<EndpointPoll>(loop_, pool_, static_cast<EndpointPoll::Handler&>(*this),
                                                    source_, maxListBytes_));
    EndpointPoll& poll = *polls_.back();
    const EndpointPoll::Request request = nextRequest();
    if (request.wait > 0) longPoll_ = &poll;
    scheduleOverdue(poll, request);
    const bool isStarted = poll.start(request);
    if (!isStarted) onFailed(poll, "can't connect");
}

void EndpointWatcher::pollAgain(EndpointPoll& poll) {
    const EndpointPoll::Request request = nextRequest();
    longPoll_ = &poll;
    const auto isThis = [&](const auto& one) { return one.get() == &poll; };
    std::rotate(std::find_if(polls_.begin(), polls_.end(), isThis), polls_.end() - 1, polls_.end());
    scheduleOverdue(poll, request);
    const bool isStarted = poll.start(request);
    if (!isStarted) onFailed(poll, "can't write the request");
}

void EndpointWatcher::scheduleOverdue(const EndpointPoll& poll, const EndpointPoll::Request& request) {
    awaitedPoll_ = &poll;
    const Nanos now = transport::EventLoop::now();
    if (isProbing())
        nextPoll_.start(now + sourceSet_->selector.attemptTimeout());
    else if (request.wait > 0)
        nextPoll_.start(now + request.wait + kLongPollGrace);
    else
        nextPoll_.start(now + pacing_.intervalWithoutResponse());
}

void EndpointWatcher::onPollDue() {
    if (!awaitedPoll_) return beginPoll();  // the pause after a failure has ended
    const EndpointPoll& poll = *awaitedPoll_;
    awaitedPoll_ = nullptr;
    longPoll_ = nullptr;
    const std::string_view reason = poll.overdueReason();
    recordFailure(reason, poll);
    dispatcher_.onPollFailed();
    if (sourceSet_)
        moveToNextSource(reason);
    else
        beginPoll();
}

void EndpointWatcher::onResponse(EndpointPoll& poll) {
    if (poll.status() != kHttpOk) {
        pacing_.onRejected(transport::EventLoop::now());
        return onFailed(poll, fmt::format("HTTP status {}", poll.status()));
    }
    pacing_.onResponded(transport::EventLoop::now(), poll.durationWithoutWait());
    try {
        const bool isApplied = applyResponse(poll);
        if (!isApplied) return;
    } catch (const protocol::ParseError& problem) {
        // The source would send the same malformed changes again.
        needsCompleteList_ = true;
        return onFailed(poll, problem.what());
    }
    // Responses to polls that began earlier can't contain a newer list.
    while (polls_.front().get() != &poll) removePoll(*polls_.front());
    if (longPoll_ && longPoll_ != &poll) return removePoll(poll);
    if (pacing_.isOverloaded()) return pollLater(poll);
    if (poll.canPollAgain()) return pollAgain(poll);
    removePoll(poll);
    beginPoll();
}

void EndpointWatcher::retryAfterPause() {
    const Nanos now = transport::EventLoop::now();
    nextPoll_.start(now + pacing_.pauseAfterFailure(now - lastResponseAt_));
}

void EndpointWatcher::pollLater(EndpointPoll& poll) {
    const Nanos now = transport::EventLoop::now();
    const bool isPrompt = poll.durationWithoutWait() <= kPromptResponseTime;
    const Nanos due = isPrompt ? now + kPromptPause : poll.startedAt() + kOverloadedPeriod;
    removePoll(poll);
    nextPoll_.start(std::max(due, now));
}

bool EndpointWatcher::applyResponse(EndpointPoll& poll) {
    const auto list = protocol::readEndpointList(poll.body());
    const EndpointPoll::Request& request = poll.request();
    // The poll began before a newer list was applied, so its response contains nothing new.
    const bool isOvertaken = request.known < version_ && list.version < version_;
    if (sourceSet_ && !isOvertaken) {
        if (list.version < version_ && awaitedPoll_ != &poll) {
            removePoll(poll);
            return false;
        }
        if (list.version < version_) {
            const bool isAccepted = acceptOlderVersion(poll, list);
            if (!isAccepted) return false;
        }
        resumeAtSourceOf(poll);
        sourceSet_->selector.onResponded();
    }
    // Either this is the late response to another poll, or discovery has lost its state. The
    // complete list, which is polled next, shows which of the two it is.
    if (!sourceSet_ && request.after && list.version < request.known)
        throw protocol::ParseError(
            fmt::format("version {} is older than the known version {}", list.version, request.known));
    lastResponseAt_ = transport::EventLoop::now();
    const bool isRecovered = !lastFailure_.empty();
    lastFailure_.clear();
    if (isRecovered)
        log_(fmt::format("endpoint list available again from {}: version {}; {}",
                         sourceSet_ ? source_.host : "discovery", list.version, poll.progress()));
    if (isOvertaken) return true;
    version_ = list.version;
    needsCompleteList_ = false;
    dispatcher_.onEndpointList(list.isComplete ? EndpointUpdateKind::complete : EndpointUpdateKind::delta,
                               list);
    return true;
}

void EndpointWatcher::onFailed(EndpointPoll& poll, std::string_view reason) {
    // The timer for the next poll is already set, by a newer poll or by an earlier failure.
    if (awaitedPoll_ != &poll) {
        if (!sourceSet_)
            log_(
                fmt::format("an earlier poll for the endpoint list failed: {}; {}", reason, poll.progress()));
        removePoll(poll);
        return;
    }
    recordFailure(reason, poll);
    removePoll(poll);
    dispatcher_.onPollFailed();
    if (sourceSet_)
        moveToNextSource(reason);
    else
        retryAfterPause();
}

void EndpointWatcher::removePoll(EndpointPoll& poll) {
    if (longPoll_ == &poll) longPoll_ = nullptr;
    if (awaitedPoll_ == &poll) awaitedPoll_ = nullptr;
    std::erase_if(polls_, [&](const auto& one) { return one.get() == &poll; });
}

void EndpointWatcher::recordFailure(std::string_view reason, const EndpointPoll& poll) {
    lastFailure_ = sourceSet_ ? fmt::format("{}: {}", poll.source().host, reason) : std::string(reason);
    if (sourceSet_) return;  // logged with the move to the next source
    const auto ageMs = (transport::EventLoop::now() - lastResponseAt_) / kMillisecond;
    log_(fmt::format("endpoint list unavailable from discovery: {}; last usable response {} ms ago; {}",
                     reason, ageMs, poll.progress()));
}

bool EndpointWatcher::acceptOlderVersion(EndpointPoll& poll, const protocol::EndpointList& list) {
    const auto offered = fmt::format("version {} is older than the known version {}", list.version, version_);
    if (sourceSet_->selector.judgeVersion(list.version, version_) == ListVerdict::older) {
        onFailed(poll, offered);
        return false;
    }
    if (!list.isComplete) {
        needsCompleteList_ = true;
        onFailed(poll, offered + ", as at every other source; polls for the complete list next");
        return false;
    }
    log_(fmt::format("applies an older endpoint list ({}) from {}: every source offers an older one", offered,
                     source_.host));
    return true;
}

void EndpointWatcher::resumeAtSourceOf(const EndpointPoll& poll) {
    if (isSameSource(poll.source(), source_)) return;
    const auto source =
        std::find_if(sourceSet_->sources.begin(), sourceSet_->sources.end(),
                     [&](const EndpointSource& one) { return isSameSource(one, poll.source()); });
    if (source == sourceSet_->sources.end()) return;
    source_ = *source;
    sourceSet_->selector.resumeAt(static_cast<std::size_t>(source - sourceSet_->sources.begin()));
}

void EndpointWatcher::moveToNextSource(std::string_view reason) {
    const std::string failure = fmt::format("{}: {}", source_.host, reason);
    const Attempt next = sourceSet_->selector.onFailed(transport::EventLoop::now());
    source_ = sourceSet_->sources[next.source];
    nextPoll_.start(next.at);
    logMove(failure);
}

void EndpointWatcher::logMove(std::string_view reason) {
    const Nanos now = transport::EventLoop::now();
    if (now - sourceSet_->logWindowStart >= kMoveLogWindow) {
        sourceSet_->logWindowStart = now;
        sourceSet_->loggedMoves = 0;
    }
    if (sourceSet_->loggedMoves >= kMaxLoggedMoves) {
        ++sourceSet_->unloggedMoves;
        return;
    }
    ++sourceSet_->loggedMoves;
    const auto unlogged = sourceSet_->unloggedMoves ? fmt::format("; {} earlier source changes not logged",
                                                                  sourceSet_->unloggedMoves)
                                                    : "";
    sourceSet_->unloggedMoves = 0;
    log_(
        fmt::format("polls endpoint list source {} next, after a failure of {}; "
                    "last usable response {} ms ago{}",
                    source_.host, reason, (now - lastResponseAt_) / kMillisecond, unlogged));
}

}  // namespace poppyscale::discovery
