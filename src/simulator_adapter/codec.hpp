// Codec of the simulator's protocol: converts lines of text to the policy's types, and the policy's
// actions to lines. Knows the protocol's keywords and makes no decisions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "policy/policy_host.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"
#include "protocol/policy_settings.hpp"

namespace poppyscale::simulator_adapter {

using protocol::ParseError;

enum class MessageType {
    batchStart,
    batchEnd,
    startInstance,
    stopInstance,
    endpointTable,
    endpointUpdate,
    request,
    clientDisconnected,
    attemptEnded,
    wakeup,
    other  // known, but not used by the policy
};

// One line: the message's type, and fields of the form name=value, separated by tabs. Views point
// into the text that was parsed, which must outlive them. All functions throw ParseError for
// invalid input.
class Message {
  public:
    // Replaces this message with the one in `line`, which does not include the end of line.
    void parse(std::string_view line);

    MessageType type() const { return type_; }
    // The type as it was sent.
    std::string_view typeText() const { return typeText_; }
    const std::vector<std::pair<std::string_view, std::string_view>>& fields() const { return fields_; }

    std::optional<std::string_view> find(std::string_view name) const;
    std::string_view text(std::string_view name) const;
    std::int64_t integer(std::string_view name) const;
    // `fallback` if there is no such field.
    std::int64_t integerOr(std::string_view name, std::int64_t fallback) const;
    // Read a field in microseconds, which must not be negative.
    Nanos time(std::string_view name) const;
    Nanos timeOr(std::string_view name, Nanos fallback) const;
    RequestId requestId() const;

  private:
    [[noreturn]] void fail(std::string_view problem, std::string_view name) const;
    std::int64_t parseInteger(std::string_view name, std::string_view value) const;
    Nanos parseTime(std::string_view name, std::string_view value) const;

    MessageType type_ = MessageType::other;
    std::string_view typeText_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// Convert a message, or an entry of a table, to the policy's type; throw ParseError.
PolicySettings readPolicySettings(const Message& message);
Endpoint readEndpoint(const Message& entry);
EndpointUpdateKind readEndpointUpdateKind(const Message& message);
IncomingRequest readIncomingRequest(const Message& message);
AttemptResult readAttemptResult(const Message& message);

// Appends the actions of one instance to a reply, which must outlive this object.
class ActionWriter : public PolicyHost {
  public:
    ActionWriter(std::string& reply, std::int64_t instance)
        : reply_(reply), instance_(std::to_string(instance)) {}

    // `latestStart` is not sent: the simulator starts an attempt at once, before that time can
    // pass.
    void startAttempt(RequestId id, std::string_view server, Nanos deadline, Nanos latestStart) override;
    void reject(RequestId id, Nanos retryAfter) override;
    void fail(RequestId id) override;
    void scheduleWakeup(Nanos at) override;
    void pollEndpoints() override;
    void log(std::string_view text) override;

  private:
    void beginAction(std::string_view action);
    void writeRequestId(RequestId id);
    void writeInteger(std::string_view name, std::int64_t value);

    std::string& reply_;
    const std::string instance_;
};

}  // namespace poppyscale::simulator_adapter
