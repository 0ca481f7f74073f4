#include "discovery/endpoint_watcher.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace poppyscale::discovery {
namespace {

// Among several sources a silent one is noticed by the end of a call's wait: kept short, as there are others.
constexpr Nanos kWaitAmongSeveral = 2'000 * kMillisecond;
// Moves from source to source are logged up to a bound.
constexpr Nanos kLogWindow = 60'000 * kMillisecond;
constexpr int kMostLoggedMoves = 20;
// With as many calls out as may be, until it is looked whether one of them has ended.
constexpr Nanos kPauseAtMostCalls = 200 * kMillisecond;

bool isSameSource(const DiscoveryAddress& a, const DiscoveryAddress& b) {
    return transport::sameAddress(a.address, b.address);
}

}  // namespace

EndpointWatcher::EndpointWatcher(transport::EventLoop& loop, transport::BufferPool& pool,
                                 proxy::RequestDispatcher& core, Settings settings, proxy::Log log)
    : loop_(loop),
      pool_(pool),
      dispatcher_(core),
      maxPollWait_(settings.maxPollWait),
      sourceSeed_(settings.sourceSeed),
      maxListBytes_(settings.maxListBytes),
      log_(std::move(log)),
      version_(settings.version),
      isPushed_(settings.isPushed),
      pacing_(settings.routerCount, settings.seed, false),
      nextPoll_(loop, [this] { onPollDue(); }),
      lastHeardAt_(transport::EventLoop::now()) {
    replaceSources(std::move(settings.sources));
}

void EndpointWatcher::replaceSources(std::vector<DiscoveryAddress> sources) {
    sourceSet_.reset();
    std::size_t first = 0;
    if (sources.size() > 1) {
        SourceSelector selector(sources.size(), sourceSeed_);
        first = selector.current();
        sourceSet_.reset(new SourceSet{sources, std::move(selector), 0, 0, 0});
    }
    source_ = sources[first];
    pacing_.setMayBeCrowded(!isPushed_ && !sourceSet_);
}

void EndpointWatcher::start() {
    if (unanswered_ || (nextPoll_.isActive() && (sourceSet_ || pacing_.isCrowded()))) return;
    beginPoll();
}

void EndpointWatcher::setSources(std::vector<DiscoveryAddress> sources) {
    if (sourceSet_ && std::equal(sources.begin(), sources.end(), sourceSet_->addresses.begin(),
                                 sourceSet_->addresses.end(), isSameSource))
        return;
    const auto kept = std::find_if(sources.begin(), sources.end(), [&](const DiscoveryAddress& source) {
        return isSameSource(source, source_);
    });
    if (kept != sources.end()) {
        const DiscoveryAddress current = *kept;
        const auto index = static_cast<std::size_t>(kept - sources.begin());
        replaceSources(std::move(sources));
        source_ = current;
        if (sourceSet_) sourceSet_->selector.resumeAt(index);
        // Of sources that are none any more.
        for (std::size_t i = polls_.size(); i > 0; --i)
            if (!isSameSource(polls_[i - 1]->source(), source_)) drop(*polls_[i - 1]);
        return start();
    }
    replaceSources(std::move(sources));
    if (sourceSet_) version_ = 0;
    needsCompleteList_ = true;
    longPoll_ = nullptr;
    unanswered_ = nullptr;
    polls_.clear();
    nextPoll_.stop();
    dispatcher_.onDiscoveryMoved();
    start();
}

EndpointPoll::Request EndpointWatcher::nextRequest() {
    EndpointPoll::Request request;
    request.known = version_;
    if (needsCompleteList_) return request;
    request.after = version_;
    // After a failure, and at a source that is tried, what is newer is told at once, if only that nothing is.
    if (isProbing() || !lastFailure_.empty() || pacing_.isCrowded()) return request;
    request.wait = pacing_.watchWait(sourceSet_ ? std::min(maxPollWait_, kWaitAmongSeveral) : maxPollWait_);
    return request;
}

