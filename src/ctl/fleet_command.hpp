// `poppyctl fleet FILE`: runs the instances of one description on this machine, keeps them running, and is
// this machine's agent in a staged change (docs/rolling.md).
#pragma once

#include "ctl/fleet_description.hpp"

namespace poppyscale::ctl {

// Until SIGTERM or SIGINT, which stop all instances in order; SIGHUP reads description and form anew and
// rolls a restart through them, SIGUSR2 an upgrade, SIGQUIT leaves them alone and goes. The exit code; 1
// where another keeper keeps the folder.
int runFleet(const FleetDescription& d);

// Where its agent is asked.
inline std::string agentSocketOf(const FleetDescription& d) { return d.folder + "/fleet.sock"; }

}  // namespace poppyscale::ctl
