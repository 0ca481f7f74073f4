// `poppyctl fleet FILE`: runs the instances of one fleet description on this machine, keeps them running, and
// acts as this machine's agent in a rollout (docs/rolling.md).
#pragma once

#include "ctl/fleet_description.hpp"

namespace poppyscale::ctl {

// Runs until it is ended by a signal and returns the exit code: 0, or 1 if the folder's lock could not be
// taken, as when another process supervises the fleet of that folder. Throws std::runtime_error if the folder
// can't be created or the agent can't listen.
//
// Signals:
//  - SIGTERM, SIGINT: stop all instances gracefully, then return.
//  - SIGQUIT: return and leave the instances running.
//  - SIGHUP: read the description and its template again and start a rolling restart.
//  - SIGUSR2: read the description and its template again and start a rolling upgrade.
int runFleet(const FleetDescription& description);

}  // namespace poppyscale::ctl
