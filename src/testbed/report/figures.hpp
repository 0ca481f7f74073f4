// What a run comes to, from its log: shares, times, loads, second by second and in all.
#pragma once

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "testbed/audit/slow_start_load.hpp"
#include "testbed/emulator/event_log.hpp"

namespace poppyscale::testbed {

// Exact: a run's times are few enough to keep, so nothing has to be put in classes.
class Times {
  public:
    void add(Nanos time) { all_.push_back(time); }
    double ms(double part);  // 0 without any
    std::size_t count() const { return all_.size(); }

  private:
    std::vector<Nanos> all_;
};

class Figures {
  public:
    explicit Figures(const nlohmann::json& head);
    void onEvent(const LogEvent& entry);
    // After the last entry: all figures by name, in the order in which they are printed.
    const std::vector<std::pair<std::string, double>>& finish();
    double of(const std::string& name) const;
    // Bounds of the scenario that are not kept, each "bound-NAME".
    std::vector<std::string> missed() const;

    struct Second {
        int asked = 0, answered = 0, declined = 0, terminated = 0, attempts = 0, misses = 0;
        double originLoad = 0;  // of its capacity
        Times times;
        std::map<int, int> relaysOf;  // by server
    };
    std::vector<Second>& seconds() { return seconds_; }
    struct Annotation {
        double at;  // seconds
        std::string text;
    };
    const std::vector<Annotation>& marks() const { return marks_; }
    const std::vector<std::string>& serverNames() const { return names_; }
    nlohmann::json json() const;

  private:
    // All tries of one command together.
    struct OpenDemand {
        int requestClass = 0;
        Nanos dueAt = 0;
        bool open = true;
        bool rolling = false;  // asked after a roll began
        bool moved = false;    // its first try was at a router that takes sizes to move with load
    };
    Second& second(Nanos at);

    nlohmann::json head_;
    std::vector<std::string> requestClassNames_;
    std::unordered_map<std::uint64_t, std::uint64_t> firsts_;  // of a try's id
    std::unordered_map<std::uint64_t, OpenDemand> wishes_;
    std::vector<Second> seconds_;
    std::vector<Annotation> marks_;
    std::vector<std::string> names_, zones_;  // of servers
    std::map<int, std::string> routerZones_;
    std::vector<double> capacities_;
    std::vector<int> perVerb_, inGoalOfVerb_;
    std::array<int, 2> askedBy_{}, inGoalBy_{};  // routers that stayed as they were, and moved ones
    Times times_, lateness_;
    long asked_ = 0, answered_ = 0, inGoal_ = 0, tries_ = 0, declined_ = 0, terminated_ = 0, relays_ = 0,
         hits_ = 0, reads_ = 0, opened_ = 0, crossed_ = 0, busy_ = 0, errors_ = 0, unsent_ = 0, silent_ = 0;
    // Commands that an attempt was written of; those whose clients left before, and when; and how many of
    // these were forwarded long after.
    std::unordered_set<std::uint64_t> relayed_;
    std::unordered_map<std::uint64_t, Nanos> leftAt_;
    long leftWaiting_ = 0, sentOn_ = 0;
    double originWork_ = 0, utility_ = 0, utilityMost_ = 0;
    Nanos lastAt_ = 0;
    // Of a roll: from its begin on, and what its coordinator said at its end.
    long rollAsked_ = 0, rollInGoal_ = 0, exposed_ = 0;
    bool rolling_ = false;
    std::string rolled_;
    std::map<int, bool> changedNow_;
    SlowStartLoad coldLoad_;
    std::vector<std::pair<std::string, double>> all_;
};

}  // namespace poppyscale::testbed
