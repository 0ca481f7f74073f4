// Clients that send much at once and go. Counts the attempts that begin over 0.1 s after such a client has closed its
// connection.
#include <algorithm>

#include "standins.hpp"

using namespace review;

namespace {

// ledger-cache-tx: a cache box takes 88 to 160 ms for a ledger view, 13 to 27 ms each way; what it lacks is a miss, and
// the router asks the central records system.
constexpr double kWork = 0.15;
constexpr double kWay = 0.02;
constexpr double kBound = 0.1;
constexpr int kReads = 150;
constexpr int kWrites = 6;
constexpr std::size_t kValueBytes = 60'000;
constexpr int kClients = 10;

std::mutex mutex;
std::map<std::string, double> closedAt;  // by the client's name
std::vector<double> lateBy;
int attempts = 0;

// An attempt for `id`, which begins with its client's name and a dash, has come to `server`.
void note(const std::string& server, const std::string& id) {
    const double at = now();
    const std::lock_guard lock(mutex);
    ++attempts;
    const auto closed = closedAt.find(id.substr(0, id.find('-')));
    if (closed == closedAt.end()) return;
    const double after = at - closed->second - kWay;  // when its first byte left the router
    RECORD("%s gets %s, begun %.3f s after its client closed", server.c_str(), id.c_str(), after);
    if (after > kBound) lateBy.push_back(after);
}

void serveCache(Socket& socket) {
    for (;;) {
        const auto items = readCommand(socket);
        sleepFor(kWay);
        note("a cache box", items.at(2));
        sleepFor(kWork + kWay);
        socket.send("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    }
}
void serveOrigin(Socket& socket) {
    for (;;) {
        const HttpRequest request = readHttp(socket);
        sleepFor(kWay);
        note("the records system", request.headers.at("x-call-id"));
        sleepFor(kWork + kWay);
        socket.send(httpOk("page of " + request.headers.at("x-call-id")));
    }
}

std::string commandsOf(const std::string& name) {
    std::string commands;
    for (int i = 0; i < kReads; ++i)
        commands += command({"OBJ.GET", "account-" + name + "-" + std::to_string(i), name + "-r" + std::to_string(i),
                             "c=ledger-view,t=bookkeeper,d=1000"});
    for (int i = 0; i < kWrites; ++i) {
        const std::string id = name + "-w" + std::to_string(i);
        commands += command({"OBJ.SET", "account-" + name, id, "c=entry-post,t=bookkeeper,d=1500,k=" + id,
                             std::string(kValueBytes, 'e')});
    }
    return commands;
}

int run() {
    std::vector<std::unique_ptr<Server>> caches;
    std::vector<Entry> entries;
    for (int i = 0; i < 6; ++i) {
        caches.push_back(std::make_unique<Server>(serveCache));
        entries.push_back({"s-" + std::to_string(i), caches.back()->port()});
    }
    Server origin(serveOrigin);
    entries.push_back({"records", origin.port(), "origin"});
    Discovery& discovery = keep<Discovery>(entries);
    Settings settings;
    settings.drainGraceMs = 250;
    settings.tipMultiple = 1.5;
    settings.startCapacity = 0.24;
    settings.rampMs = 14'000;
    settings.fallMs = 2'000;
    settings.verbs = verb("ledger-view", "free", 500, 1'000, 1) + "," + verb("entry-post", "guarded", 750, 1'500, 5, 6'000) + "," +
                     verb("return-file", "single_shot", 750, 3'000, 8);
    Router& router = keep<Router>("n0", settings, discovery);
    router.awaitReady();
    sleepFor(1);
    for (int i = 0; i < kClients; ++i) {
        const std::string name = "c" + std::to_string(i);
        const std::string commands = commandsOf(name);
        Socket socket = connectTo(router.port());
        socket.setTimeout(5);
        const double begun = now();
        socket.send(commands);
        RECORD("client %s: has sent %d commands, %zu bytes, in %.3f s", name.c_str(), kReads + kWrites, commands.size(),
               now() - begun);
        if (hasTrouble()) {
            sleepFor(0.01);
            {
                const std::lock_guard lock(mutex);
                closedAt[name] = now();
            }
            socket.close();
            RECORD("client %s: has closed its connection", name.c_str());
            sleepFor(3);
        } else {
            int answers = 0;
            for (; answers < kReads + kWrites; ++answers) readAnswer(socket);
            RECORD("client %s: has %d answers", name.c_str(), answers);
        }
    }
    const std::lock_guard lock(mutex);
    const double most = lateBy.empty() ? 0 : *std::max_element(lateBy.begin(), lateBy.end());
    RECORD("%d attempts came to servers; %zu began over %.1f s after their client had closed, the latest %.3f s after it", attempts,
           lateBy.size(), kBound, most);
    if (attempts == 0) throw CouldNotRun("no attempt came to a server");
    return lateBy.empty() ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char** argv) { return runCase(argc, argv, run); }
