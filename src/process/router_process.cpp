#include "process/router_process.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>

namespace poppyscale::process {
namespace {

using config::Level;
using proxy::Clients;

// Clients go on connecting for up to 0.4 s after the signal.
constexpr Nanos kLeaving = 480 * kMillisecond;
// Beyond the longest wait of a client: answers just at its end are still on their way.
constexpr Nanos kLastAnswers = 200 * kMillisecond;
// Where another process serves beside this one, by when the connections here that idle are closed, and until
// when commands are taken on them: what is taken by then is answered well before the end.
constexpr Nanos kIdleFrom = 100 * kMillisecond;
constexpr Nanos kIdleUntil = 400 * kMillisecond;
constexpr Nanos kTaken = 480 * kMillisecond;
// Standing by: the front goes on connecting for a while after its first no, and by 4 s nothing is held. What
// was taken may last as long as its verb allows.
constexpr Nanos kStandbyIdleFrom = 800 * kMillisecond;
constexpr Nanos kStandbyIdleUntil = 1'600 * kMillisecond;
constexpr Nanos kStandbyTaken = 1'900 * kMillisecond;
constexpr Nanos kMostWait = 20'000 * kMillisecond;  // of a call to discovery
constexpr Nanos kLeastWait = 1'000 * kMillisecond;
constexpr Nanos kUpgradeWithin = 10'000 * kMillisecond;  // a successor is ready, or it is ended
constexpr std::size_t kOwnDescriptors = 32;  // standard streams, loop, signals, listener, discovery, operator
constexpr std::size_t kLeastClients = 8;     // whatever another process holds
constexpr std::size_t kMemoryOfClient = 8 * 1024;  // beside half-sent commands and answers, bounded elsewhere
// A list from discovery is taken up to this part of the memory: while it is read there are for a moment a
// copy of half of it that grows and the entries that were made of it.
constexpr std::size_t kListPart = 32;
// Commands are shown to the operator until their text would be longer than this part of the memory.
constexpr std::size_t kShownPart = 32;
constexpr std::size_t kTextOfShown = 256;  // of one command, beside its words

// Kept for the console, so that no crowd of clients shuts operators out.
std::size_t mostCallers(const protocol::Start& start) {
    return start.console.empty() ? 0 : std::clamp<std::size_t>(start.descriptors / 16, 4, 16);
}

std::size_t mostLinks(const protocol::Start& start) { return start.descriptors * 2 / 5; }

std::size_t mostClients(const protocol::Start& start) {
    const std::size_t left = start.descriptors - mostLinks(start) - kOwnDescriptors - mostCallers(start);
    return std::max<std::size_t>(std::min(left, start.memory / 8 / kMemoryOfClient), 1);
}

transport::Address addressOf(const std::string& text, const char* what) {
    if (const auto address = transport::parseAddress(text)) return *address;
    throw protocol::Malformed(fmt::format("{} is not an address and port: '{}'", what, text));
}

std::int64_t millis(Nanos ns) { return ns / kMillisecond; }

}  // namespace

Program::Program(Wanted wanted)
    : wanted_(std::move(wanted)),
      told_(wanted_.read()),
      pool_(told_.start.memory / 8 / transport::kBufferSize) {
    protocol::Start& start = told_.start;
    logger_.plan(told_.plan.log);
    const auto log = [this](const char* part, Level level) {
        return [this, part, level](std::string_view text) { say(part, level, text); };
    };
    asTold_ = config::described(start, told_.plan, told_.platform);
    // A descriptor more than the system gives would end in refused clients.
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur =
            std::min<rlim_t>(std::max<rlim_t>(files.rlim_cur, start.descriptors), files.rlim_max);
        setrlimit(RLIMIT_NOFILE, &files);
        start.descriptors =
            std::max<std::size_t>(std::min<std::size_t>(start.descriptors, files.rlim_cur), 64);
    }
    const auto listen = addressOf(start.listen, "listen");
    const auto decisions = log("decisions", Level::info);
    core_ = wanted_.makeCore
                ? wanted_.makeCore(loop_, pool_, start, mostLinks(start), decisions)
                : std::make_unique<proxy::Core>(loop_, pool_, start, mostLinks(start), decisions);
    clients_.emplace(loop_, pool_, *core_, mostClients(start), start.memory / 16, 2 * start.idle);
    clients_->tellExhausted = [this](std::string_view why) {
        say("life", Level::warning, fmt::format("new connections have to wait: {}", why));
    };
    if (auto sources = sourcesOf(told_); !sources.empty()) {
        // What discovery holds back for a call that waits counts as told soon after; the shorter the wait,
        // the sooner a silent discovery is noticed.
        discovery::Watch::Settings settings;
        settings.sources = std::move(sources);
        settings.longestWait = std::clamp(start.watchFor, kLeastWait, kMostWait);
        // Routers may share a seed where nobody sets one; they may not share their choice of a source.
        settings.sourceSeed = start.terms.seed ^ std::hash<std::string>{}(start.name);
        settings.seed = start.terms.seed;
        settings.version = start.known.version;
        settings.routers = start.terms.routers;
        settings.pushed = start.listPushed;
        settings.longestList = start.memory / kListPart;
        watch_.emplace(loop_, pool_, *core_, std::move(settings), log("discovery", Level::warning));
        core_->askForList = [this] { watch_->want(); };
    }
    next_.emplace(loop_, [this] { enter(state_ == State::leaving ? State::draining : State::done); });
    upgradeBy_.emplace(loop_, [this] { upgradeEnds("the new process was not ready in time"); });
    if (!told_.plan.admin.empty()) {
        core_->count(start.terms.verbs);
        admin_.emplace(loop_, pool_,
                       [this](auto& session, const auto& asked) { return answer(session, asked); });
    }
    const bool kept = !start.console.empty() || wanted_.passed >= 0;
    Succession::Owner& self = *this;
    succession_.emplace(loop_, pool_, kept ? wanted_.folder : "", start.name, self,
                        [this](Level level, std::string_view text) { say("life", level, text); });
    if (wanted_.takeOver) {
        if (!admin_) throw protocol::Malformed("to take over an operator's socket is needed: [admin] socket");
        taken_.emplace(told_.plan.admin);
        // An upgrade changes the program; another configuration would pass for a fault of the new one.
        std::string against;
        if (taken_->described() != asTold_)
            against = "the process that serves has another configuration; reload it first";
        if (!taken_->isAt(listen)) against = "the process that serves listens elsewhere than " + start.listen;
        if (against.empty()) {
            succession_->begin(true);
            return;
        }
        taken_->refuse(against);
        throw protocol::Malformed("can't take over: " + against);
    }
    succession_->begin(wanted_.passed >= 0);
    const std::string problem =
        wanted_.passed >= 0 ? clients_->listenOn(wanted_.passed) : clients_->listen(listen);
    if (!problem.empty())
        throw protocol::Malformed(fmt::format("can't listen on {}: {}", start.listen, problem));
    listenForOperators();
    if (!admin_) return;
    const std::string denied = admin_->listen(told_.plan.admin);
    if (!denied.empty())
        throw protocol::Malformed(
            fmt::format("can't have the operator's socket {}: {}", told_.plan.admin, denied));
}

