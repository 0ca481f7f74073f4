// The guarantees of SourceSelector, checked over seeded random outages. Each safeguard is also
// disabled in turn, which the check of its guarantee has to detect.
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

using DisabledSafeguards = std::set<Safeguard>;

constexpr std::uint64_t kSeeds = 300;
constexpr Nanos kBegin = 1'000'000 * kMillisecond;

// Each check returns a description of the first violation of its guarantee, or nothing.
using Violation = std::optional<std::string>;

// For each seed, there is an outage in which one random source works, and each of the others fails at
// once or times out.
Violation checkBound(const DisabledSafeguards& disabled) {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
        std::mt19937_64 random(seed);
        const std::size_t count = 2 + random() % (kMaxSources - 1);
        SourceSelector selector(count, random(), disabled);
        selector.onResponded();
        const std::size_t workingSource = random() % count;
        Nanos now = kBegin;
        while (true) {
            const Attempt next = selector.onFailed(now);
            now = next.at;
            const bool isWorking = next.source == workingSource;
            const bool failsAtOnce = !isWorking && random() % 2 == 0;
            // The working source responds as late as its timeout allows.
            if (!failsAtOnce) now += selector.attemptTimeout();
            if (now - kBegin > kRecoveryBound)
                return "seed " + std::to_string(seed) +
                       ": no response within kRecoveryBound although a source works";
            if (isWorking) break;
        }
    }
    return {};
}

// Random failures, responses and versions: the current source changes only after a failure.
Violation checkStickiness(const DisabledSafeguards& disabled) {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
        std::mt19937_64 random(seed);
        SourceSelector selector(2 + random() % (kMaxSources - 1), random(), disabled);
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
                return "seed " + std::to_string(seed) + ": the current source changed without a failure";
        }
    }
    return {};
}

// Routers with different seeds: they spread over the sources at first, and again after the loss of
// a source.
Violation checkSpread(const DisabledSafeguards& disabled) {
    constexpr std::size_t kCount = 4;
    constexpr int kRouters = 1'000;
    std::vector<int> first(kCount), second(kCount);
    for (int router = 0; router < kRouters; ++router) {
        SourceSelector selector(kCount, static_cast<std::uint64_t>(router) * 7'919, disabled);
        selector.onResponded();
        ++first[selector.current()];
        if (selector.current() == 0) ++second[selector.onFailed(kBegin).source];
    }
    for (const int share : first)
        if (share < kRouters / 8 || share > kRouters / 2) return "the first sources are not spread";
    for (std::size_t i = 1; i < kCount; ++i)
        if (second[i] < first[0] / 6 || second[i] > first[0] / 2)
            return "the sources after a loss are not spread";
    return {};
}

// Routers that lose a source at the same time: at most half of them arrive at the other one within
// 100 ms.
Violation checkJitter(const DisabledSafeguards& disabled) {
    constexpr int kRouters = 1'000;
    constexpr Nanos kWindow = 100 * kMillisecond;
    std::vector<Nanos> arrivals;
    for (int router = 0; router < kRouters; ++router) {
        SourceSelector selector(2, static_cast<std::uint64_t>(router) * 7'919, disabled);
        selector.onResponded();
        arrivals.push_back(selector.onFailed(kBegin).at);
    }
    std::sort(arrivals.begin(), arrivals.end());
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const auto end = std::upper_bound(arrivals.begin(), arrivals.end(), arrivals[i] + kWindow);
        if (end - arrivals.begin() - static_cast<long>(i) > kRouters / 2)
            return "more than half of the routers arrive within 100 ms";
    }
    return {};
}

// All sources fail for a minute: the number of attempts is bounded, and so is the time between two
// attempts at one source, so that a recovered source is noticed soon.
Violation checkBackoff(const DisabledSafeguards& disabled) {
    constexpr Nanos kOutage = 60'000 * kMillisecond;
    for (std::uint64_t seed = 0; seed < 30; ++seed) {
        std::mt19937_64 random(seed);
        const std::size_t count = 2 + random() % (kMaxSources - 1);
        SourceSelector selector(count, random(), disabled);
        selector.onResponded();
        std::vector<Nanos> attemptedAt(count, kBegin);
        std::size_t attempts = 0;
        for (Nanos now = kBegin; now < kBegin + kOutage;) {
            const Attempt next = selector.onFailed(now);
            now = next.at;
            if (now - attemptedAt[next.source] > kMaxBackoff + kRecoveryBound)
                return "seed " + std::to_string(seed) + ": too long between two attempts at a source";
            attemptedAt[next.source] = now;
            if (++attempts > 40 * count) return "seed " + std::to_string(seed) + ": too many attempts";
        }
    }
    return {};
}

// Sources with different versions: an older list is refused until every source has offered an older
// one.
Violation checkVersions(const DisabledSafeguards& disabled) {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
        std::mt19937_64 random(seed);
        const std::size_t count = 2 + random() % (kMaxSources - 1);
        SourceSelector selector(count, random(), disabled);
        std::int64_t known = 10;
        std::set<std::size_t> olderSources;  // sources that offered an older version in this outage
        Nanos now = kBegin;
        for (int step = 0; step < 200; ++step) {
            if (random() % 4 == 0) {
                now = selector.onFailed(now).at;  // can't be reached, so it offers nothing
                continue;
            }
            const auto offered = static_cast<std::int64_t>(random() % 8 == 0 ? known : random() % 10);
            if (offered < known) olderSources.insert(selector.current());
            const ListVerdict verdict = selector.judgeVersion(offered, known);
            const ListVerdict expected = offered >= known               ? ListVerdict::usable
                                         : olderSources.size() == count ? ListVerdict::allOlder
                                                                        : ListVerdict::older;
            if (verdict != expected) return "seed " + std::to_string(seed) + ": wrong verdict on a version";
            if (verdict == ListVerdict::older) {
                now = selector.onFailed(now).at;
                continue;
            }
            known = std::max<std::int64_t>(offered, 5);
            selector.onResponded();
            olderSources.clear();
        }
    }
    return {};
}

