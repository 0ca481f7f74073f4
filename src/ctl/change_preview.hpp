// Previews by which means (reload, upgrade or restart) the instances of a fleet would get a change.
#pragma once

#include <vector>

#include "ctl/agent_codec.hpp"
#include "ctl/fleet_description.hpp"
#include "ctl/version_store.hpp"
#include "rollout/rollout_agent.hpp"

namespace poppyscale::ctl {

// Compares the change with the version that each instance is to run now. Changes nothing, but reads
// configuration templates from disk. If an instance can't get the change, its `means` is "can't: " followed
// by the problem.
std::vector<InstancePreview> previewChange(const FleetDescription& description, const VersionStore& versions,
                                           const rollout::RolloutAgent& agent, const PreviewRequest& change);

}  // namespace poppyscale::ctl