Program::~Program() = default;

void Program::listenForOperators() {
    const auto& at = told_.start.console;
    if (!at.empty()) {
        door_.emplace(loop_, pool_, mostCallers(told_.start),
                      [this](const control::Call& call) { return answer(call); });
        const int taken = taken_ ? taken_->takeConsole() : -1;
        const auto denied = taken >= 0 ? door_->listenOn(taken) : door_->listen(addressOf(at, "console"));
        if (!denied.empty())
            throw protocol::Malformed(fmt::format("can't listen on console {}: {}", at, denied));
    }
    if (wanted_.passed < 0 && !admin_) return;
    if (const auto denied = succession_->listen(); !denied.empty())
        say("life", Level::error, fmt::format("a later process won't find this one: {}", denied));
}

std::vector<discovery::DiscoveryAddress> Program::sourcesOf(const Told& told) const {
    std::vector<discovery::DiscoveryAddress> sources;
    for (const std::string& one : told.plan.distributors)
        sources.push_back({addressOf(one, "distributor"), one});
    if (sources.empty() && !told.start.discovery.empty())
        sources.push_back({addressOf(told.start.discovery, "discovery"), told.start.discovery});
    return sources;
}

Nanos Program::lastFor() const {
    return told_.plan.drainWithin ? told_.plan.drainWithin : told_.start.longestPatience + kLastAnswers;
}

