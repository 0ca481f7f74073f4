// Case 2: clients that send many commands at once. Usage: case2 FOLDER RECORD
//
// One router with 32 MB, five cache servers and an origin, as at solandel-prod; four clients with one request
// at a time and two that send 60 requests at once on one connection and read the answers as they come. Values
// have 60,000 bytes. All servers are sound. With TROUBLE=0 the two clients send the same requests one by one.
#include "standins.hpp"

using namespace standins;

namespace {

constexpr int kCacheServers = 5;
constexpr int kPlainClients = 4;
constexpr int kBulkClients = 2;
constexpr int kRequestsAtOnce = 60;
constexpr int kMemoryMb = 32;
constexpr std::size_t kValueBytes = 60'000;
constexpr double kEndMs = 15'000;

struct Verb {
    const char* name;
    int timeLimitMs;
    bool isWrite;
    bool isEffectful;
};
constexpr Verb kRead{"statement-read", 2'000, false, false};
constexpr Verb kUpload{"meter-upload", 2'500, true, false};
constexpr Verb kPayout{"credit-payout", 1'500, true, true};
// Of each hundred requests, 91 are reads, 6 uploads and 3 payouts.
const Verb& verbOf(int number) {
    const int place = number * 37 % 100;
    return place < 3 ? kPayout : place < 9 ? kUpload : kRead;
}

struct Totals {
    std::mutex mutex;
    std::map<std::string, int> received;  // how often each request reached a cache server or the origin
    std::map<std::string, int> ran;       // how often each write ran
    int sent = 0, values = 0, refused = 0, failed = 0, foreign = 0;
    int lost = 0;          // forwarded, and the router ended the connection with no answer
    int lostPayouts = 0;   // of these the payouts that ran
    int notForwarded = 0;  // the router ended the connection with no answer; not forwarded
    int unanswered = 0;    // no answer on an open connection within 8 s
    int endedConnections = 0;
};

std::atomic<double> beganAt{0};  // when the traffic began

std::string valueFor(const std::string& id) {
    std::string value = "made for " + id + " ";
    value.resize(kValueBytes, 'v');
    return value;
}

std::string receiptFor(const std::string& id) { return "receipt for " + id; }

void serveCache(Stream& stream, int number, Totals& totals, Record& record) {
    std::mt19937 random(static_cast<unsigned>(number * 1000 + stream.descriptor()));
    std::uniform_real_distribution<double> work(8, 12);
    std::vector<std::string> arguments;
    while (readCommand(stream, arguments)) {
        if (arguments.size() != 4) {
            stream.send("-SYNTAX\r\n");
            return;
        }
        const std::string& id = arguments[2];
        {
            const std::lock_guard lock(totals.mutex);
            ++totals.received[id];
        }
        record.line("cache-%d request %s: received", number, id.c_str());
        sleepMs(work(random));
        if (!stream.send("*3\r\n" + bulk(valueFor(id)) + bulk("hit") + "$-1\r\n")) return;
    }
}

void serveOrigin(Stream& stream, Totals& totals, Record& record) {
    HttpRequest request;
    while (readHttp(stream, request)) {
        const std::string id = request.headers["X-Call-Id"];
        const bool isWrite = request.method == "PUT";
        sleepMs(20);
        {
            const std::lock_guard lock(totals.mutex);
            ++totals.received[id];
            if (isWrite) ++totals.ran[id];
        }
        record.line("origin request %s: %s, %s", id.c_str(), request.method.c_str(),
                    isWrite ? "ran" : "read");
        if (!stream.send(httpAnswer(isWrite ? receiptFor(id) : valueFor(id)))) return;
    }
}

std::string requestFor(const Verb& verb, const std::string& key, const std::string& id) {
    const std::string info = "c=" + std::string(verb.name) +
                             ",t=norrsol,d=" + std::to_string(verb.timeLimitMs) +
                             (verb.isWrite ? ",k=k" + id : "");
    std::vector<std::string> arguments{verb.isWrite ? "OBJ.SET" : "OBJ.GET", key, id, info};
    if (verb.isWrite) arguments.push_back("100.00");
    return command(arguments);
}

// Sends `requestsAtOnce` requests in one piece, reads their answers in order, and begins again.
void runClient(int number, int requestsAtOnce, double pauseMs, int routerPort, Totals& totals,
               Record& record) {
    std::mt19937 random(static_cast<unsigned>(31 + number));
    std::unique_ptr<Stream> stream;
    int next = 0;
    while (nowMs() - beganAt < kEndMs) {
        if (!stream) {
            const int connected = Stream::connect(routerPort);
            if (connected < 0) {
                sleepMs(100);
                continue;
            }
            stream = std::make_unique<Stream>(connected);
        }
        std::vector<std::string> ids;
        std::vector<const Verb*> verbs;
        std::string bytes;
        for (int i = 0; i < requestsAtOnce; ++i) {
            char id[32];
            std::snprintf(id, sizeof id, "%04x%012x", number, next);
            ids.emplace_back(id);
            verbs.push_back(&verbOf(next++));
            bytes += requestFor(*verbs.back(), "account-" + std::to_string(random() % 400), id);
        }
        const double sentAt = nowMs();
        record.line("client %d: sends %d requests from %s on", number, requestsAtOnce, ids[0].c_str());
        stream->send(bytes);
        {
            const std::lock_guard lock(totals.mutex);
            totals.sent += requestsAtOnce;
        }
        std::size_t answered = 0;
        for (; answered < ids.size(); ++answered) {
            const Answer answer = readAnswer(*stream, 8'000);
            if (answer.kind == Answer::Kind::none) break;
            const bool isOwn = answer.text == (verbs[answered]->isWrite ? receiptFor(ids[answered])
                                                                        : valueFor(ids[answered]));
            record.line("client %d request %s: %s after %.0f ms", number, ids[answered].c_str(),
                        nameOf(answer.kind), answer.at - sentAt);
            const std::lock_guard lock(totals.mutex);
            if (answer.kind == Answer::Kind::value) ++(isOwn ? totals.values : totals.foreign);
            if (answer.kind == Answer::Kind::refused) ++totals.refused;
            if (answer.kind == Answer::Kind::failed) ++totals.failed;
        }
        if (answered < ids.size()) {
            const bool isEnded = !stream->isTimedOut();
            sleepMs(300);  // what was forwarded is received by now
            const std::lock_guard lock(totals.mutex);
            if (isEnded) ++totals.endedConnections;
            record.line("client %d: %s with %zu of %d requests not answered", number,
                        isEnded ? "the router ended the connection" : "no answer for 8 s",
                        ids.size() - answered, requestsAtOnce);
            for (std::size_t i = answered; i < ids.size(); ++i) {
                const bool wasForwarded = totals.received.contains(ids[i]);
                const bool ran = totals.ran.contains(ids[i]);
                record.line("client %d request %s (%s): no answer%s%s", number, ids[i].c_str(),
                            verbs[i]->name, wasForwarded ? "; it had been forwarded" : "",
                            ran ? " and ran" : "");
                if (!isEnded)
                    ++totals.unanswered;
                else
                    ++(wasForwarded ? totals.lost : totals.notForwarded);
                if (isEnded && ran && verbs[i]->isEffectful) ++totals.lostPayouts;
            }
            stream.reset();
        }
        sleepMs(pauseMs);
    }
}

std::string configuration(int listen, int discovery, const std::string& list) {
    return R"({"name":"n0","listen":"127.0.0.1:)" + std::to_string(listen) + R"(","discovery":"127.0.0.1:)" +
           std::to_string(discovery) + R"(","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":)" +
           std::to_string(kMemoryMb) + R"(,"sockets":1024},"known":)" + list + R"(,
 "settings":{"replicasOfMe":1,"membershipMode":"on_request","shapes":["type-a","billing-ledger"],"myZone":"lulea",
  "familyInfo":{"mode":"aside","originKind":1},
  "allowed":{"connIdleUs":15000000,"connectTimeoutUs":200000,"maxOpen":20000,"maxRelays":3,
   "maxRetryAfterUs":2000000,"retryAfter":true},
  "rules":{"askWithinUs":10000000,"drainGraceUs":500000,"fallUs":1500000,"rampTimeUs":8900000,
   "startCapacity":0.3,"tipMultiple":4.0},
  "orgs":[{"name":"norrsol","quotaPerS":5000.0}],
  "verbs":[
   {"name":"statement-read","effect":"free","responseGoalUs":500000,"timeLimitUs":2000000,"utility":1.0,
    "lateUtility":0.3},
   {"name":"meter-upload","effect":"guarded","group":"all","keyTtlUs":5000000,"responseGoalUs":600000,
    "timeLimitUs":2500000,"utility":3.0,"lateUtility":0.75},
   {"name":"credit-payout","effect":"single_shot","responseGoalUs":750000,"timeLimitUs":1500000,"utility":8.0,
    "lateUtility":4.0}]}}
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
    std::vector<ListedServer> listed;
    for (int i = 0; i < kCacheServers; ++i) {
        caches.push_back(std::make_unique<Server>(
            [i, &totals, &record](Stream& stream) { serveCache(stream, i, totals, record); }));
        listed.push_back({"cache-" + std::to_string(i), caches.back()->port(), "lulea", "type-a"});
    }
    const Server origin([&](Stream& stream) { serveOrigin(stream, totals, record); });
    listed.push_back({"billing-ledger", origin.port(), "lulea", "billing-ledger"});
    const std::string list = listOf(listed);
    const Server discovery([&](Stream& stream) { serveDiscovery(stream, list); });
    const int routerPort = freePort();
    writeFile(folder + "/config.json", configuration(routerPort, discovery.port(), list));
    if (!awaitRouter(routerPort)) {
        record.say("the router does not answer PING");
        finish(record, kCouldNotRun);
    }
    record.say(hasTrouble ? "two clients send 60 requests at once"
                          : "all clients send one request at a time");
    beganAt = nowMs();
    std::vector<std::thread> clients;
    for (int i = 0; i < kPlainClients; ++i)
        clients.emplace_back([&, i] { runClient(i, 1, 20, routerPort, totals, record); });
    for (int i = 0; i < kBulkClients; ++i)
        clients.emplace_back([&, i] {
            runClient(100 + i, hasTrouble ? kRequestsAtOnce : 1, hasTrouble ? 1'000 : 10, routerPort, totals,
                      record);
        });
    for (std::thread& client : clients) client.join();

    const std::lock_guard lock(totals.mutex);
    record.say("requests sent: " + std::to_string(totals.sent) + "; answered with their value " +
               std::to_string(totals.values) + ", refused " + std::to_string(totals.refused) + ", failed " +
               std::to_string(totals.failed) + ", with a foreign value " + std::to_string(totals.foreign));
    record.say("connections that the router ended with requests open: " +
               std::to_string(totals.endedConnections));
    record.say("requests on them that were forwarded and got no answer: " + std::to_string(totals.lost) +
               ", payouts among them that ran: " + std::to_string(totals.lostPayouts) +
               "; not forwarded: " + std::to_string(totals.notForwarded));
    record.say("requests without an answer for 8 s on open connections: " +
               std::to_string(totals.unanswered));
    if (totals.values < 100) {
        record.say("too little traffic for a verdict");
        finish(record, kCouldNotRun);
    }
    const bool isBroken = totals.lost > 0 || totals.unanswered > 0 || totals.foreign > 0;
    record.say(isBroken ? "BROKEN" : "held");
    finish(record, isBroken ? kBroken : kHeld);
}
