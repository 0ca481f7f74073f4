#include <doctest/doctest.h>

#include <random>

#include "fixtures.hpp"
#include "protocol/endpoint_list.hpp"
#include "protocol/http_response.hpp"
#include "protocol/request.hpp"
#include "protocol/resp.hpp"

using namespace poppyscale;
using namespace poppyscale::protocol;
using State = Decoder::State;

namespace {
constexpr Decoder::Bounds kCommands{64 * 1024, 16, 1, 80 * 1024, true};

State feedAll(Decoder& decoder, std::string_view bytes) { return decoder.feed(bytes); }

Command commandOf(const std::string& text) {
    Decoder decoder(kCommands);
    REQUIRE(feedAll(decoder, text) == State::whole);
    return std::get<Command>(readCommand(decoder.take()));
}
std::string refusalOf(const std::string& text) {
    Decoder decoder(kCommands);
    REQUIRE(feedAll(decoder, text) == State::whole);
    return std::get<Aside>(readCommand(decoder.take())).answer;
}
}  // namespace

TEST_CASE("a command that comes byte by byte is the same command") {
    const std::string text = test::set("k", "c=pay,t=north,d=480,k=5c", "a\r\nb");
    Decoder decoder(kCommands);
    for (std::size_t i = 0; i + 1 < text.size(); ++i)
        REQUIRE(feedAll(decoder, text.substr(i, 1)) == State::more);
    CHECK(decoder.within());
    REQUIRE(feedAll(decoder, text.substr(text.size() - 1)) == State::whole);
    CHECK_FALSE(decoder.within());
    const Command command = std::get<Command>(readCommand(decoder.take()));
    CHECK(command.write);
    CHECK(command.verb == "pay");
    CHECK(command.customer == "north");
    CHECK(command.patience == 480 * test::ms);
    CHECK(command.value == "a\r\nb");
}

TEST_CASE("lengths that would fill the machine are told by their header alone") {
    for (const char* text : {"*1000000\r\n", "*1\r\n$1000000\r\n", "*-1\r\n", "*1\r\n$-1\r\n", "*1\r\n*1\r\n",
                             "*99999999999999999999\r\n", "PING\r\n", "*1\r\n:1\r\n", "*1\r\n$1\r\nab\r\n"}) {
        Decoder decoder(kCommands);
        CHECK_MESSAGE(feedAll(decoder, text) == State::broken, text);
    }
    Decoder endless(kCommands);
    CHECK(feedAll(endless, "*" + std::string(5000, '1')) == State::broken);
}

TEST_CASE("mutated bytes end in a value or a problem, never in more than the bounds hold") {
    std::mt19937 chance(5);
    const std::string good = test::get("k") + test::hit("value") + "-BUSY\r\n" + test::set("k", "c=pay,d=5");
    for (int i = 0; i < 20'000; ++i) {
        std::string text = good;
        for (auto left = 1 + chance() % 4; left > 0; --left)
            text[chance() % text.size()] = "*$-:+\r\n0139\0"[chance() % 12];
        Decoder decoder(i % 2 ? kCommands : Decoder::Bounds{});
        std::string_view bytes = text;
        while (!bytes.empty() && decoder.feed(bytes) == State::whole) {
            auto value = decoder.take();
            if (i % 2) readCommand(std::move(value));
        }
        CHECK(decoder.held() <= 256 * 1024);
    }
}

TEST_CASE("an attempt passes on the info list unchanged but for the time that is left") {
    const Command command = commandOf(test::set("k", "c=mark,t=north,d=480,k=5c,size=9"));
    CHECK(cacheCommand(command, 120 * test::ms) ==
          test::array({"OBJ.SET", "k", "9b1f-k", "c=mark,t=north,d=120,k=5c,size=9", "V"}));
    CHECK(originCall(command, "h", 120 * test::ms) ==
          "PUT /k HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9b1f-k\r\n"
          "X-Call-Info: c=mark,t=north,d=120,k=5c,size=9\r\nContent-Length: 1\r\n\r\nV");
}

