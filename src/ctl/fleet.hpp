// `poppyctl fleet FILE`: runs the instances of one description on this machine and keeps them running.
#pragma once

#include <string>
#include <vector>

#include "fleet/keeper.hpp"

namespace poppyscale::ctl {

// A description, as its TOML file says it.
struct Description {
    fleet::Terms terms;
    std::string program;
    std::string folder;   // of sockets, files and logs
    std::string name;     // "r" for r0, r1 ...
    std::string address;  // IPv4, the same for all
    int firstPort = 0;
    std::string templateText;  // an operator's file in which {name}, {listen} and {socket} are put in
};

// Throws std::runtime_error with all problems, a line each.
Description readDescription(const std::string& file);

std::string nameOf(const Description& d, int i);
std::string socketOf(const Description& d, int i);
// The operator's file of an instance.
std::string operatorFileOf(const Description& d, int i);

// Until SIGTERM or SIGINT, which stop all instances in order; SIGHUP rolls a restart through them, SIGUSR2 an
// upgrade, SIGQUIT leaves them alone and goes. The exit code.
int keepFleet(const Description& d);

}  // namespace poppyscale::ctl
