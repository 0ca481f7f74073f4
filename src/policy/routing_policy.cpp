// All decisions of a router: report each event as it comes, then call settle() once for the moment, the one
// place that turns the wanted state into relays, declines, terminations and timers.
#include "policy/routing_policy.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace poppyscale {
namespace {

constexpr Nanos kSecond = 1'000 * kMillisecond;

constexpr int kEntries = 4;                   // hint entries a key, of the source's 3 to 6
constexpr std::int64_t kCountersPerKey = 16;  // a quarter full at four entries: about 0.4% false hits
constexpr std::size_t kLeastCounters = 1 << 8;
constexpr std::size_t kMostCounters = 10 << 20;  // the source's largest hint space
constexpr Nanos kGeneration = 10 * kSecond;
constexpr std::size_t kCandidates = 2, kMostCandidates = 3;
constexpr double kYieldMargin = 2, kYieldFloor = 2;
constexpr std::size_t kRecent = 64;
constexpr double kSaved = 12;    // spans: a quiet router hardly ever comes by a cold cache within one
constexpr double kAbsurd = 100;  // times the usual: no size or load that is meant

constexpr Nanos kMemory = 5 * kSecond;        // over which this router's own state is weighed
constexpr Nanos kCacheMemory = 15 * kSecond;  // and a cache's endings, of which a quiet router sees few
constexpr Nanos kAside = 4 * kSecond;
constexpr double kLatenessWanted = 0.4;   // of the goal: the spread about the median needs the rest
constexpr double kOriginLateness = 0.25;  // for the origin, whose answer comes on top of a miss
constexpr double kLatenessMost = 0.7;     // and no more than this, however slow a cache is when idle
constexpr double kOpening = 6;            // relays for each cache that all routers together open with
constexpr int kFewAnswers = 32;
constexpr double kLeastAcross = 0.02, kCopyPrice = 0.01;  // of a zone's own copies, as a part of utility
constexpr double kMixing = 4;  // times what more is lost in the own zone: from 1 on zones count no more
constexpr Nanos kShareMemory = 10 * kSecond;  // in less, a quiet router can't tell greed from chance

std::uint64_t mix(std::uint64_t x) {
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// Fixed for all builds and routers: routers agree on a key's candidates without a word between them.
std::uint64_t hashOf(std::string_view text) {
    std::uint64_t h = 0xcbf29ce484222325ULL;
    for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return mix(h);
}

class Decaying {
  public:
    explicit Decaying(Nanos life) : life_(life) {}
    double read(Nanos now) {
        if (now > at_ && sum_ != 0) sum_ *= std::exp(-static_cast<double>(now - at_) / life_);
        at_ = std::max(at_, now);
        return sum_;
    }
    void add(Nanos now, double x) { sum_ = read(now) + x; }
    void clear() { sum_ = 0; }

  private:
    double life_;
    double sum_ = 0;
    Nanos at_ = 0;
};

struct Counters {  // one Bloom filter, for as many keys as its size is meant for
    explicit Counters(std::size_t size) : counts(size, 0) {}

    template <class Visit>
    bool each(std::uint64_t key, Visit visit) const {
        const std::uint64_t step = mix(key ^ 0x9e3779b97f4a7c15ULL) | 1;
        for (int i = 0; i < kEntries; ++i)
            if (!visit((key + static_cast<std::uint64_t>(i) * step) & (counts.size() - 1))) return false;
        return true;
    }
    bool holds(std::uint64_t key) const {
        return each(key, [&](std::size_t at) { return counts[at] != 0; });
    }
    bool full() const { return keys * kCountersPerKey >= std::ssize(counts); }
    void enter(std::uint64_t key) {
        each(key, [&](std::size_t at) { return counts[at] += counts[at] != 255, true; });
        ++keys;
    }
    // A saturated counter has lost its count: counting it down would unregister keys that are still held.
    void remove(std::uint64_t key) {
        each(key, [&](std::size_t at) { return counts[at] -= counts[at] != 255, true; });
        --keys;
    }

    std::vector<std::uint8_t> counts;
    std::int64_t keys = 0;
};

// Takes no memory before the first key, as most routers of a large fleet hold a key or two at each cache.
class Filter {
  public:
    bool holds(std::uint64_t key) const { return in(current_, key) || in(previous_, key); }
    void enter(std::uint64_t key) {
        if (in(current_, key)) return;
        const std::size_t last = current_.empty() ? 0 : current_.back().counts.size();
        if (last == 0 || (current_.back().full() && last < kMostCounters / 4))
            current_.emplace_back(std::max(2 * last, kLeastCounters));
        current_.back().enter(key);
    }
    void clear(std::uint64_t key) {
        for (auto* generation : {&current_, &previous_})
            for (Counters& block : *generation)
                if (block.holds(key)) block.remove(key);
    }
    void wipe() { *this = {}; }
    std::int64_t keys() const {
        std::int64_t sum = 0;
        for (const auto* generation : {&current_, &previous_})
            for (const Counters& block : *generation) sum += block.keys;
        return sum;
    }
    void swap() { previous_ = std::exchange(current_, {}); }

  private:
    using Generation = std::vector<Counters>;
    static bool in(const Generation& generation, std::uint64_t key) {
        return std::any_of(generation.begin(), generation.end(), [&](auto& b) { return b.holds(key); });
    }

    Generation current_;
    Generation previous_;
};

struct Window {  // how many relays may be out, learnt from how answers fare against their goals
    // Beyond its share a customer leaves a quarter free: what is within share would else find it full.
    bool open(Nanos now, bool beyondShare) const {
        const double most = beyondShare ? size * 0.75 : std::max(1.0, std::floor(size));
        return now >= nextAt && out + 1 <= most;
    }

    void cut(Nanos now, Nanos spent, double factor) {
        if (now - cutAt < spent) return;  // all that was out together tells of one and the same jam
        size = std::max(0.05, size * factor);
        cutAt = now;
    }

    void learn(Nanos now, Nanos spent, Nanos goal) {
        // Bounded: one absurd report must not throw the medians and the waits off for good.
        goal = std::max(goal, kMillisecond);
        spent = std::clamp<Nanos>(spent, 0, 4 * goal);
        const double part = static_cast<double>(spent) / static_cast<double>(goal);
        // Steps towards the median: a few heavy commands would move a mean, a queue delays all that is
        // answered.
        lateness = lateness == 0 ? part : std::max(0.01, lateness * (part > lateness ? 1.1 : 0.9));
        // Slower, or its least would lie far under what idle caches take; less so where answers are few.
        const double apart = static_cast<double>(now - learntAt) / (2 * kSecond);
        const double step = std::max(std::clamp(apart, 0.02, 0.1), 1.0 / (2 + seen));
        learntAt = now;
        usual = usual == 0 ? part : std::max(0.01, usual * (part > usual ? 1 + step : 1 - step));
        if (++seen == kFewAnswers) idle = usual;
        idle = std::min(idle * 1.0002, usual);
        const double wanted = std::clamp(2 * idle, least, kLatenessMost) + shared / std::max(size, 0.5);
        if (lateness > wanted && usual > std::clamp(1.5 * idle, 0.6 * wanted, 0.8 * wanted))
            cut(now, std::max(spent, static_cast<Nanos>(usual * static_cast<double>(goal))), 0.85);
        else
            grow();
        pace(now, spent);
    }
    // With many routers even one relay each is too much: a size under one is kept by waiting between.
    void pace(Nanos now, Nanos spent) {
        nextAt = size < 1 ? now + static_cast<Nanos>(static_cast<double>(spent) * (1 / size - 1)) : 0;
    }
    void grow() {
        if (out + 1 >= std::floor(size) * 0.75)
            size += std::min(cutAt == 0 ? 0.5 : 0.5 / std::max(size, 2.0), 0.2 * size);
    }

    double least;       // lateness below which nothing is held to queue
    double shared = 0;  // what a window of one bears above that
    double size = 4;
    double lateness = 0, usual = 0;  // quick and slow running medians of an answer's part of its goal
    double idle = 1;                 // the least the slower one has been, forgotten slower still
    int seen = 0, out = 0;
    Nanos cutAt = 0, nextAt = 0, learntAt = 0;
};

// As listed, but for a size that moves and a start that a lifted ban makes later.
struct Cache : Listed, std::enable_shared_from_this<Cache> {
    explicit Cache(const std::string& id) : Listed{id, "", "", Presence::gone, 0, 0}, hash(hashOf(id)) {}

    std::uint64_t hash;
    double listed = 0, held = 0;           // where sizes move: the last one told, and commands a core by that
    bool origin = false, wasGone = false;  // when the generations last changed
    bool owed = false;                     // a first relay since its ban was lifted
    Filter filter;
    Window window{kLatenessWanted};
    double credit = 0;  // further relays it may take; its answers earn them
    // Endings of all kinds, their sum of parts of the goal, and those that failed.
    Decaying heard{kCacheMemory}, lateness{kCacheMemory}, failures{kCacheMemory};
    double due = 0;  // while cold: relays it may be sent, worked out up to `dueAt`
    int timeOutsInRow = 0;
    Nanos dueAt = 0, endedAt = 0;  // when a relay last ended there
    Nanos asideUntil = 0;          // set aside for its failures until then
    Nanos liftedAt = -kNever;      // a ban on it
};

bool isDone(Ending e) { return e == Ending::answered || e == Ending::noneHere; }

enum class Standing : std::uint8_t { out, neverRan, mayHaveRun };

struct Relay {
    std::shared_ptr<Cache> to;
    Nanos sentAt;
    Standing standing;
};

struct Ranked {
    std::uint64_t hash;
    double plain, weight;  // the latter less across zones
    Cache* cache;
};

struct Side {  // caches of the own zone, or the others
    double part(Nanos now) { return lost.read(now) / (asked.read(now) + 1); }
    Decaying asked{kMemory}, lost{kMemory};
};

struct Usage {
    Customer customer;
    Decaying sent{kShareMemory};
};

struct Command {
    CommandId id = 0;
    std::shared_ptr<const Verb> verb;  // it stays as it was when the command came
    std::shared_ptr<Usage> usage;
    int mostRelays = 1;
    std::uint64_t key = 0;
    bool keyed = false, write = false, closed = false, failedBefore = false, beyondShare = false;
    // A relay may have run, at a cache or at the origin: a further one there doubles work and needs credit.
    std::array<bool, 2> ranBefore{};
    bool pastGoal = false, atCold = false;  // it is of no use to go on; its miss was at a cold cache
    double rank = 0;
    std::size_t start = 0;  // its first candidate's place in the rendezvous order
    double luck = 0;        // drawn once: what is asked again and again would else pass any chance in the end
    Nanos goalAt = 0, giveUpAt = 0, startBy = kNever;  // the latter since a receipted one may have run
    std::vector<Relay> relays;
    std::vector<std::shared_ptr<Cache>> lacking;
    std::array<Cache*, kMostCandidates> candidates{};  // as many as are usable, in rendezvous order
    std::uint64_t candidatesOf = 0;                    // the fleet's state that they were worked out for
};

}  // namespace

struct Router::Inside {
    Inside(Terms given, Host& host, Nanos now)
        : terms(std::move(given)), host(host), startedAt(now), swapAt(now + kGeneration) {
        std::seed_seq seed{static_cast<unsigned>(terms.seed), static_cast<unsigned>(terms.seed >> 32)};
        chance.seed(seed);
        readTerms();
        // Spread: discovery doesn't grow with the routers, and all may have been restarted together.
        const Nanos width = std::min(terms.firstAskWithin, terms.routers * 10 * kMillisecond);
        askAt = terms.listOnRequest ? now + spread(width) : kNever;
    }