void Program::leave() {
    // What another process was told while this one was held up; and whoever comes next has the path.
    succession_->lookAgain();
    succession_->leaves();
    // Told a second time: at once. One that drains since another took over was not told before.
    const bool again = std::exchange(toldToStop_, true);
    if (again && (state_ == State::leaving || state_ == State::draining)) return enter(State::done);
    if (state_ != State::serving) return;
    if (wanted_.passed < 0) return enter(State::leaving);
    // The platform holds the socket, and another process takes what stands in its backlog.
    handedOver();
}

void Program::handedOver() {
    succeeded_ = true;
    clients_->handedOver();
    enter(State::draining);
}

nlohmann::json Program::reload() {
    const Nanos began = transport::Loop::now();
    nlohmann::json said = readAnew();
    // It is read on the loop, which is held up by it as by any turn.
    if (core_->counts()) core_->counts()->turn(transport::Loop::now() - began);
    return said;
}

nlohmann::json Program::readAnew() {
    if (upgrade_) {
        say("life", Level::warning, "goes on with the old configuration: an upgrade is under way");
        return {{"error", "an upgrade is under way"}};
    }
    // While it leaves too: what it still owes goes by the list.
    try {
        notify("RELOADING=1");
        Told fresh = wanted_.read();
        if (watch_.has_value() == sourcesOf(fresh).empty())
            throw protocol::Malformed("whether there is a discovery waits for a start");
        auto difference = config::differenceOf(told_.start, fresh.start);
        const auto& before = told_.plan.distributors;
        const auto& after = fresh.plan.distributors;
        if (before != after)
            difference.live.push_back(fmt::format("distributors: {} before, {} now", fmt::join(before, " "),
                                                  fmt::join(after, " ")));
        std::string words;
        for (const auto& line : difference.live) words += "; " + line;
        for (const auto& line : difference.waits) words += "; " + line;
        say("life", Level::info,
            fmt::format("read its configuration anew, discovery at {}{}{}", fresh.start.discovery, words,
                        difference.waits.empty() ? "" : "; other changes wait for the next start"));
        apply(std::move(fresh));
        notify("READY=1");
        return {{"changed", difference.live}, {"waits", difference.waits}};
    } catch (const std::exception& problem) {
        notify("READY=1");
        say("life", Level::error, fmt::format("goes on with the old configuration: {}", problem.what()));
        return {{"error", problem.what()}};
    }
}

// Nothing in here can fail: all of it has been checked.
void Program::apply(Told fresh) {
    ++reloads_;
    asTold_ = config::described(fresh.start, fresh.plan, fresh.platform);
    protocol::Start& is = told_.start;
    protocol::Start& next = fresh.start;
    // What waits for a start stays as it is, also in what is shown.
    next.name = is.name;
    next.listen = is.listen;
    next.console = is.console;
    next.memory = is.memory;
    next.descriptors = is.descriptors;
    next.terms.seed = is.terms.seed;  // another one with each start
    next.watchFor = is.watchFor;
    next.terms.askWithin = is.terms.askWithin;
    next.terms.fallSpan = is.terms.fallSpan;
    next.terms.aside = is.terms.aside;
    next.terms.sizesMove = is.terms.sizesMove;
    next.terms.originShape = is.terms.originShape;
    next.terms.listOnRequest = is.terms.listOnRequest;
    // A command may still be open that waits longer than any verb that is left.
    next.longestPatience = std::max(next.longestPatience, is.longestPatience);
    fresh.plan.admin = told_.plan.admin;
    logger_.plan(fresh.plan.log);
    core_->changed(next);
    clients_->patience(2 * next.idle);
    if (watch_) {
        watch_->setRouters(next.terms.routers);
        watch_->moveTo(sourcesOf(fresh));
    } else {
        core_->listed(NewsKind::whole, next.known);
    }
    told_ = std::move(fresh);
}

int Program::run() {
    if (taken_) {
        // The other one stops accepting with its answer; what comes meanwhile stands in the socket's backlog.
        taken_->ready({{"do", "ready"}, {"pid", ::getpid()}});
        std::string problem = clients_->listenOn(taken_->takeListener());
        if (problem.empty()) problem = admin_->listen(told_.plan.admin);
        if (!problem.empty()) throw protocol::Malformed("can't go on with what was taken over: " + problem);
        listenForOperators();
        taken_.reset();
    }
    enter(State::serving);
    loop_.eachTurn([this] { turn(); });
    loop_.run();
    return 0;
}

