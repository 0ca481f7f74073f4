#include "ctl/change_preview.hpp"

#include <fmt/format.h>

#include <stdexcept>

#include "config/operator_config.hpp"

namespace poppyscale::ctl {
namespace {

protocol::StartupConfig readInstanceConfig(const FleetDescription& description,
                                           const std::string& templateText, int instance) {
    config::ConfigProblems problems("configuration template");
    const auto plan = config::readOperatorConfig(makeConfigText(description, templateText, instance),
                                                 "configuration template", false, problems);
    if (!problems.none() || !plan.startup) throw std::runtime_error(problems.text());
    return *plan.startup;
}

// "reload", "restart", or empty if both templates have the same effect on the instance.
std::string meansForConfig(const FleetDescription& description, const std::string& currentTemplate,
                           const std::string& changedTemplate, int instance) {
    const auto current = readInstanceConfig(description, currentTemplate, instance);
    const auto changed = readInstanceConfig(description, changedTemplate, instance);
    const auto difference = config::compareConfigs(current, changed);
    if (!difference.needsRestart.empty()) return "restart";
    const bool isSame =
        config::describeConfig(current, {}, false) == config::describeConfig(changed, {}, false);
    return isSame ? "" : "reload";
}

std::string meansFor(const FleetDescription& description, const VersionStore& versions,
                     const rollout::Version& current, const PreviewRequest& change, int instance) {
    std::string means;
    if (!change.templateText.empty())
        means = meansForConfig(description, versions.templateText(current.templateDigest),
                               change.templateText, instance);
    const bool isOtherProgram = !change.programDigest.empty() && change.programDigest != current.program;
    if (isOtherProgram && means != "restart") means += means.empty() ? "upgrade" : ", then upgrade";
    return means.empty() ? "nothing changes" : means;
}

}  // namespace

std::vector<InstancePreview> previewChange(const FleetDescription& description, const VersionStore& versions,
                                           const rollout::RolloutAgent& agent, const PreviewRequest& change) {
    std::vector<InstancePreview> previews;
    for (int i = 0; i < description.supervisor.instanceCount; ++i) {
        std::string means;
        try {
            means = meansFor(description, versions, agent.versionOf(i), change, i);
        } catch (const std::exception& problem) {
            means = fmt::format("can't: {}", problem.what());
        }
        previews.push_back({nameOf(description, i), description.zone, means});
    }
    return previews;
}

}  // namespace poppyscale::ctl