    void readTerms() {
        verbs.clear();
        for (const Verb& v : terms.verbs) verbs.push_back(std::make_shared<const Verb>(v));
        patience.clear();
        across = leastAcross();
        const auto before = std::exchange(usages, {});
        for (const Customer& c : terms.customers) {
            const auto same = [&](const auto& u) { return u->customer.name == c.name; };
            const auto it = std::find_if(before.begin(), before.end(), same);
            usages.push_back(it != before.end() ? *it : std::make_shared<Usage>(Usage{c}));
            usages.back()->customer = c;
        }
    }

    void changed(Nanos now, Terms next) {
        terms = std::move(next);
        readTerms();
        for (Cache* c : fleet) c->dueAt = std::max(c->dueAt, now);
        ++fleetState;
    }

    std::vector<Belief> beliefs(Nanos now) {
        std::vector<Belief> all;
        for (const auto* list : {&fleet, &origins})
            for (Cache* c : *list)
                all.push_back({c->name, c->zone, c->presence, bans.contains(c->name), c->origin,
                               c->window.out, c->window.size, warmth(*c, now), c->heard.read(now),
                               c->failures.read(now),
                               c->lateness.read(now) / std::max(c->heard.read(now), 1e-9), c->filter.keys(),
                               c->asideUntil});
        return all;
    }

