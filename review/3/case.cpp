// Case 3: a connection to a cache server is reset in the middle of a long answer, while the same client has
// further requests behind it. Usage: case3 FOLDER RECORD
//
// One router, three cache servers and an origin, as at solandel-prod; eight clients that send three requests
// at once on one connection: a read of a long value (300,000 bytes), a payout and a read of a short value.
// Cache servers send a long answer in two parts, 60 ms apart; one in ten is reset between them. With
// TROUBLE=0 none is reset; all else is the same.
#include "standins.hpp"

using namespace standins;

namespace {

constexpr int kCacheServers = 3;
constexpr int kClients = 8;
constexpr std::size_t kLongBytes = 300'000;
constexpr std::size_t kFirstPart = 120'000;
constexpr double kPartsApartMs = 60;
constexpr double kResetShare = 0.1;
constexpr double kDurationMs = 20'000;

struct Verb {
    const char* name;
    int timeLimitMs;
    bool isWrite;
};
constexpr Verb kRead{"statement-read", 2'000, false};
constexpr Verb kPayout{"credit-payout", 1'500, true};

struct Totals {
    std::mutex mutex;
    std::map<std::string, int> received;  // how often each request reached a cache server or the origin
    std::map<std::string, int> ran;       // how often each payout ran
    int sent = 0, values = 0, refused = 0, failed = 0, foreign = 0, resets = 0;
    int cutValues = 0;     // long values that the router had begun to pass on: failed, not lost
    int lost = 0;          // requests behind them that were forwarded, and the router ended the connection
    int lostPayouts = 0;   // of these the payouts that ran
    int notForwarded = 0;  // the same, not forwarded
    int unanswered = 0;    // no answer on an open connection within 8 s
};

std::string longValueFor(const std::string& id) {
    std::string value = "made for " + id + " ";
    value.resize(kLongBytes, 'v');
    return value;
}
std::string shortValueFor(const std::string& id) { return "made for " + id; }
std::string receiptFor(const std::string& id) { return "receipt for " + id; }

void serveCache(Stream& stream, int number, bool hasTrouble, Totals& totals, Record& record) {
    std::mt19937 random(static_cast<unsigned>(number * 1000 + stream.descriptor()));
    std::uniform_real_distribution<double> work(8, 12);
    std::uniform_real_distribution<double> dice(0, 1);
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
        const bool isLong = arguments[1].starts_with("long");
        const std::string answer =
            "*3\r\n" + bulk(isLong ? longValueFor(id) : shortValueFor(id)) + bulk("hit") + "$-1\r\n";
        if (!isLong) {
            if (!stream.send(answer)) return;
            continue;
        }
        if (!stream.send(answer.substr(0, kFirstPart))) return;
        sleepMs(kPartsApartMs);
        if (hasTrouble && dice(random) < kResetShare) {
            record.line("cache-%d request %s: connection reset in the middle of the answer", number,
                        id.c_str());
            {
                const std::lock_guard lock(totals.mutex);
                ++totals.resets;
            }
            return stream.reset();
        }
        if (!stream.send(answer.substr(kFirstPart))) return;
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
        const std::string value = isWrite                             ? receiptFor(id)
                                  : request.path.starts_with("/long") ? longValueFor(id)
                                                                      : shortValueFor(id);
        if (!stream.send(httpAnswer(value))) return;
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

// Sends three requests in one piece, reads their answers in order, and begins again.
void runClient(int number, int routerPort, Totals& totals, Record& record) {
    std::mt19937 random(static_cast<unsigned>(31 + number));
    std::unique_ptr<Stream> stream;
    int next = 0;
    const double end = nowMs() + kDurationMs;
    while (nowMs() < end) {
        if (!stream) {
            const int connected = Stream::connect(routerPort);
            if (connected < 0) {
                sleepMs(100);
                continue;
            }
            stream = std::make_unique<Stream>(connected);
        }
        const Verb* const verbs[] = {&kRead, &kPayout, &kRead};
        const char* const keys[] = {"long-", "account-", "account-"};
        std::vector<std::string> ids;
        std::vector<std::string> wanted;
        std::string bytes;
        for (int i = 0; i < 3; ++i) {
            char id[32];
            std::snprintf(id, sizeof id, "%04x%012x", number, next++);
            ids.emplace_back(id);
            wanted.push_back(i == 0 ? longValueFor(id) : i == 1 ? receiptFor(id) : shortValueFor(id));
            bytes += requestFor(*verbs[i], keys[i] + std::to_string(random() % 60), id);
        }
        record.line("client %d: sends %s (long read), %s (payout), %s (read)", number, ids[0].c_str(),
                    ids[1].c_str(), ids[2].c_str());
        stream->send(bytes);
        {
            const std::lock_guard lock(totals.mutex);
            totals.sent += 3;
        }
        std::size_t answered = 0;
        bool isCut = false;
        for (; answered < ids.size(); ++answered) {
            const Answer answer = readAnswer(*stream, 8'000);
            // The first line of a value came and the rest did not.
            isCut = answer.kind == Answer::Kind::none && stream->bufferedBytes() > 0;
            if (answer.kind == Answer::Kind::none) break;
            record.line("client %d request %s: %s", number, ids[answered].c_str(), nameOf(answer.kind));
            const std::lock_guard lock(totals.mutex);
            if (answer.kind == Answer::Kind::value)
                ++(answer.text == wanted[answered] ? totals.values : totals.foreign);
            if (answer.kind == Answer::Kind::refused) ++totals.refused;
            if (answer.kind == Answer::Kind::failed) ++totals.failed;
        }
        if (answered < ids.size()) {
            const bool isEnded = !stream->isTimedOut();
            sleepMs(300);  // what was forwarded is received by now
            const std::lock_guard lock(totals.mutex);
            record.line("client %d: %s", number,
                        isEnded ? "the router ended the connection" : "no answer for 8 s");
            for (std::size_t i = answered; i < ids.size(); ++i) {
                const bool wasForwarded = totals.received.contains(ids[i]);
                const bool ran = totals.ran.contains(ids[i]);
                const bool isCutValue = isCut && i == answered;
                record.line("client %d request %s (%s): %s%s%s", number, ids[i].c_str(), verbs[i]->name,
                            isCutValue ? "value not whole" : "no answer",
                            wasForwarded ? "; it had been forwarded" : "", ran ? " and ran" : "");
                if (!isEnded)
                    ++totals.unanswered;
                else if (isCutValue)
                    ++totals.cutValues;
                else
                    ++(wasForwarded ? totals.lost : totals.notForwarded);
                if (isEnded && ran) ++totals.lostPayouts;
            }
            stream.reset();
        }
        sleepMs(static_cast<double>(random() % 50));
    }
}

std::string configuration(int listen, int discovery, const std::string& list) {
    return R"({"name":"n0","listen":"127.0.0.1:)" + std::to_string(listen) + R"(","discovery":"127.0.0.1:)" +
           std::to_string(discovery) + R"(","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" +
           list + R"(,
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
        caches.push_back(std::make_unique<Server>([i, hasTrouble, &totals, &record](Stream& stream) {
            serveCache(stream, i, hasTrouble, totals, record);
        }));
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
    record.say(hasTrouble ? "one long answer in ten is reset in the middle" : "no answer is reset");
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i)
        clients.emplace_back([&, i] { runClient(i, routerPort, totals, record); });
    for (std::thread& client : clients) client.join();

    const std::lock_guard lock(totals.mutex);
    record.say("requests sent: " + std::to_string(totals.sent) + "; answered with their value " +
               std::to_string(totals.values) + ", refused " + std::to_string(totals.refused) + ", failed " +
               std::to_string(totals.failed) + ", with a foreign value " + std::to_string(totals.foreign));
    record.say("connections reset in the middle of an answer: " + std::to_string(totals.resets) +
               "; long values passed on in part (failed, not lost): " + std::to_string(totals.cutValues));
    record.say("requests behind them that were forwarded and got no answer: " + std::to_string(totals.lost) +
               ", payouts among them that ran: " + std::to_string(totals.lostPayouts) +
               "; not forwarded: " + std::to_string(totals.notForwarded));
    record.say("requests without an answer for 8 s on open connections: " +
               std::to_string(totals.unanswered));
    if (totals.values < 100 || (hasTrouble && totals.resets == 0)) {
        record.say("too little traffic for a verdict");
        finish(record, kCouldNotRun);
    }
    const bool isBroken = totals.lost > 0 || totals.unanswered > 0 || totals.foreign > 0;
    record.say(isBroken ? "BROKEN" : "held");
    finish(record, isBroken ? kBroken : kHeld);
}
