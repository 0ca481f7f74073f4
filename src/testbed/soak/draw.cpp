#include "testbed/soak/draw.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

#include "testbed/emulator/random.hpp"

namespace poppyscale::testbed::soak {
namespace {

constexpr Nanos kSecond = 1'000 * kMillisecond;
constexpr Nanos kQuietStart = 1 * kSecond;  // time without faults in which the fleet starts
// Time after the last fault in which late effects can show.
constexpr Nanos kQuietEnd = 4 * kSecond;
constexpr Nanos kShortestFault = 500 * kMillisecond;
constexpr Nanos kLongestFault = 9 * kSecond;
constexpr double kFaultsPerSecond = 0.8;
constexpr double kLimitedDiscoveryShare = 0.35;  // share of days with a low rate of discovery calls
constexpr double kMinDiscoveryRoundS = 1.5;
constexpr double kMaxDiscoveryRoundS = 3;

// A documented failure of a system call that a router has to survive without losing a request.
struct CallFault {
    const char* call;
    const char* effect;
    double max;  // largest share of calls
};
constexpr CallFault kCallFaults[]{
    {"accept", "ENFILE", 0.1},         {"accept", "ENOBUFS", 0.1},
    {"accept", "ECONNABORTED", 0.1},   {"accept", "EINTR", 0.3},
    {"socket", "ENFILE", 0.1},         {"socket", "ENOBUFS", 0.1},
    {"connect", "EADDRNOTAVAIL", 0.1}, {"connect", "ENETUNREACH", 0.1},
    {"connect", "EHOSTUNREACH", 0.1},  {"connect", "ETIMEDOUT", 0.1},
    {"connect", "EINTR", 0.2},         {"read", "EINTR", 0.2},
    {"read", "EAGAIN", 0.2},           {"read", "partial", 0.5},
    {"read", "ETIMEDOUT", 0.01},       {"read", "EHOSTUNREACH", 0.01},
    {"write", "EINTR", 0.2},           {"write", "EAGAIN", 0.2},
    {"write", "ENOBUFS", 0.05},        {"write", "partial", 0.5},
    {"write", "EHOSTUNREACH", 0.01},   {"poll", "EINTR", 0.2},
};

// The kinds that are drawn. A kind that is listed several times is drawn more often.
constexpr std::array kFaultKinds{
    FaultKind::crash,
    FaultKind::hang,
    FaultKind::slow,
    FaultKind::errors,
    FaultKind::replace,
    FaultKind::drain,
    FaultKind::zonePartition,
    FaultKind::refuse,
    FaultKind::connectsDropped,
    FaultKind::clientsLeave,
    FaultKind::reset,
    FaultKind::slowReader,
    FaultKind::unresponsive,
    FaultKind::malformedResponses,
    FaultKind::originSlow,
    FaultKind::discoveryDown,
    FaultKind::discoverySilent,
    FaultKind::discoverySlow,
    FaultKind::discoveryRefuse,
    FaultKind::discoveryMove,
    FaultKind::routerKill,
    FaultKind::routerRestart,
    FaultKind::reload,
    FaultKind::callsFail,
    FaultKind::callsFail,
    FaultKind::callsFail,
    FaultKind::wallClockOffset,
    FaultKind::eventLoopDelay,
    FaultKind::drain,
    FaultKind::replace,
    FaultKind::discoverySlow,
    FaultKind::discoveryRefuse,
    FaultKind::slowReplies,
    FaultKind::slowReplies,
    FaultKind::slowReplies,
    FaultKind::stoppedReplies,
    FaultKind::stoppedReplies,
    FaultKind::stoppedReplies,
    FaultKind::routerTerminate,
    FaultKind::routerTerminate,
    FaultKind::crowd,
};

class ScenarioGenerator {
  public:
    ScenarioGenerator(const Scenario& base, std::uint64_t seed) : day_(base), random_(seed) {
        day_.name = fmt::format("{}-{}", base.name, seed);
    }

    Scenario day() {
        if (random_.chance(kLimitedDiscoveryShare)) limitDiscoveryRate();
        const Nanos end = day_.length - kQuietEnd;
        for (Nanos at = kQuietStart; at < end; at += random_.interarrivalTime(kFaultsPerSecond)) add(at, end);
        return day_;
    }

