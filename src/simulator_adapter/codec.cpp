#include "simulator_adapter/codec.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>

#include "protocol/number.hpp"

namespace poppyscale::simulator_adapter {
namespace {

using protocol::parse;

constexpr std::int64_t kNanosPerMicro = 1000;
// Later than any real clock; the sum of a few such times in nanoseconds does not overflow.
constexpr std::int64_t kMaxMicros = std::numeric_limits<std::int64_t>::max() / kNanosPerMicro / 8;
constexpr std::int64_t kMaxAttempt = 1'000'000;
constexpr std::size_t kMaxQuotedLength = 40;  // most bytes of input that are quoted in an error
constexpr std::size_t kRequestIdDigits = 16;

constexpr std::int64_t kRetryBit = 2;
constexpr std::int64_t kWriteBit = 4;

template <class T, std::size_t N>
using Names = std::array<std::pair<std::string_view, T>, N>;

template <class T, std::size_t N>
const T* findByName(const Names<T, N>& names, std::string_view wanted) {
    for (const auto& [name, value] : names)
        if (name == wanted) return &value;
    return nullptr;
}

constexpr Names<MessageType, 14> kMessageTypes{{{"MARK", MessageType::batchStart},
                                                {"OVER_TO_YOU", MessageType::batchEnd},
                                                {"CONFIGURE", MessageType::startInstance},
                                                {"STOP", MessageType::stopInstance},
                                                {"TABLE", MessageType::endpointTable},
                                                {"ANNOUNCE", MessageType::endpointUpdate},
                                                {"ACCEPT", MessageType::request},
                                                {"ABORTED", MessageType::clientDisconnected},
                                                {"VERDICT", MessageType::attemptEnded},
                                                {"REMINDER", MessageType::wakeup},
                                                {"OPENED", MessageType::other},
                                                {"NOTE_FROM", MessageType::other},
                                                {"CHECK_RESULT", MessageType::other},
                                                {"ENTRY", MessageType::other}}};

constexpr Names<AttemptOutcome, 9> kAttemptOutcomes{{{"pass", AttemptOutcome::succeeded},
                                                     {"fault", AttemptOutcome::failed},
                                                     {"no_room", AttemptOutcome::overloaded},
                                                     {"too_slow", AttemptOutcome::timedOut},
                                                     {"no_route", AttemptOutcome::connectFailed},
                                                     {"cut", AttemptOutcome::connectionLost},
                                                     {"undone", AttemptOutcome::notExecuted},
                                                     {"stale_send", AttemptOutcome::notSent},
                                                     {"none_here", AttemptOutcome::cacheMiss}}};

// Indexed by the number on the wire.
constexpr std::array kEndpointStates{EndpointState::removed, EndpointState::ready, EndpointState::draining};
constexpr std::array kEndpointUpdateKinds{EndpointUpdateKind::delta, EndpointUpdateKind::cached,
                                          EndpointUpdateKind::complete, EndpointUpdateKind::failed};

template <class T, std::size_t N>
const T* findByNumber(const std::array<T, N>& values, std::int64_t number) {
    if (number < 0 || number >= static_cast<std::int64_t>(N)) return nullptr;
    return &values[static_cast<std::size_t>(number)];
}

// A field as it was sent, for an error.
std::string quotedField(std::string_view name, std::string_view value) {
    return std::string(name) + "='" + std::string(value.substr(0, kMaxQuotedLength)) + "'";
}

std::optional<double> parseFinite(std::string_view value) {
    const auto number = parse<double>(value);
    return number && std::isfinite(*number) ? number : std::nullopt;
}

ReadThroughResult readThroughResult(std::int64_t remark) {
    switch (remark) {
        case 1:
            return ReadThroughResult::cached;
        case 2:
        case 3:
            return ReadThroughResult::fetched;
        default:
            return ReadThroughResult::unknown;
    }
}

}  // namespace

void Message::parse(std::string_view line) {
    fields_.clear();
    typeText_ = line.substr(0, line.find('\t'));
    const MessageType* type = findByName(kMessageTypes, typeText_);
    if (!type)
        throw ParseError("unknown message type '" + std::string(typeText_.substr(0, kMaxQuotedLength)) + "'");
    type_ = *type;
    auto separator = line.find('\t');
    while (separator != std::string_view::npos) {
        line.remove_prefix(separator + 1);
        separator = line.find('\t');
        const auto field = line.substr(0, separator);
        const auto equals = field.find('=');
        if (equals == std::string_view::npos)
            fail("has a field without '='", field.substr(0, kMaxQuotedLength));
        fields_.emplace_back(field.substr(0, equals), field.substr(equals + 1));
    }
}

void Message::fail(std::string_view problem, std::string_view name) const {
    throw ParseError(std::string(typeText_) + " " + std::string(problem) + ": " + std::string(name));
}

std::optional<std::string_view> Message::find(std::string_view name) const {
    for (const auto& [fieldName, value] : fields_)
        if (fieldName == name) return value;
    return std::nullopt;
}

std::string_view Message::text(std::string_view name) const {
    const auto value = find(name);
    if (!value) fail("lacks a required field", name);
    return *value;
}

std::int64_t Message::parseInteger(std::string_view name, std::string_view value) const {
    const auto number = protocol::parse<std::int64_t>(value);
    if (!number) fail("has a field that is not a whole number", quotedField(name, value));
    return *number;
}

std::int64_t Message::integer(std::string_view name) const { return parseInteger(name, text(name)); }

std::int64_t Message::integerOr(std::string_view name, std::int64_t fallback) const {
    const auto value = find(name);
    return value ? parseInteger(name, *value) : fallback;
}

Nanos Message::parseTime(std::string_view name, std::string_view value) const {
    const std::int64_t micros = parseInteger(name, value);
    if (micros > kMaxMicros || micros < 0)
        fail("has a time that is not from 0 to " + std::to_string(kMaxMicros) + " us",
             quotedField(name, value));
    return micros * kNanosPerMicro;
}

Nanos Message::time(std::string_view name) const { return parseTime(name, text(name)); }

Nanos Message::timeOr(std::string_view name, Nanos fallback) const {
    const auto value = find(name);
    return value ? parseTime(name, *value) : fallback;
}

RequestId Message::requestId() const {
    const auto digits = text("ref");
    const auto id = protocol::parse<RequestId>(digits, 16);
    if (digits.size() != kRequestIdDigits || !id)
        fail("has a field that is not 16 hexadecimal digits", quotedField("ref", digits));
    return *id;
}

PolicySettings readPolicySettings(const Message& message) {
    protocol::SettingsMap settings;
    for (const auto& [name, value] : message.fields()) settings.add(std::string(name), std::string(value));
    const auto seed = parse<std::uint64_t>(message.text("seed"));
    if (!seed)
        throw ParseError("CONFIGURE has a field that is not an unsigned 64-bit number: " +
                         quotedField("seed", message.text("seed")));
    try {
        return protocol::readPolicySettings(settings, *seed);
    } catch (const ParseError& error) {
        throw ParseError("CONFIGURE: " + std::string(error.what()));
    }
}

Endpoint readEndpoint(const Message& entry) {
    Endpoint endpoint;
    endpoint.name = entry.text("server");
    const EndpointState* state = findByNumber(kEndpointStates, entry.integer("availability"));
    if (!state)
        throw ParseError("ENTRY has a field that is not 0, 1 or 2: " +
                         quotedField("availability", entry.text("availability")));
    endpoint.state = *state;
    endpoint.zone = entry.find("dc").value_or("");
    endpoint.shape = entry.find("hw").value_or("");
    endpoint.cell = entry.integerOr("pod", 0);
    endpoint.startedAt = entry.timeOr("cameUpUs", 0);
    if (const auto weight = entry.find("heft")) {
        const auto number = parseFinite(*weight);
        if (!number || *number < 0)
            throw ParseError("ENTRY has a field that is not a finite number of at least 0: " +
                             quotedField("heft", *weight));
        endpoint.weight = *number;
    }
    return endpoint;
}

EndpointUpdateKind readEndpointUpdateKind(const Message& message) {
    const EndpointUpdateKind* kind = findByNumber(kEndpointUpdateKinds, message.integer("kind"));
    if (!kind)
        throw ParseError("ANNOUNCE has a field that is not 0, 1, 2 or 3: " +
                         quotedField("kind", message.text("kind")));
    return *kind;
}

IncomingRequest readIncomingRequest(const Message& message) {
    IncomingRequest incoming;
    incoming.id = message.requestId();
    incoming.requestClass = message.text("profile");
    incoming.tenant = message.find("customer").value_or("");
    incoming.key = message.find("affinity").value_or("");
    incoming.deadline = message.time("notAfterUs");
    const std::int64_t bits = message.integerOr("bits", 0);
    incoming.isRetry = (bits & kRetryBit) != 0;
    incoming.isWrite = (bits & kWriteBit) != 0;
    return incoming;
}

AttemptResult readAttemptResult(const Message& message) {
    AttemptResult result;
    result.id = message.requestId();
    const AttemptOutcome* outcome = findByName(kAttemptOutcomes, message.text("verdict"));
    if (!outcome)
        throw ParseError("VERDICT has a field with an unknown value: " +
                         quotedField("verdict", message.text("verdict")));
    result.outcome = *outcome;
    const std::int64_t attempt = message.integerOr("trial", 0);
    if (attempt < 0 || attempt > kMaxAttempt)
        throw ParseError("VERDICT has a field that is not from 0 to " + std::to_string(kMaxAttempt) + ": " +
                         quotedField("trial", message.text("trial")));
    result.attempt = static_cast<int>(attempt);
    result.readThrough = readThroughResult(message.integerOr("remark", 0));
    result.requestCompleted = message.integerOr("over", 0) != 0;
    result.duration = message.timeOr("spentUs", 0);
    return result;
}

void ActionWriter::beginAction(std::string_view action) {
    reply_.append(action).append("\twho=").append(instance_);
}

void ActionWriter::writeRequestId(RequestId id) {
    constexpr std::string_view digits = "0123456789abcdef";
    reply_.append("\tref=");
    for (int shift = 60; shift >= 0; shift -= 4) reply_.push_back(digits[(id >> shift) & 15]);
}

void ActionWriter::writeInteger(std::string_view name, std::int64_t value) {
    std::array<char, 24> digits;
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    reply_.append("\t").append(name).append("=").append(digits.data(), end);
}

void ActionWriter::startAttempt(RequestId id, std::string_view server, Nanos deadline, Nanos) {
    beginAction("HAND_OFF");
    writeRequestId(id);
    reply_.append("\tserver=").append(server);
    writeInteger("notPastUs", deadline / kNanosPerMicro);
    reply_.push_back('\n');
}

void ActionWriter::reject(RequestId id, Nanos retryAfter) {
    beginAction("OVERLOAD_REPLY");
    writeRequestId(id);
    if (retryAfter > 0) writeInteger("coolDownUs", retryAfter / kNanosPerMicro);
    reply_.push_back('\n');
}

void ActionWriter::fail(RequestId id) {
    beginAction("END_FAILED");
    writeRequestId(id);
    reply_.push_back('\n');
}

void ActionWriter::scheduleWakeup(Nanos at) {
    beginAction("WAKE_AT");
    // Rounded up: a wake-up before `at` would find nothing due.
    writeInteger("fireAtUs", (at + kNanosPerMicro - 1) / kNanosPerMicro);
    writeInteger("tag", 0);
    reply_.push_back('\n');
}

void ActionWriter::pollEndpoints() {
    beginAction("OBSERVE");
    reply_.append("\ton=1\n");
}

void ActionWriter::log(std::string_view text) {
    beginAction("EMIT");
    reply_.append("\tmessage=").append(text).push_back('\n');
}

}  // namespace poppyscale::simulator_adapter
