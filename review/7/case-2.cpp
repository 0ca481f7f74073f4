// A bad client's write with a wrong number of arguments, or with a wrong length of the array. Checks that no such write
// is executed and that none is answered with a value.
#include <algorithm>

#include "standins.hpp"

using namespace review;

namespace {

constexpr std::size_t kLongBytes = 100'000;  // values of up to 4 MiB occur; those over 64 KiB are streamed

std::mutex mutex;
std::vector<std::string> executed;

void serveOrigin(Socket& socket) {
    for (;;) {
        const HttpRequest request = readHttp(socket);
        const std::string id = request.headers.at("x-call-id");
        {
            const std::lock_guard lock(mutex);
            executed.push_back(id);
        }
        RECORD("origin runs %s %s, id %s, %zu bytes", request.method.c_str(), request.target.c_str(), id.c_str(), request.body.size());
        socket.send(httpOk("receipt of " + id));
    }
}
void serveCache(Socket& socket) {
    for (;;) {
        const auto items = readCommand(socket);
        socket.send(hit("statement of " + items.at(2)));
    }
}

std::string write(int items, const std::string& id, std::size_t bytes) {
    return "*" + std::to_string(items) + "\r\n" + bulk("OBJ.SET") + bulk("account7") + bulk(id) +
           bulk("c=credit-payout,t=alvdal-energi,d=1500") + bulk(std::string(bytes, 'x'));
}
// Sends `bytes` on a connection of its own and returns what comes within 4 s.
std::string answerTo(const Router& router, const std::string& what, const std::string& bytes) {
    std::string shown;
    try {
        Socket socket = connectTo(router.port());
        socket.setTimeout(4);
        socket.send(bytes);
        const Answer answer = readAnswer(socket);
        shown = answer.isValue ? "a value: " + answer.text.substr(0, 60) : answer.text;
    } catch (const PeerGone& problem) {
        shown = problem.what();
    }
    RECORD("client: %s: %s", what.c_str(), shown.c_str());
    return shown;
}
bool isExecuted(const std::string& id) {
    const std::lock_guard lock(mutex);
    return std::find(executed.begin(), executed.end(), id) != executed.end();
}

int run() {
    Server cacheA(serveCache), cacheB(serveCache), origin(serveOrigin);
    Discovery& discovery = keep<Discovery>(std::vector<Entry>{{"s-a", cacheA.port()}, {"s-b", cacheB.port()}, {"origin", origin.port(), "origin"}});
    Settings settings;
    settings.verbs = solandelVerbs();
    Router& router = keep<Router>("n0", settings, discovery);
    router.awaitReady();
    sleepFor(1);
    // A usual client: its long write is executed and answered.
    const std::string usual = answerTo(router, "a long write as the page has it", write(5, "usual", kLongBytes));
    if (!isExecuted("usual") || usual.rfind("a value", 0) != 0) throw CouldNotRun("a valid long write is not served");
    if (!hasTrouble()) return kHeld;
    bool isBroken = false;
    const auto check = [&](const std::string& what, const std::string& id, const std::string& bytes) {
        const std::string shown = answerTo(router, what, bytes);
        const bool isServed = shown.rfind("a value", 0) == 0;
        if (isServed) RECORD("broken: a bad client is served with a value: %s", id.c_str());
        if (isExecuted(id)) RECORD("broken: the origin has run %s, which no client sent in a valid form", id.c_str());
        isBroken = isBroken || isServed || isExecuted(id);
    };
    check("a short write of six items", "short-six", write(6, "short-six", 100) + bulk("more"));
    check("a short write, of six items by its length", "short-length", write(6, "short-length", 100));
    check("a long write of six items", "long-six", write(6, "long-six", kLongBytes) + bulk("more"));
    check("a long write, of six items by its length", "long-length", write(6, "long-length", kLongBytes));
    return isBroken ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return runCase(argc, argv, run); }
