// Hosts many instances on the simulator's wire: reads batches, hands each instance its events, replies.
#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "simulator_adapter/codec.hpp"

namespace {

using namespace poppyscale;
using simulator_adapter::Kind;
using simulator_adapter::Line;
using simulator_adapter::ParseError;

struct Instance {
    Instance(PolicySettings terms, std::string& reply, std::int64_t who, Nanos now)
        : writer(reply, who), router(std::move(terms), writer, now) {}
    simulator_adapter::Writer writer;
    RoutingPolicy router;
};

class SimulatorAdapter {
  public:
    bool batch(std::istream& in, std::string& reply) {
        if (!std::getline(in, text_)) return false;
        line_.split(text_);
        if (line_.kind() != Kind::mark)
            throw ParseError("a batch must start with MARK, not " + std::string(line_.word()));
        const Nanos now = line_.time("simTimeUs");
        if (now < now_) throw ParseError("MARK goes backwards in time");
        now_ = now;
        touched_.clear();
        for (;;) {
            next(in);
            if (line_.kind() == Kind::turn) break;
            event(in, reply);
        }
        for (const auto who : touched_)
            if (const auto it = instances_.find(who); it != instances_.end())
                it->second->router.reconcile(now_);
        reply.append("END\n");
        return true;
    }

  private:
    void next(std::istream& in) {
        do {
            if (!std::getline(in, text_)) throw ParseError("input ends within a batch");
        } while (text_.empty());
        line_.split(text_);
    }

    void event(std::istream& in, std::string& reply) {
        if (line_.kind() == Kind::table) return table(in);
        if (line_.kind() == Kind::mark) throw ParseError("MARK within a batch");
        const auto who = line_.integer("who");
        if (line_.kind() == Kind::stop) {
            instances_.erase(who);
            return;
        }
        if (line_.kind() == Kind::configure) {
            instances_[who] =
                std::make_unique<Instance>(simulator_adapter::readPolicySettings(line_), reply, who, now_);
            touch(who);
            return;
        }
        const auto it = instances_.find(who);
        if (it == instances_.end())
            throw ParseError(std::string(line_.word()) + " for instance " + std::to_string(who) +
                             ", which is not running");
        touch(who);
        RoutingPolicy& router = it->second->router;
        switch (line_.kind()) {
            case Kind::announce:
                return announce(router);
            case Kind::accept:
                return router.onRequest(now_, simulator_adapter::readIncomingRequest(line_));
            case Kind::aborted:
                return router.onClientDisconnected(now_, line_.command());
            case Kind::verdict:
                return router.onAttemptEnded(now_, simulator_adapter::readAttemptResult(line_));
            default:
                return;
        }
    }

    void table(std::istream& in) {
        const auto number = line_.integer("list");
        if (number < 0 || number >= static_cast<std::int64_t>(tables_.size()))
            throw ParseError("TABLE has a list number out of range");
        auto count = line_.integer("hosts");
        if (count < 0) throw ParseError("TABLE has a negative number of hosts");
        std::vector<Endpoint> entries;
        for (; count > 0; --count) {
            next(in);
            if (line_.word() != "ENTRY") throw ParseError("TABLE has fewer entries than it says");
            entries.push_back(simulator_adapter::readEndpoint(line_));
        }
        tables_[number] = std::move(entries);
    }

    void announce(RoutingPolicy& router) {
        const auto kind = simulator_adapter::readEndpointUpdateKind(line_);
        if (kind == EndpointUpdateKind::failed) return router.onEndpointUpdate(now_, kind, {});
        const auto number = line_.integer("list");
        if (number < 0 || number >= static_cast<std::int64_t>(tables_.size()) || !tables_[number])
            throw ParseError("ANNOUNCE names a list that was not declared");
        router.onEndpointUpdate(now_, kind, *tables_[number]);
    }

    void touch(std::int64_t who) {
        if (touched_.empty() || touched_.back() != who) {
            for (const auto t : touched_)
                if (t == who) return;
            touched_.push_back(who);
        }
    }

    std::string text_;
    Line line_;
    Nanos now_ = 0;
    std::map<std::int64_t, std::unique_ptr<Instance>> instances_;
    std::vector<std::int64_t> touched_;
    std::array<std::optional<std::vector<Endpoint>>, 16> tables_;
};

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    std::string reply;
    try {
        SimulatorAdapter host;
        while (host.batch(std::cin, reply)) {
            std::cout << reply << std::flush;
            reply.clear();
        }
    } catch (const ParseError& problem) {
        std::cerr << "poppyscale_simulator_adapter: " << problem.what() << '\n';
        return 1;
    }
    return 0;
}
