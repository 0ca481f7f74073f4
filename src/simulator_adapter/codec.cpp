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
// Far past any clock, and a few of them still add up without overflow.
constexpr std::int64_t kMostMicros = std::numeric_limits<std::int64_t>::max() / kNanosPerMicro / 8;

template <class T, std::size_t N>
const T* lookUp(const std::array<std::pair<std::string_view, T>, N>& words, std::string_view word) {
    for (const auto& [name, value] : words)
        if (name == word) return &value;
    return nullptr;
}

constexpr std::array<std::pair<std::string_view, Kind>, 10> kKinds{{{"MARK", Kind::mark},
                                                                    {"OVER_TO_YOU", Kind::turn},
                                                                    {"CONFIGURE", Kind::configure},
                                                                    {"TABLE", Kind::table},
                                                                    {"ANNOUNCE", Kind::announce},
                                                                    {"ACCEPT", Kind::accept},
                                                                    {"ABORTED", Kind::aborted},
                                                                    {"VERDICT", Kind::verdict},
                                                                    {"REMINDER", Kind::reminder},
                                                                    {"STOP", Kind::stop}}};
// Events that the decisions have no use for; anything else that is unknown is an error.
constexpr std::array<std::string_view, 4> kIgnored{"OPENED", "NOTE_FROM", "CHECK_RESULT", "ENTRY"};

constexpr std::array<std::pair<std::string_view, AttemptOutcome>, 9> kEndings{
    {{"pass", AttemptOutcome::succeeded},
     {"fault", AttemptOutcome::failed},
     {"no_room", AttemptOutcome::overloaded},
     {"too_slow", AttemptOutcome::timedOut},
     {"no_route", AttemptOutcome::connectFailed},
     {"cut", AttemptOutcome::connectionLost},
     {"undone", AttemptOutcome::notExecuted},
     {"stale_send", AttemptOutcome::notSent},
     {"none_here", AttemptOutcome::cacheMiss}}};

std::optional<double> parseReal(std::string_view value) {
    const auto real = parse<double>(value);
    return real && std::isfinite(*real) ? real : std::nullopt;
}

}  // namespace

void Line::split(std::string_view text) {
    parts_.clear();
    word_ = text.substr(0, text.find('\t'));
    if (const Kind* kind = lookUp(kKinds, word_)) {
        kind_ = *kind;
    } else {
        kind_ = Kind::other;
        bool known = false;
        for (const auto ignored : kIgnored) known = known || ignored == word_;
        if (!known) throw ParseError("unknown message '" + std::string(word_.substr(0, 40)) + "'");
    }
    while (word_.size() < text.size()) {
        text.remove_prefix(text.find('\t') + 1);
        const auto part = text.substr(0, text.find('\t'));
        const auto equals = part.find('=');
        if (equals == std::string_view::npos) fail("has a part without '='", part.substr(0, 40));
        parts_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
        if (part.size() == text.size()) break;
    }
}

void Line::fail(std::string_view what, std::string_view name) const {
    throw ParseError(std::string(word_) + " " + std::string(what) + ": " + std::string(name));
}

std::optional<std::string_view> Line::find(std::string_view name) const {
    for (const auto& [key, value] : parts_)
        if (key == name) return value;
    return std::nullopt;
}

std::string_view Line::text(std::string_view name) const {
    const auto value = find(name);
    if (!value) fail("lacks a field", name);
    return *value;
}

std::int64_t Line::number(std::string_view name, std::string_view value) const {
    const auto result = parse<std::int64_t>(value);
    if (!result) fail("has a field that is not a whole number", name);
    return *result;
}

std::int64_t Line::integer(std::string_view name) const { return number(name, text(name)); }

std::int64_t Line::integer(std::string_view name, std::int64_t otherwise) const {
    const auto value = find(name);
    return value ? number(name, *value) : otherwise;
}

Nanos Line::toNanos(std::int64_t micros, std::string_view name) const {
    if (micros > kMostMicros || micros < 0) fail("has a time out of range", name);
    return micros * kNanosPerMicro;
}

RequestId Line::command() const {
    const auto ref = text("ref");
    const auto id = parse<RequestId>(ref, 16);
    if (ref.size() != 16 || !id) fail("has a field that is not 16 hex digits", "ref");
    return *id;
}

PolicySettings readPolicySettings(const Line& configure) {
    protocol::SettingsMap paths;
    for (const auto& [path, value] : configure.parts()) paths.add(std::string(path), std::string(value));
    const auto seed = parse<std::uint64_t>(configure.text("seed"));
    if (!seed) throw ParseError("CONFIGURE has a field that is not a whole number: seed");
    try {
        return protocol::readPolicySettings(paths, *seed);
    } catch (const ParseError& problem) {
        throw ParseError("CONFIGURE: " + std::string(problem.what()));
    }
}

