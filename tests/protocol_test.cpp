#include <doctest/doctest.h>

#include <random>

#include "fixtures.hpp"
#include "protocol/attempt_message.hpp"
#include "protocol/endpoint_list.hpp"
#include "protocol/http_response.hpp"
#include "protocol/request.hpp"
#include "protocol/resp.hpp"
#include "protocol/startup_config.hpp"

using namespace poppyscale;
using namespace poppyscale::protocol;
using State = RespDecoder::State;

namespace {
constexpr RespDecoder::Limits kCommands{64 * 1024, 16, 1, 80 * 1024, true};

State feedAll(RespDecoder& decoder, std::string_view bytes) { return decoder.feed(bytes); }

Request requestOf(const std::string& text) {
    RespDecoder decoder(kCommands);
    REQUIRE(feedAll(decoder, text) == State::complete);
    return std::get<Request>(readRequest(decoder.takeValue()));
}
std::string errorOf(const std::string& text) {
    RespDecoder decoder(kCommands);
    REQUIRE(feedAll(decoder, text) == State::complete);
    return std::get<ControlCommand>(readRequest(decoder.takeValue())).response;
}
}  // namespace

TEST_CASE("A request that arrives byte by byte is read like one that arrives at once") {
    const std::string text = test::set("k", "c=pay,t=north,d=480,k=5c", "a\r\nb");
    RespDecoder decoder(kCommands);
    for (std::size_t i = 0; i + 1 < text.size(); ++i)
        REQUIRE(feedAll(decoder, text.substr(i, 1)) == State::more);
    CHECK(decoder.isInValue());
    REQUIRE(feedAll(decoder, text.substr(text.size() - 1)) == State::complete);
    CHECK_FALSE(decoder.isInValue());
    const Request request = std::get<Request>(readRequest(decoder.takeValue()));
    CHECK(request.isWrite);
    CHECK(request.requestClass == "pay");
    CHECK(request.tenant == "north");
    CHECK(request.timeout == 480 * test::ms);
    CHECK(request.value == "a\r\nb");
}

// A decoder that waits for the announced bytes would buffer as much as a client announces.
TEST_CASE("Excessive lengths and other malformed commands are rejected by their header alone") {
    for (const char* text : {"*1000000\r\n", "*1\r\n$1000000\r\n", "*-1\r\n", "*1\r\n$-1\r\n", "*1\r\n*1\r\n",
                             "*99999999999999999999\r\n", "PING\r\n", "*1\r\n:1\r\n", "*1\r\n$1\r\nab\r\n"}) {
        RespDecoder decoder(kCommands);
        CHECK_MESSAGE(feedAll(decoder, text) == State::malformed, text);
    }
    RespDecoder endless(kCommands);
    CHECK(feedAll(endless, "*" + std::string(5000, '1')) == State::malformed);
}

TEST_CASE("Random changes to valid bytes never make the decoder buffer more than its limits allow") {
    std::mt19937 random(5);
    const std::string good = test::get("k") + test::hit("value") + "-BUSY\r\n" + test::set("k", "c=pay,d=5");
    for (int i = 0; i < 20'000; ++i) {
        std::string text = good;
        for (auto left = 1 + random() % 4; left > 0; --left)
            text[random() % text.size()] = "*$-:+\r\n0139\0"[random() % 12];
        RespDecoder decoder(i % 2 ? kCommands : RespDecoder::Limits{});
        std::string_view bytes = text;
        while (!bytes.empty() && decoder.feed(bytes) == State::complete) {
            auto value = decoder.takeValue();
            if (i % 2) readRequest(std::move(value));
        }
        CHECK(decoder.bufferedBytes() <= 256 * 1024);
    }
}

TEST_CASE("An attempt forwards the info list unchanged except for the remaining time") {
    const Request request = requestOf(test::set("k", "c=mark,t=north,d=480,k=5c,size=9"));
    CHECK(cacheRequest(request, 120 * test::ms) ==
          test::array({"OBJ.SET", "k", "9b1f-k", "c=mark,t=north,d=120,k=5c,size=9", "V"}));
    CHECK(originRequest(request, "h", 120 * test::ms) ==
          "PUT /k HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9b1f-k\r\n"
          "X-Call-Info: c=mark,t=north,d=120,k=5c,size=9\r\nContent-Length: 1\r\n\r\nV");
}

// Unencoded keys and line breaks would let a client add headers or another request to the bytes that the
// origin receives.
TEST_CASE("A key is percent-encoded in the origin's path, and arguments with line breaks are errors") {
    CHECK(originRequest(requestOf(test::get("u:k/a?b%#")), "h", 5 * test::ms)
              .starts_with("GET /u:k%2Fa%3Fb%25%23 HTTP/1.1\r\n"));
    CHECK(errorOf(test::get("k\r\nX-Evil: 1")).starts_with("-ERR"));
    CHECK(errorOf(test::get("k", "c=read,d=5\r\nX: 1")).starts_with("-ERR"));
}

