// Random runs that check a distributor's guarantees about versions and lists together.
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <random>

#include "endpoint_distribution_fixture.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

// A scripted discovery that records all its states, so that a reader's list can be compared with
// them.
class Discovery {
  public:
    Discovery() { change("s0", 1, false); }

    void change(const std::string& id, int weight, bool isRemoved) {
        ++version_;
        if (isRemoved)
            servers_.erase(id);
        else
            servers_[id] = entryText(id, weight);
        history_.push_back(isRemoved ? entryText(id, 1, "Gone") : servers_[id]);
        states_.push_back(servers_);
    }
    Version version() const { return version_; }
    const Servers& at(Version version) const { return states_[static_cast<std::size_t>(version - 1)]; }
    // The response to a poll. A `newest` lower than version() makes discovery lag behind.
    ListUpdate respond(std::optional<Version> after, Version newest) const {
        std::vector<std::string> entries;
        if (!after) {
            for (const auto& [id, text] : at(newest)) entries.push_back(text);
            return update(newest, true, entries);
        }
        for (Version v = *after + 1; v <= newest; ++v)
            entries.push_back(history_[static_cast<std::size_t>(v - 1)]);
        return update(newest, false, entries);
    }

  private:
    Version version_ = 0;
    Servers servers_;
    std::vector<std::string> history_;
    std::vector<Servers> states_;
};

struct RandomResult {
    std::uint64_t delivered = 0;            // pairs of a reader and a change it received
    std::uint64_t versionDecreases = 0;     // responses that lowered a reader's version
    std::uint64_t wrongLists = 0;           // responses that left a reader with an incorrect list
    std::size_t readersBehind = 0;          // readers that did not reach the newest version
    std::uint64_t ownVersionDecreases = 0;  // decreases of a distributor's own version
    std::uint64_t epochs = 0;
    std::uint64_t olderListsRejected = 0;
    std::uint64_t responses = 0;
};

// Simulates two distributors, each with two upstreams that lag, fail, and send malformed or
// complete lists, and readers that move between the distributors, restart or disconnect. All faults
// end in the last tenth of the steps.
class RandomRun {
  public:
    RandomRun(std::uint64_t seed, std::size_t readers, int steps, const std::set<Safeguard>& disabled)
        : random_(seed), steps_(steps), readers_(readers) {
        for (std::size_t i = 0; i < 2; ++i) {
            Options options = optionsOf(2, disabled);
            options.upstreamWait = 1 * kSecond;
            options.maxTombstones = 5;
            options.seed = seed * 2 + i;
            fixtures_.push_back(std::make_unique<Fixture>(options));
        }
        for (std::size_t r = 0; r < readers_.size(); ++r) readers_[r].fixture = r % 2;
    }

    RandomResult run() {
        for (int i = 0; i < steps_; ++i) step(i < steps_ * 9 / 10);
        for (const Reader& reader : readers_)
            if (reader.version != discovery_.version()) ++result_.readersBehind;
        for (const auto& fixture : fixtures_) {
            const DistributorStatus status = fixture->distributor.status(fixture->now);
            result_.epochs += status.epochs;
            result_.olderListsRejected += status.olderListsRejected;
        }
        return result_;
    }

  private:
    struct Reader {
        std::size_t fixture = 0;
        ReaderId connection = 0;
        Version version = 0;
        bool hasList = false;
    };

    struct Outcome {
        SharedBytes body;  // kept alive because its address is part of the cache's key
        Version version = 0;
        bool isCorrect = false;
    };

    bool happens(int oneIn) { return random_() % static_cast<std::uint64_t>(oneIn) == 0; }

    void step(bool hasFaults) {
        const bool changes = hasFaults && !happens(3);
        if (changes)
            discovery_.change("s" + std::to_string(random_() % 30), static_cast<int>(random_() % 5),
                              happens(3));
        for (std::size_t i = 0; i < fixtures_.size(); ++i) {
            const Version before = fixtures_[i]->distributor.version();
            runUpstream(*fixtures_[i], hasFaults);
            if (fixtures_[i]->distributor.version() < before) ++result_.ownVersionDecreases;
            fixtures_[i]->advance(25 * ms);
            deliver(i);
        }
        for (std::size_t r = 0; r < readers_.size(); ++r) {
            Reader& reader = readers_[r];
            if (!reader.connection) connect(r);
            if (hasFaults && happens(50)) move(r);
        }
    }

    void runUpstream(Fixture& fixture, bool hasFaults) {
        const auto& lastPoll = fixture.lastPoll();
        if (fixture.host.polls.size() == answeredPolls_[&fixture]) return;  // no poll is open
        Version newest = discovery_.version();
        // Only the first upstream sends older versions, so that no new epoch begins.
        if (hasFaults && lastPoll.index == 0 && happens(4))
            newest = std::max<Version>(1, newest - 1 - random_() % 10);
        const bool isParked = lastPoll.after && *lastPoll.after >= newest &&
                              fixture.now - lastPoll.at < lastPoll.wait && !happens(10);
        if (isParked) return;
        answeredPolls_[&fixture] = fixture.host.polls.size();
        if (hasFaults && happens(15))
            return fixture.upstreamFails(happens(2) ? Distributor::Failure::unreachable
                                                    : Distributor::Failure::malformed);
        const bool sendsCompleteList = !lastPoll.after || *lastPoll.after > newest || happens(20);
        fixture.upstreamResponds(
            discovery_.respond(sendsCompleteList ? std::nullopt : lastPoll.after, newest));
    }