    bool usable(const Cache& c) const { return c.presence == Presence::ready && !bans.contains(c.name); }

    int relaysLeft(const Command& cmd) const {
        return std::min(cmd.mostRelays, terms.maxRelays) - static_cast<int>(cmd.relays.size());
    }

    Nanos spread(Nanos width) { return static_cast<Nanos>(static_cast<double>(width) * draw()); }
    double draw() { return chance() / 4294967296.0; }

    double warmth(const Cache& c, Nanos now) const {
        if (c.cameUp <= 0 || now - c.cameUp >= terms.ramp) return 1;
        const double done = static_cast<double>(std::max<Nanos>(now - c.cameUp, 0)) / terms.ramp;
        return terms.startShare + (1 - terms.startShare) * done;
    }

    double lifeOf(Nanos memory, Nanos now) const {
        return -static_cast<double>(memory) * std::expm1(-static_cast<double>(now - startedAt) / memory);
    }

    Nanos typical(Nanos now) {
        const double n = answers.read(now);
        return n < 0.5 ? 0 : static_cast<Nanos>(answerTime.read(now) / n);
    }

    // The one test of what may still be done with a command, lest an effect happen twice; null for a decline.
    bool legal(const Command& cmd, const Cache* to, Nanos now) const {
        if (cmd.closed) return false;
        const Relay* mayHaveRun = nullptr;
        for (const Relay& r : cmd.relays) {
            if (to && r.standing == Standing::out) return false;
            if (!mayHaveRun && r.standing != Standing::neverRan) mayHaveRun = &r;
        }
        if (to && (relaysLeft(cmd) <= 0 || now >= cmd.giveUpAt || !usable(*to))) return false;
        if (!mayHaveRun || cmd.verb->effect == Effect::pure) return true;
        if (cmd.verb->effect == Effect::effectful) return false;
        if (!to) return cmd.verb->group == Group::all;
        const Cache& first = *mayHaveRun->to;
        const Group group = cmd.verb->group;
        const bool in = group == Group::zone ? to->zone == first.zone : to->cell == first.cell;
        return (in || group == Group::all) && now < cmd.startBy;
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
        for (Cache* c : fleet)
            if (terms.crossPrice > 0 && usable(*c))
                all += c->size * warmth(*c, now), zones[c->zone] += c->size * warmth(*c, now);
        const double own = zones.contains(terms.zone) ? zones[terms.zone] : 0;
        zoned = terms.crossPrice > 0 && own > 0 && own < all;
        // Where traffic comes in is told nowhere: that of this router, and of the others evenly by zone.
        const double traffic =
            (1 + (terms.routers - 1.0) / std::max<std::size_t>(zones.size(), 1)) / terms.routers;
        const double bears = std::min(1.0, own / all / traffic);
        const double far = std::max(across, (1 - bears) / bears * own / (all - own));
        for (Cache* c : fleet) {
            if (!usable(*c)) continue;
            if (c->owed) owed = c;
            const double w = warmth(*c, now);
            warmSize += w < 1 ? 0 : c->size;
            if (w < 1) surveyUntil = std::min(surveyUntil, now + std::max(terms.ramp / 32, kMillisecond));
            if (c->asideUntil <= now)  // a cold one isn't preferred before it can bear its zone
                ranked.push_back({c->hash, c->size * w,
                                  c->size * w * (zoned ? std::pow(far, near(*c) ? 1 - w : 1) : 1), c});
            else
                surveyUntil = std::min(surveyUntil, c->asideUntil);
        }
    }

