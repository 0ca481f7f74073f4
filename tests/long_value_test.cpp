// Stories of values over 64 KiB: in pieces cut anywhere, slow on either side, broken midway, many at once.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <thread>

#include "fixtures.hpp"
#include "protocol/http_response.hpp"
#include "protocol/resp.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

constexpr std::size_t kMebi = 1024 * 1024;

// No two stretches of it are alike, so that a piece lost, doubled or out of place shows.
std::string longValue(std::size_t size, unsigned seed = 1) {
    std::mt19937 chance(seed);
    std::string text(size, '\0');
    for (char& c : text) c = static_cast<char>(chance());
    return text;
}

// Without millions of bytes on the screen when it is not.
bool same(const std::string& got, const std::string& wanted) { return got == wanted; }

struct Read {
    std::string value;
    protocol::RespDecoder::State state = protocol::RespDecoder::State::more;
    std::size_t told = 0;
};
Read readInPieces(protocol::RespDecoder& decoder, const std::string& text, std::size_t size) {
    using State = protocol::RespDecoder::State;
    Read read;
    for (std::size_t at = 0; at < text.size() && read.state != State::malformed; at += size) {
        std::string_view bytes = std::string_view(text).substr(at, size);
        do {
            read.state = decoder.feed(bytes);
            if (read.state == State::streamBegins) read.told = decoder.streamedLength();
            if (read.state == State::streamChunk) read.value += decoder.chunk();
        } while (read.state == State::streamBegins || read.state == State::streamChunk ||
                 (read.state == State::complete && !bytes.empty()));
        CHECK(decoder.bufferedBytes() < 1024);
    }
    return read;
}

std::string putOf(std::size_t length, const std::string& id = "9b1f-k") {
    return "*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$" + std::to_string(id.size()) + "\r\n" + id +
           "\r\n$23\r\nc=mark,t=north,d=1500,k\r\n$" + std::to_string(length) + "\r\n";
}
std::string bodyOf(Socket& origin, std::size_t length) {
    origin.head();
    return origin.bytes(length);
}

}  // namespace

