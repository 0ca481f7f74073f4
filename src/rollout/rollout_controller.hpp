// The coordinator of a staged change. Free of I/O and of any clock: reports and time in, orders out.
//
// What it promises: no instance is told to change in a stage before the one before it has held; a stage holds
// only if harm of the plan's size is ruled out by what was seen while nothing else was wrong; after a stop no
// instance is told to change any more, and the way back goes in batches until each instance that can be heard
// is as before, or is told by name. Its state is what the agents hold: one that comes anew goes on from
// there.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/evidence.hpp"
#include "rollout/messages.hpp"
#include "rollout/rollout_plan.hpp"

namespace poppyscale::rollout {

class RolloutHost {
  public:
    virtual ~RolloutHost() = default;
    // What was seen, compared or decided: one word for what it is, and fields.
    virtual void report(std::string_view what, const nlohmann::json& fields) = 0;
};

enum class RolloutOutcome : std::uint8_t { none, completed, rolledBack, rollbackIncomplete, notPossible };

class RolloutController {
  public:
    // `digest` of what changes: the same change by another coordinator has the same.
    RolloutController(const RolloutPlan& plan, std::string digest, RolloutHost& hands);

    void onReport(Nanos now, int agent, const Report& report);
    // It was told that a coordinator with a higher number acts there.
    void onSuperseded(Nanos now, int agent, std::string_view why);
    // It answers, and can't do what it is told.
    void onRefused(Nanos now, int agent, std::string_view why);
    // The operator's word: back.
    void abandon(Nanos now);
    // Once after the events of a moment; about twice a second.
    void reconcile(Nanos now);

    // What to tell that agent now; nothing while the roll only asks.
    std::optional<Order> orderFor(int agent);
    // Nobody has to be told anything any more.
    RolloutOutcome outcome() const { return outcome_; }
    const std::string& reason() const { return reason_; }
    // By name, each with why.
    const std::vector<std::string>& unrestoredInstances() const { return unrestoredInstances_; }
    int stage() const { return stage_; }  // counted from 1; 0 before the first
    int stageCount() const { return static_cast<int>(counts_.size()); }
    int changedCount() const { return static_cast<int>(wanted_.size()); }
    int maxChangedCount() const { return maxChangedCount_; }
    int instanceCount() const { return static_cast<int>(order_.size()); }
    std::uint64_t number() const { return number_; }
    std::string_view phaseName() const;
    nlohmann::json status(Nanos now) const;

  private:
    // asking: who is there and what they hold. watching: how the fleet does as it is. changing: a stage's
    // instances are on their way. judging: all of them are there. back: everything returns. ending: the
    // agents are told that it is over.
    enum class Phase : std::uint8_t {
        discovering,
        observing,
        changing,
        judging,
        rollingBack,
        finishing,
        finished
    };
    struct AgentState {
        std::optional<Report> report;
        Nanos lastReportAt = 0;
        std::string refusal;
        Nanos refusedSince = 0;  // without a time between in which it did not
    };
    struct Instance {
        int agent = 0, index = 0;
        std::string name, zone;
        std::optional<InstanceMetrics> last;
        Nanos lastAt = 0;
        std::optional<InstanceMetrics> window;  // since the look before, if it can be known
        int overLevel = 0;                      // looks in turn that it stood over the others' levels
    };
    struct Comparison {
        Evidence evidence;
        Share usual{60'000 * kMillisecond};  // of the unchanged
        Spread spread{30'000 * kMillisecond};
        bool pressure = false;
        bool seen = false;
    };
    struct Counted {
        double bad = 0, all = 0;
    };
    using Counts = std::map<std::string, Counted>;

    void begin(Nanos now);
    void enter(Nanos now, Phase phase);
    void sampleWindow(Nanos now);
    void judgeStage(Nanos now);
    void detectFaults(Nanos now);
    void reconcileRollback(Nanos now);
    void beginRollback(Nanos now, std::string why);
    void end(RolloutOutcome outcome);
    void windows(Nanos now);
    Counts countsOf(const InstanceMetrics& window) const;
    void compareSides(Nanos now);
    void learnTimes(Nanos now);
    void seeLeaving();
    std::string worstOf(double lift) const;
    std::string levelsOver();
    std::string endsOver() const;
    bool isHarmRuledOut() const;
    bool knows(Nanos now, int agent) const;
    const InstanceReport* reportOf(const Instance& m) const;
    bool isChanged(const Instance& m) const;  // and counts as such
    bool isUnchanged(const Instance& m) const;
    bool stageStands() const;
    std::string unheard(Nanos now) const;
    int wantedUpTo(int stage) const { return stage > 0 ? counts_[static_cast<std::size_t>(stage - 1)] : 0; }

    RolloutPlan plan_;
    std::string digest_;
    RolloutHost& host_;
    Phase phase_ = Phase::discovering;
    Nanos stageAt_ = 0, phaseAt_ = 0, startedAt_ = 0, lastLook_ = 0;
    std::vector<AgentState> agents_;
    std::vector<Instance> instances_;  // by agent and index
    std::vector<int> order_;           // in which they change: spread over zones and machines
    std::vector<int> counts_;          // of changed ones at the end of each stage
    std::set<int> wanted_, held_;      // members
    std::uint64_t number_ = 0, step_ = 0;
    int stage_ = 0, maxChangedCount_ = 0;
    Nanos judged_ = 0;  // time of this stage in which it could be
    int endsSeen_ = 0;
    std::map<std::string, Comparison> comparisons_;
    std::map<std::string, std::vector<double>> times_;  // of the unchanged by verb, decaying
    std::map<std::string, std::size_t> slow_;           // the class from which an answer counts as slow
    // How things are, beside how they usually are.
    Share harmNow_{3'000 * kMillisecond}, harmUsual_{60'000 * kMillisecond};
    Share loadNow_{3'000 * kMillisecond}, loadUsual_{60'000 * kMillisecond};    // commands a second
    Share relayNow_{3'000 * kMillisecond}, relayUsual_{60'000 * kMillisecond};  // ms a relay
    Share lostNow_{3'000 * kMillisecond}, lostUsual_{60'000 * kMillisecond};    // relays of the unchanged
    int cachesUsual_ = 0, cachesNow_ = 0;
    std::map<std::string, int> leaving_;  // caches that unchanged instances say leave: in so many looks
    double mostMemory_ = 0, mostDescriptors_ = 0, mostLinks_ = 0;  // of the unchanged
    std::set<std::string> zones_;
    bool fault_ = false;
    Nanos faultAt_ = 0, faultSeen_ = 0, unexplained_ = 0;
    Nanos heldUpAt_ = 0;  // when some instances had last not been heard for longer than they should
    std::string explained_;
    RolloutOutcome outcome_ = RolloutOutcome::none;
    std::string reason_;
    std::vector<std::string> unrestoredInstances_;
};

std::string_view nameOf(RolloutOutcome outcome);

}  // namespace poppyscale::rollout
