// All decisions of a router: report each event as it comes, then call settle() once for the moment, the one
// place that turns the wanted state into relays, declines, terminations and timers.
#include "policy/routing_policy.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "base/decaying_sum.hpp"
#include "base/hash.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/hint_filter.hpp"
#include "policy/random.hpp"

namespace poppyscale {

using policy::ConcurrencyLimiter;
using policy::HintFilter;
using policy::Random;

namespace {

constexpr Nanos kSecond = 1'000 * kMillisecond;

constexpr Nanos kGeneration = 10 * kSecond;
constexpr std::size_t kCandidates = 2, kMostCandidates = 3;
constexpr double kYieldMargin = 2, kYieldFloor = 2;
constexpr std::size_t kRecent = 64;
constexpr double kSaved = 12;    // spans: a quiet router hardly ever comes by a cold cache within one
constexpr double kAbsurd = 100;  // times the usual: no size or load that is meant

constexpr Nanos kMemory = 5 * kSecond;        // over which this router's own state is weighed
constexpr Nanos kCacheMemory = 15 * kSecond;  // and a cache's endings, of which a quiet router sees few
constexpr Nanos kAside = 4 * kSecond;
constexpr double kOriginLateness = 0.25;  // for the origin, whose answer comes on top of a miss
constexpr double kOpening = 6;            // relays for each cache that all routers together open with
constexpr int kFewAnswers = 32;
constexpr double kLeastAcross = 0.02, kCopyPrice = 0.01;  // of a zone's own copies, as a part of utility
constexpr double kMixing = 4;  // times what more is lost in the own zone: from 1 on zones count no more
constexpr Nanos kShareMemory = 10 * kSecond;  // in less, a quiet router can't tell greed from chance

constexpr ConcurrencyLimiter::Target kServerTarget{policy::kTargetLatencyRatio};

// As listed, but for a size that moves and a start that a lifted ban makes later.
struct CacheServer : Endpoint, std::enable_shared_from_this<CacheServer> {
    explicit CacheServer(const std::string& id)
        : Endpoint{id, "", "", EndpointState::removed, 0, 0}, hash(hashText(id)) {}

    std::uint64_t hash;
    double listed = 0, held = 0;           // where sizes move: the last one told, and commands a core by that
    bool origin = false, wasGone = false;  // when the generations last changed
    bool owed = false;                     // a first relay since its ban was lifted
    HintFilter filter;
    ConcurrencyLimiter window{kServerTarget, 4};
    double credit = 0;  // further relays it may take; its answers earn them
    // Endings of all kinds, their sum of parts of the goal, and those that failed.
    DecayingSum heard{kCacheMemory}, lateness{kCacheMemory}, failures{kCacheMemory};
    double due = 0;  // while cold: relays it may be sent, worked out up to `dueAt`
    int timeOutsInRow = 0;
    Nanos dueAt = 0, endedAt = 0;  // when a relay last ended there
    Nanos asideUntil = 0;          // set aside for its failures until then
    Nanos liftedAt = -kNever;      // a ban on it
};

bool isDone(AttemptOutcome e) { return e == AttemptOutcome::succeeded || e == AttemptOutcome::cacheMiss; }

enum class AttemptState : std::uint8_t { inFlight, neverExecuted, mayHaveExecuted };

struct Attempt {
    std::shared_ptr<CacheServer> to;
    Nanos sentAt;
    AttemptState standing;
};

struct RankedServer {
    std::uint64_t hash;
    double plain, weight;  // the latter less across zones
    CacheServer* cache;
};

struct ZoneOutcomes {  // caches of the own zone, or the others
    double part(Nanos now) { return lost.read(now) / (asked.read(now) + 1); }
    DecayingSum asked{kMemory}, lost{kMemory};
};

struct TenantUsage {
    Tenant tenant;
    DecayingSum sent{kShareMemory};
};

struct Request {
    RequestId id = 0;
    std::shared_ptr<const RequestClass> requestClass;  // it stays as it was when the command came
    std::shared_ptr<TenantUsage> usage;
    int maxAttempts = 1;
    std::uint64_t key = 0;
    bool keyed = false, write = false, closed = false, failedBefore = false, beyondShare = false;
    // A relay may have run, at a cache or at the origin: a further one there doubles work and needs credit.
    std::array<bool, 2> ranBefore{};
    bool pastGoal = false, atCold = false;  // it is of no use to go on; its miss was at a cold cache
    double rank = 0;
    std::size_t start = 0;  // its first candidate's place in the rendezvous order
    double luck = 0;        // drawn once: what is asked again and again would else pass any chance in the end
    Nanos goalAt = 0, deadline = 0, latestStart = kNever;  // the latter since a receipted one may have run
    std::vector<Attempt> attempts;
    std::vector<std::shared_ptr<CacheServer>> lacking;
    std::array<CacheServer*, kMostCandidates> candidates{};  // as many as are usable, in rendezvous order
    std::uint64_t candidatesOf = 0;  // the fleet's state that they were worked out for
};

}  // namespace

struct RoutingPolicy::Inside {
    Inside(PolicySettings given, PolicyHost& host, Nanos now)
        : terms(std::move(given)), host(host), random(terms.seed), startedAt(now), swapAt(now + kGeneration) {
        readTerms();
        // Spread: discovery doesn't grow with the routers, and all may have been restarted together.
        const Nanos width = std::min(terms.maxFirstPollDelay, terms.routerCount * 10 * kMillisecond);
        askAt = terms.pollsEndpoints ? now + spread(width) : kNever;
    }