    void connect(std::size_t readerIndex) {
        Reader& reader = readers_[readerIndex];
        reader.connection = ++lastConnection_;
        owners_[reader.connection] = readerIndex;
        poll(reader);
    }
    void poll(Reader& reader) {
        fixtures_[reader.fixture]->poll(
            reader.connection, reader.hasList ? std::optional(reader.version) : std::nullopt, 500 * ms);
    }
    void move(std::size_t readerIndex) {
        Reader& reader = readers_[readerIndex];
        Fixture& fixture = *fixtures_[reader.fixture];
        fixture.distributor.onReaderClosed(fixture.now, reader.connection);
        owners_.erase(reader.connection);
        reader.connection = 0;
        reader.fixture = random_() % fixtures_.size();
        if (!happens(20)) return;
        reader.hasList = false;  // the reader restarts
        reader.version = 0;
    }

    void deliver(std::size_t index) {
        auto sent = std::move(fixtures_[index]->host.responses);
        fixtures_[index]->host.responses.clear();
        for (const auto& sentResponse : sent) {
            const auto owner = owners_.find(sentResponse.reader);
            if (owner == owners_.end()) continue;
            Reader& reader = readers_[owner->second];
            ++result_.responses;
            if (sentResponse.response.status == 200) take(reader, sentResponse.response.body);
            poll(reader);
        }
    }
    void take(Reader& reader, const SharedBytes& body) {
        const Version before = reader.hasList ? reader.version : 0;
        const Outcome& outcome = outcomeOf(before, body);
        if (outcome.version < before) ++result_.versionDecreases;
        if (reader.hasList && outcome.version > before)
            result_.delivered += static_cast<std::uint64_t>(outcome.version - before);
        if (!outcome.isCorrect) ++result_.wrongLists;
        reader.version = outcome.version;
        reader.hasList = true;
    }
    // The result of applying a response to discovery's list of version `before` (0: no list). That
    // is the list of each reader with that version as long as no list was wrong. Cached for all
    // readers that get the same response.
    const Outcome& outcomeOf(Version before, const SharedBytes& body) {
        if (outcomes_.size() > 2'000) outcomes_.clear();
        Outcome& outcome = outcomes_[{before, body.get()}];
        if (outcome.body) return outcome;
        outcome.body = body;
        const ListUpdate update = readListUpdate(*body);
        outcome.version = update.version;
        Servers servers = before > 0 ? discovery_.at(before) : Servers{};
        applyTo(servers, update);
        outcome.isCorrect = servers == discovery_.at(update.version);
        return outcome;
    }

    std::mt19937_64 random_;
    int steps_;
    std::vector<Reader> readers_;
    Discovery discovery_;
    std::vector<std::unique_ptr<Fixture>> fixtures_;
    std::map<const Fixture*, std::size_t> answeredPolls_;
    std::map<ReaderId, std::size_t> owners_;
    std::map<std::pair<Version, const std::string*>, Outcome> outcomes_;
    ReaderId lastConnection_ = 0;
    RandomResult result_;
};

}  // namespace

// Guards against a reader's version decreasing, its list diverging from discovery's, or the reader
// missing the newest version, while a million changes pass through lagging and failing upstreams.
TEST_CASE("Versions never decrease and every list is correct through lagging and failing upstreams") {
    const RandomResult result = RandomRun(7, 400, 4'700, {}).run();
    MESSAGE("changes delivered ", result.delivered, ", responses ", result.responses,
            ", older lists rejected ", result.olderListsRejected);
    CHECK(result.delivered >= 1'000'000);
    CHECK(result.olderListsRejected > 100);
    CHECK(result.epochs == 0);
    CHECK(result.versionDecreases == 0);
    CHECK(result.ownVersionDecreases == 0);
    CHECK(result.wrongLists == 0);
    CHECK(result.readersBehind == 0);
}

// Proves that the random run would notice a defect: it finds none with all safeguards, and finds
// each disabled one within 20 seeds.
TEST_CASE("The random run notices each disabled safeguard of versions and lists") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        const RandomResult result = RandomRun(seed, 40, 1'000, {}).run();
        CHECK(result.versionDecreases == 0);
        CHECK(result.ownVersionDecreases == 0);
        CHECK(result.wrongLists == 0);
        CHECK(result.readersBehind == 0);
    }
    for (const Safeguard safeguard :
         {Safeguard::versionGuard, Safeguard::olderList, Safeguard::tombstones, Safeguard::gaps}) {
        CAPTURE(static_cast<int>(safeguard));
        bool found = false;
        std::uint64_t seed = 0;
        while (!found && seed < 20) {
            ++seed;
            const RandomResult result = RandomRun(seed, 40, 1'000, {safeguard}).run();
            found = result.versionDecreases + result.wrongLists + result.readersBehind +
                        result.ownVersionDecreases >
                    0;
        }
        MESSAGE("safeguard ", static_cast<int>(safeguard), " disabled: last seed run ", seed);
        CHECK(found);
    }
}
