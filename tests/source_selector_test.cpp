// The selector of sources: its promises, checked over seeded random outages, and each safeguard left out in
// turn, which the check of its promise must find.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "discovery/source_selector.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace poppyscale;
using namespace poppyscale::discovery;

namespace {

using Without = std::set<Safeguard>;

constexpr std::uint64_t kSeeds = 300;
constexpr Nanos kBegin = 1'000'000 * kMillisecond;

// Each check returns what it found against its promise, or nothing.
using Violation = std::optional<std::string>;

// Plays one outage with a random living source; the dead ones refuse at once, or are silent until the
// timeout.
Violation checkBound(const Without& without) {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
        std::mt19937_64 random(seed);
        const std::size_t count = 2 + random() % (kMaxSources - 1);
        SourceSelector selector(count, random(), without);
        selector.onResponded();
        const std::size_t alive = random() % count;
        Nanos now = kBegin;
        while (true) {
            const Attempt next = selector.onFailed(now);
            now = next.at;
            const bool isAlive = next.source == alive;
            const bool refuses = !isAlive && random() % 2 == 0;
            // The slowest that a living source may be.
            if (!refuses) now += selector.attemptTimeout();
            if (now - kBegin > kRecoveryBound)
                return "seed " + std::to_string(seed) + ": not back in time with a source alive";
            if (isAlive) break;
        }
    }
    return {};
}

// Random failures, answers and lists: the current source changes with a failure and with nothing else.
Violation checkStickiness(const Without& without) {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
        std::mt19937_64 random(seed);
        SourceSelector selector(2 + random() % (kMaxSources - 1), random(), without);
        Nanos now = kBegin;
        for (int step = 0; step < 100; ++step) {
            const std::size_t before = selector.current();
            if (random() % 3 == 0) {
                now = selector.onFailed(now).at;
                continue;
            }
            if (random() % 2 == 0) selector.judgeVersion(static_cast<std::int64_t>(random() % 10), 5);
            selector.onResponded();
            if (selector.current() != before)
                return "seed " + std::to_string(seed) + ": another source without a failure";
        }
    }
    return {};
}