    void readTerms() {
        requestClasses.clear();
        for (const RequestClass& v : terms.requestClasses)
            requestClasses.push_back(std::make_shared<const RequestClass>(v));
        patience.clear();
        across = leastAcross();
        const auto before = std::exchange(usages, {});
        for (const Tenant& c : terms.tenants) {
            const auto same = [&](const auto& u) { return u->tenant.name == c.name; };
            const auto it = std::find_if(before.begin(), before.end(), same);
            usages.push_back(it != before.end() ? *it : std::make_shared<TenantUsage>(TenantUsage{c}));
            usages.back()->tenant = c;
        }
    }

    void changed(Nanos now, PolicySettings next) {
        terms = std::move(next);
        readTerms();
        for (CacheServer* c : fleet) c->dueAt = std::max(c->dueAt, now);
        ++fleetState;
    }

    std::vector<EndpointStatus> beliefs(Nanos now) {
        std::vector<EndpointStatus> all;
        for (const auto* list : {&fleet, &origins})
            for (CacheServer* c : *list)
                all.push_back({c->name, c->zone, c->state, ejected.contains(c->name), c->origin,
                               c->window.inFlight(), c->window.limit(), warmth(*c, now), c->heard.read(now),
                               c->failures.read(now),
                               c->lateness.read(now) / std::max(c->heard.read(now), 1e-9),
                               c->filter.keyCount(), c->asideUntil});
        return all;
    }

    bool usable(const CacheServer& c) const {
        return c.state == EndpointState::ready && !ejected.contains(c.name);
    }

    int attemptsLeft(const Request& cmd) const {
        return std::min(cmd.maxAttempts, terms.maxAttempts) - static_cast<int>(cmd.attempts.size());
    }

    Nanos spread(Nanos width) { return random.jitter(width); }
    double draw() { return random.sample(); }

    double warmth(const CacheServer& c, Nanos now) const {
        if (c.startedAt <= 0 || now - c.startedAt >= terms.rampDuration) return 1;
        const double done = static_cast<double>(std::max<Nanos>(now - c.startedAt, 0)) / terms.rampDuration;
        return terms.initialFraction + (1 - terms.initialFraction) * done;
    }

    double lifeOf(Nanos memory, Nanos now) const { return effectiveDuration(memory, now - startedAt); }

    Nanos typical(Nanos now) {
        const double n = answers.read(now);
        return n < 0.5 ? 0 : static_cast<Nanos>(answerTime.read(now) / n);
    }

    // The one test of what may still be done with a command, lest an effect happen twice; null for a decline.
    bool legal(const Request& cmd, const CacheServer* to, Nanos now) const {
        if (cmd.closed) return false;
        const Attempt* mayHaveExecuted = nullptr;
        for (const Attempt& r : cmd.attempts) {
            if (to && r.standing == AttemptState::inFlight) return false;
            if (!mayHaveExecuted && r.standing != AttemptState::neverExecuted) mayHaveExecuted = &r;
        }
        if (to && (attemptsLeft(cmd) <= 0 || now >= cmd.deadline || !usable(*to))) return false;
        if (!mayHaveExecuted || cmd.requestClass->idempotency == Idempotency::safe) return true;
        if (cmd.requestClass->idempotency == Idempotency::nonIdempotent) return false;
        if (!to) return cmd.requestClass->deduplicationScope == DeduplicationScope::all;
        const CacheServer& first = *mayHaveExecuted->to;
        const DeduplicationScope group = cmd.requestClass->deduplicationScope;
        const bool in = group == DeduplicationScope::zone ? to->zone == first.zone : to->cell == first.cell;
        return (in || group == DeduplicationScope::all) && now < cmd.latestStart;
    }

    void survey(Nanos now) {
        surveyed = fleetState;
        owed = nullptr;
        ranked.clear();
        if (warmSize > 0) warmPace = warmDone.read(now) / warmSize;
        warmSize = 0;
        surveyUntil = kNever;
        acrossSurveyed = across;
        std::unordered_map<std::string_view, double> zones;
        double all = 0;
        for (CacheServer* c : fleet)
            if (terms.crossZoneCost > 0 && usable(*c))
                all += c->weight * warmth(*c, now), zones[c->zone] += c->weight * warmth(*c, now);
        const double own = zones.contains(terms.zone) ? zones[terms.zone] : 0;
        zoned = terms.crossZoneCost > 0 && own > 0 && own < all;
        // Where traffic comes in is told nowhere: that of this router, and of the others evenly by zone.
        const double traffic =
            (1 + (terms.routerCount - 1.0) / std::max<std::size_t>(zones.size(), 1)) / terms.routerCount;
        const double bears = std::min(1.0, own / all / traffic);
        const double far = std::max(across, (1 - bears) / bears * own / (all - own));
        for (CacheServer* c : fleet) {
            if (!usable(*c)) continue;
            if (c->owed) owed = c;
            const double w = warmth(*c, now);
            warmSize += w < 1 ? 0 : c->weight;
            if (w < 1)
                surveyUntil = std::min(surveyUntil, now + std::max(terms.rampDuration / 32, kMillisecond));
            if (c->asideUntil <= now)  // a cold one isn't preferred before it can bear its zone
                ranked.push_back({c->hash, c->weight * w,
                                  c->weight * w * (zoned ? std::pow(far, near(*c) ? 1 - w : 1) : 1), c});
            else
                surveyUntil = std::min(surveyUntil, c->asideUntil);
        }
    }

