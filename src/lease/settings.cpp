#include "lease/settings.hpp"

#include <fmt/format.h>

#include <stdexcept>

namespace poppyscale::lease {
namespace {

constexpr double kMaxRate = 0.1;
constexpr int kMinAcceptors = 3;

}  // namespace

const std::vector<NamedSafeguard>& safeguards() {
    static const std::vector<NamedSafeguard> all{{"quarantine", Safeguard::quarantine},
                                                 {"rate", Safeguard::rate},
                                                 {"asked", Safeguard::sentTime},
                                                 {"majority", Safeguard::majority},
                                                 {"fence", Safeguard::fence},
                                                 {"margin", Safeguard::margin},
                                                 {"sync", Safeguard::sync}};
    return all;
}

Safeguard parseSafeguard(std::string_view name) {
    std::string knownNames;
    for (const auto& [knownName, safeguard] : safeguards()) {
        if (knownName == name) return safeguard;
        knownNames.append(knownNames.empty() ? "" : ", ").append(knownName);
    }
    throw std::runtime_error(fmt::format("unknown safeguard '{}', expected one of {}", name, knownNames));
}

std::vector<SettingsProblem> findProblems(const LeaseSettings& settings, Nanos maxCriticalSection) {
    std::vector<SettingsProblem> problems;
    if (settings.acceptorCount < kMinAcceptors || settings.acceptorCount % 2 == 0)
        problems.push_back(
            {"voters", fmt::format("is {}, expected an odd number of 3 or more", settings.acceptorCount)});
    if (settings.rate < 0 || settings.rate > kMaxRate)
        problems.push_back({"rate", fmt::format("is {}, expected 0 to {}", settings.rate, kMaxRate)});
    if (settings.duration <= 0 || settings.margin < 0)
        problems.push_back({"length_ms", "is not greater than 0, or the margin is negative"});
    // On a clock that runs fast, the critical section takes longer.
    const auto criticalSection =
        static_cast<Nanos>(static_cast<double>(maxCriticalSection) * (1 + settings.rate));
    const Nanos needed = settings.margin + criticalSection + settings.renewInterval;
    if (settings.holdDuration() <= needed)
        problems.push_back(
            {"length_ms",
             fmt::format("is too short for margin, critical section and renewal: held for {} ms, {} needed",
                         settings.holdDuration() / kMillisecond, needed / kMillisecond)});
    if (settings.answerTimeout <= 0 || settings.renewInterval <= 0)
        problems.push_back(
            {"answer_ms", "is not greater than 0, or the renewal interval is not greater than 0"});
    return problems;
}

}  // namespace poppyscale::lease