    const auto& candidatesFor(Command& cmd, Nanos now) {
        if (surveyed != fleetState) survey(now);
        if (cmd.candidatesOf == fleetState) return cmd.candidates;
        cmd.candidatesOf = fleetState;
        const auto best = topOf(cmd, cmd.start + kMostCandidates, &Ranked::weight);
        cmd.candidates = {};
        for (std::size_t i = 0; i < std::min(best.size(), kMostCandidates); ++i)
            cmd.candidates[i] = best[(cmd.start + i) % best.size()].second;
        // The last resort is the first over all zones: the caches that the routers there ask for the key.
        const auto& [first, second, third] = cmd.candidates;
        if (zoned && third)
            for (const auto& [score, c] : topOf(cmd, kMostCandidates, &Ranked::plain))
                if (c != first && c != second) return cmd.candidates[kCandidates] = c, cmd.candidates;
        return cmd.candidates;
    }

    std::vector<std::pair<double, Cache*>> topOf(const Command& cmd, std::size_t n,
                                                 double Ranked::*by) const {
        std::vector<std::pair<double, Cache*>> best(std::min(n, ranked.size()));
        for (const Ranked& r : ranked) {
            const double u = (static_cast<double>(mix(cmd.key ^ r.hash) >> 11) + 0.5) * 0x1p-53;
            // Since -log(u) is at least 1 - u, most are known to score too little without the logarithm.
            if (r.*by <= best.back().first * (1 - u)) continue;
            const std::pair<double, Cache*> entry{r.*by / -std::log(u), r.cache};
            if (entry.first <= best.back().first) continue;
            best.back() = entry;
            for (auto at = best.size() - 1; at > 0 && best[at - 1].first < best[at].first; --at)
                std::swap(best[at - 1], best[at]);
        }
        return best;
    }

    double leastAcross() const { return std::max(kLeastAcross, std::exp(-terms.crossPrice / kCopyPrice)); }
    bool near(const Cache& c) const { return c.zone == terms.zone; }

    // What is lost of the own zone's more than of what went across, past its price, makes zones count less.
    void bore(Command& cmd, bool lost, Nanos now) {
        if (terms.crossPrice <= 0 || (cmd.write && terms.aside) || cmd.beyondShare) return;
        const Cache* to = cmd.relays.empty() ? candidatesFor(cmd, now)[0] : cmd.relays.front().to.get();
        if (!to || to->origin) return;
        auto& side = sides[near(*to)];
        side.asked.add(now, 1);
        side.lost.add(now, lost);
        const double more = sides[true].part(now) - sides[false].part(now) - terms.crossPrice;
        across = std::pow(leastAcross(), 1 - std::clamp(kMixing * more, 0.0, 1.0));
        if (std::abs(across - acrossSurveyed) > 0.1 * acrossSurveyed) ++fleetState;
    }

    // Each router keeps to its part; one under a relay goes by chance: a thousand that round it up are a
    // flood.
    bool coldBudgetLeft(Cache& c, Nanos now) {
        const double w = warmth(c, now);
        if (w >= 1) return true;
        if (warmSize > 0) warmPace = warmDone.read(now) / warmSize;
        const double budget = 0.5 * terms.tipMultiple * w * warmPace * c.size;
        const double since = std::min(kSaved, static_cast<double>(now - c.dueAt) / fallSpan);
        c.due = std::min(c.due + budget * since, std::max(1.0, budget));
        c.dueAt = now;
        if (c.due < 1) c.due = draw() < c.due ? 1 : 0;
        return c.due >= 1;
    }

    bool room(const Command& cmd, Cache& c, Nanos now) {
        if (!c.window.open(now, cmd.beyondShare) || !(c.origin || whole.open(now, cmd.beyondShare)) ||
            !legal(cmd, &c, now) || (cmd.beyondShare && pressed))
            return false;
        if (cmd.ranBefore[c.origin] && c.credit < draw()) return false;
        for (const Relay& r : cmd.relays)
            if (cmd.failedBefore && r.to.get() == &c && !c.origin) return false;
        return coldBudgetLeft(c, now);
    }

    // The list's word on load is late and the same at all routers, which would swing together but for chance.
    bool listedBusy(const Command& cmd, const Cache& c, Nanos now) {
        const double each = static_cast<double>(std::max(typical(now), kMillisecond)) / (1 + meanHeld);
        const double limit = std::max(kLatenessWanted * static_cast<double>(cmd.verb->goal) / each, meanHeld);
        return c.held > limit && cmd.luck > limit * limit / (c.held * c.held);
    }

