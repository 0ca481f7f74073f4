#include "protocol/endpoint_list.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "protocol/json_errors.hpp"

namespace poppyscale::protocol {
namespace {

using Json = nlohmann::json;

// A time later than any real clock shows, in milliseconds, that does not overflow in nanoseconds.
constexpr std::int64_t kMaxStartedMs = 8'000'000'000'000;

// The longest quotation of a name or value from a list in an error.
constexpr std::size_t kMaxQuotedBytes = 32;

enum class Source : std::uint8_t { discovery, configuration };

// The start of `text`, up to kMaxQuotedBytes, followed by "..." if that is not all of it. The cut is
// between two UTF-8 characters, because errors are also sent as JSON.
std::string quotableStart(std::string_view text) {
    if (text.size() <= kMaxQuotedBytes) return std::string(text);
    const auto isContinuation = [](char byte) { return (static_cast<unsigned char>(byte) & 0xC0) == 0x80; };
    std::size_t size = kMaxQuotedBytes;
    while (size > 0 && isContinuation(text[size])) --size;
    return std::string(text.substr(0, size)) + "...";
}

// The start of `text` as a JSON string: errors also reach the text log, where an unescaped line break
// would split the line. dump() does not throw, because `text` was parsed from JSON and is valid UTF-8.
std::string quotedStart(std::string_view text) { return Json(quotableStart(text)).dump(); }

EndpointState stateOf(std::string_view keyword) {
    if (keyword == "Ready") return EndpointState::ready;
    if (keyword == "Terminating") return EndpointState::draining;
    if (keyword == "Gone") return EndpointState::removed;
    throw ParseError("the state of a server is " + quotedStart(keyword) +
                     ", expected Ready, Terminating or Gone");
}

ParseError invalidWeight(const std::string& server, const Json& weight, const std::string& expected) {
    return ParseError("the weight of server '" + quotableStart(server) + "' is " +
                      quotableStart(weight.dump()) + ", expected " + expected);
}

// An invalid weight from discovery counts as 0 and leaves the rest of the list valid. In a
// configuration it is an error.
double weightOf(const Json& entry, const std::string& name, Source source) {
    const auto weight = entry.find("weight");
    if (weight == entry.end()) return 1.0;
    if (!weight->is_number()) {
        if (source == Source::discovery) return 0;
        throw invalidWeight(name, *weight, "a number");
    }
    const double value = weight->get<double>();
    if (std::isfinite(value) && value >= 0) return value;
    if (source == Source::discovery) return 0;
    throw invalidWeight(name, *weight, "at least 0");
}

EndpointEntry endpointEntryOf(const Json& json, Source source) {
    EndpointEntry entry;
    Endpoint& endpoint = entry.endpoint;
    endpoint.name = json.at("id").get<std::string>();
    if (endpoint.name.empty()) throw ParseError("the id of a server is empty");
    endpoint.state = stateOf(json.at("state").get<std::string>());
    endpoint.zone = json.value("zone", "");
    endpoint.shape = json.value("kind", "");
    endpoint.cell = json.value("cell", std::int64_t{0});
    endpoint.weight = weightOf(json, endpoint.name, source);
    entry.address = json.value("addr", "");
    entry.startedMs = json.value("started_ms", std::int64_t{0});
    if (entry.startedMs < 0 || entry.startedMs > kMaxStartedMs)
        throw ParseError("started_ms of server " + quotedStart(endpoint.name) + " is " +
                         std::to_string(entry.startedMs) + ", expected 0 to " +
                         std::to_string(kMaxStartedMs));
    return entry;
}

// Reads a list entry by entry and drops unneeded values as soon as they are parsed. A whole list as
// a JSON tree takes five to forty times the memory of its text, and only the length of the text is
// bounded.
class EndpointListReader {
  public:
    EndpointList read(std::string_view text) {
        const Json json = Json::parse(text, [this](int depth, Json::parse_event_t event, Json& parsed) {
            return shouldRetain(depth, event, parsed);
        });
        list_.version = json.at("version").get<std::int64_t>();
        list_.isComplete = json.at("full").get<bool>();
        if (!json.at("servers").is_array()) throw ParseError("'servers' is not a list");
        if (!problem_.empty()) throw ParseError(problem_);
        return std::move(list_);
    }

  private:
    using Event = Json::parse_event_t;
    // The number of containers around a parsed value.
    static constexpr int kListDepth = 1;
    static constexpr int kServersDepth = 2;
    static constexpr int kEntryDepth = 3;

    bool shouldRetain(int depth, Event event, Json& parsed) {
        if (depth < kListDepth) return true;
        if (depth == kListDepth) return event != Event::key || enterField(parsed);
        if (!isInServers_ || depth > kEntryDepth) return false;
        if (depth == kServersDepth) return shouldRetainServer(event, parsed);
        return event != Event::key || isFieldOfEntry(parsed.get_ref<const std::string&>());
    }

    // If a key occurs twice, the last one counts.
    bool enterField(const Json& key) {
        isInServers_ = key == "servers";
        if (isInServers_) {
            list_.entries.clear();
            problem_.clear();
        }
        return isInServers_ || key == "version" || key == "full";
    }

    // Reads an entry once it is complete, and drops it from the tree.
    bool shouldRetainServer(Event event, const Json& entry) {
        if (event == Event::object_start) return true;
        if (event != Event::object_end)
            problem_ = "an entry of 'servers' is not an object";
        else
            readServer(entry);
        return false;
    }

    // A problem is reported only at the end of the text, since a later key "servers" replaces this
    // list.
    void readServer(const Json& entry) {
        try {
            list_.entries.push_back(endpointEntryOf(entry, Source::discovery));
        } catch (const std::exception& problem) {
            problem_ = problem.what();
        }
    }

    static bool isFieldOfEntry(std::string_view name) {
        return std::find(kEntryFields.begin(), kEntryFields.end(), name) != kEntryFields.end();
    }

    static constexpr std::array<std::string_view, 8> kEntryFields{"id",   "state",  "zone", "kind",
                                                                  "cell", "weight", "addr", "started_ms"};
    EndpointList list_;
    std::string problem_;  // the last problem with an entry of the current 'servers'; empty for none
    bool isInServers_ = false;
};

}  // namespace

EndpointList readEndpointList(std::string_view json) {
    return withParseErrors([&] { return EndpointListReader().read(json); });
}

EndpointList readConfiguredEndpoints(const Json& json) {
    EndpointList list;
    list.version = json.at("version").get<std::int64_t>();
    list.isComplete = json.at("full").get<bool>();
    for (const Json& entry : json.at("servers"))
        list.entries.push_back(endpointEntryOf(entry, Source::configuration));
    return list;
}

}  // namespace poppyscale::protocol