    const auto& candidatesFor(Request& cmd, Nanos now) {
        if (surveyed != fleetState) survey(now);
        if (cmd.candidatesOf == fleetState) return cmd.candidates;
        cmd.candidatesOf = fleetState;
        const auto best = topOf(cmd, cmd.start + kMostCandidates, &RankedServer::weight);
        cmd.candidates = {};
        for (std::size_t i = 0; i < std::min(best.size(), kMostCandidates); ++i)
            cmd.candidates[i] = best[(cmd.start + i) % best.size()].second;
        // The last resort is the first over all zones: the caches that the routers there ask for the key.
        const auto& [first, second, third] = cmd.candidates;
        if (zoned && third)
            for (const auto& [score, c] : topOf(cmd, kMostCandidates, &RankedServer::plain))
                if (c != first && c != second) return cmd.candidates[kCandidates] = c, cmd.candidates;
        return cmd.candidates;
    }

    std::vector<std::pair<double, CacheServer*>> topOf(const Request& cmd, std::size_t n,
                                                       double RankedServer::*by) const {
        std::vector<std::pair<double, CacheServer*>> best(std::min(n, ranked.size()));
        for (const RankedServer& r : ranked) {
            const double u = (static_cast<double>(mixBits(cmd.key ^ r.hash) >> 11) + 0.5) * 0x1p-53;
            // Since -log(u) is at least 1 - u, most are known to score too little without the logarithm.
            if (r.*by <= best.back().first * (1 - u)) continue;
            const std::pair<double, CacheServer*> entry{r.*by / -std::log(u), r.cache};
            if (entry.first <= best.back().first) continue;
            best.back() = entry;
            for (auto at = best.size() - 1; at > 0 && best[at - 1].first < best[at].first; --at)
                std::swap(best[at - 1], best[at]);
        }
        return best;
    }

    double leastAcross() const { return std::max(kLeastAcross, std::exp(-terms.crossZoneCost / kCopyPrice)); }
    bool near(const CacheServer& c) const { return c.zone == terms.zone; }

    // What is lost of the own zone's more than of what went across, past its price, makes zones count less.
    void bore(Request& cmd, bool lost, Nanos now) {
        if (terms.crossZoneCost <= 0 || (cmd.write && terms.cacheAside) || cmd.beyondShare) return;
        const CacheServer* to =
            cmd.attempts.empty() ? candidatesFor(cmd, now)[0] : cmd.attempts.front().to.get();
        if (!to || to->origin) return;
        auto& side = sides[near(*to)];
        side.asked.add(now, 1);
        side.lost.add(now, lost);
        const double more = sides[true].part(now) - sides[false].part(now) - terms.crossZoneCost;
        across = std::pow(leastAcross(), 1 - std::clamp(kMixing * more, 0.0, 1.0));
        if (std::abs(across - acrossSurveyed) > 0.1 * acrossSurveyed) ++fleetState;
    }

    // Each router keeps to its part; one under a relay goes by chance: a thousand that round it up are a
    // flood.
    bool coldBudgetLeft(CacheServer& c, Nanos now) {
        const double w = warmth(c, now);
        if (w >= 1) return true;
        if (warmSize > 0) warmPace = warmDone.read(now) / warmSize;
        const double budget = 0.5 * terms.overloadMultiple * w * warmPace * c.weight;
        const double since = std::min(kSaved, static_cast<double>(now - c.dueAt) / fallSpan);
        c.due = std::min(c.due + budget * since, std::max(1.0, budget));
        c.dueAt = now;
        if (c.due < 1) c.due = draw() < c.due ? 1 : 0;
        return c.due >= 1;
    }

    bool room(const Request& cmd, CacheServer& c, Nanos now) {
        if (!c.window.hasCapacity(now, cmd.beyondShare) ||
            !(c.origin || whole.hasCapacity(now, cmd.beyondShare)) || !legal(cmd, &c, now) ||
            (cmd.beyondShare && pressed))
            return false;
        if (cmd.ranBefore[c.origin] && c.credit < draw()) return false;
        for (const Attempt& r : cmd.attempts)
            if (cmd.failedBefore && r.to.get() == &c && !c.origin) return false;
        return coldBudgetLeft(c, now);
    }

    // The list's word on load is late and the same at all routers, which would swing together but for chance.
    bool listedBusy(const Request& cmd, const CacheServer& c, Nanos now) {
        const double each = static_cast<double>(std::max(typical(now), kMillisecond)) / (1 + meanHeld);
        const double limit = std::max(
            policy::kTargetLatencyRatio * static_cast<double>(cmd.requestClass->latencyObjective) / each,
            meanHeld);
        return c.held > limit && cmd.luck > limit * limit / (c.held * c.held);
    }

