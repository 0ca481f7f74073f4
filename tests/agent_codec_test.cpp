// Tests of the agent's JSON. Other versions of poppyctl read and write the same keys.
#include "ctl/agent_codec.hpp"

#include <doctest/doctest.h>

using namespace poppyscale;
using nlohmann::json;

// The next version of the agent must find the state of a rollout that is in progress during its own restart.
TEST_CASE("Agent state on disk keeps its keys, is decoded unchanged, and other formats are rejected") {
    ctl::StoredAgentState stored;
    stored.state.number = 7;
    stored.state.digest = "change";
    stored.state.before = {"program-a", "template-a"};
    stored.state.change = {"program-b", "template-b"};
    stored.state.changed = {0, 2};
    stored.state.held = {2};
    stored.state.holdDuration = 4'000 * kMillisecond;
    stored.state.batch = 3;
    stored.state.isFinished = true;
    stored.described = {"program-a", "template-c"};
    const std::string text = ctl::encodeAgentState(stored);
    CHECK(json::parse(text) == json::parse(R"({"format": 1, "number": 7, "digest": "change",
        "before": ["program-a", "template-a"], "change": ["program-b", "template-b"],
        "described": ["program-a", "template-c"], "changed": [0, 2], "held": [2], "keep_ms": 4000,
        "batch": 3, "over": true})"));
    CHECK(text.starts_with("{\n \"batch\": 3,\n"));
    const ctl::StoredAgentState decoded = ctl::decodeAgentState(text, "roll");
    CHECK(decoded.state == stored.state);
    CHECK(decoded.described == stored.described);
    CHECK_THROWS_WITH(ctl::decodeAgentState(R"({"format": 2})", "roll"), "roll: unsupported format 2");
    CHECK_THROWS_AS(ctl::decodeAgentState(R"({"format": 1, "number": 7})", "roll"), json::exception);
    CHECK_THROWS_AS(ctl::decodeAgentState("{", "roll"), json::exception);
}

TEST_CASE("Agent requests are decoded by their names") {
    const auto read = [](const char* text) { return ctl::readAgentRequest(json::parse(text)); };
    CHECK(std::holds_alternative<ctl::ReportRequest>(ctl::readAgentRequest(ctl::encodeReportRequest())));
    CHECK(std::get<ctl::EventsRequest>(read(R"({"do": "events", "after": 12})")).after == 12);
    CHECK(std::get<ctl::EventsRequest>(read(R"({"do": "events"})")).after == 0);
    const auto preview =
        std::get<ctl::PreviewRequest>(ctl::readAgentRequest(ctl::encodePreviewRequest({"text", "digest"})));
    CHECK(preview.templateText == "text");
    CHECK(preview.programDigest == "digest");
    CHECK(std::get<ctl::OrderRequest>(read(R"({"do": "roll", "number": 1})")).order.at("number") == 1);
    CHECK(std::get<ctl::UnknownRequest>(read(R"({"do": "other"})")).name == "other");
    CHECK(std::get<ctl::UnknownRequest>(read("{}")).name.empty());
}

TEST_CASE("Agent answers keep their keys") {
    CHECK(ctl::unknownRequestAnswer(std::string(50, 'x')) ==
          json{{"error", "unknown request '" + std::string(40, 'x') + "'"}});
    CHECK(ctl::busyAnswer() ==
          json::parse(R"({"error": "another order is still being prepared", "busy": true})"));
    CHECK(ctl::rejectedOrderAnswer("overtaken by 3") ==
          json::parse(R"({"error": "overtaken by 3", "overtaken": true})"));
    CHECK(ctl::rejectedOrderAnswer("there is no instance 9").at("overtaken") == false);
    CHECK(ctl::eventsAnswer({{5, 1'000, 2, 77, "ready", "a/b"}}) ==
          json::parse(R"({"format": 1, "events": [{"number": 5, "at_ns": 1000, "instance": 2, "pid": 77,
                          "what": "ready", "version": "a/b"}]})"));
    CHECK(ctl::eventsAnswer({}) == json::parse(R"({"format": 1, "events": []})"));
    const json previews = ctl::previewAnswer({{"r0", "north", "reload"}});
    CHECK(previews ==
          json::parse(R"({"format": 1, "ways": [{"name": "r0", "zone": "north", "way": "reload"}]})"));
    CHECK(ctl::readPreviewAnswer(previews).at(0).means == "reload");
    CHECK_FALSE(ctl::readAgentError(previews).has_value());
    CHECK(ctl::readAgentError(ctl::busyAnswer())->isBusy);
    CHECK(ctl::readAgentError(ctl::rejectedOrderAnswer("overtaken by 3"))->isSuperseded);
}