void EndpointWatcher::beginPoll() {
    // None of those that are out is given up for another one.
    if (polls_.size() >= kMaxConcurrentPolls)
        return nextPoll_.start(transport::EventLoop::now() + kPauseAtMostCalls);
    polls_.push_back(std::make_unique<EndpointPoll>(loop_, pool_, static_cast<EndpointPoll::Handler&>(*this),
                                                    source_, maxListBytes_));
    EndpointPoll& call = *polls_.back();
    const EndpointPoll::Request request = nextRequest();
    if (request.wait > 0) longPoll_ = &call;
    scheduleOverdue(call, request);
    if (!call.start(request)) onFailed(call, "can't connect");
}

void EndpointWatcher::pollAgain(EndpointPoll& call) {
    const EndpointPoll::Request request = nextRequest();
    longPoll_ = &call;
    const auto isThis = [&](const auto& one) { return one.get() == &call; };
    std::rotate(std::find_if(polls_.begin(), polls_.end(), isThis), polls_.end() - 1, polls_.end());
    scheduleOverdue(call, request);
    if (!call.start(request)) onFailed(call, "the connection broke");
}

void EndpointWatcher::scheduleOverdue(const EndpointPoll& call, const EndpointPoll::Request& request) {
    unanswered_ = &call;
    const Nanos now = transport::EventLoop::now();
    if (isProbing())
        nextPoll_.start(now + sourceSet_->selector.attemptTimeout());
    else if (request.wait > 0)
        nextPoll_.start(now + request.wait + kLongPollGrace);
    else
        nextPoll_.start(now + pacing_.intervalWithoutAnswer());
}

void EndpointWatcher::onPollDue() {
    if (!unanswered_) return beginPoll();  // the pause after a failure is over
    const EndpointPoll& call = *unanswered_;
    unanswered_ = nullptr;
    longPoll_ = nullptr;
    const std::string_view why = call.lateReason();
    recordFailure(why, call);
    dispatcher_.onPollFailed();
    if (sourceSet_)
        moveToNextSource(why);
    else
        beginPoll();
}

void EndpointWatcher::onResponse(EndpointPoll& call) {
    if (call.status() != 200) {
        pacing_.onRefused(transport::EventLoop::now());
        return onFailed(call, fmt::format("answered {}", call.status()));
    }
    pacing_.onAnswered(transport::EventLoop::now(), call.durationBesideWait());
    try {
        if (!applyResponse(call)) return;
    } catch (const protocol::ParseError& problem) {
        // The same changes would be spoilt in the same way again.
        needsCompleteList_ = true;
        return onFailed(call, problem.what());
    }
    // What was asked for before it can tell nothing more.
    while (polls_.front().get() != &call) drop(*polls_.front());
    if (longPoll_ && longPoll_ != &call) return drop(call);
    if (pacing_.isCrowded()) return pollLater(call);
    // At once: a later call would begin a new watch.
    if (call.canPollAgain()) return pollAgain(call);
    drop(call);
    beginPoll();
}

void EndpointWatcher::retryAfterPause() {
    const Nanos now = transport::EventLoop::now();
    nextPoll_.start(now + pacing_.pauseAfterFailure(now - lastHeardAt_));
}

// Leaves a crowded source to the others for a while.
void EndpointWatcher::pollLater(EndpointPoll& call) {
    const Nanos now = transport::EventLoop::now();
    const bool prompt = call.durationBesideWait() <= kPromptResponseTime;
    const Nanos due = prompt ? now + kPromptPause : call.startedAt() + kCrowdedPeriod;
    drop(call);
    nextPoll_.start(std::max(due, now));
}

// False when the call has failed by what it brought.
bool EndpointWatcher::applyResponse(EndpointPoll& call) {
    const auto roster = protocol::readEndpointList(call.body());
    const EndpointPoll::Request& request = call.request();
    // Begun before a newer answer was taken: it tells nothing that is not known.
    const bool overtaken = request.known < version_ && roster.version < version_;
    if (sourceSet_ && !overtaken) {
        if (roster.version < version_ && unanswered_ != &call) return drop(call), false;
        if (roster.version < version_ && !acceptsOlderVersion(call, roster)) return false;
        resumeAtSourceOf(call);
        sourceSet_->selector.onAnswered();
    }
    // Another call's answer, come late, or a discovery that has lost what it knew: which of the two shows in
    // what the whole list is then.
    if (!sourceSet_ && request.after && roster.version < request.known)
        throw protocol::ParseError(fmt::format("version {} after version {}", roster.version, request.known));
    lastHeardAt_ = transport::EventLoop::now();
    if (!std::exchange(lastFailure_, {}).empty())
        log_(fmt::format("the list is had from {} again: version {}; {}",
                         sourceSet_ ? source_.host : "discovery", roster.version, call.progress()));
    if (overtaken) return true;
    version_ = roster.version;
    needsCompleteList_ = false;
    dispatcher_.onEndpointList(roster.isComplete ? EndpointUpdateKind::complete : EndpointUpdateKind::delta,
                               roster);
    return true;
}

