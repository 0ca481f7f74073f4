// Values over 64 KiB, which are streamed: with arbitrary chunk boundaries, slow peers on either side, values
// that are broken off midway, and many values at once.
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

constexpr std::size_t kMebibyte = 1024 * 1024;

// Random bytes, so that a lost, repeated or reordered chunk is detected.
std::string longValue(std::size_t size, unsigned seed = 1) {
    std::mt19937 random(seed);
    std::string text(size, '\0');
    for (char& c : text) c = static_cast<char>(random());
    return text;
}

// Compares in a function, so that a failing check does not print the bytes.
bool isSame(const std::string& actual, const std::string& expected) { return actual == expected; }

struct DecodedStream {
    std::string value;
    protocol::RespDecoder::State state = protocol::RespDecoder::State::more;
    std::size_t announcedLength = 0;
};
DecodedStream decodeInChunks(protocol::RespDecoder& decoder, const std::string& text, std::size_t size) {
    using State = protocol::RespDecoder::State;
    DecodedStream decoded;
    for (std::size_t at = 0; at < text.size() && decoded.state != State::malformed; at += size) {
        std::string_view bytes = std::string_view(text).substr(at, size);
        do {
            decoded.state = decoder.feed(bytes);
            if (decoded.state == State::streamBegins) decoded.announcedLength = decoder.streamedLength();
            if (decoded.state == State::streamChunk) decoded.value += decoder.chunk();
        } while (decoded.state == State::streamBegins || decoded.state == State::streamChunk ||
                 (decoded.state == State::complete && !bytes.empty()));
        CHECK(decoder.bufferedBytes() < 1024);
    }
    return decoded;
}

std::string writeHead(std::size_t length, const std::string& id = "9b1f-k") {
    return "*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$" + std::to_string(id.size()) + "\r\n" + id +
           "\r\n$23\r\nc=mark,t=north,d=1500,k\r\n$" + std::to_string(length) + "\r\n";
}
std::string readBody(Socket& origin, std::size_t length) {
    origin.head();
    return origin.bytes(length);
}

}  // namespace

