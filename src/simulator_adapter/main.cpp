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
using simulator_adapter::Malformed;

struct Instance {
    Instance(Terms terms, std::string& reply, std::int64_t who, Nanos now)
        : writer(reply, who), router(std::move(terms), writer, now) {}
    simulator_adapter::Writer writer;
    Router router;
};

class SimHost {
  public:
    bool batch(std::istream& in, std::string& reply) {
        if (!std::getline(in, text_)) return false;
        line_.split(text_);
        if (line_.kind() != Kind::mark)
            throw Malformed("a batch must start with MARK, not " + std::string(line_.word()));
        const Nanos now = line_.time("simTimeUs");
        if (now < now_) throw Malformed("MARK goes backwards in time");
        now_ = now;
        touched_.clear();
        for (;;) {
            next(in);
            if (line_.kind() == Kind::turn) break;
            event(in, reply);
        }
        for (const auto who : touched_)
            if (const auto it = instances_.find(who); it != instances_.end()) it->second->router.settle(now_);
        reply.append("END\n");
        return true;
    }

  private:
    void next(std::istream& in) {
        do {
            if (!std::getline(in, text_)) throw Malformed("input ends within a batch");
        } while (text_.empty());
        line_.split(text_);
    }

    void event(std::istream& in, std::string& reply) {
        if (line_.kind() == Kind::table) return table(in);
        if (line_.kind() == Kind::mark) throw Malformed("MARK within a batch");
        const auto who = line_.whole("who");
        if (line_.kind() == Kind::stop) {
            instances_.erase(who);
            return;
        }
        if (line_.kind() == Kind::configure) {
            instances_[who] =
                std::make_unique<Instance>(simulator_adapter::readTerms(line_), reply, who, now_);
            touch(who);
            return;
        }
        const auto it = instances_.find(who);
        if (it == instances_.end())
            throw Malformed(std::string(line_.word()) + " for instance " + std::to_string(who) +
                            ", which is not running");
        touch(who);
        Router& router = it->second->router;
        switch (line_.kind()) {
            case Kind::announce:
                return announce(router);
            case Kind::accept:
                return router.arrival(now_, simulator_adapter::readArrival(line_));
            case Kind::aborted:
                return router.left(now_, line_.command());
            case Kind::verdict:
                return router.ended(now_, simulator_adapter::readRelayEnd(line_));
            default:
                return;
        }
    }

    void table(std::istream& in) {
        const auto number = line_.whole("list");
        if (number < 0 || number >= static_cast<std::int64_t>(tables_.size()))
            throw Malformed("TABLE has a list number out of range");
        auto count = line_.whole("hosts");
        if (count < 0) throw Malformed("TABLE has a negative number of hosts");
        std::vector<Listed> entries;
        for (; count > 0; --count) {
            next(in);
            if (line_.word() != "ENTRY") throw Malformed("TABLE has fewer entries than it says");
            entries.push_back(simulator_adapter::readEntry(line_));
        }
        tables_[number] = std::move(entries);
    }

    void announce(Router& router) {
        const auto kind = simulator_adapter::readNewsKind(line_);
        if (kind == NewsKind::failed) return router.news(now_, kind, {});
        const auto number = line_.whole("list");
        if (number < 0 || number >= static_cast<std::int64_t>(tables_.size()) || !tables_[number])
            throw Malformed("ANNOUNCE names a list that was not declared");
        router.news(now_, kind, *tables_[number]);
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
    std::array<std::optional<std::vector<Listed>>, 16> tables_;
};

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    std::string reply;
    try {
        SimHost host;
        while (host.batch(std::cin, reply)) {
            std::cout << reply << std::flush;
            reply.clear();
        }
    } catch (const Malformed& problem) {
        std::cerr << "poppyscale_simulator_adapter: " << problem.what() << '\n';
        return 1;
    }
    return 0;
}
