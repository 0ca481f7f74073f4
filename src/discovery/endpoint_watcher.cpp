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

Watch::Watch(transport::Loop& loop, transport::Pool& pool, proxy::Core& core, Settings settings,
             proxy::Log log)
    : loop_(loop),
      pool_(pool),
      core_(core),
      longestWait_(settings.longestWait),
      sourceSeed_(settings.sourceSeed),
      longestList_(settings.longestList),
      log_(std::move(log)),
      version_(settings.version),
      pushed_(settings.pushed),
      pacing_(settings.routers, settings.seed, false),
      next_(loop, [this] { callDue(); }),
      heardAt_(transport::Loop::now()) {
    setSources(std::move(settings.sources));
}

void Watch::setSources(std::vector<DiscoveryAddress> sources) {
    several_.reset();
    std::size_t first = 0;
    if (sources.size() > 1) {
        SourceSelector selector(sources.size(), sourceSeed_);
        first = selector.current();
        several_.reset(new Several{sources, std::move(selector), 0, 0, 0});
    }
    source_ = sources[first];
    pacing_.setMayBeCrowded(!pushed_ && !several_);
}

void Watch::want() {
    if (unanswered_ || (next_.isSet() && (several_ || pacing_.isCrowded()))) return;
    beginCall();
}

void Watch::moveTo(std::vector<DiscoveryAddress> sources) {
    if (several_ && std::equal(sources.begin(), sources.end(), several_->addresses.begin(),
                               several_->addresses.end(), isSameSource))
        return;
    const auto kept = std::find_if(sources.begin(), sources.end(), [&](const DiscoveryAddress& source) {
        return isSameSource(source, source_);
    });
    if (kept != sources.end()) {
        const DiscoveryAddress current = *kept;
        const auto index = static_cast<std::size_t>(kept - sources.begin());
        setSources(std::move(sources));
        source_ = current;
        if (several_) several_->selector.resumeAt(index);
        // Of sources that are none any more.
        for (std::size_t i = calls_.size(); i > 0; --i)
            if (!isSameSource(calls_[i - 1]->source(), source_)) drop(*calls_[i - 1]);
        return want();
    }
    setSources(std::move(sources));
    if (several_) version_ = 0;
    wholeWanted_ = true;
    watch_ = nullptr;
    unanswered_ = nullptr;
    calls_.clear();
    next_.clear();
    core_.listMoved();
    want();
}

ListCall::Request Watch::nextRequest() {
    ListCall::Request request;
    request.known = version_;
    if (wholeWanted_) return request;
    request.after = version_;
    // After a failure, and at a source that is tried, what is newer is told at once, if only that nothing is.
    if (isProbing() || !trouble_.empty() || pacing_.isCrowded()) return request;
    request.wait = pacing_.watchWait(several_ ? std::min(longestWait_, kWaitAmongSeveral) : longestWait_);
    return request;
}

void Watch::beginCall() {
    // None of those that are out is given up for another one.
    if (calls_.size() >= kMostCalls) return next_.set(transport::Loop::now() + kPauseAtMostCalls);
    calls_.push_back(std::make_unique<ListCall>(loop_, pool_, static_cast<ListCall::Owner&>(*this), source_,
                                                longestList_));
    ListCall& call = *calls_.back();
    const ListCall::Request request = nextRequest();
    if (request.wait > 0) watch_ = &call;
    scheduleOverdue(call, request);
    if (!call.begin(request)) failed(call, "can't connect");
}

void Watch::callAgain(ListCall& call) {
    const ListCall::Request request = nextRequest();
    watch_ = &call;
    const auto isThis = [&](const auto& one) { return one.get() == &call; };
    std::rotate(std::find_if(calls_.begin(), calls_.end(), isThis), calls_.end() - 1, calls_.end());
    scheduleOverdue(call, request);
    if (!call.begin(request)) failed(call, "the connection broke");
}

void Watch::scheduleOverdue(const ListCall& call, const ListCall::Request& request) {
    unanswered_ = &call;
    const Nanos now = transport::Loop::now();
    if (isProbing())
        next_.set(now + several_->selector.attemptTimeout());
    else if (request.wait > 0)
        next_.set(now + request.wait + kWatchGrace);
    else
        next_.set(now + pacing_.intervalWithoutAnswer());
}

void Watch::callDue() {
    if (!unanswered_) return beginCall();  // the pause after a failure is over
    const ListCall& call = *unanswered_;
    unanswered_ = nullptr;
    watch_ = nullptr;
    const std::string_view why = call.whyLate();
    note(why, call);
    core_.listFailed();
    if (several_)
        moveToNextSource(why);
    else
        beginCall();
}

void Watch::answered(ListCall& call) {
    if (call.status() != 200) {
        pacing_.refused(transport::Loop::now());
        return failed(call, fmt::format("answered {}", call.status()));
    }
    pacing_.answered(transport::Loop::now(), call.tookBesideWait());
    try {
        if (!take(call)) return;
    } catch (const protocol::Malformed& problem) {
        // The same changes would be spoilt in the same way again.
        wholeWanted_ = true;
        return failed(call, problem.what());
    }
    // What was asked for before it can tell nothing more.
    while (calls_.front().get() != &call) drop(*calls_.front());
    if (watch_ && watch_ != &call) return drop(call);
    if (pacing_.isCrowded()) return pollLater(call);
    // At once: a later call would begin a new watch.
    if (call.mayCallAgain()) return callAgain(call);
    drop(call);
    beginCall();
}