    // The mechanism: the hinted candidate, else rendezvous order, and one that is too busy yields.
    CacheServer* ordinary(Request& cmd, Nanos now) {
        auto candidates = candidatesFor(cmd, now);
        if (zoned && cmd.failedBefore)
            std::rotate(candidates.begin(), candidates.begin() + 2, candidates.end());
        // Of a lifted cache a quiet router would hear nothing for long: all its keys have their places.
        if (owed && cmd.requestClass->idempotency == Idempotency::safe && room(cmd, *owed, now)) return owed;
        const double mean = whole.inFlight() / std::max<double>(static_cast<double>(ranked.size()), 1);
        const double busy = std::max(kYieldFloor, kYieldMargin * mean);
        // A quiet router hardly has two relays out, but what its few endings there took tells the same.
        const auto late = [&](CacheServer& c) {
            return (c.lateness.read(now) + whole.medianLatencyRatio()) / (c.heard.read(now) + 1) >
                   std::max(policy::kTargetLatencyRatio, kYieldMargin * whole.medianLatencyRatio());
        };
        const auto yields = [&](CacheServer& c) {
            return c.window.inFlight() >= busy || late(c) || listedBusy(cmd, c, now);
        };
        CacheServer* yielding = nullptr;
        for (const bool hinted : {true, false}) {
            for (std::size_t i = 0; i < kCandidates; ++i) {
                CacheServer* c = candidates[i];
                if (!c || c->filter.mayContain(cmd.key) != hinted) continue;
                const bool fits = room(cmd, *c, now);
                if (!fits && (!hinted || cmd.failedBefore || c->window.hasCapacity(now, cmd.beyondShare)))
                    continue;
                // A hinted one that is only full is waited for: a miss elsewhere costs more than the wait.
                if (!yields(*c)) return fits ? c : yielding;
                if (fits && (!yielding || (terms.weightsFollowLoad && c->held < yielding->held)))
                    yielding = c;
            }
        }
        CacheServer* third = candidates[kCandidates];
        const bool wanted =
            third && (!yielding || terms.weightsFollowLoad || third->filter.mayContain(cmd.key));
        return wanted && !yields(*third) && room(cmd, *third, now) ? third : yielding;
    }

    bool hintedSomewhere(Request& cmd, Nanos now) {
        const auto& all = candidatesFor(cmd, now);
        return std::any_of(all.begin(), all.end(),
                           [&](auto* c) { return c && c->filter.mayContain(cmd.key); });
    }

    CacheServer* originFor(Request& cmd, Nanos now) {
        CacheServer* best = nullptr;
        for (CacheServer* c : origins)
            if (usable(*c) && (!best || c->window.inFlight() < best->window.inFlight())) best = c;
        if (!best || !room(cmd, *best, now)) return nullptr;
        if (cmd.atCold && coldFetches >= std::max(1, static_cast<int>(best->window.limit() / 4)))
            return nullptr;
        return best;
    }

    std::pair<CacheServer*, bool> place(Request& cmd, Nanos now) {
        if (cmd.pastGoal) return {nullptr, false};
        if (!terms.cacheAside) return {ordinary(cmd, now), false};
        if (cmd.write) return {originFor(cmd, now), false};
        const bool lastRelay = attemptsLeft(cmd) <= 1;
        const bool hinted = !lastRelay && hintedSomewhere(cmd, now);
        if (!hinted && fetches.contains(cmd.key)) return {nullptr, true};
        const bool atCaches = hinted || (cmd.lacking.empty() && cmd.candidates[0] && !lastRelay);
        return {atCaches ? ordinary(cmd, now) : originFor(cmd, now), false};
    }

    Nanos attemptDeadline(const Request& cmd, const CacheServer& to, Nanos now) {
        if (to.origin || cmd.requestClass->idempotency != Idempotency::safe || !cmd.attempts.empty())
            return cmd.deadline;
        // Just started, nothing is known of what answers take: a guess would set slow machines aside at once.
        if (terms.weightsFollowLoad || !whole.hasEnoughSamples()) return cmd.deadline;
        const Nanos usual = typical(now);
        const Nanos until = now + std::max(4 * usual, cmd.requestClass->latencyObjective / 2);
        const Nanos worthless =
            cmd.requestClass->lateWeight > 0 ? cmd.deadline : std::min(cmd.goalAt, cmd.deadline);
        return until + usual < worthless ? until : cmd.deadline;
    }

    void send(Request& cmd, CacheServer& to, Nanos now) {
        if (cmd.ranBefore[to.origin]) to.credit -= 1;
        if (cmd.usage && cmd.attempts.empty()) cmd.usage->sent.add(now, 1);
        if (to.origin && !cmd.write && cmd.keyed) fetches[cmd.key] = &cmd;
        if (terms.cacheAside && cmd.write)
            for (CacheServer* c : fleet) c->filter.remove(cmd.key);
        host.startAttempt(cmd.id, to.name, attemptDeadline(cmd, to, now), cmd.latestStart);
        cmd.attempts.push_back({to.shared_from_this(), now, AttemptState::inFlight});
        to.window.onAttemptStarted();
        if (to.origin)
            coldFetches += cmd.atCold;
        else
            whole.onAttemptStarted();
        to.due -= 1;
        fleetState += std::exchange(to.owed, false);
    }

