// The Unix socket of a machine's agent, at which it receives a coordinator's orders.
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

// Receives requests at the agent's socket, passes orders to the RolloutAgent and sends the answers.
//
// Guarantees: an accepted order is answered only once the agent's new state is durable, or its write has
// failed; the answer then states the problem. The program and the template of an order are stored before the
// agent receives the order. One order is prepared at a time; an order that arrives meanwhile gets the answer
// "busy". Never blocks on the disk or on an instance.
//
// Owns the socket, the order in preparation and the requests that wait for an answer. All constructor
// arguments must outlive it. Used only on the loop's thread.
class AgentEndpoint {
  public:
    // Throws std::runtime_error if it can't listen at the agent's socket.
    AgentEndpoint(const FleetDescription& description, const VersionStore& versions,
                  rollout::RolloutAgent& agent, AgentStateStore& store, FleetStatus& status);

    // Adds the descriptors that the loop has to poll.
    void addPollDescriptors(std::vector<pollfd>& descriptors) const;
    // Handles the results of work on other threads: a prepared order, and a write of the agent's state.
    void collectResults();
    // Reads requests and sends answers.
    void runIteration();

  private:
    // A request for a report, or an order, which is answered with a report too.
    struct PendingReport {
        std::uint64_t client = 0;
        // The agent's state after the order is on disk, or its write has failed. True for a report request.
        bool isDurable = false;
    };
    struct PreparedOrder {
        std::uint64_t client = 0;
        rollout::Order order;
        rollout::Version version;  // the version to which the order changes instances
        std::string problem;       // why the order can't be carried out; empty: it can
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
    // Clients that wait for a report to begin, in the order of their requests.
    std::vector<PendingReport> pendingReports_;
    std::vector<std::uint64_t> reportClients_;  // the clients that get the report in progress
    ControlListener listener_;                  // last, as its handler uses the other members
};

}  // namespace poppyscale::ctl
