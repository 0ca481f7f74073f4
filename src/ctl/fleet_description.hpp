// The description of a fleet: the instances of one machine, read from a TOML file.
#pragma once

#include <string>

#include "supervisor/instance_supervisor.hpp"

namespace poppyscale::ctl {

// A description, as it was read. Instances are counted from 0.
struct FleetDescription {
    supervisor::SupervisorSettings supervisor;
    std::string file;           // from which it was read
    std::string program;        // path of the instances' program
    std::string folder;         // absolute path, for sockets, configuration files, logs and state
    std::string name;           // instances are named by it and their number: "r" for r0, r1 ...
    std::string zone;           // of this machine; empty: none
    std::string address;        // IPv4, of all instances or of the first
    bool ownAddresses = false;  // each instance has an address of its own, and all listen at firstPort
    int firstPort = 0;          // of the first instance
    // An operator's configuration file with placeholders: {name}, {listen}, {address}, {socket} and {zone}.
    std::string templateText;
};

// Reads a description strictly. Throws std::runtime_error that states all problems, a line each.
FleetDescription readFleetDescription(const std::string& file);

// Whether both describe the same instances, so that the second can replace the first while these run: their
// program, template and zone may differ.
bool describesSameInstances(const FleetDescription& one, const FleetDescription& other);

// The name of an instance, and the paths of its files in the fleet's folder.
std::string nameOf(const FleetDescription& description, int instance);
std::string socketOf(const FleetDescription& description, int instance);
std::string configFileOf(const FleetDescription& description, int instance);
std::string logFileOf(const FleetDescription& description, int instance);
// The path of the socket of the machine's agent.
std::string agentSocketOf(const FleetDescription& description);

// The text of an instance's configuration file, made from that template.
std::string makeConfigText(const FleetDescription& description, const std::string& templateText,
                           int instance);

}  // namespace poppyscale::ctl