    // The mechanism: the hinted candidate, else rendezvous order, and one that is too busy yields.
    Cache* ordinary(Command& cmd, Nanos now) {
        auto candidates = candidatesFor(cmd, now);
        if (zoned && cmd.failedBefore)
            std::rotate(candidates.begin(), candidates.begin() + 2, candidates.end());
        // Of a lifted cache a quiet router would hear nothing for long: all its keys have their places.
        if (owed && cmd.verb->effect == Effect::pure && room(cmd, *owed, now)) return owed;
        const double mean = whole.out / std::max<double>(static_cast<double>(ranked.size()), 1);
        const double busy = std::max(kYieldFloor, kYieldMargin * mean);
        // A quiet router hardly has two relays out, but what its few endings there took tells the same.
        const auto late = [&](Cache& c) {
            return (c.lateness.read(now) + whole.usual) / (c.heard.read(now) + 1) >
                   std::max(kLatenessWanted, kYieldMargin * whole.usual);
        };
        const auto yields = [&](Cache& c) {
            return c.window.out >= busy || late(c) || listedBusy(cmd, c, now);
        };
        Cache* yielding = nullptr;
        for (const bool hinted : {true, false}) {
            for (std::size_t i = 0; i < kCandidates; ++i) {
                Cache* c = candidates[i];
                if (!c || c->filter.holds(cmd.key) != hinted) continue;
                const bool fits = room(cmd, *c, now);
                if (!fits && (!hinted || cmd.failedBefore || c->window.open(now, cmd.beyondShare))) continue;
                // A hinted one that is only full is waited for: a miss elsewhere costs more than the wait.
                if (!yields(*c)) return fits ? c : yielding;
                if (fits && (!yielding || (terms.sizesMove && c->held < yielding->held))) yielding = c;
            }
        }
        Cache* third = candidates[kCandidates];
        const bool wanted = third && (!yielding || terms.sizesMove || third->filter.holds(cmd.key));
        return wanted && !yields(*third) && room(cmd, *third, now) ? third : yielding;
    }

    bool hintedSomewhere(Command& cmd, Nanos now) {
        const auto& all = candidatesFor(cmd, now);
        return std::any_of(all.begin(), all.end(), [&](auto* c) { return c && c->filter.holds(cmd.key); });
    }

    Cache* originFor(Command& cmd, Nanos now) {
        Cache* best = nullptr;
        for (Cache* c : origins)
            if (usable(*c) && (!best || c->window.out < best->window.out)) best = c;
        if (!best || !room(cmd, *best, now)) return nullptr;
        if (cmd.atCold && coldFetches >= std::max(1, static_cast<int>(best->window.size / 4))) return nullptr;
        return best;
    }

    std::pair<Cache*, bool> place(Command& cmd, Nanos now) {
        if (cmd.pastGoal) return {nullptr, false};
        if (!terms.aside) return {ordinary(cmd, now), false};
        if (cmd.write) return {originFor(cmd, now), false};
        const bool lastRelay = relaysLeft(cmd) <= 1;
        const bool hinted = !lastRelay && hintedSomewhere(cmd, now);
        if (!hinted && fetches.contains(cmd.key)) return {nullptr, true};
        const bool atCaches = hinted || (cmd.lacking.empty() && cmd.candidates[0] && !lastRelay);
        return {atCaches ? ordinary(cmd, now) : originFor(cmd, now), false};
    }

    Nanos relayUntil(const Command& cmd, const Cache& to, Nanos now) {
        if (to.origin || cmd.verb->effect != Effect::pure || !cmd.relays.empty()) return cmd.giveUpAt;
        // Just started, nothing is known of what answers take: a guess would set slow machines aside at once.
        if (terms.sizesMove || whole.seen < kFewAnswers) return cmd.giveUpAt;
        const Nanos usual = typical(now);
        const Nanos until = now + std::max(4 * usual, cmd.verb->goal / 2);
        const Nanos worthless = cmd.verb->lateUtility > 0 ? cmd.giveUpAt : std::min(cmd.goalAt, cmd.giveUpAt);
        return until + usual < worthless ? until : cmd.giveUpAt;
    }

    void send(Command& cmd, Cache& to, Nanos now) {
        if (cmd.ranBefore[to.origin]) to.credit -= 1;
        if (cmd.usage && cmd.relays.empty()) cmd.usage->sent.add(now, 1);
        if (to.origin && !cmd.write && cmd.keyed) fetches[cmd.key] = &cmd;
        if (terms.aside && cmd.write)
            for (Cache* c : fleet) c->filter.clear(cmd.key);
        host.relay(cmd.id, to.name, relayUntil(cmd, to, now), cmd.startBy);
        cmd.relays.push_back({to.shared_from_this(), now, Standing::out});
        ++to.window.out;
        to.origin ? coldFetches += cmd.atCold : ++whole.out;
        to.due -= 1;
        fleetState += std::exchange(to.owed, false);
    }

    void finish(Command& cmd, Nanos now) {
        // Half of it by chance: clients told the same would come back as one wave.
        const Nanos half = terms.comeBackAllowed ? terms.maxComeBack / 2 : 0;
        legal(cmd, nullptr, now) ? host.decline(cmd.id, half + spread(half)) : host.terminate(cmd.id);
        cmd.closed = true;
        bore(cmd, true, now);
    }

    bool beyondShare(Usage* usage, Nanos now) {
        if (!usage || usage->customer.quotaPerSecond <= 0) return false;
        // No router knows its part of all traffic: what the median customer is sent of its share stands for
        // it.
        const double even = lifeOf(kShareMemory, now) / kSecond / terms.routers;
        std::vector<double> parts;
        for (const auto& u : usages)
            if (const double quota = u->customer.quotaPerSecond; quota > 0)
                parts.push_back(u->sent.read(now) / quota);
        const auto middle = parts.begin() + (parts.size() - 1) / 2;
        std::nth_element(parts.begin(), middle, parts.end());
        const double sent = std::max(even, *middle) * usage->customer.quotaPerSecond;
        return usage->sent.read(now) > sent + std::max(std::sqrt(sent), sent / 3);
    }