    void finish(Request& cmd, Nanos now) {
        // Half of it by chance: clients told the same would come back as one wave.
        const Nanos half = terms.retryAfterAllowed ? terms.maxRetryAfter / 2 : 0;
        legal(cmd, nullptr, now) ? host.reject(cmd.id, half + spread(half)) : host.fail(cmd.id);
        cmd.closed = true;
        bore(cmd, true, now);
    }

    bool beyondShare(TenantUsage* usage, Nanos now) {
        if (!usage || usage->tenant.quotaPerSecond <= 0) return false;
        // No router knows its part of all traffic: what the median customer is sent of its share stands for
        // it.
        const double even = lifeOf(kShareMemory, now) / kSecond / terms.routerCount;
        std::vector<double> parts;
        for (const auto& u : usages)
            if (const double quota = u->tenant.quotaPerSecond; quota > 0)
                parts.push_back(u->sent.read(now) / quota);
        const auto middle = parts.begin() + (parts.size() - 1) / 2;
        std::nth_element(parts.begin(), middle, parts.end());
        const double sent = std::max(even, *middle) * usage->tenant.quotaPerSecond;
        return usage->sent.read(now) > sent + std::max(std::sqrt(sent), sent / 3);
    }

    // Time-outs and misses too: in a jam hardly anything is answered, yet all that ends tells of the queue.
    void learnTime(CacheServer& c, const Request& cmd, const AttemptResult& end, Nanos now) {
        const bool done = isDone(end.outcome);
        c.timeOutsInRow = done ? 0 : c.timeOutsInRow + (end.outcome == AttemptOutcome::timedOut);
        const double goal = static_cast<double>(std::max(cmd.requestClass->latencyObjective, kMillisecond));
        const bool timed = done || end.outcome == AttemptOutcome::timedOut;
        const double late = timed ? std::clamp(static_cast<double>(end.duration) / goal, 0.0, 2.0) : 1;
        c.heard.add(now, 1);
        c.lateness.add(now, late);
        heardAll.add(now, 1);
        latenessAll.add(now, late);
        const auto moment = static_cast<Nanos>(static_cast<double>(typical(now)) / (16 + c.window.limit()));
        if (!timed || now - c.window.lastSampleAt() < moment ||
            (!done && end.duration < cmd.requestClass->latencyObjective / 2))
            return;
        c.window.recordLatency(now, end.duration, cmd.requestClass->latencyObjective);
        // A second time-out in a row tells of that cache alone, while most of what ends is answered.
        const bool hangs = c.timeOutsInRow > 1 && answers.read(now) > heardAll.read(now) / 2;
        if (!c.origin && !hangs) whole.recordLatency(now, end.duration, cmd.requestClass->latencyObjective);
    }

    void learn(CacheServer& c, const Request& cmd, AttemptOutcome ending, Nanos spent, Nanos now) {
        if (ending == AttemptOutcome::succeeded) {
            c.credit = std::min(c.credit + 0.2, 10.0);
            answers.add(now, 1);
            answerTime.add(now, static_cast<double>(spent));
        }
        if (ending == AttemptOutcome::overloaded) c.window.decrease(now, typical(now), 0.7);
        if (ending == AttemptOutcome::connectFailed || ending == AttemptOutcome::connectionLost)
            c.filter.clear();  // it may be back, empty
        if (isDone(ending) && !c.origin && warmth(c, now) >= 1) warmDone.add(now, 1);
        const bool failed =
            ending == AttemptOutcome::failed || ending == AttemptOutcome::connectionLost ||
            ending == AttemptOutcome::connectFailed ||
            (ending == AttemptOutcome::timedOut && spent >= cmd.requestClass->latencyObjective / 2);
        if (failed) judge(c, now);
    }

    void judge(CacheServer& c, Nanos now) {
        c.failures.add(now, 1);
        const double f = c.failures.read(now);
        const double n = std::max(c.heard.read(now), f);
        if (c.origin || c.asideUntil > now || f <= 1.5) return;
        std::vector<double> shares;
        std::size_t ready = 0, gone = 0;
        for (CacheServer* other : fleet) {
            if (!usable(*other)) continue;
            ++ready;
            if (other->asideUntil > now) ++gone;
            if (const double of = other->heard.read(now); of >= 0.5)
                shares.push_back(other->failures.read(now) / of);
        }
        if (shares.empty() || (gone + 1) * 2 > ready) return;
        std::nth_element(shares.begin(), shares.begin() + shares.size() / 2, shares.end());
        const double median = shares[shares.size() / 2];
        const double chanceful = median * n + 1.5 + 1.5 * std::sqrt(n * std::max(median, 0.02));
        if (f <= std::max(chanceful, (2 * median + 0.1) * n)) return;
        host.log("set aside " + c.name + ": " + std::to_string(f) + " of " + std::to_string(n) + " failed");
        c.asideUntil = now + kAside + spread(kAside / 4);
        c.window.setLimit(1);
        for (DecayingSum* sum : {&c.heard, &c.lateness, &c.failures}) sum->clear();
        ++fleetState;
    }

