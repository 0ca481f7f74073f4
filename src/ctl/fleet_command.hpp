// `poppyctl fleet FILE`: runs the instances of one description on this machine, keeps them running, and is
// this machine's agent in a rollout (docs/rolling.md).
#pragma once

#include "ctl/fleet_description.hpp"

namespace poppyscale::ctl {

// Runs until a signal ends it and returns the exit code: 0, or 1 where another process supervises the fleet
// of that folder. Throws std::runtime_error where the folder can't be made or the agent can't listen.
//
// SIGTERM and SIGINT stop all instances gracefully and end it; SIGQUIT ends it and leaves the instances
// running. SIGHUP reads description and template anew and starts a rolling restart, SIGUSR2 a rolling
// upgrade.
int runFleet(const FleetDescription& description);

}  // namespace poppyscale::ctl