// Routers with seeds of their own: first sources are spread, and so are those asked after a loss.
Violation checkSpread(const Without& without) {
    constexpr std::size_t kCount = 4;
    constexpr int kRouters = 1'000;
    std::vector<int> first(kCount), second(kCount);
    for (int router = 0; router < kRouters; ++router) {
        SourceSelector selector(kCount, static_cast<std::uint64_t>(router) * 7'919, without);
        selector.onResponded();
        ++first[selector.current()];
        if (selector.current() == 0) ++second[selector.onFailed(kBegin).source];
    }
    for (const int share : first)
        if (share < kRouters / 8 || share > kRouters / 2) return "first sources are not spread";
    for (std::size_t i = 1; i < kCount; ++i)
        if (second[i] < first[0] / 6 || second[i] > first[0] / 2) return "those after a loss are not spread";
    return {};
}

// Routers that lose a source in the same moment: no 100 ms sees more than half of them at the others.
Violation checkJitter(const Without& without) {
    constexpr int kRouters = 1'000;
    constexpr Nanos kWindow = 100 * kMillisecond;
    std::vector<Nanos> arrivals;
    for (int router = 0; router < kRouters; ++router) {
        SourceSelector selector(2, static_cast<std::uint64_t>(router) * 7'919, without);
        selector.onResponded();
        arrivals.push_back(selector.onFailed(kBegin).at);
    }
    std::sort(arrivals.begin(), arrivals.end());
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const auto end = std::upper_bound(arrivals.begin(), arrivals.end(), arrivals[i] + kWindow);
        if (end - arrivals.begin() - static_cast<long>(i) > kRouters / 2) return "they arrive together";
    }
    return {};
}

// All sources refuse for a minute: attempts get rare, and a source that comes back is still asked soon.
Violation checkBackoff(const Without& without) {
    constexpr Nanos kOutage = 60'000 * kMillisecond;
    for (std::uint64_t seed = 0; seed < 30; ++seed) {
        std::mt19937_64 random(seed);
        const std::size_t count = 2 + random() % (kMaxSources - 1);
        SourceSelector selector(count, random(), without);
        selector.onResponded();
        std::vector<Nanos> askedAt(count, kBegin);
        std::size_t attempts = 0;
        for (Nanos now = kBegin; now < kBegin + kOutage;) {
            const Attempt next = selector.onFailed(now);
            now = next.at;
            if (now - askedAt[next.source] > kMaxBackoff + kRecoveryBound)
                return "seed " + std::to_string(seed) + ": a source is not asked for too long";
            askedAt[next.source] = now;
            if (++attempts > 40 * count) return "seed " + std::to_string(seed) + ": asked without a pause";
        }
    }
    return {};
}

// Sources with versions of their own: no older list is taken while one source has not told an older one.
Violation checkVersions(const Without& without) {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
        std::mt19937_64 random(seed);
        const std::size_t count = 2 + random() % (kMaxSources - 1);
        SourceSelector selector(count, random(), without);
        std::int64_t known = 10;
        std::set<std::size_t> older;  // of this outage
        Nanos now = kBegin;
        for (int step = 0; step < 200; ++step) {
            if (random() % 4 == 0) {
                now = selector.onFailed(now).at;  // can't be reached: it tells nothing
                continue;
            }
            const auto offered = static_cast<std::int64_t>(random() % 8 == 0 ? known : random() % 10);
            if (offered < known) older.insert(selector.current());
            const ListVerdict verdict = selector.judgeVersion(offered, known);
            const ListVerdict right = offered >= known        ? ListVerdict::usable
                                      : older.size() == count ? ListVerdict::allOlder
                                                              : ListVerdict::older;
            if (verdict != right) return "seed " + std::to_string(seed) + ": a wrong verdict on a version";
            if (verdict == ListVerdict::older) {
                now = selector.onFailed(now).at;
                continue;
            }
            known = std::max<std::int64_t>(offered, 5);
            selector.onResponded();
            older.clear();
        }
    }
    return {};
}

struct Promise {
    const char* name;
    Safeguard safeguard;
    Violation (*check)(const Without& without);
};

constexpr Promise kPromises[] = {
    {"without-stickiness", Safeguard::stickiness, checkStickiness},
    {"without-spread", Safeguard::spread, checkSpread},
    {"without-jitter", Safeguard::jitter, checkJitter},
    {"without-bound", Safeguard::bound, checkBound},
    {"without-backoff", Safeguard::backoff, checkBackoff},
    {"without-version-guard", Safeguard::versionGuard, checkVersions},
};

}  // namespace

TEST_CASE("the selector of sources keeps its promises over seeded random outages") {
    for (const Promise& promise : kPromises) {
        const Violation violation = promise.check({});
        CHECK_MESSAGE(!violation, promise.name, ": ", violation.value_or(""));
    }
}

TEST_CASE("each safeguard of the selector, left out, is found by the check of its promise") {
    for (const Promise& promise : kPromises) {
        const Violation violation = promise.check({promise.safeguard});
        CHECK_MESSAGE(violation.has_value(), promise.name);
    }
}

TEST_CASE("a round asks each source once, the lost one last; a resumed one is confirmed") {
    SourceSelector selector(4, 11);
    CHECK_FALSE(selector.isConfirmed());
    selector.resumeAt(2);
    CHECK(selector.current() == 2);
    CHECK(selector.isConfirmed());
    std::set<std::size_t> asked;
    std::size_t last = 0;
    Nanos now = kBegin;
    for (int i = 0; i < 4; ++i) {
        const Attempt next = selector.onFailed(now);
        CHECK_FALSE(selector.isConfirmed());
        asked.insert(next.source);
        last = next.source;
        now = next.at;
    }
    CHECK(asked.size() == 4);
    CHECK(last == 2);
}