    // Time-outs and misses too: in a jam hardly anything is answered, yet all that ends tells of the queue.
    void learnTime(Cache& c, const Command& cmd, const RelayEnd& end, Nanos now) {
        const bool done = isDone(end.ending);
        c.timeOutsInRow = done ? 0 : c.timeOutsInRow + (end.ending == Ending::timedOut);
        const double goal = static_cast<double>(std::max(cmd.verb->goal, kMillisecond));
        const bool timed = done || end.ending == Ending::timedOut;
        const double late = timed ? std::clamp(static_cast<double>(end.spent) / goal, 0.0, 2.0) : 1;
        c.heard.add(now, 1);
        c.lateness.add(now, late);
        heardAll.add(now, 1);
        latenessAll.add(now, late);
        const auto moment = static_cast<Nanos>(static_cast<double>(typical(now)) / (16 + c.window.size));
        if (!timed || now - c.window.learntAt < moment || (!done && end.spent < cmd.verb->goal / 2)) return;
        c.window.learn(now, end.spent, cmd.verb->goal);
        // A second time-out in a row tells of that cache alone, while most of what ends is answered.
        const bool hangs = c.timeOutsInRow > 1 && answers.read(now) > heardAll.read(now) / 2;
        if (!c.origin && !hangs) whole.learn(now, end.spent, cmd.verb->goal);
    }

    void learn(Cache& c, const Command& cmd, Ending ending, Nanos spent, Nanos now) {
        if (ending == Ending::answered) {
            c.credit = std::min(c.credit + 0.2, 10.0);
            answers.add(now, 1);
            answerTime.add(now, static_cast<double>(spent));
        }
        if (ending == Ending::noRoom) c.window.cut(now, typical(now), 0.7);
        if (ending == Ending::noRoute || ending == Ending::cut) c.filter.wipe();  // it may be back, empty
        if (isDone(ending) && !c.origin && warmth(c, now) >= 1) warmDone.add(now, 1);
        const bool failed = ending == Ending::errored || ending == Ending::cut || ending == Ending::noRoute ||
                            (ending == Ending::timedOut && spent >= cmd.verb->goal / 2);
        if (failed) judge(c, now);
    }

