// Fixture of the tests of the endpoint list distributor's logic: entries and lists as JSON, and a
// distributor with scripted upstreams and readers.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "endpoint_distribution/distributor.hpp"
#include "endpoint_distribution/list_state.hpp"
#include "endpoint_distribution/list_update.hpp"

namespace poppyscale::test {

using namespace endpoint_distribution;

constexpr Nanos ms = kMillisecond;

inline std::string entryText(const std::string& id, int weight = 1, const std::string& state = "Ready") {
    return R"({"id":")" + id + R"(","addr":"127.0.0.1:1","zone":"a","kind":"m","cell":0,"state":")" + state +
           R"(","weight":)" + std::to_string(weight) + R"(,"started_ms":0})";
}

inline std::string listText(Version version, bool isComplete, const std::vector<std::string>& entries) {
    std::string text =
        "{\"version\":" + std::to_string(version) + ",\"full\":" + (isComplete ? "true" : "false");
    text += ",\"servers\":[";
    for (const std::string& entry : entries) {
        if (text.back() != '[') text += ",";
        text += entry;
    }
    return text + "]}";
}

inline ListUpdate update(Version version, bool isComplete, const std::vector<std::string>& entries) {
    return readListUpdate(listText(version, isComplete, entries));
}

// The entries of a reader's list, by server id.
using Servers = std::map<std::string, std::string>;

inline void applyTo(Servers& servers, const ListUpdate& update) {
    if (update.isComplete) servers.clear();
    for (const ServerEntry& entry : update.entries) {
        if (entry.isRemoved)
            servers.erase(entry.id);
        else
            servers[entry.id] = entry.text;
    }
}

// The ids of the servers in an update; those of removed servers have the prefix "-".
inline std::set<std::string> idsOf(const ListUpdate& update) {
    std::set<std::string> ids;
    for (const ServerEntry& entry : update.entries) ids.insert((entry.isRemoved ? "-" : "") + entry.id);
    return ids;
}

using Ids = std::set<std::string>;

// Records the distributor's actions. All readers except those in `slow` receive their responses at
// once.
struct ScriptedHost : endpoint_distribution::DistributorHost {
    struct Response {
        ReaderId reader;
        ListResponse response;
        Nanos at;
    };
    struct Poll {
        std::size_t index;
        std::optional<Version> after;
        Nanos wait;
        Nanos at;
    };
    std::size_t sendResponse(ReaderId reader, const ListResponse& response) override {
        responses.push_back({reader, response, now});
        if (!slow.contains(reader)) return 0;
        unsent[reader] += response.body->size();
        return unsent[reader];
    }
    void pollUpstream(std::size_t index, std::optional<Version> after, Nanos wait) override {
        polls.push_back({index, after, wait, now});
    }
    void closeReader(ReaderId reader, CloseReason reason) override { closed[reader] = reason; }
    void scheduleWakeup(Nanos at) override { wakeupAt = at; }
    void log(std::string_view text) override { logs.emplace_back(text); }

    Nanos now = 0;
    std::vector<Response> responses;
    std::vector<Poll> polls;
    std::map<ReaderId, CloseReason> closed;
    std::set<ReaderId> slow;
    std::map<ReaderId, std::size_t> unsent;
    std::vector<std::string> logs;
    Nanos wakeupAt = kNever;
};

struct Fixture {
    explicit Fixture(const Options& options = {}) : distributor(options, host, 0) { reconcile(); }

    void reconcile() {
        host.now = now;
        distributor.reconcile(now);
    }
    // Advances to this time and calls reconcile() at each wakeup.
    void advanceTo(Nanos at) {
        while (host.wakeupAt <= at) {
            now = std::max(now, host.wakeupAt);
            reconcile();
        }
        now = at;
        reconcile();
    }
    void advance(Nanos duration) { advanceTo(now + duration); }
    void upstreamResponds(ListUpdate update, Nanos age = 0) {
        host.now = now;
        distributor.onUpstreamResponse(now, std::move(update), age);
        reconcile();
    }
    void upstreamFails(Distributor::Failure failure = Distributor::Failure::unreachable) {
        distributor.onUpstreamFailed(now, failure, "scripted");
        reconcile();
    }
    void poll(ReaderId reader, std::optional<Version> after, Nanos wait = 10 * kSecond) {
        const bool isNew = connected.insert(reader).second;
        if (isNew) distributor.onReaderConnected(now, reader);
        distributor.onReaderPoll(now, reader, {after, wait});
        reconcile();
    }
    // Returns the last response to this reader since the last call, or nullopt.
    std::optional<ListResponse> take(ReaderId reader) {
        std::optional<ListResponse> last;
        for (const auto& sent : host.responses)
            if (sent.reader == reader) last = sent.response;
        std::erase_if(host.responses, [reader](const auto& sent) { return sent.reader == reader; });
        return last;
    }
    ListUpdate takeList(ReaderId reader) {
        const auto response = take(reader);
        REQUIRE(response);
        REQUIRE(response->status == 200);
        return readListUpdate(*response->body);
    }
    const ScriptedHost::Poll& lastPoll() const { return host.polls.back(); }

    ScriptedHost host;
    Nanos now = 0;
    Distributor distributor;
    std::set<ReaderId> connected;
};

inline Options optionsOf(std::size_t upstreams, std::set<Safeguard> disabled = {}) {
    Options options;
    options.upstreams = upstreams;
    options.disabledSafeguards = std::move(disabled);
    return options;
}

}  // namespace poppyscale::test
