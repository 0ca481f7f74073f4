// Clients that read their responses slowly: they are waited for as long as they read, and memory stays
// bounded.
#include <doctest/doctest.h>
#include <netinet/tcp.h>

#include <atomic>
#include <list>
#include <thread>

#include "fixtures.hpp"
#include "server_threads.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

constexpr std::size_t kValueBytes = 60'000;
constexpr int kPayment = 7;  // the last of a client's requests
constexpr int kRequests = 8;

nlohmann::json startConfigWithMemory(int megabytes) {
    nlohmann::json start = minimalStartConfig();
    start["limits"]["memory_mb"] = megabytes;
    start["limits"]["sockets"] = 1024;
    return start;
}

// A client behind an Ethernet route with a small receive buffer: on loopback the kernel would keep megabytes.
Socket connectWithSmallBuffers(std::uint16_t port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int segmentBytes = 1460, bufferBytes = 8192;
    setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
    const auto address = loopbackAddress(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("can't connect to the router");
    return Socket(descriptor);
}

std::string idOf(int client, int number) {
    return "s" + std::to_string(client) + "-" + std::to_string(number);
}
std::string requestsOf(int client) {
    std::string bytes;
    for (int i = 0; i < kPayment; ++i)
        bytes += array({"OBJ.GET", "k" + std::to_string(i), idOf(client, i), "c=read,t=north,d=2000"});
    return bytes + array({"OBJ.SET", "k", idOf(client, kPayment), "c=pay,t=north,d=950", "1"});
}

// Answers reads with values of kValueBytes, and writes with receipts.
void serveCache(Socket& connection) {
    const auto words = connection.readCommand();
    if (words.size() == 4) connection.send(hit(words[2] + std::string(kValueBytes, 'v')));
    if (words.size() == 5) connection.send(hit("receipt of " + words[2]));
}

// Reads the responses in pieces, `pause` after each. Returns how many it got.
int readSlowly(Socket& socket, useconds_t pause) {
    constexpr std::size_t kPieceBytes = 4096;
    std::string input;
    int responses = 0;
    while (responses < kRequests) {
        const std::string piece = socket.readBytes(kPieceBytes);
        if (piece.empty()) break;
        input += piece;
        usleep(pause);
        for (auto end = input.find("\r\n"); end != std::string::npos; end = input.find("\r\n")) {
            std::size_t size = end + 2;
            if (input[0] == '$') size += std::stoul(input.substr(1)) + 2;
            if (input.size() < size) break;
            input.erase(0, size);
            ++responses;
        }
        if (piece.size() < kPieceBytes) break;
    }
    return responses;
}

}  // namespace

// Guards against closing clients that read slowly, with responses outstanding, to free memory.
TEST_CASE("clients that send several requests at once and read slowly get all their responses") {
    constexpr int kClients = 150;
    auto start = startConfigWithMemory(16);
    start["settings"]["familyInfo"] = {{"mode", "through"}, {"originKind", -1}};
    RouterFixture fixture(4, start);
    std::list<ServerThreads> servers;
    for (TestServer& cache : fixture.caches) servers.emplace_back(cache, serveCache);
    // In mode "through" every listed server is a cache server.
    servers.emplace_back(fixture.origin, serveCache);
    std::atomic<int> responses{0};
    {
        std::vector<std::jthread> clients;
        for (int i = 0; i < kClients; ++i)
            clients.emplace_back([&, i] {
                Socket socket = connectWithSmallBuffers(fixture.port);
                socket.send(requestsOf(i));
                responses += readSlowly(socket, 30'000);
            });
    }
    CHECK(responses == kClients * kRequests);
    CHECK(fixture.program.isRunning());
}