TEST_CASE("Invalid requests get an error and not a rejection that may be retried") {
    for (const auto& text :
         {test::array({"FLUSHALL"}), test::array({"OBJ.GET", "k"}), test::get("k", "c=read"),
          test::get("k", "c=read,d=soon"), test::get("k", "d=5"), test::get("", "c=read,d=5"),
          test::array({"OBJ.SET", "k", "id", "c=pay,d=5"}), std::string("*0\r\n")})
        CHECK_MESSAGE(errorOf(text).starts_with("-ERR "), text);
    CHECK(errorOf(test::array({"ping"})) == "+PONG\r\n");
}

TEST_CASE("A cache server's response is accepted only in its exact form") {
    const auto outcomeOf = [](const std::string& text) {
        RespDecoder decoder({});
        return feedAll(decoder, text) == State::complete ? readCacheResponse(decoder.takeValue()).outcome
                                                         : AttemptOutcome::connectionLost;
    };
    CHECK(outcomeOf(test::hit("v")) == AttemptOutcome::succeeded);
    CHECK(outcomeOf(std::string(test::kMiss)) == AttemptOutcome::cacheMiss);
    CHECK(outcomeOf("-BUSY\r\n") == AttemptOutcome::overloaded);
    CHECK(outcomeOf("-ERR failed\r\n") == AttemptOutcome::failed);
    CHECK(outcomeOf("-BUSYBODY\r\n") == AttemptOutcome::failed);
    for (const char* odd : {"$1\r\nv\r\n", "+OK\r\n", "*0\r\n", "*1\r\n:1\r\n", "$-1\r\n", "-BUSY soon\r\n",
                            "*2\r\n$1\r\nv\r\n$3\r\nhit\r\n", "*3\r\n$1\r\nv\r\n:1\r\n$-1\r\n"}) {
        CHECK(outcomeOf(odd) == AttemptOutcome::failed);
        RespDecoder decoder({});
        feedAll(decoder, odd);
        CHECK_FALSE(readCacheResponse(decoder.takeValue()).isWellFormed);
    }
    CHECK(outcomeOf("*3\r\n$1\r\nv\r\n$-1\r\n:7\r\n") == AttemptOutcome::succeeded);
}

TEST_CASE("HTTP responses end by length, chunks or end of connection, and are malformed if too long") {
    HttpResponse answer(16);
    CHECK(answer.feed("HTTP/1.1 200 OK\r\nContent-Le") == HttpResponse::State::more);
    CHECK(answer.feed("ngth: 2\r\n\r\nv") == HttpResponse::State::more);
    CHECK(answer.feed("w") == HttpResponse::State::complete);
    CHECK(answer.body() == "vw");
    CHECK(answer.isKeepAlive());
    answer.clear();
    CHECK(
        answer.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n") ==
        HttpResponse::State::complete);
    CHECK(answer.body() == "abc");
    CHECK(answer.isKeepAlive());
    answer.clear();
    CHECK(answer.feed("HTTP/1.0 200 OK\r\n\r\nabc") == HttpResponse::State::more);
    CHECK(answer.end() == HttpResponse::State::complete);
    CHECK_FALSE(answer.isKeepAlive());
    answer.clear();
    CHECK(answer.feed("HTTP/1.1 503 No\r\nX-REJECTED: 1\r\nContent-Length: 0\r\n\r\nmore") ==
          HttpResponse::State::complete);
    CHECK(answer.wasNotExecuted());
    CHECK_FALSE(answer.isKeepAlive());
    answer.clear();
    CHECK(answer.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX-Rejected: 1\r\n\r\n"
                      "HTTP/1.1 503 No\r\nContent-Length: 1\r\n\r\nv") == HttpResponse::State::complete);
    CHECK(answer.status() == 503);
    CHECK_FALSE(answer.wasNotExecuted());
    CHECK(answer.isKeepAlive());
    answer.clear();
    CHECK(answer.feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nvw") == HttpResponse::State::complete);
    CHECK_FALSE(answer.isKeepAlive());
    std::string hints;
    for (int i = 0; i < 20; ++i) hints += "HTTP/1.1 103 Hints\r\n\r\n";
    answer.clear();
    CHECK(answer.feed(hints) == HttpResponse::State::malformed);
    for (const char* bad : {"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n", "*1\r\n",
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n"
                            "0123456789abcdef0123456789abcdef"}) {
        answer.clear();
        CHECK(answer.feed(bad) == HttpResponse::State::malformed);
    }
}

