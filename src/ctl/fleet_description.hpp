// The instances of one machine, as their TOML file says them.
#pragma once

#include <string>

#include "supervisor/instance_supervisor.hpp"

namespace poppyscale::ctl {

struct FleetDescription {
    supervisor::SupervisorSettings supervisor;
    std::string file;
    std::string program;
    std::string folder;         // of sockets, files and logs
    std::string name;           // "r" for r0, r1 ...
    std::string zone;           // of this machine, or empty
    std::string address;        // IPv4, the same for all or the first of many
    bool ownAddresses = false;  // one after another, all on `firstPort`
    int firstPort = 0;
    // An operator's file in which {name}, {listen}, {address}, {socket} and {zone} are put in.
    std::string templateText;
};

// Throws std::runtime_error with all problems, a line each.
FleetDescription readFleetDescription(const std::string& file);

std::string nameOf(const FleetDescription& d, int i);
std::string socketOf(const FleetDescription& d, int i);
// The operator's file of an instance, made of that form.
std::string operatorFileOf(const FleetDescription& d, const std::string& form, int i);
inline std::string operatorFileOf(const FleetDescription& d, int i) {
    return operatorFileOf(d, d.templateText, i);
}

}  // namespace poppyscale::ctl
