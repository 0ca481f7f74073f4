#include "protocol/endpoint_list.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "protocol/number.hpp"

namespace poppyscale::protocol {
namespace {

using Json = nlohmann::json;

constexpr int kMaxDepth = 8;
constexpr Nanos kMinPollInterval =
    100 * kMillisecond;  // twice the longest pause before discovery is asked again

// Every use of the library goes through here: it throws its own kinds for what is missing or of another type.
template <class Read>
auto reading(Read read) {
    try {
        return read();
    } catch (const Json::exception& problem) {
        throw ParseError(problem.what());
    }
}

// In the stream of lists an absurd weight costs that value alone; in a file it is an error.
EndpointEntry endpointEntryOf(const Json& entry, bool inFile) {
    EndpointEntry place;
    Endpoint& listed = place.endpoint;
    listed.name = entry.at("id").get<std::string>();
    if (listed.name.empty()) throw ParseError("an entry without an id");
    const auto state = entry.at("state").get<std::string>();
    if (state != "Ready" && state != "Terminating" && state != "Gone")
        throw ParseError("an entry with an unknown state");
    listed.state = state == "Ready"         ? EndpointState::ready
                   : state == "Terminating" ? EndpointState::draining
                                            : EndpointState::removed;
    listed.zone = entry.value("zone", "");
    listed.shape = entry.value("kind", "");
    listed.cell = entry.value("cell", std::int64_t{0});
    const auto weight = entry.find("weight");
    if (inFile && weight != entry.end() && !weight->is_number())
        throw ParseError("an entry with a weight that is no number: " + listed.name);
    listed.weight = weight == entry.end() ? 1.0 : weight->is_number() ? weight->get<double>() : 0.0;
    if (!std::isfinite(listed.weight) || listed.weight < 0) {
        if (inFile) throw ParseError("an entry with a weight out of range: " + listed.name);
        listed.weight = 0;  // not told
    }
    place.address = entry.value("addr", "");
    place.startedMs = entry.value("started_ms", std::int64_t{0});
    // Far past any clock; times ten to the sixth it must not overflow.
    if (place.startedMs < 0 || place.startedMs > 8'000'000'000'000)
        throw ParseError("an entry with a start out of range");
    return place;
}

// Of the file that a process is started with.
EndpointList endpointListOf(const Json& json) {
    EndpointList roster;
    roster.version = json.at("version").get<std::int64_t>();
    roster.isComplete = json.at("full").get<bool>();
    for (const Json& entry : json.at("servers")) roster.entries.push_back(endpointEntryOf(entry, true));
    return roster;
}

// Reads a roster entry by entry: as a whole a tree of JSON takes five to forty times the room of its text,
// and the longest list that may come is bounded by its text. What is not asked for in here is not kept for a
// moment.
class EndpointListReader {
  public:
    EndpointList read(std::string_view text) {
        const Json json = Json::parse(text, [this](int depth, Json::parse_event_t event, Json& parsed) {
            return keeps(depth, event, parsed);
        });
        roster_.version = json.at("version").get<std::int64_t>();
        roster_.isComplete = json.at("full").get<bool>();
        if (!json.at("servers").is_array()) throw ParseError("servers is not a list");
        if (!problem_.empty()) throw ParseError(problem_);
        return std::move(roster_);
    }

  private:
    using Event = Json::parse_event_t;
    // How many containers are around what was met.
    static constexpr int kRoster = 1, kServers = 2, kEntry = 3;

    bool keeps(int depth, Event event, Json& parsed) {
        if (depth < kRoster) return true;
        if (depth == kRoster) return event != Event::key || keepsKey(parsed);
        if (!inServers_ || depth > kEntry) return false;
        if (depth == kServers) return keepsServer(event, parsed);
        return event != Event::key || isFieldOfEntry(parsed.get_ref<const std::string&>());
    }

    bool keepsKey(const Json& key) {
        inServers_ = key == "servers";
        if (inServers_) {  // of one key twice the last one holds
            roster_.entries.clear();
            problem_.clear();
        }
        return inServers_ || key == "version" || key == "full";
    }

    // An entry is taken at its end, and dropped from the tree.
    bool keepsServer(Event event, const Json& entry) {
        if (event == Event::object_start) return true;
        if (event != Event::object_end)
            problem_ = "an entry that is not an object";
        else
            takeServer(entry);
        return false;
    }

    // What is wrong is only told at the end: a later list of servers may hold in place of this one.
    void takeServer(const Json& entry) {
        try {
            roster_.entries.push_back(endpointEntryOf(entry, false));
        } catch (const std::exception& problem) {
            problem_ = problem.what();
        }
    }

