// Case 1: a second copy of an answer that comes some milliseconds late. Usage: case1 FOLDER RECORD
//
// One router, three cache servers that fetch and write through, 5 ms away in another zone, as at
// sales-tax-west; 24 clients, each of which sends its next request after the answer to the one before. With
// TROUBLE=0 no second copies are sent; all else is the same.
#include "standins.hpp"

using namespace standins;

namespace {

constexpr int kCacheServers = 3;
constexpr int kClients = 24;
constexpr double kOneWayMs = 5;
constexpr double kDurationMs = 40'000;
constexpr double kSecondCopyShare = 0.05;
constexpr double kSecondCopyDelayMs = 3;
// How often a cache server's queue is full, by the traffic of other routers: it answers -BUSY at once.
constexpr double kBusyShare = 0.1;
// How long a client waits beyond its time before it counts a request as not answered.
constexpr double kSlackMs = 3'000;

struct Verb {
    const char* name;
    double share;
    double timeLimitMs;
    bool isWrite;
    bool isEffectful;
};
const Verb kVerbs[] = {{"view-return", 0.7, 3'000, false, false},
                       {"record-payment", 0.2, 1'500, true, true},
                       {"file-return", 0.1, 3'000, true, false}};

struct Totals {
    std::mutex mutex;
    std::map<std::string, int> runs;  // of each request, by its id
    std::map<std::string, Answer::Kind> answers;
    std::map<std::string, const Verb*> verbs;  // of each request that was sent
    int sent = 0, own = 0, refused = 0, failed = 0, none = 0, foreign = 0, secondCopies = 0;
};

double draw(std::mt19937& random) { return std::uniform_real_distribution<double>(0, 1)(random); }

// Answers one request after the other. The value of an answer names the request that it was made for.
void serveCache(Stream& stream, int number, bool hasTrouble, Totals& totals, Record& record) {
    std::mt19937 random(static_cast<unsigned>(number * 1000 + stream.descriptor()));
    std::vector<std::string> arguments;
    while (readCommand(stream, arguments)) {
        if (arguments.size() < 4) {
            stream.send("-SYNTAX\r\n");
            return;
        }
        const std::string& id = arguments[2];
        if (draw(random) < kBusyShare) {
            record.line("cache-%d request %s: -BUSY, not run", number, id.c_str());
            if (!stream.send("-BUSY\r\n")) return;
            continue;
        }
        sleepMs(3 + 9 * draw(random));
        {
            const std::lock_guard lock(totals.mutex);
            ++totals.runs[id];
        }
        record.line("cache-%d request %s: run (%s %s)", number, id.c_str(), arguments[0].c_str(),
                    arguments[3].c_str());
        const std::string answer = "*3\r\n" + bulk("made for " + id) + bulk("hit") + "$-1\r\n";
        if (!stream.send(answer)) return;
        if (!hasTrouble || draw(random) >= kSecondCopyShare) continue;
        // The second copy is sent only if nothing else waits on the connection.
        if (!stream.staysQuiet(kSecondCopyDelayMs)) continue;
        record.line("cache-%d request %s: second copy of its answer", number, id.c_str());
        {
            const std::lock_guard lock(totals.mutex);
            ++totals.secondCopies;
        }
        if (!stream.send(answer)) return;
    }
}

void runClient(int number, int routerPort, Totals& totals, Record& record) {
    std::mt19937 random(static_cast<unsigned>(77 + number));
    std::unique_ptr<Stream> stream;
    const double end = nowMs() + kDurationMs;
    for (int i = 0; nowMs() < end; ++i) {
        if (!stream) {
            const int connected = Stream::connect(routerPort);
            if (connected < 0) {
                sleepMs(100);
                continue;
            }
            stream = std::make_unique<Stream>(connected);
        }
        sleepMs(20 * draw(random));
        const double dice = draw(random);
        const Verb& verb = kVerbs[dice < 0.7 ? 0 : dice < 0.9 ? 1 : 2];
        char id[32];
        std::snprintf(id, sizeof id, "%04x%012x", number, i);
        const std::string key = "account-" + std::to_string(static_cast<int>(200 * draw(random)));
        const std::string info = "c=" + std::string(verb.name) +
                                 ",t=retail-desk,d=" + std::to_string(static_cast<int>(verb.timeLimitMs)) +
                                 (verb.isWrite ? ",k=k" + std::string(id) : "");
        std::vector<std::string> arguments{verb.isWrite ? "OBJ.SET" : "OBJ.GET", key, id, info};
        if (verb.isWrite) arguments.push_back("100.00");
        {
            const std::lock_guard lock(totals.mutex);
            ++totals.sent;
            totals.verbs[id] = &verb;
        }
        record.line("client %d request %s: sent (%s)", number, id, verb.name);
        Answer answer;
        if (stream->send(command(arguments))) answer = readAnswer(*stream, verb.timeLimitMs + kSlackMs);
        const std::string wanted = "made for " + std::string(id);
        const bool isForeign = answer.kind == Answer::Kind::value && answer.text != wanted;
        record.line("client %d request %s: answered: %s '%s'%s", number, id, nameOf(answer.kind),
                    answer.text.c_str(), isForeign ? " -- FOREIGN" : "");
        const std::lock_guard lock(totals.mutex);
        totals.answers[id] = answer.kind;
        if (isForeign) ++totals.foreign;
        if (answer.kind == Answer::Kind::value && !isForeign) ++totals.own;
        if (answer.kind == Answer::Kind::refused) ++totals.refused;
        if (answer.kind == Answer::Kind::failed) ++totals.failed;
        if (answer.kind == Answer::Kind::none) {
            ++totals.none;
            stream.reset();
        }
    }
}

std::string configuration(int listen, int discovery, const std::string& list) {
    return R"({"name":"n0","listen":"127.0.0.1:)" + std::to_string(listen) + R"(","discovery":"127.0.0.1:)" +
           std::to_string(discovery) + R"(","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" +
           list + R"(,
 "settings":{"replicasOfMe":1,"membershipMode":"on_request","shapes":["full-core"],"myZone":"north",
  "familyInfo":{"mode":"through","originKind":-1},
  "allowed":{"connIdleUs":5000000,"connectTimeoutUs":250000,"maxOpen":20000,"maxRelays":4,
   "maxRetryAfterUs":2000000,"retryAfter":true},
  "rules":{"askWithinUs":10000000,"drainGraceUs":250000,"fallUs":1500000,"rampTimeUs":8900000,
   "startCapacity":0.33,"tipMultiple":4.0},
  "orgs":[{"name":"retail-desk","quotaPerS":2000.0}],
  "verbs":[
   {"name":"view-return","effect":"free","responseGoalUs":1000000,"timeLimitUs":3000000,"utility":2.0,
    "lateUtility":0.5},
   {"name":"record-payment","effect":"single_shot","responseGoalUs":750000,"timeLimitUs":1500000,"utility":2.0,
    "lateUtility":1.0},
   {"name":"file-return","effect":"guarded","group":"all","keyTtlUs":6000000,"responseGoalUs":1200000,
    "timeLimitUs":3000000,"utility":5.0,"lateUtility":1.0}]}}
)";
}

}  // namespace

int main(int count, char** arguments) {
    if (count != 3) return kCouldNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = arguments[1];
    Record record(arguments[2]);
    const char* const trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    Totals totals;

    std::vector<std::unique_ptr<Server>> caches;
    std::vector<std::unique_ptr<Path>> paths;
    std::vector<ListedServer> listed;
    for (int i = 0; i < kCacheServers; ++i) {
        caches.push_back(std::make_unique<Server>([i, hasTrouble, &totals, &record](Stream& stream) {
            serveCache(stream, i, hasTrouble, totals, record);
        }));
        paths.push_back(std::make_unique<Path>(caches.back()->port(), kOneWayMs));
        listed.push_back({"cache-" + std::to_string(i), paths.back()->port(), "south", "full-core"});
    }
    const std::string list = listOf(listed);
    const Server discovery([&](Stream& stream) { serveDiscovery(stream, list); });
    const int routerPort = freePort();
    writeFile(folder + "/config.json", configuration(routerPort, discovery.port(), list));
    if (!awaitRouter(routerPort)) {
        record.say("the router does not answer PING");
        finish(record, kCouldNotRun);
    }
    record.say(hasTrouble ? "with second copies of answers" : "without second copies of answers");

    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i)
        clients.emplace_back([&, i] { runClient(i, routerPort, totals, record); });
    for (std::thread& client : clients) client.join();
    sleepMs(1'000);

    const std::lock_guard lock(totals.mutex);
    int twice = 0, servedNotRun = 0, refusedButRun = 0;
    for (const auto& [id, verb] : totals.verbs) {
        const auto run = totals.runs.find(id);
        const int runs = run == totals.runs.end() ? 0 : run->second;
        if (verb->isEffectful && runs > 1) {
            ++twice;
            record.line("effectful request %s ran %d times", id.c_str(), runs);
        }
        if (verb->isWrite && totals.answers[id] == Answer::Kind::value && runs == 0) {
            ++servedNotRun;
            record.line("write %s was answered with a value and never ran", id.c_str());
        }
        if (verb->isEffectful && totals.answers[id] == Answer::Kind::refused && runs > 0) {
            ++refusedButRun;
            record.line("effectful request %s was refused and ran", id.c_str());
        }
    }
    record.say("requests sent: " + std::to_string(totals.sent) + "; answered with their own value " +
               std::to_string(totals.own) + ", refused " + std::to_string(totals.refused) + ", failed " +
               std::to_string(totals.failed) + ", no answer " + std::to_string(totals.none));
    record.say("second copies sent by cache servers: " + std::to_string(totals.secondCopies));
    record.say("answered with a value made for another request: " + std::to_string(totals.foreign));
    record.say("effectful requests that ran more than once: " + std::to_string(twice));
    record.say("effectful requests that were refused although they ran: " + std::to_string(refusedButRun));
    record.say("writes answered with a value that never ran: " + std::to_string(servedNotRun));
    if (totals.sent < 1'000 || totals.own < totals.sent / 10 || (hasTrouble && totals.secondCopies == 0)) {
        record.say("too little traffic for a verdict");
        finish(record, kCouldNotRun);
    }
    const bool isBroken = totals.foreign > 0 || twice > 0 || refusedButRun > 0;
    record.say(isBroken ? "BROKEN" : "held");
    finish(record, isBroken ? kBroken : kHeld);
}
