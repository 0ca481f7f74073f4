// What a coordinator and an agent say to each other: plain values, and their form as JSON. Fields that are
// not known are let be; another format is refused by its number.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rollout/instance_metrics.hpp"

namespace poppyscale::rollout {

// A program and an operator's form, by content.
struct Version {
    std::string program;         // digest
    std::string templateDigest;  // digest
    bool operator==(const Version&) const = default;
    bool none() const { return program.empty(); }
    std::string shown() const { return program.substr(0, 8) + "/" + templateDigest.substr(0, 8); }
};

// What a coordinator wants of an agent, whole each time: an order that is lost or comes twice does no harm.
struct Order {
    std::uint64_t number = 0;   // of the roll; the highest that an agent has seen is the one that holds
    std::uint64_t step = 0;     // grows with each order of a roll: one that was overtaken on its way is none
    std::string digest;         // of what changes: a roll with another one is another change
    std::string program;        // path, or empty where the program stays
    std::string programDigest;  // of what is there, or empty where that was not looked at
    std::string form;           // text, or empty where the form stays
    std::set<int> changed;      // instances that are to have the change; all others are to be as before
    std::set<int> held;         // of those: whose change stays without further word
    Nanos holdDuration = 0;     // the others' change stays for so long after this was heard
    int batch = 1;              // at once
    bool isFinished = false;    // the roll has ended: what is changed is from now on how things are
};

enum class InstanceState : std::uint8_t {
    original,     // runs what ran before the roll
    changing,     // on its way to the change
    changed,      // runs it
    rollingBack,  // on its way back
    failed        // could not be brought where it was to be
};

struct InstanceReport {
    std::string name;
    std::string zone;
    InstanceState state = InstanceState::original;
    bool ready = false;
    Nanos since = 0;      // it has stood so for so long
    int exitCount = 0;    // by itself, since its agent came or this roll began
    std::string problem;  // why it is stuck, or could not be changed
    std::optional<InstanceMetrics> metrics;
};

struct Report {
    std::uint64_t number = 0;  // the highest that it has seen
    std::string digest;        // of the change that it holds or undoes; empty: none
    bool isFinished = false;
    bool hasRolledBack = false;  // by itself, as it heard nothing
    std::string problem;         // of the agent: it can't keep what it is told
    std::vector<InstanceReport> instances;
};

nlohmann::json toJson(const Order& order);
// Throws std::runtime_error that names the format or the field.
Order readOrder(const nlohmann::json& said);
nlohmann::json toJson(const Report& report, const std::vector<nlohmann::json>& figures);
Report readReport(const nlohmann::json& said);

std::string_view nameOf(InstanceState stand);

}  // namespace poppyscale::rollout
