// The messages between a coordinator and an agent, as plain values. messages_codec.hpp encodes them
// as JSON.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rollout/instance_metrics.hpp"

namespace poppyscale::rollout {

// A program and an operator's configuration template, identified by their contents.
struct Version {
    std::string program;         // digest
    std::string templateDigest;  // empty: none
    bool operator==(const Version&) const = default;
    bool isEmpty() const { return program.empty(); }
    // Shortened, for logs.
    std::string shown() const { return program.substr(0, 8) + "/" + templateDigest.substr(0, 8); }
};

// The complete state that a coordinator wants of an agent. As it is complete, an order that is lost
// or arrives twice does no harm.
struct Order {
    std::uint64_t number = 0;   // rollout number; an agent obeys the highest that it has seen
    std::uint64_t step = 0;     // grows with each order of a rollout, so that an outdated order is recognized
    std::string digest;         // identifies the change
    std::string program;        // path; empty where the program stays
    std::string programDigest;  // digest of the program's file; empty if it was not read
    std::string templateText;   // text of the configuration template; empty where it stays
    std::set<int> changed;      // instances that are to have the change; all others are to be as before
    std::set<int> held;         // those of `changed` whose change stays without further orders
    Nanos holdDuration = 0;     // how long the change of the others stays after this order arrived
    int batch = 1;              // instances that may be in transition at once
    bool isFinished = false;    // the rollout has ended: the change replaces the original version
};

enum class InstanceState : std::uint8_t {
    original,     // runs the version from before the rollout
    changing,     // in transition to the change
    changed,      // runs the change
    rollingBack,  // in transition to the version from before the rollout
    failed        // the version that it should run could not be installed
};

struct InstanceReport {
    std::string name;
    std::string zone;
    InstanceState state = InstanceState::original;
    bool ready = false;
    Nanos timeInState = 0;
    int unexpectedExits = 0;  // unrequested exits since its agent started or this rollout began
    std::string problem;      // why it has failed, or could not be changed
    std::optional<InstanceMetrics> metrics;
};

struct Report {
    std::uint64_t number = 0;  // the highest rollout number that the agent has seen
    std::string digest;        // change that the agent has or rolls back; empty: none
    bool isFinished = false;
    // The agent rolled back on its own, because no order arrived in time.
    bool hasRolledBack = false;
    std::string problem;  // why the agent can't persist its orders; empty: it can
    std::vector<InstanceReport> instances;
};

}  // namespace poppyscale::rollout