TEST_CASE("Decodes a long bulk string cut anywhere; withholds its last byte until the terminator is valid") {
    using State = protocol::RespDecoder::State;
    const protocol::RespDecoder::Limits responseLimits{64 * 1024, 16, 3, 128 * 1024, false, 4 * kMebibyte, 0};
    const std::string value = longValue(70'001);
    for (const std::size_t size : {1UL, 2UL, 3UL, 17UL, 65'536UL, 1'000'000UL}) {
        protocol::RespDecoder decoder(responseLimits);
        const DecodedStream decoded = decodeInChunks(decoder, hit(value) + hit("short"), size);
        CHECK(decoded.announcedLength == value.size());
        CHECK(isSame(decoded.value, value));
        CHECK(decoded.state == State::complete);
    }
    for (std::size_t cut = hit(value).size() - 30; cut < hit(value).size(); ++cut) {
        protocol::RespDecoder decoder(responseLimits);
        std::string first = hit(value).substr(0, cut);
        CHECK(decodeInChunks(decoder, first, first.size()).state == State::more);
    }
    std::string malformed = hit(value);
    malformed.replace(malformed.find("\r\n$3\r\nhit"), 2, "xx");
    protocol::RespDecoder decoder(responseLimits);
    const DecodedStream decoded = decodeInChunks(decoder, malformed, 4'096);
    CHECK(decoded.state == State::malformed);
    CHECK(isSame(decoded.value, value.substr(0, value.size() - 1)));
    for (const char* length : {"4194305", "3000000000", "-5", "99999999999999999999", "7x"}) {
        protocol::RespDecoder other(responseLimits);
        CHECK(decodeInChunks(other, "*3\r\n$" + std::string(length) + "\r\nabc", 64).state ==
              State::malformed);
    }
    // Only the item that holds the value may be long; a key or a read-through result may not.
    protocol::RespDecoder elsewhere(responseLimits);
    CHECK(decodeInChunks(elsewhere, "*3\r\n$1\r\nv\r\n$70001\r\n", 64).state == State::malformed);
}

TEST_CASE("Streams a long HTTP body; malformed if over 4 MiB, without a length or of an error response") {
    using State = protocol::HttpResponse::State;
    const std::string value = longValue(100'000);
    for (const std::size_t size : {1UL, 7UL, 50'000UL, 200'000UL}) {
        protocol::HttpResponse response(64 * 1024, 4 * kMebibyte);
        const std::string text = http(200, value);
        std::string body;
        auto state = State::more;
        for (std::size_t at = 0; at < text.size() && state == State::more; at += size) {
            state = response.feed(std::string_view(text).substr(at, size));
            body += response.chunk();
        }
        CHECK(state == State::complete);
        CHECK(isSame(body, value));
        CHECK(response.streamedLength() == value.size());
    }
    for (const std::string& text :
         {http(500, value), "HTTP/1.1 200 x\r\nContent-Length: 4194305\r\n\r\n" + value,
          "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n186A0\r\n" + value + "\r\n0\r\n\r\n"}) {
        protocol::HttpResponse response(64 * 1024, 4 * kMebibyte);
        CHECK(response.feed(text) == State::malformed);
    }
}

TEST_CASE("Streams 4 MiB from a cache server and from the origin; the first bytes don't wait for the rest") {
    Stage stage;
    const std::string value = longValue(4 * kMebibyte);
    Socket client = stage.client();
    client.say(get("k"));
    Socket cache = stage.caches[0].accept();
    cache.command();
    const std::string response = hit(value);
    cache.say(response.substr(0, 100'000));
    CHECK(client.line() == "$4194304");
    CHECK(isSame(client.bytes(90'000), value.substr(0, 90'000)));
    std::jthread sending([&] { cache.say(response.substr(100'000)); });
    CHECK(isSame(client.bytes(value.size() - 90'000), value.substr(90'000)));
    CHECK(client.line().empty());
    sending.join();
    // The connection to the cache server is reused, and so is the client's.
    client.say(get("m"));
    CHECK(cache.command().at(1) == "m");
    cache.say(kMiss);
    Socket origin = stage.origin.accept();
    origin.head();
    std::jthread more([&] { origin.say(http(200, value)); });
    CHECK(isSame(client.answer(), value));
    client.say(array({"PING"}));
    CHECK(client.line() == "+PONG");
}

TEST_CASE("Delivers a long response in single bytes and odd chunks, with requests pipelined behind it") {
    Stage stage;
    const std::string value = longValue(70'000);
    Socket client = stage.client();
    client.say(get("k") + array({"PING"}) + get("m"));
    Socket cache = stage.caches[0].accept(), second = stage.caches[0].accept();
    if (cache.command().at(1) == "m") std::swap(cache, second);
    const std::string response = hit(value);
    std::jthread sending([&] {
        for (std::size_t at = 0; at < 2'000; ++at) cache.say(response.substr(at, 1));
        for (std::size_t at = 2'000, step = 1; at < response.size(); at += step, step = step % 977 + 13)
            cache.say(response.substr(at, step));
    });
    CHECK(isSame(client.answer(), value));
    CHECK(client.line() == "+PONG");
    sending.join();
    second.say(hit("V"));
    CHECK(client.answer() == "V");
}

TEST_CASE("Delays a long response until the response ahead of it is sent, and buffers little meanwhile") {
    Stage stage(2);
    Socket client = stage.client();
    client.say(get("k") + get("m"));
    std::array<Socket, 2> connections{stage.caches[0].accept(), stage.caches[0].quiet(300)
                                                                    ? stage.caches[1].accept()
                                                                    : stage.caches[0].accept()};
    const bool isSwapped = connections[0].command().at(1) == "m";
    Socket& first = connections[isSwapped];
    Socket& second = connections[!isSwapped];
    CHECK(connections[1].command().size() == 4);
    const std::string value = longValue(4 * kMebibyte);
    std::jthread sending([&] { second.say(hit(value)); });
    CHECK(client.quiet(300));
    first.say(hit("V"));
    CHECK(client.answer() == "V");
    CHECK(isSame(client.answer(), value));
}

TEST_CASE("Closes the client's connection, and runs on, when a long response is broken off or malformed") {
    Stage stage;
    const std::string response = hit(longValue(200'000));
    for (const bool isMalformed : {false, true}) {
        Socket client = stage.client();
        client.say(get("k"));
        Socket cache = stage.caches[0].accept();
        cache.command();
        cache.say(response.substr(0, 100'000));
        CHECK(client.line() == "$200000");
        if (isMalformed) {
            std::string rest = response.substr(100'000);
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

TEST_CASE("Closes the cache server's connection when the client disconnects during a long response") {
    Stage stage;
    Socket client = stage.client();
    client.say(get("k"));
    Socket cache = stage.caches[0].accept();
    cache.command();
    cache.say(hit(longValue(4 * kMebibyte)).substr(0, 200'000));
    client.line();
    client.reset();
    CHECK(cache.ended());
    CHECK(stage.client().say(array({"PING"})).line() == "+PONG");
}

TEST_CASE("Streams a write of 4 MiB to the origin; withholds its last byte until the terminator is valid") {
    Stage stage;
    const std::string value = longValue(4 * kMebibyte);
    Socket client = stage.client();
    client.say(writeHead(value.size()) + value.substr(0, 100'000));
    Socket origin = stage.origin.accept();
    const auto head = origin.head();
    CHECK(head[0] == "PUT /k HTTP/1.1");
    CHECK(std::find(head.begin(), head.end(), "Content-Length: 4194304") != head.end());
    CHECK(isSame(origin.bytes(100'000), value.substr(0, 100'000)));
    std::jthread sending([&] { client.say(value.substr(100'000)); });
    CHECK(isSame(origin.bytes(value.size() - 100'001), value.substr(100'000, value.size() - 100'001)));
    sending.join();
    CHECK(origin.quiet(100));
    client.say("\r\n" + array({"PING"}));  // the PING waits for the response to the write
    CHECK(isSame(origin.bytes(1), value.substr(value.size() - 1)));
    CHECK(client.quiet(100));
    origin.say(http(200, "receipt"));
    CHECK(client.answer() == "receipt");
    CHECK(client.line() == "+PONG");
    // A write in odd chunks, with another write right behind it.
    const std::string small = longValue(66'000, 2);
    const std::string both =
        writeHead(small.size()) + small + "\r\n" + writeHead(small.size(), "9b1f-m") + small + "\r\n";
    std::jthread again([&] {
        for (std::size_t at = 0, step = 1; at < both.size(); at += step, step = step % 811 + 7)
            client.say(both.substr(at, step));
    });
    CHECK(isSame(readBody(origin, small.size()), small));
    Socket second = stage.origin.accept();
    CHECK(isSame(readBody(second, small.size()), small));
    second.say(http(200, "second"));
    origin.say(http(200, "first"));
    CHECK(client.answer() == "first");
    CHECK(client.answer() == "second");
}

TEST_CASE("Aborts a long write that stops midway; rejects one that the origin rejects or can't be sent") {
    Stage stage;
    const std::string value = longValue(300'000);
    for (const bool isMalformed : {false, true}) {
        Socket client = stage.client();
        client.say(writeHead(value.size()) + value.substr(0, 200'000));
        Socket origin = stage.origin.accept();
        CHECK(readBody(origin, 200'000).size() == 200'000);
        if (isMalformed)
            client.say(value.substr(200'000) + "??");
        else
            client.hangUp();
        CHECK(origin.ended());
        if (isMalformed) CHECK(client.line().starts_with("-ERR Protocol error"));
    }
    {  // The origin rejects the write before it has read all of it: the client gets the rejection when the
       // router has read the rest.
        Socket client = stage.client();
        client.say(writeHead(value.size()) + value.substr(0, 100'000));
        Socket origin = stage.origin.accept();
        origin.head();
        origin.say(http(503, "", "X-Rejected: 1\r\n"));
        CHECK(origin.ended());
        CHECK(client.quiet(200));
        client.say(value.substr(100'000) + "\r\n");
        CHECK(client.line().starts_with("-BUSY "));
        CHECK(client.say(array({"PING"})).line() == "+PONG");
    }
    {  // The origin can't be reached.
        stage.origin.shut();
        Socket client = stage.client();
        client.say(writeHead(value.size()) + value + "\r\n");
        CHECK(client.line().starts_with("-BUSY "));
        CHECK(client.say(array({"PING"})).line() == "+PONG");
    }
}

TEST_CASE("Allows 2 s for a request's head, more for a value that keeps arriving; fails a stalled one") {
    Stage stage;
    const std::string value = longValue(100'000);
    Socket slow = stage.client(), stalled = stage.client(), unknown = stage.client();
    const std::string head = writeHead(value.size());
    stalled.say(writeHead(value.size(), "9b1f-m") + value.substr(0, 1'000));
    const std::string other = array({"OBJ.PUT", "k", "9b1f-k", "c=mark,d=900"});
    CHECK(unknown.say("*5" + other.substr(2) + "$70000\r\nabc").line() == "-ERR unknown command 'OBJ.PUT'");
    CHECK(unknown.ended());
    Socket accepted = stage.origin.accept();
    for (std::size_t at = 0; at < head.size(); ++at, usleep(20'000)) slow.say(head.substr(at, 1));
    for (std::size_t at = 0; at < 2'000; at += 500, usleep(700'000)) slow.say(value.substr(at, 500));
    slow.say(value.substr(2'000) + "\r\n");
    Socket origin = stage.origin.accept();
    CHECK(isSame(readBody(origin, value.size()), value));
    origin.say(http(200, "receipt"));
    CHECK(slow.answer() == "receipt");
    CHECK(stalled.line() == "-ERR Protocol error: the command was not complete within the time limit");
    CHECK(accepted.ended());
}

TEST_CASE("Bounds the memory of sixty long responses to slow clients, with long writes in flight") {
    auto start = smallStart();
    start["limits"]["memory_mb"] = 32;
    setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1);  // else freed memory would count as resident
    Stage stage(4, start);
    unsetenv("ASAN_OPTIONS");
    const std::string response = hit(longValue(4 * kMebibyte));
    std::vector<Socket> clients;
    std::vector<std::jthread> caches;
    for (auto& server : stage.caches)
        caches.emplace_back([&](const std::stop_token& stop) {
            std::vector<std::jthread> connections;
            while (!stop.stop_requested())
                if (!server.quiet(20))
                    connections.emplace_back([&response, made = std::make_shared<Socket>(server.accept())] {
                        if (made->command().size() == 4) made->say(response);
                    });
            // Killing the router closes its connections, which ends the threads that still write.
            stage.program.signal(SIGKILL);
        });
    // The origin accepts long writes and reads nothing of them. Both directions together fill the buffers,
    // and the connection with the most bytes is removed, even while another connection is being served.
    std::vector<Socket> accepted, writers;
    const std::string body = longValue(300'000);
    for (int i = 0; i < 24; ++i) {
        writers.push_back(stage.client());
        writers.back().say(writeHead(4 * kMebibyte, "9b1f-w" + std::to_string(i)));
        writers.back().cram(body);
        // Writes beyond the concurrency limit of an origin that does not respond are rejected.
        if (!stage.origin.quiet(300)) accepted.push_back(stage.origin.accept());
    }
    CHECK(accepted.size() >= 4);
    const std::size_t before = stage.program.residentKiB();
    for (int i = 0; i < 60; ++i) {
        clients.push_back(stage.client());
        clients.back().say(get("k" + std::to_string(i), "c=read,t=north,d=2000"));
        for (Socket& writer : writers) writer.cram(body);
    }
    usleep(1'500'000);
    int ended = 0;
    for (Socket& writer : writers) ended += !writer.quiet(0);
    for (Socket& client : clients) ended += !client.quiet(0) && client.waits() == 0;
    MESSAGE(ended, " of 84 connections ended or rejected, ", accepted.size(), " long writes in flight");
    const std::size_t after = stage.program.residentKiB();
    MESSAGE(before, " KiB before, ", after, " KiB with 60 long responses blocked");
    CHECK(after < before + 16'000);
    int begun = 0;
    for (Socket& client : clients) begun += client.line() == "$4194304";
    CHECK(begun > 10);
    CHECK(stage.client().say(array({"PING"})).line() == "+PONG");
}