TEST_CASE(
    "a long bulk string comes whole however it is cut, and keeps its last byte until its end is right") {
    using State = protocol::RespDecoder::State;
    const protocol::RespDecoder::Limits answers{64 * 1024, 16, 3, 128 * 1024, false, 4 * kMebi, 0};
    const std::string value = longValue(70'001);
    for (const std::size_t size : {1UL, 2UL, 3UL, 17UL, 65'536UL, 1'000'000UL}) {
        protocol::RespDecoder decoder(answers);
        const Read read = readInPieces(decoder, hit(value) + hit("short"), size);
        CHECK(read.told == value.size());
        CHECK(same(read.value, value));
        CHECK(read.state == State::complete);
    }
    for (std::size_t cut = hit(value).size() - 30; cut < hit(value).size(); ++cut) {
        protocol::RespDecoder decoder(answers);
        std::string first = hit(value).substr(0, cut);
        CHECK(readInPieces(decoder, first, first.size()).state == State::more);
    }
    std::string spoilt = hit(value);
    spoilt.replace(spoilt.find("\r\n$3\r\nhit"), 2, "xx");
    protocol::RespDecoder decoder(answers);
    const Read read = readInPieces(decoder, spoilt, 4'096);
    CHECK(read.state == State::malformed);
    CHECK(same(read.value, value.substr(0, value.size() - 1)));
    for (const char* length : {"4194305", "3000000000", "-5", "99999999999999999999", "7x"}) {
        protocol::RespDecoder other(answers);
        CHECK(readInPieces(other, "*3\r\n$" + std::string(length) + "\r\nabc", 64).state == State::malformed);
    }
    // Only in its place: no long key, no long word of how a read went.
    protocol::RespDecoder elsewhere(answers);
    CHECK(readInPieces(elsewhere, "*3\r\n$1\r\nv\r\n$70001\r\n", 64).state == State::malformed);
}

TEST_CASE("a long HTTP body comes in pieces; over 4 MiB, without a length or of an error it is broken") {
    using State = protocol::HttpResponse::State;
    const std::string value = longValue(100'000);
    for (const std::size_t size : {1UL, 7UL, 50'000UL, 200'000UL}) {
        protocol::HttpResponse answer(64 * 1024, 4 * kMebi);
        const std::string text = http(200, value);
        std::string got;
        auto state = State::more;
        for (std::size_t at = 0; at < text.size() && state == State::more; at += size) {
            state = answer.feed(std::string_view(text).substr(at, size));
            got += answer.chunk();
        }
        CHECK(state == State::complete);
        CHECK(same(got, value));
        CHECK(answer.streamedLength() == value.size());
    }
    for (const std::string& text :
         {http(500, value), "HTTP/1.1 200 x\r\nContent-Length: 4194305\r\n\r\n" + value,
          "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n186A0\r\n" + value + "\r\n0\r\n\r\n"}) {
        protocol::HttpResponse answer(64 * 1024, 4 * kMebi);
        CHECK(answer.feed(text) == State::malformed);
    }
}

TEST_CASE("4 MiB from a cache and from the origin reach the client whole, its first bytes before the rest") {
    Stage stage;
    const std::string value = longValue(4 * kMebi);
    Socket client = stage.client();
    client.say(get("k"));
    Socket cache = stage.caches[0].accept();
    cache.command();
    const std::string answer = hit(value);
    cache.say(answer.substr(0, 100'000));
    CHECK(client.line() == "$4194304");
    CHECK(same(client.bytes(90'000), value.substr(0, 90'000)));
    std::jthread giving([&] { cache.say(answer.substr(100'000)); });
    CHECK(same(client.bytes(value.size() - 90'000), value.substr(90'000)));
    CHECK(client.line().empty());
    giving.join();
    // The connection to the cache goes on, and so does the client's.
    client.say(get("m"));
    CHECK(cache.command().at(1) == "m");
    cache.say(kMiss);
    Socket origin = stage.origin.accept();
    origin.head();
    std::jthread more([&] { origin.say(http(200, value)); });
    CHECK(same(client.answer(), value));
    client.say(array({"PING"}));
    CHECK(client.line() == "+PONG");
}

TEST_CASE("a long answer in single bytes and odd pieces, with commands behind it in the same write") {
    Stage stage;
    const std::string value = longValue(70'000);
    Socket client = stage.client();
    client.say(get("k") + array({"PING"}) + get("m"));
    Socket cache = stage.caches[0].accept(), second = stage.caches[0].accept();
    if (cache.command().at(1) == "m") std::swap(cache, second);
    const std::string answer = hit(value);
    std::jthread giving([&] {
        for (std::size_t at = 0; at < 2'000; ++at) cache.say(answer.substr(at, 1));
        for (std::size_t at = 2'000, step = 1; at < answer.size(); at += step, step = step % 977 + 13)
            cache.say(answer.substr(at, step));
    });
    CHECK(same(client.answer(), value));
    CHECK(client.line() == "+PONG");
    giving.join();
    second.say(hit("V"));
    CHECK(client.answer() == "V");
}

TEST_CASE("a long answer stands behind one that is still to come, and holds little meanwhile") {
    Stage stage(2);
    Socket client = stage.client();
    client.say(get("k") + get("m"));
    std::array<Socket, 2> links{stage.caches[0].accept(), stage.caches[0].quiet(300)
                                                              ? stage.caches[1].accept()
                                                              : stage.caches[0].accept()};
    const bool swapped = links[0].command().at(1) == "m";
    Socket& first = links[swapped];
    Socket& second = links[!swapped];
    CHECK(links[1].command().size() == 4);
    const std::string value = longValue(4 * kMebi);
    std::jthread giving([&] { second.say(hit(value)); });
    CHECK(client.quiet(300));
    first.say(hit("V"));
    CHECK(client.answer() == "V");
    CHECK(same(client.answer(), value));
}

TEST_CASE("a cache that breaks off or spoils a long answer ends the client's connection, not the router") {
    Stage stage;
    const std::string answer = hit(longValue(200'000));
    for (const bool spoils : {false, true}) {
        Socket client = stage.client();
        client.say(get("k"));
        Socket cache = stage.caches[0].accept();
        cache.command();
        cache.say(answer.substr(0, 100'000));
        CHECK(client.line() == "$200000");
        if (spoils) {
            std::string rest = answer.substr(100'000);
            rest.replace(rest.find("\r\n$3\r\nhit"), 2, "??");
            cache.say(rest);
            CHECK(cache.ended());
        } else {
            cache.hangUp();
        }
        CHECK(client.ended());
    }
    Socket client = stage.client();
    CHECK(client.say(array({"PING"})).line() == "+PONG");
}

TEST_CASE("a client that leaves in the middle of a long answer takes the cache's connection along") {
    Stage stage;
    Socket client = stage.client();
    client.say(get("k"));
    Socket cache = stage.caches[0].accept();
    cache.command();
    cache.say(hit(longValue(4 * kMebi)).substr(0, 200'000));
    client.line();
    client.reset();
    CHECK(cache.ended());
    CHECK(stage.client().say(array({"PING"})).line() == "+PONG");
}

TEST_CASE("a write of 4 MiB goes to the origin as it comes, its last byte only once its end is right") {
    Stage stage;
    const std::string value = longValue(4 * kMebi);
    Socket client = stage.client();
    client.say(putOf(value.size()) + value.substr(0, 100'000));
    Socket origin = stage.origin.accept();
    const auto head = origin.head();
    CHECK(head[0] == "PUT /k HTTP/1.1");
    CHECK(std::find(head.begin(), head.end(), "Content-Length: 4194304") != head.end());
    CHECK(same(origin.bytes(100'000), value.substr(0, 100'000)));
    std::jthread giving([&] { client.say(value.substr(100'000)); });
    CHECK(same(origin.bytes(value.size() - 100'001), value.substr(100'000, value.size() - 100'001)));
    giving.join();
    CHECK(origin.quiet(100));
    client.say("\r\n" + array({"PING"}));  // and what stands behind it waits for its answer
    CHECK(same(origin.bytes(1), value.substr(value.size() - 1)));
    CHECK(client.quiet(100));
    origin.say(http(200, "receipt"));
    CHECK(client.answer() == "receipt");
    CHECK(client.line() == "+PONG");
    // In odd pieces, and another one right behind it.
    const std::string small = longValue(66'000, 2);
    const std::string both =
        putOf(small.size()) + small + "\r\n" + putOf(small.size(), "9b1f-m") + small + "\r\n";
    std::jthread again([&] {
        for (std::size_t at = 0, step = 1; at < both.size(); at += step, step = step % 811 + 7)
            client.say(both.substr(at, step));
    });
    CHECK(same(bodyOf(origin, small.size()), small));
    Socket second = stage.origin.accept();
    CHECK(same(bodyOf(second, small.size()), small));
    second.say(http(200, "second"));
    origin.say(http(200, "first"));
    CHECK(client.answer() == "first");
    CHECK(client.answer() == "second");
}

TEST_CASE("a long write that stops midway leaves nothing that ran; one that is turned away is declined") {
    Stage stage;
    const std::string value = longValue(300'000);
    for (const bool broken : {false, true}) {
        Socket client = stage.client();
        client.say(putOf(value.size()) + value.substr(0, 200'000));
        Socket origin = stage.origin.accept();
        CHECK(bodyOf(origin, 200'000).size() == 200'000);
        if (broken)
            client.say(value.substr(200'000) + "??");
        else
            client.hangUp();
        CHECK(origin.ended());
        if (broken) CHECK(client.line().starts_with("-ERR Protocol error"));
    }
    {  // The origin says no before it has read all: told once the rest was read, and the connection goes on.
        Socket client = stage.client();
        client.say(putOf(value.size()) + value.substr(0, 100'000));
        Socket origin = stage.origin.accept();
        origin.head();
        origin.say(http(503, "", "X-Rejected: 1\r\n"));
        CHECK(origin.ended());
        CHECK(client.quiet(200));
        client.say(value.substr(100'000) + "\r\n");
        CHECK(client.line().starts_with("-BUSY "));
        CHECK(client.say(array({"PING"})).line() == "+PONG");
    }
    {  // An origin that can't be reached.
        stage.origin.shut();
        Socket client = stage.client();
        client.say(putOf(value.size()) + value + "\r\n");
        CHECK(client.line().starts_with("-BUSY "));
        CHECK(client.say(array({"PING"})).line() == "+PONG");
    }
}

TEST_CASE("a head may take 2 s and a long value longer, as long as it moves; what stands still is told so") {
    Stage stage;
    const std::string value = longValue(100'000);
    Socket slow = stage.client(), still = stage.client(), wrong = stage.client();
    const std::string head = putOf(value.size());
    still.say(putOf(value.size(), "9b1f-m") + value.substr(0, 1'000));
    const std::string other = array({"OBJ.PUT", "k", "9b1f-k", "c=mark,d=900"});
    CHECK(wrong.say("*5" + other.substr(2) + "$70000\r\nabc").line() == "-ERR unknown command 'OBJ.PUT'");
    CHECK(wrong.ended());
    Socket taken = stage.origin.accept();
    for (std::size_t at = 0; at < head.size(); ++at, usleep(20'000)) slow.say(head.substr(at, 1));
    for (std::size_t at = 0; at < 2'000; at += 500, usleep(700'000)) slow.say(value.substr(at, 500));
    slow.say(value.substr(2'000) + "\r\n");
    Socket origin = stage.origin.accept();
    CHECK(same(bodyOf(origin, value.size()), value));
    origin.say(http(200, "receipt"));
    CHECK(slow.answer() == "receipt");
    CHECK(still.line() == "-ERR Protocol error: command not whole in time");
    CHECK(taken.ended());
}

TEST_CASE("sixty long answers to clients that read slowly, and long writes beside, fill no small machine") {
    auto start = smallStart();
    start["limits"]["memory_mb"] = 32;
    setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1);  // or what is given back would count as held
    Stage stage(4, start);
    unsetenv("ASAN_OPTIONS");
    const std::string answer = hit(longValue(4 * kMebi));
    std::vector<Socket> clients;
    std::vector<std::jthread> caches;
    for (auto& door : stage.caches)
        caches.emplace_back([&](const std::stop_token& stop) {
            std::vector<std::jthread> links;
            while (!stop.stop_requested())
                if (!door.quiet(20))
                    links.emplace_back([&answer, made = std::make_shared<Socket>(door.accept())] {
                        if (made->command().size() == 4) made->say(answer);
                    });
            // Whoever still writes ends with its router's connection.
            stage.program.signal(SIGKILL);
        });
    // And an origin that takes long writes and reads nothing of them: both ways at once fill the buffers, and
    // whoever holds most goes, also from within another's turn.
    std::vector<Socket> taken, writers;
    const std::string body = longValue(300'000);
    for (int i = 0; i < 24; ++i) {
        writers.push_back(stage.client());
        writers.back().say(putOf(4 * kMebi, "9b1f-w" + std::to_string(i)));
        writers.back().cram(body);
        // Past what the router lets out to an origin that says nothing they are declined.
        if (!stage.origin.quiet(300)) taken.push_back(stage.origin.accept());
    }
    CHECK(taken.size() >= 4);
    const std::size_t before = stage.program.residentKiB();
    for (int i = 0; i < 60; ++i) {
        clients.push_back(stage.client());
        clients.back().say(get("k" + std::to_string(i), "c=read,t=north,d=2000"));
        for (Socket& writer : writers) writer.cram(body);
    }
    usleep(1'500'000);
    int gone = 0;
    for (Socket& writer : writers) gone += !writer.quiet(0);
    for (Socket& client : clients) gone += !client.quiet(0) && client.waits() == 0;
    MESSAGE(gone, " of 84 connections ended or declined, ", taken.size(), " long writes out");
    const std::size_t after = stage.program.residentKiB();
    MESSAGE(before, " KiB before, ", after, " KiB with 60 long answers held up");
    CHECK(after < before + 16'000);
    int begun = 0;
    for (Socket& client : clients) begun += client.line() == "$4194304";
    CHECK(begun > 10);
    CHECK(stage.client().say(array({"PING"})).line() == "+PONG");
}
