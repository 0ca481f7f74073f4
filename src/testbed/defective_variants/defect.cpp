#include "testbed/defective_variants/defect.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

#include "process/command_line.hpp"
#include "proxy/request_dispatcher.hpp"

namespace poppyscale::testbed {
namespace {

using proxy::Command;
using Kind = Harmful::Kind;

constexpr double kEndsAfter = 3;               // s
constexpr Nanos kKeptIdle = 5 * kMillisecond;  // for the relay that a connection was opened for, and no other

class HarmfulCore : public proxy::Core {
  public:
    HarmfulCore(transport::Loop& loop, transport::Pool& pool, const protocol::Start& start,
                std::size_t mostLinks, proxy::Log log, const Harmful& harm)
        : Core(loop, pool, start, mostLinks, std::move(log)),
          harm_(harm),
          chance_(static_cast<std::mt19937::result_type>(start.terms.seed +
                                                         static_cast<std::uint64_t>(::getpid()))),
          later_(loop, [this] { pass(); }),
          end_(loop, [] { std::_Exit(1); }) {
        const double after = harm.size > 0 ? harm.size : kEndsAfter;
        if (harm.kind == Kind::ends) end_.set(transport::Loop::now() + static_cast<Nanos>(after * 1e9));
    }

    Taken take(proxy::Asker& asker, protocol::Command said, Nanos now, proxy::Body* body) override {
        if (harm_.kind == Kind::leaks) leaked_.emplace_back(static_cast<std::size_t>(harm_.size * 1024), 'x');
        if (harm_.kind == Kind::connections) keepIdle(kKeptIdle);
        if (strikes(Kind::declines) && counts()) {
            counts()->taken(said.verb);
            counts()->declined(said.verb, metrics::Declined::unsent);
            return {};
        }
        if (body || !strikes(Kind::lossy)) return Core::take(asker, std::move(said), now, body);
        if (counts()) counts()->taken(said.verb);
        auto made = std::make_unique<Command>();
        made->said = std::move(said);
        Command* const command = made.get();
        silent_.emplace(command, std::move(made));
        return {command, {}};
    }
    void left(Command& command) override {
        const auto it = silent_.find(&command);
        if (it == silent_.end()) return Core::left(command);
        if (counts()) counts()->left(command.said.verb);
        silent_.erase(it);
    }
    void listed(NewsKind kind, const protocol::Roster& roster) override {
        if (harm_.kind != Kind::drains) return Core::listed(kind, roster);
        protocol::Roster unheeded = roster;
        for (auto& place : unheeded.places)
            if (place.listed.presence == Presence::draining) place.listed.presence = Presence::ready;
        Core::listed(kind, unheeded);
    }

  private:
    struct Late {
        proxy::Relay* relay;
        protocol::Outcome outcome;
    };
    bool strikes(Kind kind) {
        return harm_.kind == kind && std::generate_canonical<double, 32>(chance_) < harm_.size;
    }
    void relayEnded(proxy::Relay& relay, protocol::Outcome outcome) override {
        if (harm_.kind != Kind::slower || outcome.ending != Ending::answered || relay.answeredAt)
            return Core::relayEnded(relay, std::move(outcome));
        // Its connection is free by now; the relay stays out until it is passed on.
        relay.alarm.clear();
        const Nanos now = transport::Loop::now();
        const auto more = static_cast<Nanos>(harm_.size * static_cast<double>(now - relay.sentAt));
        late_.emplace(now + more, Late{&relay, std::move(outcome)});
        later_.set(late_.begin()->first);
    }
    void pass() {
        while (!late_.empty() && late_.begin()->first <= transport::Loop::now()) {
            auto late = late_.extract(late_.begin());
            Core::relayEnded(*late.mapped().relay, std::move(late.mapped().outcome));
        }
        if (!late_.empty()) later_.set(late_.begin()->first);
    }

    Harmful harm_;
    std::mt19937 chance_;
    std::multimap<Nanos, Late> late_;
    std::unordered_map<Command*, std::unique_ptr<Command>> silent_;
    std::vector<std::string> leaked_;
    transport::Alarm later_, end_;
};

}  // namespace

Harmful::Kind harmfulNamed(const std::string& name) {
    static const std::vector<std::pair<std::string, Kind>> all{
        {"none", Kind::none},    {"stillborn", Kind::stillborn}, {"hangs", Kind::hangs},
        {"ends", Kind::ends},    {"declines", Kind::declines},   {"slower", Kind::slower},
        {"lossy", Kind::lossy},  {"leaks", Kind::leaks},         {"connections", Kind::connections},
        {"drains", Kind::drains}};
    std::string known;
    for (const auto& [n, kind] : all) {
        if (n == name) return kind;
        known += (known.empty() ? "" : ", ") + n;
    }
    throw std::runtime_error(fmt::format("'{}' is no harm; there are {}", name, known));
}

int serveHarmful(int argc, char** argv, const Harmful& harm) {
    if (harm.kind == Kind::stillborn) return 1;
    while (harm.kind == Kind::hangs) ::pause();
    return process::start(
        argc, argv, [harm](auto& loop, auto& pool, const auto& start, std::size_t links, auto log) {
            return std::make_unique<HarmfulCore>(loop, pool, start, links, std::move(log), harm);
        });
}

}  // namespace poppyscale::testbed