void EndpointWatcher::onFailed(EndpointPoll& call, std::string_view why) {
    // Beside newer calls it ends without consequences: the next one is due by theirs.
    if (unanswered_ != &call) {
        if (!sourceSet_) log_(fmt::format("an older call for the list ended: {}; {}", why, call.progress()));
        return drop(call);
    }
    recordFailure(why, call);
    drop(call);
    dispatcher_.onPollFailed();
    if (sourceSet_)
        moveToNextSource(why);
    else
        retryAfterPause();
}

void EndpointWatcher::drop(EndpointPoll& call) {
    if (longPoll_ == &call) longPoll_ = nullptr;
    if (unanswered_ == &call) unanswered_ = nullptr;
    std::erase_if(polls_, [&](const auto& one) { return one.get() == &call; });
}

void EndpointWatcher::recordFailure(std::string_view why, const EndpointPoll& call) {
    lastFailure_ = sourceSet_ ? fmt::format("{}: {}", call.source().host, why) : std::string(why);
    if (sourceSet_) return;  // told with the move to the next source
    const auto age = (transport::EventLoop::now() - lastHeardAt_) / kMillisecond;
    log_(fmt::format("the list could not be had from discovery: {}; last heard of {} ms ago; {}", why, age,
                     call.progress()));
}

bool EndpointWatcher::acceptsOlderVersion(EndpointPoll& call, const protocol::EndpointList& roster) {
    const auto offered = fmt::format("version {} after version {}", roster.version, version_);
    if (sourceSet_->selector.judgeVersion(roster.version, version_) == ListVerdict::older) {
        onFailed(call, offered);
        return false;
    }
    if (!roster.isComplete) {
        needsCompleteList_ = true;
        onFailed(call, offered + ", as from all others; the whole list is needed");
        return false;
    }
    log_(fmt::format("takes {} from {}: every source tells an older one", offered, source_.host));
    return true;
}

// A source that answers after another one was tried is the one in use again.
void EndpointWatcher::resumeAtSourceOf(const EndpointPoll& call) {
    if (isSameSource(call.source(), source_)) return;
    const auto it =
        std::find_if(sourceSet_->addresses.begin(), sourceSet_->addresses.end(),
                     [&](const DiscoveryAddress& one) { return isSameSource(one, call.source()); });
    if (it == sourceSet_->addresses.end()) return;
    source_ = *it;
    sourceSet_->selector.resumeAt(static_cast<std::size_t>(it - sourceSet_->addresses.begin()));
}

void EndpointWatcher::moveToNextSource(std::string_view why) {
    const std::string failed = fmt::format("{}: {}", source_.host, why);
    const Attempt next = sourceSet_->selector.onFailed(transport::EventLoop::now());
    source_ = sourceSet_->addresses[next.source];
    nextPoll_.start(next.at);
    logMove(failed);
}

void EndpointWatcher::logMove(std::string_view why) {
    const Nanos now = transport::EventLoop::now();
    if (now - sourceSet_->logWindowBegan >= kLogWindow) {
        sourceSet_->logWindowBegan = now;
        sourceSet_->logged = 0;
    }
    if (sourceSet_->logged >= kMostLoggedMoves) {
        ++sourceSet_->unlogged;
        return;
    }
    ++sourceSet_->logged;
    const auto unlogged =
        sourceSet_->unlogged ? fmt::format("; {} more moves before", sourceSet_->unlogged) : "";
    sourceSet_->unlogged = 0;
    log_(fmt::format("asks {} for its list: {}; last heard of {} ms ago{}", source_.host, why,
                     (now - lastHeardAt_) / kMillisecond, unlogged));
}

}  // namespace poppyscale::discovery
