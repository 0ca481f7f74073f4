#include "lease/messages.hpp"

#include <fmt/format.h>

#include <stdexcept>

namespace poppyscale::lease {

const std::vector<std::pair<std::string_view, Safeguard>>& guards() {
    static const std::vector<std::pair<std::string_view, Safeguard>> all{
        {"quarantine", Safeguard::quarantine},
        {"rate", Safeguard::rate},
        {"asked", Safeguard::sentTime},
        {"majority", Safeguard::majority},
        {"fence", Safeguard::fence},
        {"margin", Safeguard::margin},
        {"sync", Safeguard::sync}};
    return all;
}

Safeguard guardNamed(std::string_view name) {
    std::string known;
    for (const auto& [n, guard] : guards()) {
        if (n == name) return guard;
        known.append(known.empty() ? "" : ", ").append(n);
    }
    throw std::runtime_error(fmt::format("'{}' is none of {}", name, known));
}

std::vector<std::pair<std::string, std::string>> problemsOf(const LeaseSettings& t, Nanos longestAct) {
    std::vector<std::pair<std::string, std::string>> all;
    if (t.voters < 3 || t.voters % 2 == 0) all.emplace_back("voters", "are not an odd number of 3 or more");
    if (t.rate < 0 || t.rate > 0.1) all.emplace_back("rate", "is not from 0 to 0.1");
    if (t.duration <= 0 || t.margin < 0) all.emplace_back("length_ms", "is not over 0");
    const auto act = static_cast<Nanos>(static_cast<double>(longestAct) * (1 + t.rate));
    if (t.held() <= t.margin + act + t.renewInterval)
        all.emplace_back(
            "length_ms",
            fmt::format("is shorter than margin, act and renewal need: {} ms are held, {} needed",
                        t.held() / kMillisecond, (t.margin + act + t.renewInterval) / kMillisecond));
    if (t.answerTimeout <= 0 || t.renewInterval <= 0) all.emplace_back("answer_ms", "is not over 0");
    return all;
}

}  // namespace poppyscale::lease
