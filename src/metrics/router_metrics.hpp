// What a router has done since its start, by verb: what a staged change is judged by. Made only where an
// operator's socket can ask for it; a router without one has no such object.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "policy/routing_policy.hpp"

namespace poppyscale::metrics {

// The form of `json`; a reader that does not know it takes all of it for unknown.
constexpr int kFormat = 1;

// Times of answers in classes that grow by an eighth, 0.1 ms to 100 s: a shift of the median by a tenth
// shows.
constexpr int kClasses = 118;
constexpr double kLeastMs = 0.1, kMostMs = 100'000;

enum class Declined : std::uint8_t {
    full,    // the router held as many commands as it may
    unsent,  // by the decisions, before any relay
    after    // by the decisions, after a relay that never ran or may run again
};

class Counts {
  public:
    explicit Counts(const std::vector<Verb>& verbs);
    // Verbs that are new are added; what is gone keeps its figures.
    void changed(const std::vector<Verb>& verbs);

    void taken(std::string_view verb);
    void answered(std::string_view verb, Nanos took);
    void declined(std::string_view verb, Declined why);
    void terminated(std::string_view verb);
    void left(std::string_view verb);  // its client went before its answer
    void relay(bool toOrigin);
    void relayEnded(Ending how, Nanos spent);
    void turn(Nanos took);

    nlohmann::json json() const;

  private:
    using Times = decltype(boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(kClasses, kLeastMs,
                                                                                        kMostMs)));
    struct OfVerb {
        Nanos goal = 0;
        std::uint64_t taken = 0, inGoal = 0, late = 0, full = 0, unsent = 0, after = 0, terminated = 0,
                      left = 0;
        Times times;
    };
    OfVerb& of(std::string_view verb);

    std::map<std::string, OfVerb, std::less<>> verbs_;
    std::uint64_t relays_ = 0, originRelays_ = 0, errored_ = 0, timedOut_ = 0, cut_ = 0, turnedAway_ = 0,
                  foundDead_ = 0;
    double relayMs_ = 0;
    Nanos longestTurn_ = 0;
};

}  // namespace poppyscale::metrics