    void judge(Cache& c, Nanos now) {
        c.failures.add(now, 1);
        const double f = c.failures.read(now);
        const double n = std::max(c.heard.read(now), f);
        if (c.origin || c.asideUntil > now || f <= 1.5) return;
        std::vector<double> shares;
        std::size_t ready = 0, gone = 0;
        for (Cache* other : fleet) {
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
        c.window.size = 1;
        for (Decaying* sum : {&c.heard, &c.lateness, &c.failures}) sum->clear();
        ++fleetState;
    }

    void registerEnd(Command& cmd, Cache& from, Ending ending) {
        const bool answered = ending == Ending::answered;
        if (!from.origin) {
            if (ending == Ending::noneHere) {
                cmd.lacking.push_back(from.shared_from_this());
                from.filter.clear(cmd.key);
            } else if (answered && cmd.keyed && !(terms.aside && cmd.write)) {
                from.filter.enter(cmd.key);
            }
            return;
        }
        if (auto it = fetches.find(cmd.key); it != fetches.end() && it->second == &cmd) fetches.erase(it);
        const bool stored = answered && !cmd.write && cmd.keyed;
        for (const auto& c : cmd.lacking) stored ? c->filter.enter(cmd.key) : c->filter.clear(cmd.key);
    }

    void settle(Nanos now) {
        refresh(now);
        if (waiting.size() > 1) {
            for (Command* cmd : waiting)
                cmd->rank = cmd->verb->utility * (cmd->write || hintedSomewhere(*cmd, now) ? 2 : 1);
            std::stable_sort(waiting.begin(), waiting.end(), [](const Command* a, const Command* b) {
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
            Command& cmd = *waiting[i];
            if (!cmd.closed) {
                const auto [to, fetching] = place(cmd, now);
                if (to) {
                    send(cmd, *to, now);
                    continue;
                }
                const Nanos lastStart = std::min(cmd.goalAt, cmd.giveUpAt) - typical(now);
                const bool inReach = whole.cutAt == 0 || ++ahead * answerGap < (lastStart - now) / 2;
                const bool roomMayCome = !cmd.pastGoal && (fetching || (!cmd.beyondShare && inReach));
                const bool barred =
                    cmd.failedBefore || relaysLeft(cmd) <= 0 || (!cmd.candidates[0] && origins.empty());
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
            host.wake(wakeAt);
        }
    }

    void refresh(Nanos now) {
        if (now >= askAt) askAt = kNever, host.subscribe();
        for (; now >= swapAt; swapAt += kGeneration) {
            // Gone at the last time too: ever new caches may not fill the machine. Commands keep theirs.
            for (auto* list : {&fleet, &origins})
                std::erase_if(*list, [&](Cache* c) {
                    const bool before = std::exchange(c->wasGone, c->presence == Presence::gone);
                    return before && c->wasGone && known.erase(std::string(c->name)) > 0;
                });
            for (Cache* c : fleet) c->filter.swap();
        }
        const double bearable = std::max(kLatenessWanted, whole.seen < kFewAnswers ? 0 : 2 * whole.idle);
        pressed = latenessAll.read(now) > bearable * std::max(heardAll.read(now), 1.0);
        if (now >= surveyUntil) ++fleetState, surveyUntil = kNever;
    }

    void news(Nanos now, NewsKind kind, const std::vector<Listed>& entries) {
        if (kind == NewsKind::failed) {
            if (!terms.listOnRequest) return;
            askAfter = std::min(2 * askAfter, std::max<Nanos>(terms.askWithin / 2, 1));
            askAt = std::min(askAt, now + askAfter / 2 + spread(askAfter / 2));
            return;
        }
        if (kind != NewsKind::cached) askAfter = kSecond / 2;
        bool moved = !terms.sizesMove || kind != NewsKind::changes;
        if (kind != NewsKind::changes)
            for (const auto& [name, c] : known) c->presence = Presence::gone;
        for (const Listed& e : entries) {
            auto& slot = known[e.name];
            const Nanos cameUp = slot ? std::max(e.cameUp, slot->liftedAt) : e.cameUp;
            if (!slot) {
                slot = std::make_shared<Cache>(e.name);
                slot->origin = terms.aside && e.shape == terms.originShape;
                slot->credit = kOpening / terms.routers;
                if (slot->origin) slot->window.least = slot->window.shared = kOriginLateness;
                (slot->origin ? origins : fleet).push_back(slot.get());
                if (e.cameUp > 0 && now - e.cameUp < terms.ramp) slot->window.size = 2;
                moved = true;
            } else if (cameUp > slot->cameUp) {
                // Departure: a cache restarted under its old id has lost what its hints say it holds.
                slot->filter.wipe();
                slot->window.size = std::min(slot->window.size, 2.0);
            }
            moved = moved || e.presence != slot->presence || cameUp != slot->cameUp;
            if (cameUp != slot->cameUp) slot->dueAt = now;
            // Without a size it keeps the one, or the load, that it was last known for, or a place.
            const bool sized = !terms.sizesMove && (e.size > 0 || slot->size == 0);
            if (terms.sizesMove && e.size > 0) slot->listed = e.size;
            const double size = sized ? std::max(e.size, 1e-9) : slot->size;
            static_cast<Listed&>(*slot) = {e.name, e.zone, e.shape, e.presence, cameUp, size, e.cell};
        }
        fleetState += (terms.sizesMove && weigh()) || moved;
        // Judged times all routers: a thousand that open with a few relays each start the day in a jam.
        const double part = kOpening * static_cast<double>(fleet.size()) / terms.routers;
        if (whole.cutAt == 0) whole.size = std::max(part, whole.size);
    }

    // A size that moves with load must not move the order: the largest listed of a shape stands for it.
    bool weigh() {
        std::unordered_map<std::string_view, std::vector<Cache*>> shapes;
        for (Cache* c : fleet)
            if (usable(*c)) shapes[c->shape].push_back(c);
        bool moved = false;
        double sum = 0, ready = 0;
        for (auto& [shape, caches] : shapes) {
            std::sort(caches.begin(), caches.end(), [](auto* a, auto* b) { return a->listed > b->listed; });
            const double most = kAbsurd * caches[caches.size() / 2]->listed;
            auto meant = caches.begin();
            while ((*meant)->listed > most) ++meant;
            for (Cache* c : caches) {
                moved = moved || c->size < (*meant)->listed;
                c->size = std::max({c->size, (*meant)->listed, 1e-9});
                const double held = std::max(c->size / c->listed - 1, 0.0);
                if (held < kAbsurd) c->held += 0.5 * (held - c->held);
                sum += c->held;
                ++ready;
            }
        }
        meanHeld = sum / std::max(ready, 1.0);
        return moved;
    }

    void banned(Nanos now, const std::string& name, bool on) {
        if (on ? !bans.insert(name).second : bans.erase(name) == 0) return;
        ++fleetState;
        const auto it = known.find(name);
        if (on || it == known.end()) return;
        Cache& c = *it->second;
        c.filter.wipe();
        c.window = {kLatenessWanted, 0, 2, 0, 0, 1, 0, c.window.out};
        for (Decaying* sum : {&c.heard, &c.lateness, &c.failures}) sum->clear();
        c.cameUp = c.liftedAt = c.dueAt = now;
        c.asideUntil = c.timeOutsInRow = 0;
        c.due = c.owed = true;
    }

    void arrival(Nanos now, const Arrival& a) {
        auto& made = commands[a.id];
        if (made) return;
        made = std::make_unique<Command>();
        Command& cmd = *made;
        cmd.id = a.id;
        for (const auto& v : verbs)
            if (v->name == a.verb) cmd.verb = v;
        if (!cmd.verb) cmd.verb = unknownVerb;
        cmd.mostRelays = a.once ? 1 : terms.maxRelays;
        for (const auto& u : usages)
            if (u->customer.name == a.customer) cmd.usage = u;
        cmd.keyed = !a.key.empty();
        cmd.key = cmd.keyed ? hashOf(a.key) : mix(a.id);
        cmd.write = a.write;
        cmd.giveUpAt = a.giveUpAt;
        cmd.goalAt = now + cmd.verb->goal;
        // All tries of a client share its time: one that is cut short by its end tells when the first came.
        const auto has = static_cast<double>(a.giveUpAt - now);
        double& usual = patience[cmd.verb.get()];
        if (!a.again) usual = usual == 0 ? has : usual * (has > usual ? 1.01 : 0.99);
        if (a.again && cmd.verb->limit > 0 && has < 0.98 * usual)
            cmd.goalAt = std::min(cmd.goalAt, a.giveUpAt - cmd.verb->limit + cmd.verb->goal);
        cmd.pastGoal = a.again && cmd.goalAt <= now && cmd.verb->lateUtility <= 0;
        cmd.beyondShare = beyondShare(cmd.usage.get(), now);
        waiting.push_back(&cmd);
        if (!terms.sizesMove) return;
        cmd.luck = draw();
        const auto seen = static_cast<double>(std::count(recent.begin(), recent.end(), cmd.key));
        const double caches = seen / kRecent * static_cast<double>(ranked.size());
        if (caches > 1) cmd.start = static_cast<std::size_t>(caches * draw());
        recent[recentAt++ % kRecent] = cmd.key;
    }

    void ended(Nanos now, const RelayEnd& end) {
        const auto it = commands.find(end.id);
        if (it == commands.end() || static_cast<std::size_t>(end.relay) >= it->second->relays.size()) return;
        Command& cmd = *it->second;
        Relay& relay = cmd.relays[end.relay];
        if (relay.standing != Standing::out) return;
        relay.standing = end.ending >= Ending::noRoom ? Standing::neverRan : Standing::mayHaveRun;
        Cache& from = *relay.to;
        --from.window.out;
        // Answers on a connection may come in order: what a heavy one lets go tells of it, not of a queue.
        from.origin ? coldFetches -= cmd.atCold : --whole.out;
        if (end.ending == Ending::noneHere && warmth(from, now) < 1) cmd.atCold = true;
        const bool gone = end.over && end.ending == Ending::notSent;  // with its client: it tells nothing
        if (!gone && std::exchange(from.endedAt, now) != now) learnTime(from, cmd, end, now);
        const bool fetchFailed = end.found == Found::fetched && end.ending == Ending::errored;
        if (!fetchFailed) learn(from, cmd, end.ending, end.spent, now);
        registerEnd(cmd, from, end.ending);
        if (end.ending == Ending::answered) bore(cmd, now > cmd.goalAt, now);
        if (cmd.closed || end.over || end.ending == Ending::answered) return void(commands.erase(it));
        if (end.ending != Ending::noneHere) cmd.failedBefore = true;
        cmd.pastGoal = cmd.pastGoal || fetchFailed;
        if (relay.standing == Standing::mayHaveRun) {
            cmd.ranBefore[from.origin] = true;
            if (cmd.verb->effect == Effect::receipted)
                cmd.startBy = std::min(cmd.startBy, relay.sentAt + cmd.verb->remembered);
        }
        waiting.push_back(&cmd);
    }

    void left(CommandId id) {
        // With nothing out it is in `waiting`, and settle() drops it from there.
        if (const auto it = commands.find(id); it != commands.end()) it->second->closed = true;
    }

    Terms terms;
    Host& host;
    std::mt19937 chance;
    std::unordered_map<std::string, std::shared_ptr<Cache>> known;
    std::unordered_set<std::string> bans;
    Cache* owed = nullptr;               // one that is
    std::vector<Cache*> fleet, origins;  // in the order they were first heard of
    std::vector<std::shared_ptr<Usage>> usages;
    std::vector<std::shared_ptr<const Verb>> verbs;
    std::unordered_map<CommandId, std::unique_ptr<Command>> commands;
    std::unordered_map<std::uint64_t, Command*> fetches;
    std::vector<Command*> waiting;
    const std::shared_ptr<const Verb> unknownVerb = std::make_shared<const Verb>();
    Decaying answers{kMemory}, answerTime{kMemory}, heardAll{kMemory}, latenessAll{kMemory};
    Window whole{kLatenessWanted, 0, 1};         // over all caches
    std::vector<Ranked> ranked;                  // those that may be candidates
    std::uint64_t fleetState = 1, surveyed = 0;  // and the one that these were worked out for
    Nanos surveyUntil = 0;
    bool zoned = false;         // there are caches in the own zone and in others, and crossing has a price
    std::array<Side, 2> sides;  // the own zone's second
    double across = 1, acrossSurveyed = 1;             // a cache's weight in another zone
    std::unordered_map<const Verb*, double> patience;  // running median of first tries'
    std::array<std::uint64_t, kRecent> recent{};       // keys
    std::size_t recentAt = 0;
    double meanHeld = 0, warmSize = 0;  // over ready caches, by the list; and of the warm ones
    const Nanos fallSpan = std::max<Nanos>(terms.fallSpan, 1);
    Decaying warmDone{fallSpan};
    double warmPace = 0;  // relays in a span that a warm cache of size 1 answers this router
    int coldFetches = 0;
    bool pressed = false;  // what is beyond its share has to stay out
    Nanos startedAt, swapAt, askAt = kNever, askAfter = kSecond / 2, wakeAt = 0;
};

Router::Router(Terms terms, Host& host, Nanos now)
    : in_(std::make_unique<Inside>(std::move(terms), host, now)) {}
Router::~Router() = default;
void Router::news(Nanos now, NewsKind kind, const std::vector<Listed>& e) { in_->news(now, kind, e); }
void Router::banned(Nanos now, const std::string& name, bool on) { in_->banned(now, name, on); }
void Router::arrival(Nanos now, const Arrival& arrival) { in_->arrival(now, arrival); }
void Router::ended(Nanos now, const RelayEnd& end) { in_->ended(now, end); }
void Router::left(Nanos, CommandId id) { in_->left(id); }
void Router::changed(Nanos now, Terms terms) { in_->changed(now, std::move(terms)); }
std::vector<Belief> Router::beliefs(Nanos now) { return in_->beliefs(now); }
void Router::settle(Nanos now) { in_->settle(now); }

}  // namespace poppyscale