    static bool isFieldOfEntry(std::string_view name) {
        return std::find(kFields.begin(), kFields.end(), name) != kFields.end();
    }

    static constexpr std::array<std::string_view, 8> kFields{"id",   "state",  "zone", "kind",
                                                             "cell", "weight", "addr", "started_ms"};
    EndpointList roster_;
    std::string problem_;  // with the entries of the list that holds so far
    bool inServers_ = false;
};

// A change counts as told 6 s after discovery had it, also to a process that has just started with an older
// list: of the grace after that, half is for the first call, so that the rest is left for its answer. What an
// agent was pushed counts as told from a process's first moment and from the first one after a failure: there
// each call has to fit into the grace.
void pollIntervalWithinGrace(Nanos grace, StartupConfig& start) {
    start.policy.maxFirstPollDelay = std::max(grace / 2, kMinPollInterval);
    if (start.policy.pollsEndpoints) return;
    start.policy.pollInterval =
        std::clamp(grace / 2, kMinPollInterval, std::max(start.pollWait, kMinPollInterval));
    start.policy.maxFirstPollDelay = start.policy.pollInterval / 2;
}

std::string scalar(const Json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

void flatten(const Json& value, const std::string& path, SettingsMap& paths) {
    const auto below = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
    if (value.is_object()) {
        for (const auto& [name, item] : value.items()) flatten(item, below(name), paths);
    } else if (value.is_array() && !value.empty() && value[0].is_object()) {
        paths.add(path + ".count", std::to_string(value.size()));
        for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], below(std::to_string(i)), paths);
    } else if (value.is_array()) {
        std::string list;
        for (const Json& item : value) {
            if (&item != &value[0]) list += ',';
            list += scalar(item);
        }
        paths.add(path, list);
    } else {
        paths.add(path, scalar(value));
    }
}

}  // namespace

EndpointList readEndpointList(std::string_view text) {
    return reading([&] { return EndpointListReader().read(text); });
}

StartupConfig readStartupConfig(std::string_view text) {
    // Brackets within brackets take forty times the room of their text.
    const auto shallow = [](int depth, Json::parse_event_t, Json&) { return depth <= kMaxDepth; };
    return reading([&] {
        const Json json = Json::parse(text, shallow);
        StartupConfig start;
        start.name = json.at("name").get<std::string>();
        start.listen = json.at("listen").get<std::string>();
        start.discovery = json.at("discovery").get<std::string>();
        start.console = json.value("console", "");
        const auto digits = json.at("seed").get<std::string>();
        const auto seed = parse<std::uint64_t>(digits, 16);
        if (!seed) throw ParseError("seed is not a hexadecimal number");
        const Json& limits = json.at("limits");
        const double megabytes = limits.at("memory_mb").get<double>();
        const auto sockets = limits.at("sockets").get<std::int64_t>();
        if (!(megabytes >= 16 && megabytes < 1e9) || sockets < 64 || sockets > 10'000'000)
            throw ParseError("limits are out of range: at least 16 MB and 64 sockets are needed");
        start.memoryLimitBytes = static_cast<std::size_t>(megabytes * 1e6);
        start.maxDescriptors = static_cast<std::size_t>(sockets);
        if (json.contains("known")) start.knownEndpoints = endpointListOf(json.at("known"));
        const Json& settings = json.at("settings");
        if (settings.contains("weights") && !settings.at("weights").is_string())
            throw ParseError("setting weights is not a word");
        SettingsMap paths;
        flatten(settings, "", paths);
        start.policy = readPolicySettings(paths, *seed);
        // Nothing is pushed on sockets: a list that the simulator pushes would never be heard of.
        start.pollWait = paths.duration("rules.askWithinUs");
        start.policy.pollInterval = start.pollWait;
        start.policy.maxFirstPollDelay = start.pollWait / 2;
        if (paths.has("rules.drainGraceUs"))
            pollIntervalWithinGrace(paths.duration("rules.drainGraceUs"), start);
        start.endpointsArePushed = !start.policy.pollsEndpoints;
        start.policy.pollsEndpoints = true;
        start.serverIdleTimeout = paths.duration("allowed.connIdleUs");
        start.connectTimeout = paths.duration("allowed.connectTimeoutUs");
        start.maxOpenRequests = static_cast<std::size_t>(paths.integer("allowed.maxOpen", 100'000'000));
        for (std::size_t i = 0; i < start.policy.requestClasses.size(); ++i)
            start.maxRequestTimeout = std::max(start.maxRequestTimeout,
                                               paths.duration("verbs." + std::to_string(i) + ".timeLimitUs"));
        return start;
    });
}

}  // namespace poppyscale::protocol
