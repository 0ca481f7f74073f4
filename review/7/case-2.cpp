// A write with an idempotency key is executed, and its answer is lost on a lossy way. The router declines it after the
// servers have forgotten the key, or tells the client to come back after that. Counts how often each key took effect.
#include <algorithm>

#include "standins.hpp"

using namespace review;

namespace {

// payroll-central, `wage-report`: a time limit of 3 s of which a client waits 50 to 60% for a try, up to 2 retries; a
// repeat is dropped for 2 s. A lossy way loses 11 to 28% of what is sent.
constexpr double kMemory = 2.0;
constexpr int kTryMs = 1'800;
constexpr int kReports = 40;
constexpr int kLossEvery = 5;  // 20%

struct Effects {
    std::mutex mutex;
    std::map<std::string, std::vector<double>> at;         // when each key took effect
    std::map<std::string, double> rememberedUntil;
    int answers = 0, lost = 0;
};
Effects effects;

// The payroll records system, behind the lossy way: it does the work of each write, drops a repeat for 2 s, and answers.
void serveOrigin(Socket& socket) {
    for (;;) {
        const HttpRequest request = readHttp(socket);
        const double arrived = now();
        const std::string id = request.headers.at("x-call-id");
        const std::string key = infoItem(request.headers.at("x-call-info"), "k");
        sleepFor(0.14);
        bool isLost = false;
        if (request.method == "PUT") {
            const std::lock_guard lock(effects.mutex);
            const bool isRepeat = arrived < effects.rememberedUntil[key];
            if (!isRepeat) {
                effects.at[key].push_back(arrived);
                effects.rememberedUntil[key] = arrived + kMemory;
            }
            ++effects.answers;
            isLost = hasTrouble() && effects.answers % kLossEvery == 0;
            effects.lost += isLost;
            RECORD("origin: %s, key %s, %s%s", id.c_str(), key.c_str(), isRepeat ? "a repeat, dropped" : "takes effect",
                   isLost ? ", its answer is lost" : "");
        }
        if (isLost) return socket.awaitClose();
        socket.send(httpOk("receipt of " + key));
    }
}

void serveCache(Socket& socket) {
    for (;;) {
        const auto items = readCommand(socket);
        sleepFor(0.05);
        socket.send(hit("stub of " + items.at(2)));
    }
}

// One client: sends a report, and as long as it is told that trying again is harmless, up to twice more, when told to.
void report(const Router& router, int number) {
    const std::string key = "report" + std::to_string(number);
    for (int attempt = 0; attempt < 3; ++attempt) {
        const std::string id = "w" + std::to_string(number) + "-" + std::to_string(attempt);
        Socket socket = connectTo(router.port());
        socket.setTimeout(6);
        const std::string info = "c=wage-report,t=hays-office,d=" + std::to_string(kTryMs) + ",k=" + key;
        RECORD("client: sends %s, key %s, d=%d", id.c_str(), key.c_str(), kTryMs);
        socket.send(command({"OBJ.SET", "employer" + std::to_string(number), id, info, "wages"}));
        const Answer answer = readAnswer(socket);
        RECORD("client: %s is answered %s", id.c_str(), answer.shown().c_str());
        if (!answer.isBusy()) return;
        const long wait = answer.text.size() > 6 ? std::atol(answer.text.c_str() + 6) : 25;
        sleepFor(static_cast<double>(wait) / 1000);
    }
}

int run() {
    Server cacheA(serveCache), cacheB(serveCache), origin(serveOrigin);
    Discovery& discovery = keep<Discovery>(std::vector<Entry>{{"s-a", cacheA.port()}, {"s-b", cacheB.port()}, {"origin", origin.port(), "origin"}});
    Settings settings;
    settings.drainGraceMs = 3'000;
    settings.tipMultiple = 2.5;
    settings.startCapacity = 0.33;
    settings.rampMs = 9'000;
    settings.verbs = verb("stub-read", "free", 600, 1'200, 3) + "," +
                     verb("hours-post", "guarded", 1'000, 3'000, 5, 15'000) + "," +
                     verb("wage-report", "guarded", 1'500, 3'000, 10, static_cast<long>(kMemory * 1000));
    Router& router = keep<Router>("n0", settings, discovery);
    router.awaitReady();
    sleepFor(1);
    std::vector<std::thread> clients;
    for (int i = 0; i < kReports; ++i) {
        clients.emplace_back([&, i] {
            try {
                report(router, i);
            } catch (const PeerGone& problem) {
                RECORD("client: report%d ends without an answer: %s", i, problem.what());
            }
        });
        sleepFor(0.8);
    }
    for (std::thread& client : clients) client.join();

    const std::lock_guard lock(effects.mutex);
    int twice = 0;
    for (const auto& [key, times] : effects.at) {
        if (times.size() < 2) continue;
        ++twice;
        RECORD("key %s took effect %zu times, at %.3f and %.3f", key.c_str(), times.size(), times[0], times[1]);
    }
    RECORD("%d writes reached the origin, %d answers were lost, %d keys took effect more than once", effects.answers,
           effects.lost, twice);
    if (effects.at.size() < kReports / 2) throw CouldNotRun("too few writes reached the origin");
    return twice > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return runCase(argc, argv, run); }
