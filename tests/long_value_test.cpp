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
    origin.readHead();
    return origin.readBytes(length);
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

TEST_CASE("Streams a long HTTP body; one over 4 MiB, without a length or with an error status is malformed") {
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
    RouterFixture fixture;
    const std::string value = longValue(4 * kMebibyte);
    Socket client = fixture.client();
    client.send(get("k"));
    Socket cache = fixture.caches[0].accept();
    cache.readCommand();
    const std::string response = hit(value);
    cache.send(response.substr(0, 100'000));
    CHECK(client.readLine() == "$4194304");
    CHECK(isSame(client.readBytes(90'000), value.substr(0, 90'000)));
    std::jthread sending([&] { cache.send(response.substr(100'000)); });
    CHECK(isSame(client.readBytes(value.size() - 90'000), value.substr(90'000)));
    CHECK(client.readLine().empty());
    sending.join();
    // The connection to the cache server is reused, and so is the client's.
    awaitReuse();
    client.send(get("m"));
    CHECK(cache.readCommand().at(1) == "m");
    cache.send(kMiss);
    Socket origin = fixture.origin.accept();
    origin.readHead();
    std::jthread more([&] { origin.send(http(200, value)); });
    CHECK(isSame(client.readResponse(), value));
    client.send(array({"PING"}));
    CHECK(client.readLine() == "+PONG");
}

TEST_CASE("Delivers a long response in single bytes and odd chunks, with requests pipelined behind it") {
    RouterFixture fixture;
    const std::string value = longValue(70'000);
    Socket client = fixture.client();
    client.send(get("k") + array({"PING"}) + get("m"));
    Socket cache = fixture.caches[0].accept(), second = fixture.caches[0].accept();
    if (cache.readCommand().at(1) == "m") std::swap(cache, second);
    const std::string response = hit(value);
    std::jthread sending([&] {
        for (std::size_t at = 0; at < 2'000; ++at) cache.send(response.substr(at, 1));
        for (std::size_t at = 2'000, step = 1; at < response.size(); at += step, step = step % 977 + 13)
            cache.send(response.substr(at, step));
    });
    CHECK(isSame(client.readResponse(), value));
    CHECK(client.readLine() == "+PONG");
    sending.join();
    second.send(hit("V"));
    CHECK(client.readResponse() == "V");
}

TEST_CASE("Delays a long response until the response ahead of it is sent, and buffers little meanwhile") {
    RouterFixture fixture(2);
    Socket client = fixture.client();
    client.send(get("k") + get("m"));
    std::array<Socket, 2> connections{fixture.caches[0].accept(), fixture.caches[0].isQuiet(300)
                                                                      ? fixture.caches[1].accept()
                                                                      : fixture.caches[0].accept()};
    const bool isSwapped = connections[0].readCommand().at(1) == "m";
    Socket& first = connections[isSwapped];
    Socket& second = connections[!isSwapped];
    CHECK(connections[1].readCommand().size() == 4);
    const std::string value = longValue(4 * kMebibyte);
    std::jthread sending([&] { second.send(hit(value)); });
    CHECK(client.isQuiet(300));
    first.send(hit("V"));
    CHECK(client.readResponse() == "V");
    CHECK(isSame(client.readResponse(), value));
}

TEST_CASE("Closes the client's connection, and keeps running, if a long response breaks off or is invalid") {
    RouterFixture fixture;
    const std::string response = hit(longValue(200'000));
    for (const bool isMalformed : {false, true}) {
        Socket client = fixture.client();
        client.send(get("k"));
        Socket cache = fixture.caches[0].accept();
        cache.readCommand();
        cache.send(response.substr(0, 100'000));
        CHECK(client.readLine() == "$200000");
        if (isMalformed) {
            std::string rest = response.substr(100'000);
            rest.replace(rest.find("\r\n$3\r\nhit"), 2, "??");
            cache.send(rest);
            CHECK(cache.isClosedByPeer());
        } else {
            cache.close();
        }
        CHECK(client.isClosedByPeer());
    }
    Socket client = fixture.client();
    CHECK(client.send(array({"PING"})).readLine() == "+PONG");
}

TEST_CASE("Closes the cache server's connection when the client disconnects during a long response") {
    RouterFixture fixture;
    Socket client = fixture.client();
    client.send(get("k"));
    Socket cache = fixture.caches[0].accept();
    cache.readCommand();
    cache.send(hit(longValue(4 * kMebibyte)).substr(0, 200'000));
    client.readLine();
    client.reset();
    CHECK(cache.isClosedByPeer());
    CHECK(fixture.client().send(array({"PING"})).readLine() == "+PONG");
}

TEST_CASE("Streams a write of 4 MiB to the origin; withholds its last byte until the terminator is valid") {
    RouterFixture fixture;
    const std::string value = longValue(4 * kMebibyte);
    Socket client = fixture.client();
    client.send(writeHead(value.size()) + value.substr(0, 100'000));
    Socket origin = fixture.origin.accept();
    const auto head = origin.readHead();
    CHECK(head[0] == "PUT /k HTTP/1.1");
    CHECK(std::find(head.begin(), head.end(), "Content-Length: 4194304") != head.end());
    CHECK(isSame(origin.readBytes(100'000), value.substr(0, 100'000)));
    std::jthread sending([&] { client.send(value.substr(100'000)); });
    CHECK(isSame(origin.readBytes(value.size() - 100'001), value.substr(100'000, value.size() - 100'001)));
    sending.join();
    CHECK(origin.isQuiet(100));
    client.send("\r\n" + array({"PING"}));  // the PING waits for the response to the write
    CHECK(isSame(origin.readBytes(1), value.substr(value.size() - 1)));
    CHECK(client.isQuiet(100));
    origin.send(http(200, "receipt"));
    CHECK(client.readResponse() == "receipt");
    CHECK(client.readLine() == "+PONG");
    // A write in odd chunks, with another write right behind it.
    awaitReuse();
    const std::string small = longValue(66'000, 2);
    const std::string both =
        writeHead(small.size()) + small + "\r\n" + writeHead(small.size(), "9b1f-m") + small + "\r\n";
    std::jthread again([&] {
        for (std::size_t at = 0, step = 1; at < both.size(); at += step, step = step % 811 + 7)
            client.send(both.substr(at, step));
    });
    CHECK(isSame(readBody(origin, small.size()), small));
    Socket second = fixture.origin.accept();
    CHECK(isSame(readBody(second, small.size()), small));
    second.send(http(200, "second"));
    origin.send(http(200, "first"));
    CHECK(client.readResponse() == "first");
    CHECK(client.readResponse() == "second");
}

TEST_CASE("Aborts a long write that stops midway; rejects one that the origin rejects or can't be sent") {
    RouterFixture fixture;
    const std::string value = longValue(300'000);
    for (const bool isMalformed : {false, true}) {
        Socket client = fixture.client();
        client.send(writeHead(value.size()) + value.substr(0, 200'000));
        Socket origin = fixture.origin.accept();
        CHECK(readBody(origin, 200'000).size() == 200'000);
        if (isMalformed)
            client.send(value.substr(200'000) + "??");
        else
            client.close();
        CHECK(origin.isClosedByPeer());
        if (isMalformed) CHECK(client.readLine().starts_with("-ERR Protocol error"));
    }
    {  // The origin rejects the write before it has read all of it: the client gets the rejection when the
       // router has read the rest.
        Socket client = fixture.client();
        client.send(writeHead(value.size()) + value.substr(0, 100'000));
        Socket origin = fixture.origin.accept();
        origin.readHead();
        origin.send(http(503, "", "X-Rejected: 1\r\n"));
        CHECK(origin.isClosedByPeer());
        CHECK(client.isQuiet(200));
        client.send(value.substr(100'000) + "\r\n");
        CHECK(client.readLine().starts_with("-BUSY "));
        CHECK(client.send(array({"PING"})).readLine() == "+PONG");
    }
    {  // The origin can't be reached.
        fixture.origin.close();
        Socket client = fixture.client();
        client.send(writeHead(value.size()) + value + "\r\n");
        CHECK(client.readLine().starts_with("-BUSY "));
        CHECK(client.send(array({"PING"})).readLine() == "+PONG");
    }
}

TEST_CASE("Allows 2.5 s for a request's head, more for a value that keeps arriving; fails a stalled one") {
    RouterFixture fixture;
    const std::string value = longValue(100'000);
    Socket slow = fixture.client(), stalled = fixture.client(), unknown = fixture.client();
    const std::string head = writeHead(value.size());
    stalled.send(writeHead(value.size(), "9b1f-m") + value.substr(0, 1'000));
    const std::string other = array({"OBJ.PUT", "k", "9b1f-k", "c=mark,d=900"});
    CHECK(unknown.send("*5" + other.substr(2) + "$70000\r\nabc").readLine() ==
          "-ERR unknown command 'OBJ.PUT'");
    CHECK(unknown.isClosedByPeer());
    Socket accepted = fixture.origin.accept();
    for (std::size_t at = 0; at < head.size(); ++at, usleep(20'000)) slow.send(head.substr(at, 1));
    for (std::size_t at = 0; at < 2'000; at += 500, usleep(700'000)) slow.send(value.substr(at, 500));
    slow.send(value.substr(2'000) + "\r\n");
    Socket origin = fixture.origin.accept();
    CHECK(isSame(readBody(origin, value.size()), value));
    origin.send(http(200, "receipt"));
    CHECK(slow.readResponse() == "receipt");
    CHECK(stalled.readLine() == "-ERR Protocol error: the command was not complete within the time limit");
    CHECK(accepted.isClosedByPeer());
}

TEST_CASE("Bounds the memory of sixty long responses to slow clients, with long writes in flight") {
    auto start = minimalStartConfig();
    start["limits"]["memory_mb"] = 32;
    // Without this limit, freed memory in AddressSanitizer's quarantine would count as resident.
    setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1);
    RouterFixture fixture(4, start);
    unsetenv("ASAN_OPTIONS");
    const std::string response = hit(longValue(4 * kMebibyte));
    std::vector<Socket> clients;
    std::vector<std::jthread> caches;
    for (auto& server : fixture.caches)
        caches.emplace_back([&](const std::stop_token& stop) {
            std::vector<std::jthread> connections;
            while (!stop.stop_requested())
                if (!server.isQuiet(20))
                    connections.emplace_back(
                        [&response, connection = std::make_shared<Socket>(server.accept())] {
                            if (connection->readCommand().size() == 4) connection->send(response);
                        });
            // Killing the router closes its connections, which ends the threads that still write.
            fixture.program.signal(SIGKILL);
        });
    // The origin accepts long writes and reads nothing of them. Both directions together fill the buffers,
    // and the connection with the most bytes is removed, even while another connection is being served.
    std::vector<Socket> accepted, writers;
    const std::string body = longValue(300'000);
    for (int i = 0; i < 24; ++i) {
        writers.push_back(fixture.client());
        writers.back().send(writeHead(4 * kMebibyte, "9b1f-w" + std::to_string(i)));
        writers.back().sendWithoutBlocking(body);
        // Writes beyond the concurrency limit of an origin that does not respond are rejected.
        if (!fixture.origin.isQuiet(300)) accepted.push_back(fixture.origin.accept());
    }
    CHECK(accepted.size() >= 4);
    const std::size_t before = fixture.program.residentKiB();
    for (int i = 0; i < 60; ++i) {
        clients.push_back(fixture.client());
        clients.back().send(get("k" + std::to_string(i), "c=read,t=north,d=2000"));
        for (Socket& writer : writers) writer.sendWithoutBlocking(body);
    }
    usleep(1'500'000);
    int ended = 0;
    for (Socket& writer : writers) ended += !writer.isQuiet(0);
    for (Socket& client : clients) ended += !client.isQuiet(0) && client.unreadBytes() == 0;
    MESSAGE(ended, " of 84 connections ended or rejected, ", accepted.size(), " long writes in flight");
    const std::size_t after = fixture.program.residentKiB();
    MESSAGE(before, " KiB before, ", after, " KiB with 60 long responses blocked");
    CHECK(after < before + 16'000);
    int begun = 0;
    for (Socket& client : clients) begun += client.readLine() == "$4194304";
    CHECK(begun > 10);
    CHECK(fixture.client().send(array({"PING"})).readLine() == "+PONG");
}
