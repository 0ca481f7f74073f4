// Runs many instances of the policy on the simulator's protocol: reads batches of messages, passes each
// instance its events, and replies with the actions.
#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "policy/routing_policy.hpp"
#include "simulator_adapter/codec.hpp"

namespace {

using namespace poppyscale;
using simulator_adapter::Message;
using simulator_adapter::MessageType;
using simulator_adapter::ParseError;

struct Instance {
    Instance(PolicySettings settings, std::string& reply, std::int64_t id, Nanos now)
        : writer(reply, id), policy(std::move(settings), writer, now) {}
    simulator_adapter::ActionWriter writer;
    RoutingPolicy policy;
};

// Owns the instances and the endpoint tables that the simulator declares, and the simulated time, which must
// not go backwards.
class SimulatorAdapter {
  public:
    // Handles one batch and appends its reply to `reply`; returns false at the end of the input.
    // Throws ParseError, after which the adapter must not be used any more.
    bool handleBatch(std::istream& in, std::string& reply) {
        if (!std::getline(in, line_)) return false;
        message_.parse(line_);
        if (message_.type() != MessageType::batchStart)
            throw ParseError("a batch must start with MARK, not " + std::string(message_.typeText()));
        const Nanos now = message_.time("simTimeUs");
        if (now < now_) throw ParseError("MARK has a simTimeUs earlier than that of the batch before");
        now_ = now;
        changed_.clear();
        for (readMessage(in); message_.type() != MessageType::batchEnd; readMessage(in))
            handleMessage(in, reply);
        reconcileChanged();
        reply.append("END\n");
        return true;
    }

  private:
    void readMessage(std::istream& in) {
        do {
            if (!std::getline(in, line_))
                throw ParseError("the input ends within a batch, before OVER_TO_YOU");
        } while (line_.empty());
        message_.parse(line_);
    }

    void handleMessage(std::istream& in, std::string& reply) {
        if (message_.type() == MessageType::endpointTable) {
            readTable(in);
            return;
        }
        if (message_.type() == MessageType::batchStart)
            throw ParseError("MARK within a batch, before OVER_TO_YOU");
        const auto id = message_.integer("who");
        switch (message_.type()) {
            case MessageType::stopInstance:
                instances_.erase(id);
                return;
            case MessageType::startInstance:
                instances_[id] = std::make_unique<Instance>(simulator_adapter::readPolicySettings(message_),
                                                            reply, id, now_);
                markChanged(id);
                return;
            default:
                break;
        }
        const auto instance = instances_.find(id);
        if (instance == instances_.end())
            throw ParseError(std::string(message_.typeText()) + " for instance " + std::to_string(id) +
                             ", which is not running");
        markChanged(id);
        applyEvent(instance->second->policy);
    }

    void applyEvent(RoutingPolicy& policy) {
        switch (message_.type()) {
            case MessageType::endpointUpdate:
                applyEndpointUpdate(policy);
                return;
            case MessageType::request:
                policy.onRequest(now_, simulator_adapter::readIncomingRequest(message_));
                return;
            case MessageType::clientDisconnected:
                policy.onClientDisconnected(now_, message_.requestId());
                return;
            case MessageType::attemptEnded:
                policy.onAttemptEnded(now_, simulator_adapter::readAttemptResult(message_));
                return;
            default:
                return;
        }
    }

    void readTable(std::istream& in) {
        const auto number = message_.integer("list");
        if (!isTableNumber(number))
            throw ParseError("TABLE has list=" + std::to_string(number) + ", expected 0 to " +
                             std::to_string(tables_.size() - 1));
        const auto count = message_.integer("hosts");
        if (count < 0) throw ParseError("TABLE has hosts=" + std::to_string(count) + ", expected at least 0");
        std::vector<Endpoint> endpoints;
        for (std::int64_t i = 0; i < count; ++i) {
            readMessage(in);
            if (message_.typeText() != "ENTRY")
                throw ParseError("TABLE has hosts=" + std::to_string(count) + ", but only " +
                                 std::to_string(i) + " ENTRY lines follow");
            endpoints.push_back(simulator_adapter::readEndpoint(message_));
        }
        tables_[static_cast<std::size_t>(number)] = std::move(endpoints);
    }

    void applyEndpointUpdate(RoutingPolicy& policy) {
        const auto kind = simulator_adapter::readEndpointUpdateKind(message_);
        if (kind == EndpointUpdateKind::failed) {
            policy.onEndpointUpdate(now_, kind, {});
            return;
        }
        const auto number = message_.integer("list");
        if (!isTableNumber(number) || !tables_[static_cast<std::size_t>(number)])
            throw ParseError("ANNOUNCE has list=" + std::to_string(number) + ", which no TABLE has declared");
        policy.onEndpointUpdate(now_, kind, *tables_[static_cast<std::size_t>(number)]);
    }

    bool isTableNumber(std::int64_t number) const {
        return number >= 0 && number < static_cast<std::int64_t>(tables_.size());
    }

    void markChanged(std::int64_t id) {
        const bool isMarked = std::find(changed_.begin(), changed_.end(), id) != changed_.end();
        if (!isMarked) changed_.push_back(id);
    }

    void reconcileChanged() {
        for (const auto id : changed_) {
            const auto instance = instances_.find(id);
            if (instance != instances_.end()) instance->second->policy.reconcile(now_);
        }
    }

    std::string line_;
    Message message_;  // parsed from line_, into which its views point
    Nanos now_ = 0;
    std::map<std::int64_t, std::unique_ptr<Instance>> instances_;
    std::vector<std::int64_t> changed_;  // instances with events in this batch, in order of their first event
    std::array<std::optional<std::vector<Endpoint>>, 16> tables_;
};

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    std::string reply;
    try {
        SimulatorAdapter adapter;
        while (adapter.handleBatch(std::cin, reply)) {
            std::cout << reply << std::flush;
            reply.clear();
        }
    } catch (const ParseError& error) {
        std::cerr << "poppyscale_simulator_adapter: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
