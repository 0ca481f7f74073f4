// Clients that send several commands at once and read their answers slowly, but steadily. Counts the requests whose
// connection the router ends without their answer, and the payouts among them that a cache server has run.
#include <algorithm>

#include "standins.hpp"

using namespace review;

namespace {

// A router of 32 MB and 1,024 descriptors, of which clients hold a third at most.
constexpr int kMemoryMb = 32;
constexpr int kSockets = 1024;
constexpr int kClients = 300;
constexpr int kCommands = 8;  // sent at once on a connection: seven reads and a payout
constexpr std::size_t kValueBytes = 60'000;
// A slow client takes 4 KiB each 50 ms: a value in 0.75 s, of the 2 s that it waits for one.
constexpr std::size_t kPiece = 4096;
constexpr double kPause = 0.05;

std::mutex payoutMutex;
std::map<std::string, int> payouts;  // how often each was run, by its id
std::atomic<int> runUnanswered{0};
std::atomic<int> answered{0}, refused{0}, failed{0}, lost{0}, connections{0}, cut{0};

void serveCache(Socket& socket) {
    const std::string value(kValueBytes, 'v');
    for (;;) {
        const auto items = readCommand(socket);
        sleepFor(0.02);
        const bool isPayout = items.at(0) == "OBJ.SET";
        if (isPayout) {
            const std::lock_guard lock(payoutMutex);
            ++payouts[items.at(2)];
        }
        socket.send(hit(isPayout ? "receipt of " + items[2] : items[2] + value));
    }
}

void runClient(const Router& router, int number) {
    const bool isSlow = hasTrouble();
    // The segments of an Ethernet way and a small receive buffer, slow or not: with the 64 KiB segments of loopback the
    // system itself would keep some MiB for each connection.
    Socket socket = connectTo(router.port(), [](int fd) {
        const int segment = 1460, buffer = 8192;
        ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
    });
    socket.setTimeout(20);
    ++connections;
    std::string commands;
    const std::string name = "c" + std::to_string(number);
    for (int i = 0; i + 1 < kCommands; ++i)
        commands += command({"OBJ.GET", "account" + std::to_string((number * kCommands + i) % 300), name + "-" + std::to_string(i),
                             "c=statement-read,t=norrsol,d=2000"});
    commands += command({"OBJ.SET", "account" + std::to_string(number), name + "-payout", "c=credit-payout,t=norrsol,d=1500", "100"});
    const double begun = now();
    socket.send(commands);
    int answers = 0;
    std::string input;
    try {
        while (answers < kCommands) {
            input += socket.some(isSlow ? kPiece : 65536);
            if (isSlow) sleepFor(kPause);
            for (std::size_t end = input.find("\r\n"); answers < kCommands && end != std::string::npos; end = input.find("\r\n")) {
                std::size_t size = end + 2;
                if (input[0] == '$') size += static_cast<std::size_t>(std::atol(input.c_str() + 1)) + 2;
                if (input.size() < size) break;
                ++(input[0] == '$' ? answered : input.rfind("-BUSY", 0) == 0 ? refused : failed);
                input.erase(0, size);
                ++answers;
            }
        }
    } catch (const PeerGone& problem) {
        lost += kCommands - answers;
        ++cut;
        const std::lock_guard lock(payoutMutex);
        const bool isRun = payouts.contains(name + "-payout");
        runUnanswered += isRun;
        RECORD("client %s: the router's end after %.2f s: %s; %d of %d commands answered, %zu bytes of the next; its payout %s",
               name.c_str(), now() - begun, problem.what(), answers, kCommands, input.size(), isRun ? "was run" : "was not run");
        return;
    }
    RECORD("client %s: all %d commands are answered after %.2f s", name.c_str(), kCommands, now() - begun);
}

int run() {
    std::vector<std::unique_ptr<Server>> caches;
    std::vector<Entry> entries;
    for (int i = 0; i < 8; ++i) {
        caches.push_back(std::make_unique<Server>(serveCache));
        entries.push_back({"s-" + std::to_string(i), caches.back()->port()});
    }
    Discovery& discovery = keep<Discovery>(entries);
    Settings settings;
    settings.mode = "through";
    settings.memoryMb = kMemoryMb;
    settings.sockets = kSockets;
    settings.verbs = solandelVerbs();
    Router& router = keep<Router>("n0", settings, discovery);
    router.awaitReady();
    sleepFor(1);
    for (int round = 0; round < 2; ++round) {
        std::vector<std::thread> clients;
        for (int i = 0; i < kClients; ++i) {
            clients.emplace_back([&, i, round] {
                try {
                    runClient(router, round * kClients + i);
                } catch (const PeerGone&) {
                    RECORD("client c%d: can't connect or send", round * kClients + i);
                }
            });
            sleepFor(0.005);
        }
        for (std::thread& client : clients) client.join();
    }
    RECORD("%d connections with %d commands each: %d answered, %d refused, %d failed", connections.load(), kCommands,
           answered.load(), refused.load(), failed.load());
    RECORD("%d connections were ended with %d commands unanswered, %d payouts that were run among them", cut.load(), lost.load(),
           runUnanswered.load());
    if (!router.isRunning()) RECORD("the router has ended");
    if (answered == 0) throw CouldNotRun("no command was answered");
    return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return runCase(argc, argv, run); }