void Program::turn() {
    const Nanos began = core_->counts() ? transport::Loop::now() : 0;
    clients_->turn();
    succession_->holds(clients_->count());
    core_->turn();
    if (core_->counts()) core_->counts()->turn(transport::Loop::now() - began);
    if (state_ == State::draining && clients_->closed()) enter(State::done);
}

void Program::enter(State state) {
    // Whoever gets ready only now would go on where this one was told to stop.
    if (upgrade_ && state != State::serving) upgradeEnds("the process that serves was told to stop");
    state_ = state;
    const Nanos now = transport::Loop::now();
    switch (state) {
        case State::starting:
            break;
        case State::serving:
            say("life", Level::info, fmt::format("{} serves on {}", told_.start.name, told_.start.listen));
            notify(fmt::format("READY=1\nMAINPID={}", ::getpid()));
            break;
        case State::leaving:
            say("life", Level::info,
                fmt::format("{} was told to stop; {} commands open", told_.start.name, core_->open()));
            notify("STOPPING=1");
            next_->set(now + kLeaving);
            break;
        case State::draining:
            clients_->close();
            clients_->empty(
                succeeded_
                    ? Clients::Emptying{now, now + kIdleFrom, now + kIdleUntil, now + kTaken,
                                        now + kTaken + lastFor() - kLastAnswers / 2}
                    : Clients::Emptying{now, now, now, now + lastFor(), now + lastFor() - kLastAnswers / 2});
            next_->set(now + lastFor() + (succeeded_ ? kTaken : 0));
            break;
        case State::done: {
            std::map<std::string, int> left;
            for (const auto& s : core_->standing())
                if (s.asked) ++left[s.verb];
            std::string words;
            for (const auto& [verb, count] : left) words += fmt::format(", {} {} given up", count, verb);
            say("life", left.empty() ? Level::info : Level::warning,
                fmt::format("{} stops; {} clients left{}", told_.start.name, clients_->count(), words));
            core_->giveUpAll();
            loop_.stop();
            break;
        }
    }
}

// ---- the console

control::Reply Program::answer(const control::Call& call) {
    using Kind = control::Call::Kind;
    switch (call.kind) {
        case Kind::status:
            return state_ == State::starting ? control::Reply{false, "starting"} : took("");
        case Kind::standby:
            return took("standby");
        case Kind::active:
            return took("active");
        case Kind::ban:
        case Kind::lift:
            break;
    }
    if (const auto why = core_->whyNoBan(call.server); !why.empty()) return {false, why};
    return took((call.kind == Kind::ban ? "out " : "in ") + call.server);
}

// A word that can be taken, or none, and how things stand then.
control::Reply Program::took(const std::string& word) {
    if (!word.empty())
        if (const auto problem = succession_->say(word); !problem.empty()) return {false, problem};
    return {true, fmt::format("{}{}; {} clients, {} commands open{}", stateName(),
                              succession_->words().standby ? ", standing by" : "", clients_->count(),
                              core_->open(), outWords())};
}

std::string Program::outWords() const {
    const auto& out = succession_->words().out;
    return out.empty() ? "" : fmt::format("; out: {}", fmt::join(out, " "));
}

void Program::ban(const std::string& server, bool on) {
    say("life", Level::info, fmt::format("{} is {} by an operator's word", server, on ? "out" : "let in"));
    core_->ban(server, on);
}

// While another process is the same router, both together keep to its bounds.
void Program::othersChanged() {
    const protocol::Start& start = told_.start;
    const bool alone = succession_->alone();
    const std::size_t memory = alone ? start.memory : start.memory / 2;
    const std::size_t most = mostClients(start);
    pool_.bound(memory / 8 / transport::kBufferSize);
    core_->bound(memory, alone ? mostLinks(start) : mostLinks(start) / 2);
    clients_->bound(std::max(most - std::min(most, succession_->othersClients()), kLeastClients),
                    memory / 16);
}

void Program::standBy(bool on) {
    say("life", Level::info, fmt::format("{} {}", told_.start.name, on ? "stands by" : "is active again"));
    clients_->standBy(on);
    // Who is leaving goes on leaving.
    if (state_ != State::serving && state_ != State::starting) return;
    const Nanos now = transport::Loop::now();
    if (on)
        clients_->empty({now, now + kStandbyIdleFrom, now + kStandbyIdleUntil, now + kStandbyTaken});
    else
        clients_->stay();
}

