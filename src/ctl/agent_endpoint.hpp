// The socket of a machine's agent, where a coordinator sends its orders.
#pragma once

#include <poll.h>

#include <cstdint>
#include <future>
#include <string>
#include <vector>

#include "ctl/agent_codec.hpp"
#include "ctl/agent_state_store.hpp"
#include "ctl/control_listener.hpp"
#include "ctl/fleet_description.hpp"
#include "ctl/fleet_status.hpp"
#include "ctl/version_store.hpp"
#include "rollout/rollout_agent.hpp"

namespace poppyscale::ctl {

// Takes requests at the agent's socket, hands orders to the RolloutAgent and answers.
//
// Guarantees: an order is answered only once what the agent makes of it is durable; the content that an order
// brings is stored before the agent sees the order; one order is prepared at a time, and another one is
// answered as busy; never blocks on the disk or on an instance.
//
// Owns the socket, the order in preparation and the requests that wait for an answer. All that is passed to
// the constructor must outlive it; it is used from the loop's thread alone.
class AgentEndpoint {
  public:
    // Throws std::runtime_error when it can't listen at the agent's socket.
    AgentEndpoint(const FleetDescription& description, const VersionStore& versions,
                  rollout::RolloutAgent& agent, AgentStateStore& store, FleetStatus& status);

    // Adds what the loop has to wait for.
    void addPollDescriptors(std::vector<pollfd>& descriptors) const;
    // Takes what has come of work on other threads: an order that is prepared, the agent's state on disk.
    void collectResults();
    // Reads requests and sends answers.
    void runIteration();

  private:
    // A request for a report, or an order, which is answered by a report too.
    struct PendingReport {
        std::uint64_t client = 0;
        bool isDurable = false;  // what the agent makes of its order
    };
    struct PreparedOrder {
        std::uint64_t client = 0;
        rollout::Order order;
        rollout::Version version;  // to which it changes the instances
        std::string problem;
    };

    void onRequest(std::uint64_t client, const nlohmann::json& request);
    void onOrder(std::uint64_t client, const nlohmann::json& request);
    static PreparedOrder prepareOrder(const VersionStore& versions, std::uint64_t client,
                                      const rollout::Order& order, const rollout::Version& before);
    void applyOrder(const PreparedOrder& prepared);
    void answerReports();
    void takeDurableReports();

    const FleetDescription& description_;
    const VersionStore& versions_;
    rollout::RolloutAgent& agent_;
    AgentStateStore& store_;
    FleetStatus& status_;
    std::future<PreparedOrder> preparation_;
    std::vector<PendingReport> pendingReports_;  // in the order of their requests
    std::vector<std::uint64_t> reportClients_;   // who gets the report in progress
    ControlListener listener_;                   // last: it calls back
};

}  // namespace poppyscale::ctl
