// Clients that send many requests at once, whose responses together exceed the memory limit.
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

#include "fixtures.hpp"
#include "proxy/request_pipeline.hpp"
#include "proxy/response_budget.hpp"
#include "server_threads.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

constexpr std::size_t kValueBytes = 60'000;

nlohmann::json startConfigWithMemory(int megabytes) {
    nlohmann::json start = minimalStartConfig();
    start["limits"]["memory_mb"] = megabytes;
    start["limits"]["sockets"] = 1024;
    return start;
}

std::string idOf(int client, int number) {
    return "c" + std::to_string(client) + "-" + std::to_string(number);
}
std::string valueFor(const std::string& id) { return (id + " ").append(kValueBytes, 'v'); }
std::string readOf(const std::string& id, int timeoutMs) {
    return array({"OBJ.GET", "k" + id, id, "c=read,t=north,d=" + std::to_string(timeoutMs)});
}
std::string payOf(const std::string& id, int timeoutMs) {
    return array({"OBJ.SET", "k" + id, id, "c=pay,t=north,d=" + std::to_string(timeoutMs), "1"});
}

struct Answers {
    int own = 0, rejected = 0, failed = 0, none = 0, foreign = 0;
};
// Sends all requests at once, each tenth a payment, and reads the responses in order.
Answers exchangeAtOnce(RouterFixture& fixture, int client, int requests, int timeoutMs) {
    Socket socket = fixture.client();
    std::string bytes;
    for (int i = 0; i < requests; ++i)
        bytes += i % 10 == 5 ? payOf(idOf(client, i), timeoutMs) : readOf(idOf(client, i), timeoutMs);
    std::jthread sending([&] { socket.send(bytes); });
    Answers answers;
    for (int i = 0; i < requests; ++i) {
        const std::string id = idOf(client, i);
        const std::string answer = socket.readResponse();
        if (answer == (i % 10 == 5 ? "receipt " + id : valueFor(id)))
            ++answers.own;
        else if (answer.starts_with("-BUSY"))
            ++answers.rejected;
        else if (answer.starts_with("-ERR"))
            ++answers.failed;
        else
            ++(answer.empty() ? answers.none : answers.foreign);
        if (answer.empty()) break;
    }
    return answers;
}

// Cache servers and an origin that answer each request, the first of each client late.
struct PipeliningFixture {
    explicit PipeliningFixture(int memoryMb) : router(3, startConfigWithMemory(memoryMb)) {
        for (TestServer& cache : router.caches)
            servers.emplace_back(cache, [](Socket& connection) {
                const auto words = connection.readCommand();
                if (words.size() != 4) return;
                const bool isFirst = words[2].ends_with("-0");
                usleep(isFirst ? 300'000 : 5'000);
                connection.send(hit(valueFor(words[2])));
            });
        servers.emplace_back(router.origin, [this](Socket& connection) {
            const auto head = connection.readHead();
            if (head.empty()) return;
            std::string id;
            for (const std::string& line : head)
                if (line.starts_with("X-Call-Id: ")) id = line.substr(11);
            const bool isWrite = head[0].starts_with("PUT");
            if (isWrite) connection.readBytes(1);
            payments += isWrite;
            connection.send(http(200, isWrite ? "receipt " + id : valueFor(id)));
        });
    }
    RouterFixture router;
    std::atomic<int> payments{0};
    std::list<ServerThreads> servers;
};

}  // namespace