    void registerEnd(Request& cmd, CacheServer& from, AttemptOutcome ending) {
        const bool answered = ending == AttemptOutcome::succeeded;
        if (!from.origin) {
            if (ending == AttemptOutcome::cacheMiss) {
                cmd.lacking.push_back(from.shared_from_this());
                from.filter.remove(cmd.key);
            } else if (answered && cmd.keyed && !(terms.cacheAside && cmd.write)) {
                from.filter.insert(cmd.key);
            }
            return;
        }
        if (auto it = fetches.find(cmd.key); it != fetches.end() && it->second == &cmd) fetches.erase(it);
        const bool stored = answered && !cmd.write && cmd.keyed;
        for (const auto& c : cmd.lacking) stored ? c->filter.insert(cmd.key) : c->filter.remove(cmd.key);
    }

    void settle(Nanos now) {
        refresh(now);
        if (waiting.size() > 1) {
            for (Request* cmd : waiting)
                cmd->rank =
                    cmd->requestClass->priorityWeight * (cmd->write || hintedSomewhere(*cmd, now) ? 2 : 1);
            std::stable_sort(waiting.begin(), waiting.end(), [](const Request* a, const Request* b) {
                if (a->beyondShare != b->beyondShare) return b->beyondShare;
                return a->rank > b->rank;
            });
        }
        Nanos wakeWanted = askAt;
        std::size_t kept = 0;
        Nanos ahead = 0;
        const auto answerGap =
            static_cast<Nanos>(lifeOf(kMemory, now) / std::max<double>(answers.read(now), kFewAnswers));
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            Request& cmd = *waiting[i];
            if (!cmd.closed) {
                const auto [to, fetching] = place(cmd, now);
                if (to) {
                    send(cmd, *to, now);
                    continue;
                }
                const Nanos lastStart = std::min(cmd.goalAt, cmd.deadline) - typical(now);
                const bool inReach = !whole.hasDecreased() || ++ahead * answerGap < (lastStart - now) / 2;
                const bool roomMayCome = !cmd.pastGoal && (fetching || (!cmd.beyondShare && inReach));
                const bool barred =
                    cmd.failedBefore || attemptsLeft(cmd) <= 0 || (!cmd.candidates[0] && origins.empty());
                if (now < lastStart && roomMayCome && !barred) {
                    wakeWanted = std::min(wakeWanted, std::min(lastStart, now + 25 * kMillisecond));
                    waiting[kept++] = &cmd;
                    continue;
                }
                finish(cmd, now);
            }
            commands.erase(cmd.id);
        }
        waiting.resize(kept);
        if (wakeWanted != kNever && (wakeAt <= now || wakeWanted < wakeAt)) {
            wakeAt = std::max(wakeWanted, now + 1);
            host.scheduleWakeup(wakeAt);
        }
    }

    void refresh(Nanos now) {
        if (now >= askAt) askAt = kNever, host.pollEndpoints();
        for (; now >= swapAt; swapAt += kGeneration) {
            // Gone at the last time too: ever new caches may not fill the machine. Commands keep theirs.
            for (auto* list : {&fleet, &origins})
                std::erase_if(*list, [&](CacheServer* c) {
                    const bool before = std::exchange(c->wasGone, c->state == EndpointState::removed);
                    return before && c->wasGone && known.erase(std::string(c->name)) > 0;
                });
            for (CacheServer* c : fleet) c->filter.startGeneration();
        }
        const double bearable = std::max(policy::kTargetLatencyRatio,
                                         !whole.hasEnoughSamples() ? 0 : 2 * whole.idleLatencyRatio());
        pressed = latenessAll.read(now) > bearable * std::max(heardAll.read(now), 1.0);
        if (now >= surveyUntil) ++fleetState, surveyUntil = kNever;
    }

    void news(Nanos now, EndpointUpdateKind kind, const std::vector<Endpoint>& entries) {
        if (kind == EndpointUpdateKind::failed) {
            if (!terms.pollsEndpoints) return;
            askAfter = std::min(2 * askAfter, std::max<Nanos>(terms.pollInterval / 2, 1));
            askAt = std::min(askAt, now + askAfter / 2 + spread(askAfter / 2));
            return;
        }
        if (kind != EndpointUpdateKind::cached) askAfter = kSecond / 2;
        bool moved = !terms.weightsFollowLoad || kind != EndpointUpdateKind::delta;
        if (kind != EndpointUpdateKind::delta)
            for (const auto& [name, c] : known) c->state = EndpointState::removed;
        for (const Endpoint& e : entries) {
            auto& slot = known[e.name];
            const Nanos cameUp = slot ? std::max(e.startedAt, slot->liftedAt) : e.startedAt;
            if (!slot) {
                slot = std::make_shared<CacheServer>(e.name);
                slot->origin = terms.cacheAside && e.shape == terms.originShape;
                slot->credit = kOpening / terms.routerCount;
                if (slot->origin) slot->window = ConcurrencyLimiter({kOriginLateness, kOriginLateness}, 4);
                (slot->origin ? origins : fleet).push_back(slot.get());
                if (e.startedAt > 0 && now - e.startedAt < terms.rampDuration) slot->window.setLimit(2);
                moved = true;
            } else if (cameUp > slot->startedAt) {
                // Departure: a cache restarted under its old id has lost what its hints say it holds.
                slot->filter.clear();
                slot->window.lowerLimitTo(2);
            }
            moved = moved || e.state != slot->state || cameUp != slot->startedAt;
            if (cameUp != slot->startedAt) slot->dueAt = now;
            // Without a size it keeps the one, or the load, that it was last known for, or a place.
            const bool sized = !terms.weightsFollowLoad && (e.weight > 0 || slot->weight == 0);
            if (terms.weightsFollowLoad && e.weight > 0) slot->listed = e.weight;
            const double size = sized ? std::max(e.weight, 1e-9) : slot->weight;
            static_cast<Endpoint&>(*slot) = {e.name, e.zone, e.shape, e.state, cameUp, size, e.cell};
        }
        fleetState += (terms.weightsFollowLoad && weigh()) || moved;
        // Judged times all routers: a thousand that open with a few relays each start the day in a jam.
        const double part = kOpening * static_cast<double>(fleet.size()) / terms.routerCount;
        if (!whole.hasDecreased()) whole.raiseLimitTo(part);
    }

