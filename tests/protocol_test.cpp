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

Request commandOf(const std::string& text) {
    RespDecoder decoder(kCommands);
    REQUIRE(feedAll(decoder, text) == State::complete);
    return std::get<Request>(readRequest(decoder.takeValue()));
}
std::string refusalOf(const std::string& text) {
    RespDecoder decoder(kCommands);
    REQUIRE(feedAll(decoder, text) == State::complete);
    return std::get<ControlCommand>(readRequest(decoder.takeValue())).response;
}
}  // namespace

TEST_CASE("a command that comes byte by byte is the same command") {
    const std::string text = test::set("k", "c=pay,t=north,d=480,k=5c", "a\r\nb");
    RespDecoder decoder(kCommands);
    for (std::size_t i = 0; i + 1 < text.size(); ++i)
        REQUIRE(feedAll(decoder, text.substr(i, 1)) == State::more);
    CHECK(decoder.isInValue());
    REQUIRE(feedAll(decoder, text.substr(text.size() - 1)) == State::complete);
    CHECK_FALSE(decoder.isInValue());
    const Request command = std::get<Request>(readRequest(decoder.takeValue()));
    CHECK(command.isWrite);
    CHECK(command.requestClass == "pay");
    CHECK(command.tenant == "north");
    CHECK(command.timeout == 480 * test::ms);
    CHECK(command.value == "a\r\nb");
}

TEST_CASE("lengths that would fill the machine are told by their header alone") {
    for (const char* text : {"*1000000\r\n", "*1\r\n$1000000\r\n", "*-1\r\n", "*1\r\n$-1\r\n", "*1\r\n*1\r\n",
                             "*99999999999999999999\r\n", "PING\r\n", "*1\r\n:1\r\n", "*1\r\n$1\r\nab\r\n"}) {
        RespDecoder decoder(kCommands);
        CHECK_MESSAGE(feedAll(decoder, text) == State::malformed, text);
    }
    RespDecoder endless(kCommands);
    CHECK(feedAll(endless, "*" + std::string(5000, '1')) == State::malformed);
}

TEST_CASE("mutated bytes end in a value or a problem, never in more than the bounds hold") {
    std::mt19937 chance(5);
    const std::string good = test::get("k") + test::hit("value") + "-BUSY\r\n" + test::set("k", "c=pay,d=5");
    for (int i = 0; i < 20'000; ++i) {
        std::string text = good;
        for (auto left = 1 + chance() % 4; left > 0; --left)
            text[chance() % text.size()] = "*$-:+\r\n0139\0"[chance() % 12];
        RespDecoder decoder(i % 2 ? kCommands : RespDecoder::Limits{});
        std::string_view bytes = text;
        while (!bytes.empty() && decoder.feed(bytes) == State::complete) {
            auto value = decoder.takeValue();
            if (i % 2) readRequest(std::move(value));
        }
        CHECK(decoder.bufferedBytes() <= 256 * 1024);
    }
}

TEST_CASE("an attempt passes on the info list unchanged but for the time that is left") {
    const Request command = commandOf(test::set("k", "c=mark,t=north,d=480,k=5c,size=9"));
    CHECK(cacheRequest(command, 120 * test::ms) ==
          test::array({"OBJ.SET", "k", "9b1f-k", "c=mark,t=north,d=120,k=5c,size=9", "V"}));
    CHECK(originRequest(command, "h", 120 * test::ms) ==
          "PUT /k HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9b1f-k\r\n"
          "X-Call-Info: c=mark,t=north,d=120,k=5c,size=9\r\nContent-Length: 1\r\n\r\nV");
}

TEST_CASE("a key is written into a path so that it can't end it, and words with line breaks are refused") {
    CHECK(originRequest(commandOf(test::get("u:k/a?b%#")), "h", 5 * test::ms)
              .starts_with("GET /u:k%2Fa%3Fb%25%23 HTTP/1.1\r\n"));
    CHECK(refusalOf(test::get("k\r\nX-Evil: 1")).starts_with("-ERR"));
    CHECK(refusalOf(test::get("k", "c=read,d=5\r\nX: 1")).starts_with("-ERR"));
}

TEST_CASE("wrong words are errors and never a refusal that asks to come back") {
    for (const auto& text :
         {test::array({"FLUSHALL"}), test::array({"OBJ.GET", "k"}), test::get("k", "c=read"),
          test::get("k", "c=read,d=soon"), test::get("k", "d=5"), test::get("", "c=read,d=5"),
          test::array({"OBJ.SET", "k", "id", "c=pay,d=5"}), std::string("*0\r\n")})
        CHECK_MESSAGE(refusalOf(text).starts_with("-ERR "), text);
    CHECK(refusalOf(test::array({"ping"})) == "+PONG\r\n");
}

