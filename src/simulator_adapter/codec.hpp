// The mesa-f053 wire: text lines to the value types of logic.hpp and back. Decides nothing.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/routing_policy.hpp"
#include "protocol/policy_settings.hpp"

namespace poppyscale::simulator_adapter {

using protocol::ParseError;

enum class Kind { mark, turn, configure, table, announce, accept, aborted, verdict, reminder, stop, other };

// One line, split once; the views point into the caller's text.
class Line {
  public:
    void split(std::string_view text);
    Kind kind() const { return kind_; }
    std::string_view word() const { return word_; }
    std::optional<std::string_view> find(std::string_view name) const;
    std::string_view text(std::string_view name) const;  // throws when missing
    std::int64_t integer(std::string_view name) const;
    std::int64_t integer(std::string_view name, std::int64_t otherwise) const;
    Nanos time(std::string_view name) const { return toNanos(integer(name), name); }
    RequestId command() const;
    const std::vector<std::pair<std::string_view, std::string_view>>& parts() const { return parts_; }
    Nanos toNanos(std::int64_t micros, std::string_view name) const;

  private:
    [[noreturn]] void fail(std::string_view what, std::string_view name) const;
    std::int64_t number(std::string_view name, std::string_view value) const;

    Kind kind_ = Kind::other;
    std::string_view word_;
    std::vector<std::pair<std::string_view, std::string_view>> parts_;
};

PolicySettings readPolicySettings(const Line& configure);
Endpoint readEndpoint(const Line& entry);
EndpointUpdateKind readEndpointUpdateKind(const Line& announce);
IncomingRequest readIncomingRequest(const Line& accept);
AttemptResult readAttemptResult(const Line& verdict);

// Writes the actions of one instance onto a reply.
class Writer : public PolicyHost {
  public:
    Writer(std::string& reply, std::int64_t who) : reply_(reply), who_(std::to_string(who)) {}
    void startAttempt(RequestId id, std::string_view cache, Nanos deadline, Nanos latestStart) override;
    void reject(RequestId id, Nanos retryAfter) override;
    void fail(RequestId id) override;
    void scheduleWakeup(Nanos at) override;
    void pollEndpoints() override;
    void log(std::string_view text) override;

  private:
    void begin(std::string_view action);
    void command(RequestId id);
    void count(std::string_view name, std::int64_t value);

    std::string& reply_;
    std::string who_;
};

}  // namespace poppyscale::simulator_adapter