  private:
    // Limits discovery to one call per router in 1.5 to 3 s, a rate with which a fleet still works.
    void limitDiscoveryRate() {
        day_.discovery.limitsPolls = true;
        day_.discovery.pollRate = day_.routers.count / between(kMinDiscoveryRoundS, kMaxDiscoveryRoundS);
    }
    double between(double min, double max) { return min + random_.fraction() * (max - min); }
    int drawCacheCount() { return 1 + random_.integerBelow(std::max(day_.cacheCount() / 5, 1)); }

    void add(Nanos at, Nanos end) {
        FaultPlan fault;
        fault.kind =
            kFaultKinds[static_cast<std::size_t>(random_.integerBelow(static_cast<int>(kFaultKinds.size())))];
        fault.at = at;
        const auto span = static_cast<Nanos>(between(kShortestFault, kLongestFault));
        fault.length = std::max(std::min(span, end - at), kMillisecond);
        fault.count = drawCacheCount();
        drawParameters(fault);
        // The end of an exclusive fault would also end another one of its kind, so these don't overlap.
        const auto overlaps = [&](const FaultPlan& other) {
            const bool same =
                other.kind == fault.kind && other.call == fault.call && other.effect == fault.effect;
            return same && other.at < fault.at + fault.length && fault.at < other.at + other.length;
        };
        if (isExclusive(fault.kind) && std::any_of(day_.faults.begin(), day_.faults.end(), overlaps)) return;
        day_.faults.push_back(fault);
    }

    static bool isExclusive(FaultKind kind) {
        constexpr FaultKind kMayOverlap[]{
            FaultKind::crash,        FaultKind::hang,   FaultKind::replace,    FaultKind::drain,
            FaultKind::clientsLeave, FaultKind::reload, FaultKind::routerKill, FaultKind::routerTerminate};
        return std::find(std::begin(kMayOverlap), std::end(kMayOverlap), kind) == std::end(kMayOverlap);
    }

    void drawParameters(FaultPlan& fault) {
        switch (fault.kind) {
            case FaultKind::slow:
                fault.magnitude = between(2, 8);
                break;
            case FaultKind::slowReader:
                fault.magnitude = between(5, 120);
                break;
            case FaultKind::errors:
            case FaultKind::reset:
            case FaultKind::malformedResponses:
                fault.magnitude = between(0.02, 0.3);
                break;
            case FaultKind::clientsLeave:
                fault.magnitude = between(0.1, 0.6);
                break;
            case FaultKind::slowReplies:
            case FaultKind::stoppedReplies:
                fault.magnitude = between(0.05, 0.5);
                break;
            case FaultKind::crowd:
                fault.magnitude = between(20, 150);
                break;
            case FaultKind::routerTerminate:
                fault.count = 1 + random_.integerBelow(std::max(day_.routers.count / 3, 1));
                fault.length = 0;
                break;
            case FaultKind::originSlow:
                fault.magnitude = between(1.2, 3);
                break;
            case FaultKind::zonePartition: {
                const auto zones = static_cast<int>(day_.network.zones.size());
                fault.zone = day_.network.zones[static_cast<std::size_t>(random_.integerBelow(zones))];
                fault.length = std::min(fault.length, 5 * kSecond);
                break;
            }
            case FaultKind::discoverySlow:
                fault.magnitude = between(200, 3'400);
                break;
            case FaultKind::discoveryRefuse:
                fault.magnitude = between(0.2, 0.7);
                break;
            case FaultKind::discoveryMove:
            case FaultKind::reload:
                fault.length = 0;
                break;
            case FaultKind::routerKill:
                fault.count = 1 + random_.integerBelow(std::max(day_.routers.count / 4, 1));
                fault.length = 0;
                break;
            case FaultKind::callsFail: {
                const auto& callFault =
                    kCallFaults[random_.integerBelow(static_cast<int>(std::size(kCallFaults)))];
                fault.call = callFault.call;
                fault.effect = callFault.effect;
                fault.magnitude = between(callFault.max / 10, callFault.max);
                break;
            }
            case FaultKind::wallClockOffset: {
                constexpr double kSteps[]{-3.6e6, -7e3, -1.5e3, 1.5e3, 7e3, 3.6e6};  // ms
                fault.magnitude = kSteps[random_.integerBelow(static_cast<int>(std::size(kSteps)))];
                break;
            }
            case FaultKind::eventLoopDelay:
                fault.magnitude = between(50, 150);
                break;
            default:
                break;
        }
    }

    Scenario day_;
    Random random_;
};

}  // namespace

Scenario drawScenario(const Scenario& base, std::uint64_t seed) {
    return ScenarioGenerator(base, seed).day();
}

}  // namespace poppyscale::testbed::soak
