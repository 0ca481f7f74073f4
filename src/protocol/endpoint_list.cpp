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

// Far past any clock; in nanoseconds it must not overflow.
constexpr std::int64_t kMaxStartedMs = 8'000'000'000'000;

enum class Source : std::uint8_t { discovery, configuration };

EndpointState stateOf(std::string_view keyword) {
    if (keyword == "Ready") return EndpointState::ready;
    if (keyword == "Terminating") return EndpointState::draining;
    if (keyword == "Gone") return EndpointState::removed;
    throw ParseError("an entry with an unknown state");
}

// From discovery a weight that makes no sense costs that value alone; in a configuration it is an error.
double weightOf(const Json& entry, const std::string& name, Source source) {
    const auto weight = entry.find("weight");
    if (weight == entry.end()) return 1.0;
    if (!weight->is_number()) {
        if (source == Source::discovery) return 0;
        throw ParseError("an entry with a weight that is no number: " + name);
    }
    const double value = weight->get<double>();
    if (std::isfinite(value) && value >= 0) return value;
    if (source == Source::discovery) return 0;
    throw ParseError("an entry with a weight out of range: " + name);
}

EndpointEntry endpointEntryOf(const Json& json, Source source) {
    EndpointEntry entry;
    Endpoint& endpoint = entry.endpoint;
    endpoint.name = json.at("id").get<std::string>();
    if (endpoint.name.empty()) throw ParseError("an entry without an id");
    endpoint.state = stateOf(json.at("state").get<std::string>());
    endpoint.zone = json.value("zone", "");
    endpoint.shape = json.value("kind", "");
    endpoint.cell = json.value("cell", std::int64_t{0});
    endpoint.weight = weightOf(json, endpoint.name, source);
    entry.address = json.value("addr", "");
    entry.startedMs = json.value("started_ms", std::int64_t{0});
    if (entry.startedMs < 0 || entry.startedMs > kMaxStartedMs)
        throw ParseError("an entry with a start out of range");
    return entry;
}

// Reads a list entry by entry: as a tree of JSON it takes five to forty times the memory of its text, and the
// longest list that may come is bounded by its text. What is not needed is dropped as soon as it was parsed.
class EndpointListReader {
  public:
    EndpointList read(std::string_view text) {
        const Json json = Json::parse(text, [this](int depth, Json::parse_event_t event, Json& parsed) {
            return shouldRetain(depth, event, parsed);
        });
        list_.version = json.at("version").get<std::int64_t>();
        list_.isComplete = json.at("full").get<bool>();
        if (!json.at("servers").is_array()) throw ParseError("servers is not a list");
        if (!problem_.empty()) throw ParseError(problem_);
        return std::move(list_);
    }

  private:
    using Event = Json::parse_event_t;
    // How many containers are around what was parsed.
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

    // Of a key that comes twice the last one counts.
    bool enterField(const Json& key) {
        isInServers_ = key == "servers";
        if (isInServers_) {
            list_.entries.clear();
            problem_.clear();
        }
        return isInServers_ || key == "version" || key == "full";
    }

    // An entry is read at its end, and dropped from the tree.
    bool shouldRetainServer(Event event, const Json& entry) {
        if (event == Event::object_start) return true;
        if (event != Event::object_end)
            problem_ = "an entry that is not an object";
        else
            readServer(entry);
        return false;
    }

    // A problem is only reported at the end: a later list of servers may replace this one.
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
    std::string problem_;  // of the entries in `list_`
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