// ---- the operator

nlohmann::json Program::answer(control::Session& session, const nlohmann::json& asked) {
    const auto what = asked.value("do", "");
    if (what == "status") return status();
    if (what == "figures") return figures();
    if (what == "commands") return commands();
    if (what == "caches") return caches();
    if (what == "reload") return reload();
    if (what == "drain") {
        if (state_ != State::serving) return {{"error", "it leaves already"}};
        leave();
        return {{"open", core_->open()}};
    }
    if (what == "stop") {
        const auto open = core_->open();
        enter(State::done);
        return {{"open", open}};
    }
    if (what == "upgrade") return upgrade(session, asked);
    if (what == "take-over") return giveSockets(session);
    if (what == "ready") return successorReady(session, asked);
    if (what == "refuse" && upgrade_ && upgrade_->heir == &session) {
        upgradeEnds("the new process refuses: " + asked.value("why", ""));
        return {{"ok", true}};
    }
    return {{"error", fmt::format("'{}' is not known here", what.substr(0, 40))}};
}

const char* Program::stateName() const {
    static constexpr const char* states[] = {"starting", "serving", "leaving", "draining", "done"};
    return states[static_cast<int>(state_)];
}

nlohmann::json Program::status() {
    // Where the list comes from discovery: how long ago that said what holds, and why it can't be had now.
    auto list = nlohmann::json::object();
    if (watch_)
        list = {{"age_ms", millis(transport::Loop::now() - watch_->heardAt())},
                {"trouble", watch_->trouble()}};
    if (watch_ && !told_.plan.distributors.empty()) {
        list["source"] = watch_->source();
        list["sources"] = watch_->sourceCount();
    }
    return {{"name", told_.start.name},
            {"list", std::move(list)},
            {"state", stateName()},
            {"pid", ::getpid()},
            {"up_ms", millis(transport::Loop::now() - startedAt_)},
            {"listen", told_.start.listen},
            {"discovery", told_.start.discovery},
            {"open", core_->open()},
            {"clients", clients_->count()},
            {"links", core_->links()},
            {"reloads", reloads_},
            {"upgrading", upgrade_.has_value()},
            {"described", config::described(told_.start, told_.plan, told_.platform)}};
}

nlohmann::json Program::figures() {
    auto all = core_->counts()->json();
    long pages = 0, resident = 0;
    std::ifstream("/proc/self/statm") >> pages >> resident;
    std::error_code unread;
    const auto files = std::filesystem::directory_iterator("/proc/self/fd", unread);
    int ready = 0, listed = 0;
    for (const Belief& b : core_->beliefs()) {
        listed += !b.origin;
        ready += !b.origin && b.presence == Presence::ready && !b.banned;
    }
    auto given = nlohmann::json::object();
    for (const auto& [name, g] : core_->given()) given[name] = {g.relays, g.leaving};
    all.update({{"name", told_.start.name},
                {"caches", std::move(given)},
                {"program", wanted_.version},
                {"pid", ::getpid()},
                {"zone", told_.start.terms.zone},
                {"state", stateName()},
                {"up_ms", millis(transport::Loop::now() - startedAt_)},
                {"open", core_->open()},
                {"clients", clients_->count()},
                {"links", core_->links()},
                {"links_opened", core_->linksOpened()},
                {"list_calls", watch_ ? watch_->calls() : 0},
                {"guard", core_->guard().json()},
                {"caches_ready", ready},
                {"caches_listed", listed},
                {"memory_kb", resident * (::sysconf(_SC_PAGESIZE) / 1024)},
                {"descriptors", unread ? -1 : std::distance(begin(files), end(files))}});
    return all;
}

nlohmann::json Program::commands() {
    const Nanos now = transport::Loop::now();
    auto all = nlohmann::json::array();
    std::size_t room = told_.start.memory / kShownPart;
    for (const auto& s : core_->standing()) {
        const std::size_t text =
            kTextOfShown + s.id.size() + s.verb.size() + s.customer.size() + s.key.size() + s.at.size();
        if (text > room) break;
        room -= text;
        all.push_back({{"id", s.id},
                       {"verb", s.verb},
                       {"customer", s.customer},
                       {"key", s.key},
                       {"age_ms", millis(now - s.since)},
                       {"left_ms", millis(s.giveUpAt - now)},
                       {"relays", s.relays},
                       {"waited_for", s.asked},
                       {"at", s.at},
                       {"out_ms", s.at.empty() ? 0 : millis(now - s.sentAt)}});
    }
    return {{"open", core_->open()}, {"commands", std::move(all)}};
}

