// By which means the instances of a fleet would get a change.
#pragma once

#include <vector>

#include "ctl/agent_codec.hpp"
#include "ctl/fleet_description.hpp"
#include "ctl/version_store.hpp"
#include "rollout/rollout_agent.hpp"

namespace poppyscale::ctl {

// Compares the change with what each instance is to run now. Begins nothing; reads configuration templates
// from disk. A problem with an instance's part of the change stands in place of its means.
std::vector<InstancePreview> previewChange(const FleetDescription& description, const VersionStore& versions,
                                           const rollout::RolloutAgent& agent, const PreviewRequest& change);

}  // namespace poppyscale::ctl
