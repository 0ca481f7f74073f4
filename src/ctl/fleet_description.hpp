// The description of a fleet, the instances of one machine, read from a TOML file.
#pragma once

#include <string>

#include "supervisor/instance_supervisor.hpp"

namespace poppyscale::ctl {

// Instances are numbered from 0.
struct FleetDescription {
    supervisor::SupervisorSettings supervisor;
    std::string file;     // path of the file from which the description was read
    std::string program;  // path of the instances' program
    std::string folder;   // absolute path of the folder for sockets, configuration files, logs and state
    std::string name;     // prefix of the instances' names: "r" for r0, r1 ...
    std::string zone;     // zone of this machine; empty: none
    // The IPv4 address of all instances, or of the first one if each has its own.
    std::string address;
    // If true, instance i listens at `address` + i and firstPort; otherwise at `address` and firstPort + i.
    bool hasOwnAddresses = false;
    int firstPort = 0;
    // An operator's configuration file with placeholders: {name}, {listen}, {address}, {socket} and {zone}.
    std::string templateText;
};

// Reads a description. Throws std::runtime_error with one line for each problem, also for each unknown key.
FleetDescription readFleetDescription(const std::string& file);

// True if both describe the same instances, so that `other` can replace `one` while the instances run. Their
// programs, templates and zones may differ.
bool describesSameInstances(const FleetDescription& one, const FleetDescription& other);

// The name of an instance, and the paths of its files in the fleet's folder.
std::string nameOf(const FleetDescription& description, int instance);
std::string socketOf(const FleetDescription& description, int instance);
std::string configFileOf(const FleetDescription& description, int instance);
std::string logFileOf(const FleetDescription& description, int instance);
// The path of the socket of the machine's agent.
std::string agentSocketOf(const FleetDescription& description);

// Makes the text of an instance's configuration file from the template.
std::string makeConfigText(const FleetDescription& description, const std::string& templateText,
                           int instance);

}  // namespace poppyscale::ctl