nlohmann::json Program::caches() {
    static constexpr const char* presences[] = {"gone", "ready", "draining"};
    const Nanos now = transport::Loop::now();
    auto all = nlohmann::json::array();
    for (const Belief& b : core_->beliefs())
        all.push_back({{"name", b.name},
                       {"zone", b.zone},
                       {"kind", b.origin ? "origin" : "cache"},
                       {"state", presences[static_cast<int>(b.presence)]},
                       {"banned", b.banned},
                       {"out", b.out},
                       {"window", b.window},
                       {"warmth", b.warmth},
                       {"heard", b.heard},
                       {"failed", b.failed},
                       {"lateness", b.lateness},
                       {"hints", b.hints},
                       {"aside_ms", std::max<std::int64_t>(millis(b.asideUntil - now), 0)}});
    return {{"caches", std::move(all)}};
}

// ---- the upgrade

nlohmann::json Program::upgrade(control::Session& session, const nlohmann::json& asked) {
    if (upgrade_) return {{"error", "an upgrade is under way"}};
    if (state_ != State::serving) return {{"error", "it leaves already"}};
    auto line = wanted_.newcomer;
    if (asked.contains("program")) line[0] = asked["program"].get<std::string>();
    Upgrade begun;
    try {
        begun.process = std::make_unique<Successor>(line);
    } catch (const std::exception& problem) {
        return {{"error", problem.what()}};
    }
    begun.asked = &session;
    session.gone = [this] {
        if (upgrade_) upgrade_->asked = nullptr;  // nobody waits for it, but it goes on
    };
    say("life", Level::info,
        fmt::format("starts {} as process {} to take over", line[0], begun.process->pid()));
    upgrade_ = std::move(begun);
    upgradeBy_->set(transport::Loop::now() + kUpgradeWithin);
    return nullptr;  // the answer comes when it is known
}

nlohmann::json Program::giveSockets(control::Session& session) {
    if (state_ != State::serving) return {{"error", "it leaves already"}};
    if (upgrade_ && upgrade_->heir) return {{"error", "another process is taking over"}};
    if (!upgrade_) {
        // One that was not started from here may come too: a supervisor's.
        upgrade_.emplace();
        upgradeBy_->set(transport::Loop::now() + kUpgradeWithin);
    }
    upgrade_->heir = &session;
    session.gone = [this] {
        if (!upgrade_) return;
        upgrade_->heir = nullptr;
        upgradeEnds("the new process went before it was ready");
    };
    session.say({{"described", asTold_}, {"console", door_.has_value()}});
    if (!session.pass(clients_->descriptor()) || (door_ && !session.pass(door_->descriptor())))
        upgradeEnds("the listening sockets could not be passed");
    return nullptr;
}

nlohmann::json Program::successorReady(control::Session& session, const nlohmann::json& asked) {
    if (!upgrade_ || upgrade_->heir != &session) return {{"error", "nothing was taken over"}};
    // It may have said so long ago, and gone since: told with what ends its connection.
    if (session.left()) return nullptr;
    Upgrade done = std::move(*upgrade_);
    upgrade_.reset();
    upgradeBy_->clear();
    session.gone = {};
    if (done.process) done.process->letGo();
    const auto pid = asked.value("pid", 0);
    say("life", Level::info, fmt::format("process {} takes over; {} commands open", pid, core_->open()));
    if (done.asked) {
        done.asked->gone = {};
        done.asked->say({{"taken_over_by", pid}});
    }
    admin_->leavePath();
    door_.reset();
    handedOver();
    return {{"ok", true}};
}

void Program::upgradeEnds(const std::string& problem) {
    Upgrade ended = std::move(*upgrade_);
    upgrade_.reset();
    upgradeBy_->clear();
    say("life", Level::error, fmt::format("no other process takes over: {}", problem));
    if (ended.heir) ended.heir->gone = {};
    if (ended.asked) {
        ended.asked->gone = {};
        ended.asked->say({{"error", problem}});
    }
}

}  // namespace poppyscale::process