TEST_CASE("A client's retry flag and a cache server's read-through result are read, other values ignored") {
    CHECK(requestOf(test::get("k", "c=read,d=480,r=1")).isRetry);
    CHECK_FALSE(requestOf(test::get("k", "c=read,d=480,r=x")).isRetry);
    const auto readThrough = [](const char* how, const char* report) {
        RespDecoder decoder({64 * 1024, 16, 3, 80 * 1024, false});
        const std::string text = "*3\r\n" + bulk("v") + bulk(how) + report;
        REQUIRE(feedAll(decoder, text) == State::complete);
        const AttemptResponse outcome = readCacheResponse(decoder.takeValue());
        CHECK(outcome.outcome == AttemptOutcome::succeeded);
        return outcome.readThrough;
    };
    CHECK(readThrough("hit", "$-1\r\n") == ReadThroughResult::cached);
    CHECK(readThrough("miss", "$-1\r\n") == ReadThroughResult::fetched);
    CHECK(readThrough("pending", "$9\r\nactive=-1\r\n") == ReadThroughResult::fetched);
    CHECK(readThrough("perhaps", ":7\r\n") == ReadThroughResult::unknown);
}

TEST_CASE("An invalid endpoint list is an error, but an invalid weight from discovery counts as 0") {
    const std::string entry = R"({"id":"s","addr":"1.2.3.4:5","state":"Ready","weight":2,"started_ms":5})";
    const auto listOf = [](const std::string& e) {
        return R"({"version":3,"full":true,"servers":[)" + e + "]}";
    };
    const EndpointList list = readEndpointList(listOf(entry));
    REQUIRE(list.entries.size() == 1);
    CHECK(list.entries[0].endpoint.weight == 2);
    CHECK(list.entries[0].startedMs == 5);
    // The rest of the list stays valid.
    for (const char* weight : {"-1", "\"much\"", "null"}) {
        const EndpointList odd = readEndpointList(
            listOf(R"({"id":"s","state":"Ready","weight":)" + std::string(weight) + "}," + entry));
        REQUIRE(odd.entries.size() == 2);
        CHECK(odd.entries[0].endpoint.weight == 0);
        CHECK(odd.entries[1].endpoint.weight == 2);
    }
    for (const auto& bad : {std::string("{"), std::string("[]"), std::string(R"({"version":3})"), listOf("7"),
                            listOf(R"({"id":"","state":"Ready"})"), listOf(R"({"id":"s","state":"Asleep"})"),
                            listOf(R"({"id":"s","state":5})"),
                            listOf(R"({"id":"s","state":"Ready","started_ms":9000000000000000})")})
        CHECK_THROWS_AS(readEndpointList(bad), ParseError);
}

// Errors reach the text log, in which a line break from discovery would split the line.
TEST_CASE("Errors of a list quote a state and a server's name as JSON, cut after 32 bytes") {
    const auto errorFor = [](const std::string& entry) -> std::string {
        try {
            readEndpointList(R"({"version":3,"full":true,"servers":[)" + entry + "]}");
        } catch (const ParseError& problem) {
            return problem.what();
        }
        return "no error";
    };
    const auto invalidState = [](const std::string& quoted) {
        return "the state of a server is " + quoted + ", expected Ready, Terminating or Gone";
    };
    const auto invalidStart = [](const std::string& quoted, const std::string& startedMs) {
        return "started_ms of server " + quoted + " is " + startedMs + ", expected 0 to 8000000000000";
    };
    const std::string a31(31, 'a'), a32(32, 'a');
    CHECK(errorFor(R"({"id":"s","state":"Asleep"})") == invalidState(R"("Asleep")"));
    // The line break is one byte of the 32, although its quotation has two.
    CHECK(errorFor(R"({"id":"s","state":"\n)" + a31 + R"("})") == invalidState(R"("\n)" + a31 + "\""));
    CHECK(errorFor(R"({"id":"s","state":"\n)" + a32 + R"("})") == invalidState(R"("\n)" + a31 + R"(...")"));
    CHECK(errorFor(R"({"id":"s","state":"Ready","started_ms":-1})") == invalidStart(R"("s")", "-1"));
    CHECK(errorFor(R"({"id":"\n)" + a32 + R"(","state":"Ready","started_ms":8000000000001})") ==
          invalidStart(R"("\n)" + a31 + R"(...")", "8000000000001"));
}