TEST_CASE("an answer of a cache is taken only in its form") {
    const auto ending = [](const std::string& text) {
        RespDecoder decoder({});
        return feedAll(decoder, text) == State::complete ? readCacheResponse(decoder.takeValue()).outcome
                                                         : AttemptOutcome::connectionLost;
    };
    CHECK(ending(test::hit("v")) == AttemptOutcome::succeeded);
    CHECK(ending(std::string(test::kMiss)) == AttemptOutcome::cacheMiss);
    CHECK(ending("-BUSY\r\n") == AttemptOutcome::overloaded);
    CHECK(ending("-ERR failed\r\n") == AttemptOutcome::failed);
    CHECK(ending("-BUSYBODY\r\n") == AttemptOutcome::failed);
    for (const char* odd : {"$1\r\nv\r\n", "+OK\r\n", "*0\r\n", "*1\r\n:1\r\n", "$-1\r\n", "-BUSY soon\r\n",
                            "*2\r\n$1\r\nv\r\n$3\r\nhit\r\n", "*3\r\n$1\r\nv\r\n:1\r\n$-1\r\n"}) {
        CHECK(ending(odd) == AttemptOutcome::failed);
        RespDecoder decoder({});
        feedAll(decoder, odd);
        CHECK_FALSE(readCacheResponse(decoder.takeValue()).isWellFormed);
    }
    CHECK(ending("*3\r\n$1\r\nv\r\n$-1\r\n:7\r\n") == AttemptOutcome::succeeded);
}

TEST_CASE("HTTP answers: by length, in chunks, up to the end, and too long") {
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

TEST_CASE("a client's mark of a further try and a cache's word on a read are taken, others passed over") {
    CHECK(commandOf(test::get("k", "c=read,d=480,r=1")).isRetry);
    CHECK_FALSE(commandOf(test::get("k", "c=read,d=480,r=x")).isRetry);
    const auto found = [](const char* how, const char* report) {
        RespDecoder decoder({64 * 1024, 16, 3, 80 * 1024, false});
        const std::string text = "*3\r\n" + bulk("v") + bulk(how) + report;
        REQUIRE(feedAll(decoder, text) == State::complete);
        const AttemptResponse outcome = readCacheResponse(decoder.takeValue());
        CHECK(outcome.outcome == AttemptOutcome::succeeded);
        return outcome.readThrough;
    };
    CHECK(found("hit", "$-1\r\n") == ReadThroughResult::cached);
    CHECK(found("miss", "$-1\r\n") == ReadThroughResult::fetched);
    CHECK(found("pending", "$9\r\nactive=-1\r\n") == ReadThroughResult::fetched);
    CHECK(found("perhaps", ":7\r\n") == ReadThroughResult::unknown);
}

TEST_CASE("a list that makes no sense is none") {
    const std::string entry = R"({"id":"s","addr":"1.2.3.4:5","state":"Ready","weight":2,"started_ms":5})";
    const auto listOf = [](const std::string& e) {
        return R"({"version":3,"full":true,"servers":[)" + e + "]}";
    };
    const EndpointList roster = readEndpointList(listOf(entry));
    REQUIRE(roster.entries.size() == 1);
    CHECK(roster.entries[0].endpoint.weight == 2);
    CHECK(roster.entries[0].startedMs == 5);
    // In the stream of lists an absurd weight costs that value alone.
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

TEST_CASE("a process that starts with an old list asks for it within half of a drain's grace") {
    auto start = test::smallStart();
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

TEST_CASE("settings told as JSON make the same terms as on the simulator's wire") {
    auto start = test::smallStart();
    start["listen"] = start["discovery"] = "127.0.0.1:1";
    const StartupConfig read = readStartupConfig(start.dump());
    CHECK(read.policy.seed == 7);
    CHECK(read.policy.cacheAside);
    CHECK(read.policy.originShape == "origin");
    CHECK(read.policy.pollInterval == 10'000 * test::ms);
    REQUIRE(read.policy.requestClasses.size() == 3);
    CHECK(read.policy.requestClasses[1].idempotency == Idempotency::idempotentWithKey);
    CHECK(read.policy.tenants[0].quotaPerSecond == 100);
    CHECK(read.maxRequestTimeout == 2'000 * test::ms);
    CHECK_FALSE(read.policy.weightsFollowLoad);
    CHECK(read.policy.requestClasses[0].timeout == 2'000 * test::ms);
    start["settings"]["weights"] = "live";
    CHECK(readStartupConfig(start.dump()).policy.weightsFollowLoad);
    start["settings"]["weights"] = "heavy";
    CHECK_THROWS_WITH_AS(readStartupConfig(start.dump()), "setting weights has an unknown value", ParseError);
    start["settings"]["weights"] = {{"live", 1}};
    CHECK_THROWS_WITH_AS(readStartupConfig(start.dump()), "setting weights is not a word", ParseError);
    start["settings"].erase("weights");
    start["known"] = nlohmann::json::parse(
        R"({"version":1,"full":true,"servers":[{"id":"s","state":"Ready","weight":-1}]})");
    CHECK_THROWS_WITH_AS(readStartupConfig(start.dump()), "an entry with a weight out of range: s",
                         ParseError);
    start.erase("known");
    start["settings"]["verbs"][0]["effect"] = "harmless";
    CHECK_THROWS_WITH_AS(readStartupConfig(start.dump()), "setting verbs.0.effect has an unknown value",
                         ParseError);
    start["limits"].erase("sockets");
    CHECK_THROWS_AS(readStartupConfig(start.dump()), ParseError);
}