Endpoint readEndpoint(const Line& entry) {
    Endpoint listed;
    listed.name = entry.text("server");
    const auto presence = entry.integer("availability");
    if (presence < 0 || presence > 2) throw ParseError("ENTRY has an unknown availability");
    listed.state = presence == 0   ? EndpointState::removed
                   : presence == 1 ? EndpointState::ready
                                   : EndpointState::draining;
    listed.zone = entry.find("dc").value_or("");
    listed.shape = entry.find("hw").value_or("");
    listed.cell = entry.integer("pod", 0);
    listed.startedAt = entry.toNanos(entry.integer("cameUpUs", 0), "cameUpUs");
    if (const auto size = entry.find("heft")) {
        const auto real = parseReal(*size);
        if (!real || *real < 0) throw ParseError("ENTRY has a field that is not a size: heft");
        listed.weight = *real;
    }
    return listed;
}

EndpointUpdateKind readEndpointUpdateKind(const Line& announce) {
    constexpr std::array kinds{EndpointUpdateKind::delta, EndpointUpdateKind::cached,
                               EndpointUpdateKind::complete, EndpointUpdateKind::failed};
    const auto kind = announce.integer("kind");
    if (kind < 0 || kind >= static_cast<std::int64_t>(kinds.size()))
        throw ParseError("ANNOUNCE has an unknown kind");
    return kinds[kind];
}

IncomingRequest readIncomingRequest(const Line& accept) {
    IncomingRequest arrival;
    arrival.id = accept.command();
    arrival.requestClass = accept.text("profile");
    arrival.tenant = accept.find("customer").value_or("");
    arrival.key = accept.find("affinity").value_or("");
    arrival.deadline = accept.time("notAfterUs");
    const auto bits = accept.integer("bits", 0);
    arrival.isRetry = (bits & 2) != 0;
    arrival.isWrite = (bits & 4) != 0;
    return arrival;
}

AttemptResult readAttemptResult(const Line& verdict) {
    AttemptResult end;
    end.id = verdict.command();
    const AttemptOutcome* ending = lookUp(kEndings, verdict.text("verdict"));
    if (!ending) throw ParseError("VERDICT has an unknown verdict");
    end.outcome = *ending;
    const auto trial = verdict.integer("trial", 0);
    if (trial < 0 || trial > 1'000'000) throw ParseError("VERDICT has a field out of range: trial");
    end.attempt = static_cast<int>(trial);
    const auto remark = verdict.integer("remark", 0);
    end.readThrough = remark == 1                  ? ReadThroughResult::cached
                      : remark == 2 || remark == 3 ? ReadThroughResult::fetched
                                                   : ReadThroughResult::unknown;
    end.requestCompleted = verdict.integer("over", 0) != 0;
    end.duration = verdict.toNanos(verdict.integer("spentUs", 0), "spentUs");
    return end;
}

void Writer::begin(std::string_view action) { reply_.append(action).append("\twho=").append(who_); }

void Writer::command(RequestId id) {
    constexpr std::string_view digits = "0123456789abcdef";
    reply_.append("\tref=");
    for (int shift = 60; shift >= 0; shift -= 4) reply_.push_back(digits[(id >> shift) & 15]);
}

void Writer::count(std::string_view name, std::int64_t value) {
    std::array<char, 24> text;
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    reply_.append("\t").append(name).append("=").append(text.data(), end);
}

// What is handed off here is sent at once: nothing of it waits past `startBy`.
void Writer::startAttempt(RequestId id, std::string_view cache, Nanos deadline, Nanos) {
    begin("HAND_OFF");
    command(id);
    reply_.append("\tserver=").append(cache);
    count("notPastUs", deadline / kNanosPerMicro);
    reply_.push_back('\n');
}

void Writer::reject(RequestId id, Nanos retryAfter) {
    begin("OVERLOAD_REPLY");
    command(id);
    if (retryAfter > 0) count("coolDownUs", retryAfter / kNanosPerMicro);
    reply_.push_back('\n');
}

void Writer::fail(RequestId id) {
    begin("END_FAILED");
    command(id);
    reply_.push_back('\n');
}

void Writer::scheduleWakeup(Nanos at) {
    begin("WAKE_AT");
    // Rounded up: a wake-up just before its moment would find nothing due.
    count("fireAtUs", (at + kNanosPerMicro - 1) / kNanosPerMicro);
    count("tag", 0);
    reply_.push_back('\n');
}

void Writer::pollEndpoints() {
    begin("OBSERVE");
    reply_.append("\ton=1\n");
}

void Writer::log(std::string_view text) {
    begin("EMIT");
    reply_.append("\tmessage=").append(text).push_back('\n');
}

}  // namespace poppyscale::simulator_adapter
