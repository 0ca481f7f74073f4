#include "config/operator_config.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

#include "discovery/source_selector.hpp"
#include "protocol/number.hpp"

namespace poppyscale::config {
namespace {

using config::Table;

const config::Words<Level>& levels() {
    static const config::Words<Level> words{{"debug", Level::debug},
                                            {"info", Level::info},
                                            {"warning", Level::warning},
                                            {"error", Level::error},
                                            {"off", Level::off}};
    return words;
}

const config::Words<Effect> kEffects{
    {"pure", Effect::pure}, {"receipted", Effect::receipted}, {"effectful", Effect::effectful}};
const config::Words<Group> kGroups{{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}};
const config::Words<Presence> kPresences{
    {"ready", Presence::ready}, {"draining", Presence::draining}, {"gone", Presence::gone}};

bool isAddress(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return false;
    in_addr ignored{};
    const auto port = protocol::parse<std::uint16_t>(text.substr(colon + 1));
    return port && *port > 0 && ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &ignored) == 1;
}

std::string address(Table& t, std::string_view key, std::optional<std::string> otherwise) {
    const bool may = otherwise && otherwise->empty();
    std::string said = t.text(key, std::move(otherwise));
    const bool there = t.has(key) || !said.empty();
    if (there && !(may && !t.has(key)) && !isAddress(said)) t.problem(key, "is not an IPv4 address and port");
    return said;
}

void readVerb(Table& t, protocol::Start& start) {
    Verb verb;
    verb.name = t.text("name", std::nullopt);
    verb.effect = t.word<Effect>("effect", kEffects, std::nullopt);
    if (verb.effect == Effect::receipted) {
        verb.group = t.word<Group>("group", kGroups, Group::all);
        verb.remembered = t.millis("remembered_ms", std::nullopt);
    }
    verb.goal = t.millis("goal_ms", std::nullopt);
    verb.utility = t.real("utility", 1.0);
    verb.lateUtility = t.part("late_utility", 0.0);
    const Nanos limit = t.millis("limit_ms", std::nullopt);
    verb.limit = limit;
    if (verb.goal < kMillisecond || limit < verb.goal) t.problem("goal_ms", "is not from 1 to limit_ms");
    start.longestPatience = std::max(start.longestPatience, limit);
    for (const Verb& other : start.terms.verbs)
        if (other.name == verb.name) t.problem("name", "is another verb's too");
    start.terms.verbs.push_back(std::move(verb));
}

void readServer(Table& t, protocol::Start& start) {
    protocol::Place place;
    place.listed.name = t.text("name", std::nullopt);
    if (place.listed.name.empty()) t.problem("name", "is empty");
    place.address = address(t, "address", std::nullopt);
    place.listed.zone = t.text("zone", "");
    place.listed.shape = t.yes("origin", false) ? "origin" : "cache";
    place.listed.cell = t.whole("cell", 0);
    place.listed.size = t.real("size", 1.0, 1e-6, 1e9);
    place.listed.presence = t.word<Presence>("state", kPresences, Presence::ready);
    place.startedMs = static_cast<std::int64_t>(t.real("started_ms", 0.0, 0, 8e12));
    for (const auto& other : start.known.places)
        if (other.listed.name == place.listed.name) t.problem("name", "is another server's too");
    start.known.places.push_back(std::move(place));
}

std::vector<std::string> readDistributors(Table& t) {
    const auto addresses = t.texts("addresses");
    if (addresses.empty() && t.has("addresses")) t.problem("addresses", "names none");
    if (addresses.size() > discovery::kMostSources)
        t.problem("addresses", fmt::format("names more than {}", discovery::kMostSources));
    std::set<std::string> named;
    for (const auto& one : addresses) {
        if (!isAddress(one))
            t.problem("addresses", fmt::format("'{}' is not an IPv4 address and port", one));
        else if (!named.insert(one).second)
            t.problem("addresses", fmt::format("names '{}' twice", one));
    }
    return addresses;
}

void readDeployment(Table& t, protocol::Start& start, bool distributed) {
    Terms& terms = start.terms;
    t.one("instance", true, [&](Table& i) {
        start.name = i.text("name", std::nullopt);
        start.listen = address(i, "listen", std::nullopt);
        start.discovery = address(i, "discovery", "");
        start.console = address(i, "console", "");
        start.memory = static_cast<std::size_t>(i.whole("memory_mb", 64, 16, 1'000'000)) * 1'000'000;
        start.descriptors = static_cast<std::size_t>(i.whole("descriptors", 1024, 64, 10'000'000));
        terms.routers = i.whole("routers", 1, 1, 1'000'000);
        terms.zone = i.text("zone", "");
        const std::string seed = i.text("seed", "0");
        const auto number = protocol::parse<std::uint64_t>(seed, 16);
        if (!number) i.problem("seed", "is not a hexadecimal number");
        terms.seed = number.value_or(0);
    });
    t.one("limits", false, [&](Table& l) {
        start.mostOpen = static_cast<std::size_t>(l.whole("open", 20'000, 1));
        start.idle = l.millis("idle_ms", 15'000.0);
        start.connectWithin = l.millis("connect_ms", 500.0);
        terms.maxRelays = l.whole("relays", 3, 1, 100);
        terms.crossPrice = l.part("cross_price", 0.0);
        terms.maxComeBack = l.millis("come_back_ms", 1'000.0);
        terms.comeBackAllowed = terms.maxComeBack > 0;
        terms.askWithin = l.millis("ask_within_ms", 10'000.0);
        terms.firstAskWithin = terms.askWithin / 2;
        start.watchFor = terms.askWithin;
    });
    t.one("caches", false, [&](Table& c) {
        terms.aside = c.word<bool>("mode", {{"aside", true}, {"through", false}}, true);
        if (terms.aside) terms.originShape = "origin";
        terms.sizesMove = c.word<bool>(
            "weights", {{"nominal", false}, {"rough", false}, {"off", false}, {"live", true}}, false);
    });
    t.one("cold", false, [&](Table& c) {
        terms.startShare = c.real("share", 0.3, 0.001, 1);
        terms.ramp = c.millis("ramp_ms", 10'000.0);
        terms.tipMultiple = c.real("tip", 3.0, 1, 1000);
        terms.fallSpan = c.millis("fall_ms", 1'500.0);
    });
    t.each("verbs", true, [&](Table& v) { readVerb(v, start); });
    t.each("customers", false, [&](Table& c) {
        Customer customer{c.text("name", std::nullopt), c.real("quota", std::nullopt)};
        for (const Customer& other : terms.customers)
            if (other.name == customer.name) c.problem("name", "is another customer's too");
        terms.customers.push_back(std::move(customer));
    });
    const bool discovered = distributed || !start.discovery.empty();
    terms.listOnRequest = discovered;
    t.each("servers", !discovered, [&](Table& s) { readServer(s, start); });
    start.known.full = true;
    const auto origins = std::count_if(start.known.places.begin(), start.known.places.end(),
                                       [](const auto& p) { return p.listed.shape == "origin"; });
    if (!discovered && terms.aside && origins != 1)
        t.problem("servers", "exactly one of them must have origin = true");
    if (!terms.aside && origins > 0)
        t.problem("servers", "one has origin = true, but in mode 'through' the caches ask the origin");
}

std::string verbLine(const Verb& v) {
    static constexpr const char* effects[] = {"pure", "receipted", "effectful"};
    static constexpr const char* groups[] = {"all", "zone", "cell"};
    std::string line = fmt::format("{} {} goal {} ms limit {} ms utility {} late {}", v.name,
                                   effects[static_cast<int>(v.effect)], v.goal / kMillisecond,
                                   v.limit / kMillisecond, v.utility, v.lateUtility);
    if (v.effect == Effect::receipted)
        line += fmt::format(" group {} remembered {} ms", groups[static_cast<int>(v.group)],
                            v.remembered / kMillisecond);
    return line;
}

template <class Items, class NameOf>
void compareNamed(const char* what, const Items& is, const Items& wanted, NameOf name,
                  std::vector<std::string>& out) {
    const auto in = [&](const Items& items, const auto& one) {
        return std::find_if(items.begin(), items.end(), [&](const auto& i) { return name(i) == name(one); });
    };
    for (const auto& one : is)
        if (in(wanted, one) == wanted.end()) out.push_back(fmt::format("{} {} is no more", what, name(one)));
    for (const auto& one : wanted) {
        const auto before = in(is, one);
        if (before == is.end())
            out.push_back(fmt::format("{} {} is new", what, name(one)));
        else if (!(*before == one))
            out.push_back(fmt::format("{} {} is another", what, name(one)));
    }
}

}  // namespace

std::string_view nameOf(Level level) {
    for (const auto& [name, value] : levels())
        if (value == level) return name;
    return "";
}

const std::vector<std::string>& logParts() {
    static const std::vector<std::string> parts{"life", "decisions", "discovery"};
    return parts;
}

Plan readPlan(std::string_view said, const std::string& file, bool platform, config::Problems& problems) {
    Plan plan;
    const auto table = config::parseToml(said, file, problems);
    if (!table) return plan;
    Table t(*table, problems);
    t.one("admin", false, [&](Table& a) {
        plan.admin = a.text("socket", "");
        if (plan.admin.size() > 100)
            a.problem("socket", "is longer than the 100 characters of a socket's path");
        if (a.has("socket") && !plan.admin.starts_with('/')) a.problem("socket", "is not an absolute path");
    });
    t.one("log", false, [&](Table& l) {
        plan.log.json = l.word<bool>("form", {{"text", false}, {"json", true}}, false);
        plan.log.level = l.word<Level>("level", levels(), Level::info);
        plan.log.perSecond = l.real("per_second", 10.0, 0.1, 100'000);
        l.one("parts", false, [&](Table& p) {
            for (const auto& part : logParts())
                if (p.has(part)) plan.log.parts[part] = p.word<Level>(part, levels(), Level::info);
        });
    });
    t.one("drain", false, [&](Table& d) { plan.drainWithin = d.millis("within_ms", 0.0); });
    const char* const deployment[] = {"instance", "limits",    "caches", "cold",
                                      "verbs",    "customers", "servers"};
    if (t.has("distributors"))
        t.one("distributors", true, [&](Table& d) { plan.distributors = readDistributors(d); });
    if (!platform) {
        readDeployment(t, plan.start.emplace(), t.has("distributors"));
    } else {
        // Two places that say one thing would in time say two things.
        for (const char* key : deployment)
            if (t.has(key)) t.problem(key, "is the platform's to say: its configuration is there and holds");
    }
    // These have been told of already.
    if (platform)
        for (const char* key : deployment) t.skip(key);
    t.finish();
    return plan;
}

Plan loadPlan(const std::string& file, bool platform) {
    std::ifstream stream(file, std::ios::binary);
    const std::string said{std::istreambuf_iterator<char>(stream), {}};
    if (!stream) throw protocol::Malformed(file + ":1: can't be read");
    config::Problems problems(file);
    Plan plan = readPlan(said, file, platform, problems);
    if (!problems.none()) throw protocol::Malformed(problems.text());
    return plan;
}

Difference differenceOf(const protocol::Start& is, const protocol::Start& wanted) {
    Difference d;
    const Terms &a = is.terms, &b = wanted.terms;
    compareNamed(
        "verb", a.verbs, b.verbs, [](const Verb& v) { return v.name; }, d.live);
    compareNamed(
        "customer", a.customers, b.customers, [](const Customer& c) { return c.name; }, d.live);
    const auto live = [&](const char* what, const auto& before, const auto& after) {
        if (!(before == after)) d.live.push_back(fmt::format("{}: {} before, {} now", what, before, after));
    };
    const auto waits = [&](const char* what, const auto& before, const auto& after) {
        if (!(before == after))
            d.waits.push_back(fmt::format("{}: {} stays, {} waits for a start", what, before, after));
    };
    live("discovery", is.discovery, wanted.discovery);
    live("routers", a.routers, b.routers);
    live("relays of a command", a.maxRelays, b.maxRelays);
    live("own zone", a.zone, b.zone);
    live("price of crossing zones", a.crossPrice, b.crossPrice);
    live("longest pause told, ms", a.maxComeBack / kMillisecond, b.maxComeBack / kMillisecond);
    live("pauses are told", a.comeBackAllowed, b.comeBackAllowed);
    live("a cold cache's share", a.startShare, b.startShare);
    live("its ramp, ms", a.ramp / kMillisecond, b.ramp / kMillisecond);
    live("its tip", a.tipMultiple, b.tipMultiple);
    live("commands open", is.mostOpen, wanted.mostOpen);
    live("connections idle, ms", is.idle / kMillisecond, wanted.idle / kMillisecond);
    live("connecting, ms", is.connectWithin / kMillisecond, wanted.connectWithin / kMillisecond);
    live("longest patience, ms", is.longestPatience / kMillisecond, wanted.longestPatience / kMillisecond);
    waits("name", is.name, wanted.name);
    waits("listen", is.listen, wanted.listen);
    waits("console", is.console, wanted.console);
    waits("memory, MB", is.memory / 1'000'000, wanted.memory / 1'000'000);
    waits("descriptors", is.descriptors, wanted.descriptors);
    waits("asking within, ms", is.watchFor / kMillisecond, wanted.watchFor / kMillisecond);
    waits("a cold cache's span, ms", a.fallSpan / kMillisecond, b.fallSpan / kMillisecond);
    waits("aside", a.aside, b.aside);
    waits("weights move with load", a.sizesMove, b.sizesMove);
    waits("the origin's shape", a.originShape, b.originShape);
    waits("a list is asked for", a.listOnRequest, b.listOnRequest);
    return d;
}

std::string described(const protocol::Start& start, const Plan& plan, bool platform) {
    std::string out =
        fmt::format("deployment: {}\n", platform ? "the platform's configuration" : "the operator's file");
    const auto line = [&](const char* what, const auto& value) {
        out += fmt::format("{:<22} {}\n", what, value);
    };
    line("name", start.name);
    line("listen", start.listen);
    line("discovery", start.discovery.empty() ? "none, the list is in the file" : start.discovery);
    if (!plan.distributors.empty())
        line("distributors", fmt::format("{}", fmt::join(plan.distributors, " ")));
    line("console", start.console.empty() ? "off" : start.console);
    line("memory_mb", start.memory / 1'000'000);
    line("descriptors", start.descriptors);
    line("routers", start.terms.routers);
    line("zone", start.terms.zone.empty() ? "not told" : start.terms.zone);
    line("cross_price", start.terms.crossPrice);
    line("open", start.mostOpen);
    line("relays", start.terms.maxRelays);
    line("idle_ms", start.idle / kMillisecond);
    line("connect_ms", start.connectWithin / kMillisecond);
    line("come_back_ms", start.terms.comeBackAllowed ? start.terms.maxComeBack / kMillisecond : 0);
    line("ask_within_ms", start.watchFor / kMillisecond);
    line("caches.mode", start.terms.aside ? "aside" : "through");
    line("caches.weights", start.terms.sizesMove ? "live" : "sizes");
    line("cold.share", start.terms.startShare);
    line("cold.ramp_ms", start.terms.ramp / kMillisecond);
    line("cold.tip", start.terms.tipMultiple);
    line("cold.fall_ms", start.terms.fallSpan / kMillisecond);
    for (const Verb& v : start.terms.verbs) line("verb", verbLine(v));
    for (const Customer& c : start.terms.customers)
        line("customer", fmt::format("{} quota {}", c.name, c.quotaPerSecond));
    for (const auto& p : start.known.places)
        line("server", fmt::format("{} {} {} zone {} size {}", p.listed.name, p.address, p.listed.shape,
                                   p.listed.zone, p.listed.size));
    line("admin.socket", plan.admin.empty() ? "off" : plan.admin);
    line("log.form", plan.log.json ? "json" : "text");
    line("log.level", nameOf(plan.log.level));
    for (const auto& [part, level] : plan.log.parts) line(("log.parts." + part).c_str(), nameOf(level));
    line("log.per_second", plan.log.perSecond);
    line("drain.within_ms", (plan.drainWithin ? plan.drainWithin : start.longestPatience) / kMillisecond);
    return out;
}

}  // namespace poppyscale::config