    // A size that moves with load must not move the order: the largest listed of a shape stands for it.
    bool weigh() {
        std::unordered_map<std::string_view, std::vector<CacheServer*>> shapes;
        for (CacheServer* c : fleet)
            if (usable(*c)) shapes[c->shape].push_back(c);
        bool moved = false;
        double sum = 0, ready = 0;
        for (auto& [shape, caches] : shapes) {
            std::sort(caches.begin(), caches.end(), [](auto* a, auto* b) { return a->listed > b->listed; });
            const double most = kAbsurd * caches[caches.size() / 2]->listed;
            auto meant = caches.begin();
            while ((*meant)->listed > most) ++meant;
            for (CacheServer* c : caches) {
                moved = moved || c->weight < (*meant)->listed;
                c->weight = std::max({c->weight, (*meant)->listed, 1e-9});
                const double held = std::max(c->weight / c->listed - 1, 0.0);
                if (held < kAbsurd) c->held += 0.5 * (held - c->held);
                sum += c->held;
                ++ready;
            }
        }
        meanHeld = sum / std::max(ready, 1.0);
        return moved;
    }

    void banned(Nanos now, const std::string& name, bool on) {
        if (on ? !ejected.insert(name).second : ejected.erase(name) == 0) return;
        ++fleetState;
        const auto it = known.find(name);
        if (on || it == known.end()) return;
        CacheServer& c = *it->second;
        c.filter.clear();
        c.window.restart(kServerTarget, 2);
        for (DecayingSum* sum : {&c.heard, &c.lateness, &c.failures}) sum->clear();
        c.startedAt = c.liftedAt = c.dueAt = now;
        c.asideUntil = c.timeOutsInRow = 0;
        c.due = c.owed = true;
    }

    void arrival(Nanos now, const IncomingRequest& a) {
        auto& made = commands[a.id];
        if (made) return;
        made = std::make_unique<Request>();
        Request& cmd = *made;
        cmd.id = a.id;
        for (const auto& v : requestClasses)
            if (v->name == a.requestClass) cmd.requestClass = v;
        if (!cmd.requestClass) cmd.requestClass = unknownVerb;
        cmd.maxAttempts = a.singleAttempt ? 1 : terms.maxAttempts;
        for (const auto& u : usages)
            if (u->tenant.name == a.tenant) cmd.usage = u;
        cmd.keyed = !a.key.empty();
        cmd.key = cmd.keyed ? hashText(a.key) : mixBits(a.id);
        cmd.write = a.isWrite;
        cmd.deadline = a.deadline;
        cmd.goalAt = now + cmd.requestClass->latencyObjective;
        // All tries of a client share its time: one that is cut short by its end tells when the first came.
        const auto has = static_cast<double>(a.deadline - now);
        double& usual = patience[cmd.requestClass.get()];
        if (!a.isRetry) usual = usual == 0 ? has : usual * (has > usual ? 1.01 : 0.99);
        if (a.isRetry && cmd.requestClass->timeout > 0 && has < 0.98 * usual)
            cmd.goalAt = std::min(
                cmd.goalAt, a.deadline - cmd.requestClass->timeout + cmd.requestClass->latencyObjective);
        cmd.pastGoal = a.isRetry && cmd.goalAt <= now && cmd.requestClass->lateWeight <= 0;
        cmd.beyondShare = beyondShare(cmd.usage.get(), now);
        waiting.push_back(&cmd);
        if (!terms.weightsFollowLoad) return;
        cmd.luck = draw();
        const auto seen = static_cast<double>(std::count(recent.begin(), recent.end(), cmd.key));
        const double caches = seen / kRecent * static_cast<double>(ranked.size());
        if (caches > 1) cmd.start = static_cast<std::size_t>(caches * draw());
        recent[recentAt++ % kRecent] = cmd.key;
    }