TEST_CASE("a key is written into a path so that it can't end it, and words with line breaks are refused") {
    CHECK(originCall(commandOf(test::get("u:k/a?b%#")), "h", 5 * test::ms)
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
        Decoder decoder({});
        return feedAll(decoder, text) == State::whole ? readCacheAnswer(decoder.take()).ending : Ending::cut;
    };
    CHECK(ending(test::hit("v")) == Ending::answered);
    CHECK(ending(std::string(test::kMiss)) == Ending::noneHere);
    CHECK(ending("-BUSY\r\n") == Ending::noRoom);
    CHECK(ending("-ERR failed\r\n") == Ending::errored);
    CHECK(ending("-BUSYBODY\r\n") == Ending::errored);
    for (const char* odd : {"$1\r\nv\r\n", "+OK\r\n", "*0\r\n", "*1\r\n:1\r\n", "$-1\r\n", "-BUSY soon\r\n",
                            "*2\r\n$1\r\nv\r\n$3\r\nhit\r\n", "*3\r\n$1\r\nv\r\n:1\r\n$-1\r\n"}) {
        CHECK(ending(odd) == Ending::errored);
        Decoder decoder({});
        feedAll(decoder, odd);
        CHECK_FALSE(readCacheAnswer(decoder.take()).inForm);
    }
    CHECK(ending("*3\r\n$1\r\nv\r\n$-1\r\n:7\r\n") == Ending::answered);
}

TEST_CASE("HTTP answers: by length, in chunks, up to the end, and too long") {
    HttpAnswer answer(16);
    CHECK(answer.feed("HTTP/1.1 200 OK\r\nContent-Le") == HttpAnswer::State::more);
    CHECK(answer.feed("ngth: 2\r\n\r\nv") == HttpAnswer::State::more);
    CHECK(answer.feed("w") == HttpAnswer::State::whole);
    CHECK(answer.body() == "vw");
    CHECK(answer.keepsOpen());
    answer.clear();
    CHECK(
        answer.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n") ==
        HttpAnswer::State::whole);
    CHECK(answer.body() == "abc");
    CHECK(answer.keepsOpen());
    answer.clear();
    CHECK(answer.feed("HTTP/1.0 200 OK\r\n\r\nabc") == HttpAnswer::State::more);
    CHECK(answer.end() == HttpAnswer::State::whole);
    CHECK_FALSE(answer.keepsOpen());
    answer.clear();
    CHECK(answer.feed("HTTP/1.1 503 No\r\nX-REJECTED: 1\r\nContent-Length: 0\r\n\r\nmore") ==
          HttpAnswer::State::whole);
    CHECK(answer.neverRan());
    CHECK_FALSE(answer.keepsOpen());
    answer.clear();
    CHECK(answer.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX-Rejected: 1\r\n\r\n"
                      "HTTP/1.1 503 No\r\nContent-Length: 1\r\n\r\nv") == HttpAnswer::State::whole);
    CHECK(answer.status() == 503);
    CHECK_FALSE(answer.neverRan());
    CHECK(answer.keepsOpen());
    answer.clear();
    CHECK(answer.feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nvw") == HttpAnswer::State::whole);
    CHECK_FALSE(answer.keepsOpen());
    std::string hints;
    for (int i = 0; i < 20; ++i) hints += "HTTP/1.1 103 Hints\r\n\r\n";
    answer.clear();
    CHECK(answer.feed(hints) == HttpAnswer::State::broken);
    for (const char* bad : {"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n", "*1\r\n",
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n"
                            "0123456789abcdef0123456789abcdef"}) {
        answer.clear();
        CHECK(answer.feed(bad) == HttpAnswer::State::broken);
    }
}

TEST_CASE("a client's mark of a further try and a cache's word on a read are taken, others passed over") {
    CHECK(commandOf(test::get("k", "c=read,d=480,r=1")).again);
    CHECK_FALSE(commandOf(test::get("k", "c=read,d=480,r=x")).again);
    const auto found = [](const char* how, const char* report) {
        Decoder decoder({64 * 1024, 16, 3, 80 * 1024, false});
        const std::string text = "*3\r\n" + bulk("v") + bulk(how) + report;
        REQUIRE(feedAll(decoder, text) == State::whole);
        const Outcome outcome = readCacheAnswer(decoder.take());
        CHECK(outcome.ending == Ending::answered);
        return outcome.found;
    };
    CHECK(found("hit", "$-1\r\n") == Found::kept);
    CHECK(found("miss", "$-1\r\n") == Found::fetched);
    CHECK(found("pending", "$9\r\nactive=-1\r\n") == Found::fetched);
    CHECK(found("perhaps", ":7\r\n") == Found::untold);
}