TEST_CASE("every request of clients that send many at once is answered, far over the memory limit") {
    struct Load {
        int memoryMb, clients, requests;
    };
    for (const Load& load : {Load{16, 1, 100}, Load{16, 6, 40}, Load{32, 2, 300}}) {
        CAPTURE(load.memoryMb);
        CAPTURE(load.requests);
        PipeliningFixture fixture(load.memoryMb);
        std::vector<Answers> answers(static_cast<std::size_t>(load.clients));
        {
            std::vector<std::jthread> clients;
            for (int i = 0; i < load.clients; ++i)
                clients.emplace_back([&, i] {
                    answers[static_cast<std::size_t>(i)] =
                        exchangeAtOnce(fixture.router, i, load.requests, 1'900);
                });
        }
        for (const Answers& answer : answers) {
            CHECK(answer.none == 0);
            CHECK(answer.foreign == 0);
            CHECK(answer.own + answer.rejected + answer.failed == load.requests);
            CHECK(answer.own > load.requests / 3);
        }
        CHECK(fixture.router.program.isRunning());
    }
}

TEST_CASE("requests held back behind one that hangs are answered by their deadline") {
    RouterFixture fixture(1, startConfigWithMemory(16));
    Socket client = fixture.client();
    std::string bytes;
    constexpr int kRequests = 100;
    for (int i = 0; i < kRequests; ++i) bytes += readOf(idOf(0, i), 700);
    const auto sentAt = std::chrono::steady_clock::now();
    client.send(bytes);
    for (int i = 0; i < kRequests; ++i) CHECK(client.readResponse().starts_with("-"));
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - sentAt;
    CHECK(taken.count() < 1.2);
}

TEST_CASE("requests held back when the router stops are rejected") {
    RouterFixture fixture(1, startConfigWithMemory(16));
    Socket client = fixture.client();
    std::string bytes;
    constexpr int kRequests = 100;
    for (int i = 0; i < kRequests; ++i) bytes += readOf(idOf(0, i), 1'900);
    client.send(bytes);
    Socket cache = fixture.caches[0].accept();
    REQUIRE(cache.awaitInput());
    fixture.program.signal(SIGTERM);
    usleep(100'000);
    fixture.program.signal(SIGTERM);
    for (int i = 0; i < kRequests; ++i) {
        const std::string answer = client.readResponse();
        CHECK(answer.starts_with("-"));
        if (answer.empty()) break;
    }
}

TEST_CASE("a client whose incomplete request waits for memory still gets its earlier response and an error") {
    RouterFixture fixture(1, startConfigWithMemory(16));
    const ServerThreads origin(fixture.origin, [](Socket& connection) {
        connection.readHead();
        connection.readBytes(1);
        usleep(200'000);
        connection.send(http(200, "receipt"));
    });
    constexpr int kClients = 40;
    std::vector<Socket> clients;
    const std::string write = set("w", "c=pay,t=north,d=950", std::string(60'000, 'x'));
    for (int i = 0; i < kClients; ++i)
        clients.emplace_back(fixture.client()).send(payOf(idOf(i, 0), 950) + write.substr(0, 55'000));
    const auto sentAt = std::chrono::steady_clock::now();
    int receipts = 0;
    for (Socket& client : clients) {
        const std::string first = client.readResponse();
        receipts += first == "receipt";
        const bool isAnswered = first == "receipt" || first.starts_with("-BUSY") || first == "-ERR failed";
        CHECK(isAnswered);
        CHECK(client.readResponse().starts_with("-ERR"));
        CHECK(client.isClosedByPeer());
    }
    CHECK(receipts > 0);
    constexpr std::chrono::seconds kMaxErrorDelay{3};
    CHECK(std::chrono::steady_clock::now() - sentAt < kMaxErrorDelay);
}

TEST_CASE("the response budget reserves the largest recent response for each request behind another") {
    proxy::ResponseBudget budget(1'000'000);
    CHECK(budget.hasCapacity());
    budget.update({}, {.pendingRequests = 12});
    CHECK(budget.hasCapacity());
    budget.update({.pendingRequests = 12}, {.pendingRequests = 13});
    CHECK(!budget.hasCapacity());
    for (int i = 0; i < 300; ++i) budget.recordResponse(100);
    CHECK(budget.hasCapacity());
    budget.recordResponse(60'000);
    budget.update({.pendingRequests = 13}, {.waitingBytes = 100'000, .pendingRequests = 11});
    CHECK(budget.hasCapacity());
    budget.update({.waitingBytes = 100'000, .pendingRequests = 11},
                  {.waitingBytes = 200'000, .pendingRequests = 11});
    CHECK(!budget.hasCapacity());
    CHECK(!budget.isExceeded());
    budget.update({.waitingBytes = 200'000, .pendingRequests = 11}, {.waitingBytes = 1'000'001});
    CHECK(budget.isExceeded());
}

TEST_CASE("a pipeline replaces its largest complete response, and only one longer than the error") {
    struct Owner : proxy::PipelinedRequest::Owner {
        bool isClientConnected() override { return true; }
        void onCompleted(proxy::PipelinedRequest&, proxy::FinalResponse) override {}
        void onStreamAborted(proxy::PipelinedRequest&) override {}
        void onStreamBegins(proxy::PipelinedRequest&, std::size_t) override {}
        proxy::FlowControl onStreamChunk(proxy::PipelinedRequest&, std::string_view) override {
            return proxy::FlowControl::ready;
        }
    } owner;
    proxy::RequestPipeline pipeline;
    auto& first = pipeline.add(owner);
    auto& second = pipeline.add(owner);
    auto& third = pipeline.add(owner);
    CHECK(pipeline.awaitingBehindFront() == 2);
    CHECK(!pipeline.replaceLargest("-ERR\r\n"));
    pipeline.respond(second, std::string(1'000, 'x'));
    pipeline.respond(third, std::string(2'000, 'y'));
    CHECK(pipeline.awaitingBehindFront() == 0);
    CHECK(pipeline.replaceLargest("-ERR\r\n"));
    CHECK(pipeline.waitingBytes() == 1'006);
    CHECK(pipeline.takeOutput(nullptr, 10).bytes.empty());
    pipeline.respond(first, "ok\r\n");
    CHECK(pipeline.takeOutput(nullptr, 10).bytes == "ok\r\nxxxxxx");
    CHECK(!pipeline.replaceLargest("-ERR\r\n"));
    CHECK(pipeline.takeOutput(nullptr, 990).bytes == std::string(990, 'x'));
    CHECK(pipeline.waitingBytes() == 1'006);
    CHECK(pipeline.takeOutput(nullptr, 10).bytes == "xxxx-ERR\r\n");
    CHECK(pipeline.waitingBytes() == 0);
    CHECK(!pipeline.replaceLargest("-ERR\r\n"));
    CHECK(pipeline.isEmpty());
}