struct Guarantee {
    const char* name;
    Safeguard safeguard;
    Violation (*check)(const DisabledSafeguards& disabled);
};

constexpr Guarantee kGuarantees[] = {
    {"without-stickiness", Safeguard::stickiness, checkStickiness},
    {"without-spread", Safeguard::spread, checkSpread},
    {"without-jitter", Safeguard::jitter, checkJitter},
    {"without-bound", Safeguard::bound, checkBound},
    {"without-backoff", Safeguard::backoff, checkBackoff},
    {"without-version-guard", Safeguard::versionGuard, checkVersions},
};

}  // namespace

TEST_CASE("SourceSelector keeps its guarantees over seeded random outages") {
    for (const Guarantee& guarantee : kGuarantees) {
        const Violation violation = guarantee.check({});
        CHECK_MESSAGE(!violation, guarantee.name, ": ", violation.value_or(""));
    }
}

// A check that passes without its safeguard would prove nothing.
TEST_CASE("the check of each guarantee fails when the safeguard behind it is disabled") {
    for (const Guarantee& guarantee : kGuarantees) {
        const Violation violation = guarantee.check({guarantee.safeguard});
        CHECK_MESSAGE(violation.has_value(), guarantee.name);
    }
}

TEST_CASE("a round tries each source once, the lost one last; a resumed source is confirmed") {
    SourceSelector selector(4, 11);
    CHECK_FALSE(selector.isConfirmed());
    selector.resumeAt(2);
    CHECK(selector.current() == 2);
    CHECK(selector.isConfirmed());
    std::set<std::size_t> tried;
    std::size_t last = 0;
    Nanos now = kBegin;
    for (int i = 0; i < 4; ++i) {
        const Attempt next = selector.onFailed(now);
        CHECK_FALSE(selector.isConfirmed());
        tried.insert(next.source);
        last = next.source;
        now = next.at;
    }
    CHECK(tried.size() == 4);
    CHECK(last == 2);
}