TEST_CASE("a list that makes no sense is none") {
    const std::string entry = R"({"id":"s","addr":"1.2.3.4:5","state":"Ready","weight":2,"started_ms":5})";
    const auto listOf = [](const std::string& e) {
        return R"({"version":3,"full":true,"servers":[)" + e + "]}";
    };
    const Roster roster = readRoster(listOf(entry));
    REQUIRE(roster.places.size() == 1);
    CHECK(roster.places[0].listed.size == 2);
    CHECK(roster.places[0].startedMs == 5);
    // In the stream of lists an absurd weight costs that value alone.
    for (const char* weight : {"-1", "\"much\"", "null"}) {
        const Roster odd =
            readRoster(listOf(R"({"id":"s","state":"Ready","weight":)" + std::string(weight) + "}," + entry));
        REQUIRE(odd.places.size() == 2);
        CHECK(odd.places[0].listed.size == 0);
        CHECK(odd.places[1].listed.size == 2);
    }
    for (const auto& bad : {std::string("{"), std::string("[]"), std::string(R"({"version":3})"), listOf("7"),
                            listOf(R"({"id":"","state":"Ready"})"), listOf(R"({"id":"s","state":"Asleep"})"),
                            listOf(R"({"id":"s","state":5})"),
                            listOf(R"({"id":"s","state":"Ready","started_ms":9000000000000000})")})
        CHECK_THROWS_AS(readRoster(bad), Malformed);
}

TEST_CASE("a process that starts with an old list asks for it within half of a drain's grace") {
    auto start = test::smallStart();
    start["listen"] = start["discovery"] = "127.0.0.1:1";
    CHECK(readStart(start.dump()).terms.firstAskWithin == 5'000 * test::ms);
    start["settings"]["rules"]["drainGraceUs"] = 500'000;
    CHECK(readStart(start.dump()).terms.firstAskWithin == 250 * test::ms);
    CHECK(readStart(start.dump()).terms.askWithin == 10'000 * test::ms);
    start["settings"]["membershipMode"] = "pushed";
    CHECK(readStart(start.dump()).terms.firstAskWithin == 125 * test::ms);
    CHECK(readStart(start.dump()).terms.askWithin == 250 * test::ms);
    start["settings"]["rules"]["drainGraceUs"] = 0;
    CHECK(readStart(start.dump()).terms.firstAskWithin == 50 * test::ms);
}

TEST_CASE("settings told as JSON make the same terms as on the simulator's wire") {
    auto start = test::smallStart();
    start["listen"] = start["discovery"] = "127.0.0.1:1";
    const Start read = readStart(start.dump());
    CHECK(read.terms.seed == 7);
    CHECK(read.terms.aside);
    CHECK(read.terms.originShape == "origin");
    CHECK(read.terms.askWithin == 10'000 * test::ms);
    REQUIRE(read.terms.verbs.size() == 3);
    CHECK(read.terms.verbs[1].effect == Effect::receipted);
    CHECK(read.terms.customers[0].quotaPerSecond == 100);
    CHECK(read.longestPatience == 2'000 * test::ms);
    CHECK_FALSE(read.terms.sizesMove);
    CHECK(read.terms.verbs[0].limit == 2'000 * test::ms);
    start["settings"]["weights"] = "live";
    CHECK(readStart(start.dump()).terms.sizesMove);
    start["settings"]["weights"] = "heavy";
    CHECK_THROWS_WITH_AS(readStart(start.dump()), "setting weights has an unknown value", Malformed);
    start["settings"]["weights"] = {{"live", 1}};
    CHECK_THROWS_WITH_AS(readStart(start.dump()), "setting weights is not a word", Malformed);
    start["settings"].erase("weights");
    start["known"] = nlohmann::json::parse(
        R"({"version":1,"full":true,"servers":[{"id":"s","state":"Ready","weight":-1}]})");
    CHECK_THROWS_WITH_AS(readStart(start.dump()), "an entry with a weight out of range: s", Malformed);
    start.erase("known");
    start["settings"]["verbs"][0]["effect"] = "harmless";
    CHECK_THROWS_WITH_AS(readStart(start.dump()), "setting verbs.0.effect has an unknown value", Malformed);
    start["limits"].erase("sockets");
    CHECK_THROWS_AS(readStart(start.dump()), Malformed);
}