    void ended(Nanos now, const AttemptResult& end) {
        const auto it = commands.find(end.id);
        if (it == commands.end() || static_cast<std::size_t>(end.attempt) >= it->second->attempts.size())
            return;
        Request& cmd = *it->second;
        Attempt& attempt = cmd.attempts[end.attempt];
        if (attempt.standing != AttemptState::inFlight) return;
        attempt.standing = end.outcome >= AttemptOutcome::overloaded ? AttemptState::neverExecuted
                                                                     : AttemptState::mayHaveExecuted;
        CacheServer& from = *attempt.to;
        from.window.onAttemptEnded();
        // Answers on a connection may come in order: what a heavy one lets go tells of it, not of a queue.
        if (from.origin)
            coldFetches -= cmd.atCold;
        else
            whole.onAttemptEnded();
        if (end.outcome == AttemptOutcome::cacheMiss && warmth(from, now) < 1) cmd.atCold = true;
        const bool gone = end.requestCompleted &&
                          end.outcome == AttemptOutcome::notSent;  // with its client: it tells nothing
        if (!gone && std::exchange(from.endedAt, now) != now) learnTime(from, cmd, end, now);
        const bool fetchFailed =
            end.readThrough == ReadThroughResult::fetched && end.outcome == AttemptOutcome::failed;
        if (!fetchFailed) learn(from, cmd, end.outcome, end.duration, now);
        registerEnd(cmd, from, end.outcome);
        if (end.outcome == AttemptOutcome::succeeded) bore(cmd, now > cmd.goalAt, now);
        if (cmd.closed || end.requestCompleted || end.outcome == AttemptOutcome::succeeded)
            return void(commands.erase(it));
        if (end.outcome != AttemptOutcome::cacheMiss) cmd.failedBefore = true;
        cmd.pastGoal = cmd.pastGoal || fetchFailed;
        if (attempt.standing == AttemptState::mayHaveExecuted) {
            cmd.ranBefore[from.origin] = true;
            if (cmd.requestClass->idempotency == Idempotency::idempotentWithKey)
                cmd.latestStart =
                    std::min(cmd.latestStart, attempt.sentAt + cmd.requestClass->idempotencyKeyTtl);
        }
        waiting.push_back(&cmd);
    }

    void left(RequestId id) {
        // With nothing out it is in `waiting`, and settle() drops it from there.
        if (const auto it = commands.find(id); it != commands.end()) it->second->closed = true;
    }

    PolicySettings terms;
    PolicyHost& host;
    Random random;
    std::unordered_map<std::string, std::shared_ptr<CacheServer>> known;
    std::unordered_set<std::string> ejected;
    CacheServer* owed = nullptr;               // one that is
    std::vector<CacheServer*> fleet, origins;  // in the order they were first heard of
    std::vector<std::shared_ptr<TenantUsage>> usages;
    std::vector<std::shared_ptr<const RequestClass>> requestClasses;
    std::unordered_map<RequestId, std::unique_ptr<Request>> commands;
    std::unordered_map<std::uint64_t, Request*> fetches;
    std::vector<Request*> waiting;
    const std::shared_ptr<const RequestClass> unknownVerb = std::make_shared<const RequestClass>();
    DecayingSum answers{kMemory}, answerTime{kMemory}, heardAll{kMemory}, latenessAll{kMemory};
    ConcurrencyLimiter whole{kServerTarget, 1};  // over all caches
    std::vector<RankedServer> ranked;            // those that may be candidates
    std::uint64_t fleetState = 1, surveyed = 0;  // and the one that these were worked out for
    Nanos surveyUntil = 0;
    bool zoned = false;  // there are caches in the own zone and in others, and crossing has a price
    std::array<ZoneOutcomes, 2> sides;                         // the own zone's second
    double across = 1, acrossSurveyed = 1;                     // a cache's weight in another zone
    std::unordered_map<const RequestClass*, double> patience;  // running median of first tries'
    std::array<std::uint64_t, kRecent> recent{};               // keys
    std::size_t recentAt = 0;
    double meanHeld = 0, warmSize = 0;  // over ready caches, by the list; and of the warm ones
    const Nanos fallSpan = std::max<Nanos>(terms.overloadWindow, 1);
    DecayingSum warmDone{fallSpan};
    double warmPace = 0;  // relays in a span that a warm cache of size 1 answers this router
    int coldFetches = 0;
    bool pressed = false;  // what is beyond its share has to stay out
    Nanos startedAt, swapAt, askAt = kNever, askAfter = kSecond / 2, wakeAt = 0;
};

RoutingPolicy::RoutingPolicy(PolicySettings terms, PolicyHost& host, Nanos now)
    : in_(std::make_unique<Inside>(std::move(terms), host, now)) {}
RoutingPolicy::~RoutingPolicy() = default;
void RoutingPolicy::onEndpointUpdate(Nanos now, EndpointUpdateKind kind, const std::vector<Endpoint>& e) {
    in_->news(now, kind, e);
}
void RoutingPolicy::onOperatorEjection(Nanos now, const std::string& name, bool on) {
    in_->banned(now, name, on);
}
void RoutingPolicy::onRequest(Nanos now, const IncomingRequest& arrival) { in_->arrival(now, arrival); }
void RoutingPolicy::onAttemptEnded(Nanos now, const AttemptResult& end) { in_->ended(now, end); }
void RoutingPolicy::onClientDisconnected(Nanos, RequestId id) { in_->left(id); }
void RoutingPolicy::onSettingsChanged(Nanos now, PolicySettings terms) {
    in_->changed(now, std::move(terms));
}
std::vector<EndpointStatus> RoutingPolicy::endpointStatuses(Nanos now) { return in_->beliefs(now); }
void RoutingPolicy::reconcile(Nanos now) { in_->settle(now); }

}  // namespace poppyscale