void Watch::retryAfterPause() {
    const Nanos now = transport::Loop::now();
    next_.set(now + pacing_.pauseAfterFailure(now - heardAt_));
}

// Leaves a crowded source to the others for a while.
void Watch::pollLater(ListCall& call) {
    const Nanos now = transport::Loop::now();
    const bool prompt = call.tookBesideWait() <= kPromptAnswer;
    const Nanos due = prompt ? now + kPromptPause : call.begunAt() + kCrowdedPeriod;
    drop(call);
    next_.set(std::max(due, now));
}

// False when the call has failed by what it brought.
bool Watch::take(ListCall& call) {
    const auto roster = protocol::readRoster(call.body());
    const ListCall::Request& request = call.request();
    // Begun before a newer answer was taken: it tells nothing that is not known.
    const bool overtaken = request.known < version_ && roster.version < version_;
    if (several_ && !overtaken) {
        if (roster.version < version_ && unanswered_ != &call) return drop(call), false;
        if (roster.version < version_ && !takesOlder(call, roster)) return false;
        resumeAtSourceOf(call);
        several_->selector.answered();
    }
    // Another call's answer, come late, or a discovery that has lost what it knew: which of the two shows in
    // what the whole list is then.
    if (!several_ && request.after && roster.version < request.known)
        throw protocol::Malformed(fmt::format("version {} after version {}", roster.version, request.known));
    heardAt_ = transport::Loop::now();
    if (!std::exchange(trouble_, {}).empty())
        log_(fmt::format("the list is had from {} again: version {}; {}",
                         several_ ? source_.host : "discovery", roster.version, call.progress()));
    if (overtaken) return true;
    version_ = roster.version;
    wholeWanted_ = false;
    core_.listed(roster.full ? NewsKind::whole : NewsKind::changes, roster);
    return true;
}

void Watch::failed(ListCall& call, std::string_view why) {
    // Beside newer calls it ends without consequences: the next one is due by theirs.
    if (unanswered_ != &call) {
        if (!several_) log_(fmt::format("an older call for the list ended: {}; {}", why, call.progress()));
        return drop(call);
    }
    note(why, call);
    drop(call);
    core_.listFailed();
    if (several_)
        moveToNextSource(why);
    else
        retryAfterPause();
}

void Watch::drop(ListCall& call) {
    if (watch_ == &call) watch_ = nullptr;
    if (unanswered_ == &call) unanswered_ = nullptr;
    std::erase_if(calls_, [&](const auto& one) { return one.get() == &call; });
}

void Watch::note(std::string_view why, const ListCall& call) {
    trouble_ = several_ ? fmt::format("{}: {}", call.source().host, why) : std::string(why);
    if (several_) return;  // told with the move to the next source
    const auto age = (transport::Loop::now() - heardAt_) / kMillisecond;
    log_(fmt::format("the list could not be had from discovery: {}; last heard of {} ms ago; {}", why, age,
                     call.progress()));
}

bool Watch::takesOlder(ListCall& call, const protocol::Roster& roster) {
    const auto offered = fmt::format("version {} after version {}", roster.version, version_);
    if (several_->selector.judge(roster.version, version_) == ListVerdict::older) {
        failed(call, offered);
        return false;
    }
    if (!roster.full) {
        wholeWanted_ = true;
        failed(call, offered + ", as from all others; the whole list is needed");
        return false;
    }
    log_(fmt::format("takes {} from {}: every source tells an older one", offered, source_.host));
    return true;
}

// A source that answers after another one was tried is the one in use again.
void Watch::resumeAtSourceOf(const ListCall& call) {
    if (isSameSource(call.source(), source_)) return;
    const auto it =
        std::find_if(several_->addresses.begin(), several_->addresses.end(),
                     [&](const DiscoveryAddress& one) { return isSameSource(one, call.source()); });
    if (it == several_->addresses.end()) return;
    source_ = *it;
    several_->selector.resumeAt(static_cast<std::size_t>(it - several_->addresses.begin()));
}

void Watch::moveToNextSource(std::string_view why) {
    const std::string failed = fmt::format("{}: {}", source_.host, why);
    const Attempt next = several_->selector.failed(transport::Loop::now());
    source_ = several_->addresses[next.source];
    next_.set(next.at);
    logMove(failed);
}

void Watch::logMove(std::string_view why) {
    const Nanos now = transport::Loop::now();
    if (now - several_->logWindowBegan >= kLogWindow) {
        several_->logWindowBegan = now;
        several_->logged = 0;
    }
    if (several_->logged >= kMostLoggedMoves) {
        ++several_->unlogged;
        return;
    }
    ++several_->logged;
    const auto unlogged = several_->unlogged ? fmt::format("; {} more moves before", several_->unlogged) : "";
    several_->unlogged = 0;
    log_(fmt::format("asks {} for its list: {}; last heard of {} ms ago{}", source_.host, why,
                     (now - heardAt_) / kMillisecond, unlogged));
}

}  // namespace poppyscale::discovery
