// Golden samples of the bytes that leave the process, which must not change when code is renamed or
// moved. A sample that differs is written to golden-actual/ in the working directory, to be compared
// with tests/golden/.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/operator_config.hpp"
#include "control/console_command.hpp"
#include "endpoint_distribution/list_state.hpp"
#include "metrics/router_metrics.hpp"
#include "process/operator_state.hpp"
#include "protocol/attempt_message.hpp"
#include "protocol/request.hpp"
#include "proxy/invariant_guard.hpp"
#include "rollout/messages_codec.hpp"
#include "simulator_adapter/codec.hpp"

using namespace poppyscale;

namespace {

std::string fileText(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

void checkGolden(const std::string& name, const std::string& actual) {
    const bool isSame = fileText(std::string(GOLDEN) + "/" + name) == actual;
    if (!isSame) {
        std::filesystem::create_directories("golden-actual");
        std::ofstream("golden-actual/" + name, std::ios::binary) << actual;
    }
    CHECK_MESSAGE(isSame, name, " differs, see golden-actual/");
}

protocol::RespValue bulkArray(const std::vector<std::string>& words) {
    protocol::RespValue array{protocol::RespValue::Kind::array, "", {}};
    for (const auto& word : words) array.items.push_back({protocol::RespValue::Kind::bulk, word, {}});
    return array;
}

std::string requestSamples() {
    const std::vector<std::vector<std::string>> requests{
        {"OBJ.GET", "plum", "id-1", "c=read,t=north,d=1500"},
        {"OBJ.GET", "a key with/odd?chars%", "id-2", "x=1,c=read,d=20,y=z"},
        {"OBJ.GET", "", "id-3", "c=read,d=100"},
        {"OBJ.SET", "plum", "id-4", "c=mark,t=north,d=800,k=m-17", "purple"},
        {"OBJ.SET", "plum", "id-5", "c=pay,d=800,a=1", std::string("\0\r\n$", 4)},
        {"PING"},
        {"QUIT"},
        {"OBJ.GET", "plum"},
        {"OBJ.GET", "plum", "id-6", "c=read,d=many"},
        {"OBJ.NIL", "plum", "id-7", "c=read,d=5"}};
    std::string text;
    for (const auto& words : requests) {
        const auto read = protocol::readRequest(bulkArray(words));
        if (const auto* control = std::get_if<protocol::ControlCommand>(&read)) {
            text += fmt::format("control {} {} {}\n", control->response, control->closesConnection,
                                control->isPing);
            continue;
        }
        const auto& request = std::get<protocol::Request>(read);
        text += "to a cache\n" + protocol::cacheRequest(request, 123 * kMillisecond) + "\n";
        text +=
            "to the origin\n" + protocol::originRequest(request, "10.0.0.1:80", 123 * kMillisecond) + "\n";
    }
    return text;
}

rollout::Order sampleOrder() {
    rollout::Order order;
    order.number = 7;
    order.step = 3;
    order.digest = "d1";
    order.program = "/opt/poppyscale";
    order.programDigest = "p1";
    order.templateText = "[log]\n";
    order.changed = {0, 2};
    order.held = {2};
    order.holdDuration = 60'000 * kMillisecond;
    order.batch = 2;
    return order;
}

rollout::Report sampleReport() {
    rollout::Report report;
    report.number = 7;
    report.digest = "d1";
    report.hasRolledBack = true;
    report.problem = "no room";
    for (int state = 0; state < 5; ++state) {
        rollout::InstanceReport instance;
        instance.name = fmt::format("r{}", state);
        instance.zone = "z1";
        instance.state = static_cast<rollout::InstanceState>(state);
        instance.ready = state % 2 == 0;
        instance.timeInState = state * 1'500 * kMillisecond;
        instance.unexpectedExits = state;
        instance.problem = state == 4 ? "it does not start" : "";
        report.instances.push_back(instance);
    }
    return report;
}

std::string metricsSample() {
    RequestClass read;
    read.name = "read";
    read.latencyObjective = 500 * kMillisecond;
    metrics::RouterMetrics metrics({read});
    for (int i = 1; i <= 20; ++i) {
        metrics.recordAccepted("read");
        metrics.recordSucceeded("read", i * i * 2 * kMillisecond);
    }
    metrics.recordRejected("read", metrics::Rejection::requestLimit);
    metrics.recordRejected("read", metrics::Rejection::beforeFirstAttempt);
    metrics.recordRejected("read", metrics::Rejection::afterAttempt);
    metrics.recordFailed("read");
    metrics.recordAbandoned("read");
    metrics.recordAttempt(true);
    metrics.recordAttempt(false);
    for (int outcome = 0; outcome <= static_cast<int>(AttemptOutcome::cacheMiss); ++outcome)
        metrics.recordAttemptEnded(static_cast<AttemptOutcome>(outcome), outcome * kMillisecond);
    metrics.recordIteration(1'234'567);
    return metrics.json().dump(1);
}

std::string simulatorSamples() {
    std::string reply;
    simulator_adapter::ActionWriter writer(reply, 3);
    writer.startAttempt(0x1234abcd, "cache-a", 5'000'000, kNever);
    writer.reject(1, 0);
    writer.reject(2, 7 * kMillisecond);
    writer.fail(3);
    writer.scheduleWakeup(1'001);
    writer.pollEndpoints();
    writer.log("a line");
    return reply;
}

}  // namespace

TEST_CASE("Requests to cache servers and to the origin keep their bytes") {
    checkGolden("requests.txt", requestSamples());
}

TEST_CASE("Rollout orders and reports keep their bytes, and reading them back loses nothing") {
    const auto order = rollout::toJson(sampleOrder());
    checkGolden("rollout-order.json", order.dump(1));
    CHECK(rollout::toJson(rollout::readOrder(order)) == order);
    const auto report = rollout::toJson(sampleReport(), {nlohmann::json{{"format", 1}}});
    checkGolden("rollout-report.json", report.dump(1));
    const auto readBack = rollout::readReport(report);
    CHECK(rollout::toJson(readBack, {nlohmann::json{{"format", 1}}}) == report);
}

TEST_CASE("The operator state file keeps its format and is read back to the same state") {
    process::OperatorState state;
    CHECK(state.applyLine("out cache-a"));
    CHECK(state.applyLine("out 10.0.0.7:6379"));
    CHECK(state.applyLine("standby"));
    checkGolden("operator-state.txt", state.serialize());
    process::OperatorState readBack;
    CHECK_FALSE(readBack.parse(fileText(std::string(GOLDEN) + "/operator-state.txt")).has_value());
    CHECK(readBack == state);
}

TEST_CASE("The console's commands and replies keep their text") {
    std::string text;
    for (const char* line : {"status", "maint-on cache-a", "maint-off cache-a\r", "standby", "active", "",
                             "maint-on", "status now", "reboot", "\x01"}) {
        const control::ConsoleLine read = control::readConsoleLine(line);
        text += read.command
                    ? fmt::format("{} '{}'\n", static_cast<int>(read.command->kind), read.command->server)
                    : control::ConsoleReply{false, read.problem}.line();
    }
    text += control::ConsoleReply{true, "serving"}.line();
    checkGolden("console.txt", text);
}

TEST_CASE("Metrics on the operator's socket keep their keys and values") {
    checkGolden("metrics.json", metricsSample());
    proxy::InvariantGuard guard([](std::string_view) {});
    for (int action = 0; action < static_cast<int>(proxy::BlockedAction::count); ++action)
        guard.recordBlocked(static_cast<proxy::BlockedAction>(action));
    guard.reportViolation(proxy::Invariant::sending, "request 1");
    checkGolden("guard.json", guard.json().dump(1));
}

TEST_CASE("Endpoint lists of a distributor keep their bytes") {
    endpoint_distribution::ListState list(10);
    list.apply({5, true, {{"a", false, R"({"id":"a","n":1})"}, {"b", false, R"({"id":"b"})"}}});
    list.apply({6, false, {{"a", true, R"({"id":"a","state":"gone"})"}}});
    list.apply({8, false, {{"c", false, R"({"id":"c"})"}}});
    checkGolden("list.txt", *list.completeList() + "\n" + *list.changesSince(5) + "\n" +
                                *list.changesSince(6) + "\n" + *list.changesSince(2) + "\n" +
                                *endpoint_distribution::ListState::unchanged(8) + "\n");
}

TEST_CASE("Actions in the simulator's protocol keep their bytes") {
    checkGolden("simulator.txt", simulatorSamples());
}

TEST_CASE("The description of a deployment keeps its lines") {
    const auto plan = config::loadOperatorConfig(std::string(DEPLOY) + "/standalone.toml", false);
    REQUIRE(plan.startup.has_value());
    checkGolden("standalone-check.txt", config::describeConfig(*plan.startup, plan, false));
}