// Errors are also sent as JSON, in which a character that is cut in two is invalid.
TEST_CASE("Errors of a configured list quote at most 32 bytes of a name or weight, in whole characters") {
    const auto errorFor = [](const std::string& name, const nlohmann::json& weight) -> std::string {
        nlohmann::json list = {{"version", 1}, {"full", true}};
        list["servers"].push_back({{"id", name}, {"state", "Ready"}, {"weight", weight}});
        try {
            readConfiguredEndpoints(list);
        } catch (const ParseError& problem) {
            return problem.what();
        }
        return "no error";
    };
    const auto notNumber = [](const std::string& name, const std::string& weight) {
        return "the weight of server '" + name + "' is " + weight + ", expected a number";
    };
    const std::string euro = "\xE2\x82\xAC";  // three bytes
    const std::string a29(29, 'a'), a30(30, 'a'), a31(31, 'a'), a32(32, 'a');
    CHECK(errorFor(a32, "x") == notNumber(a32, "\"x\""));
    CHECK(errorFor(a32 + "a", "x") == notNumber(a32 + "...", "\"x\""));
    CHECK(errorFor(a29 + euro, "x") == notNumber(a29 + euro, "\"x\""));
    CHECK(errorFor(a29 + euro + "a", "x") == notNumber(a29 + euro + "...", "\"x\""));
    CHECK(errorFor(a30 + euro, "x") == notNumber(a30 + "...", "\"x\""));
    CHECK(errorFor(a31 + euro, "x") == notNumber(a31 + "...", "\"x\""));
    // A weight is quoted as JSON, so that its quotation marks count.
    CHECK(errorFor("s", a30) == notNumber("s", "\"" + a30 + "\""));
    CHECK(errorFor("s", a31) == notNumber("s", "\"" + a31 + "..."));
    CHECK(errorFor("s", a29 + euro) == notNumber("s", "\"" + a29 + "..."));
    CHECK(errorFor(a32 + "a", -1) == "the weight of server '" + a32 + "...' is -1, expected at least 0");
}

// A process that polled later could still send requests to a draining server, which may close at the end
// of its grace period.
TEST_CASE("A process that starts with an old list polls within half of the drain grace period") {
    auto start = test::minimalStartConfig();
    start["listen"] = start["discovery"] = "127.0.0.1:1";
    CHECK(readStartupConfig(start.dump()).policy.maxFirstPollDelay == 5'000 * test::ms);
    start["settings"]["rules"]["drainGraceUs"] = 500'000;
    CHECK(readStartupConfig(start.dump()).policy.maxFirstPollDelay == 250 * test::ms);
    CHECK(readStartupConfig(start.dump()).policy.pollInterval == 10'000 * test::ms);
    start["settings"]["membershipMode"] = "pushed";
    CHECK(readStartupConfig(start.dump()).policy.maxFirstPollDelay == 125 * test::ms);
    CHECK(readStartupConfig(start.dump()).policy.pollInterval == 250 * test::ms);
    start["settings"]["rules"]["drainGraceUs"] = 0;
    CHECK(readStartupConfig(start.dump()).policy.maxFirstPollDelay == 50 * test::ms);
}

TEST_CASE("The platform's JSON configuration is read to settings, and invalid values are named") {
    auto start = test::minimalStartConfig();
    start["listen"] = start["discovery"] = "127.0.0.1:1";
    const StartupConfig config = readStartupConfig(start.dump());
    CHECK(config.policy.seed == 7);
    CHECK(config.policy.cacheAside);
    CHECK(config.policy.originShape == "origin");
    CHECK(config.policy.pollInterval == 10'000 * test::ms);
    REQUIRE(config.policy.requestClasses.size() == 3);
    CHECK(config.policy.requestClasses[1].idempotency == Idempotency::idempotentWithKey);
    CHECK(config.policy.tenants[0].quotaPerSecond == 100);
    CHECK(config.maxRequestTimeout == 2'000 * test::ms);
    CHECK_FALSE(config.policy.weightsFollowLoad);
    CHECK(config.policy.requestClasses[0].timeout == 2'000 * test::ms);
    start["settings"]["weights"] = "live";
    CHECK(readStartupConfig(start.dump()).policy.weightsFollowLoad);
    start["settings"]["weights"] = "heavy";
    CHECK_THROWS_WITH_AS(readStartupConfig(start.dump()),
                         "setting weights is 'heavy', expected one of off, nominal, rough, live", ParseError);
    start["settings"]["weights"] = {{"live", 1}};
    CHECK_THROWS_WITH_AS(readStartupConfig(start.dump()), "setting weights is not a string", ParseError);
    start["settings"].erase("weights");
    start["known"] = nlohmann::json::parse(
        R"({"version":1,"full":true,"servers":[{"id":"s","state":"Ready","weight":-1}]})");
    CHECK_THROWS_WITH_AS(readStartupConfig(start.dump()),
                         "the weight of server 's' is -1, expected at least 0", ParseError);
    start.erase("known");
    start["settings"]["verbs"][0]["effect"] = "harmless";
    CHECK_THROWS_WITH_AS(readStartupConfig(start.dump()),
                         "setting verbs.0.effect is 'harmless', expected one of free, guarded, single_shot",
                         ParseError);
    start["limits"].erase("sockets");
    CHECK_THROWS_AS(readStartupConfig(start.dump()), ParseError);
}
