// All guarantees of distributors together, in a long random run.
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <random>

#include "endpoint_distribution_fixture.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

// A discovery whose states are all recorded, so that a reader's list can be compared with them.
class Discovery {
  public:
    Discovery() { change("s0", 1, false); }

    void change(const std::string& id, int weight, bool gone) {
        ++version_;
        if (gone)
            servers_.erase(id);
        else
            servers_[id] = entryText(id, weight);
        history_.push_back(gone ? entryText(id, 1, "Gone") : servers_[id]);
        states_.push_back(servers_);
    }
    Version version() const { return version_; }
    const Servers& at(Version version) const { return states_[static_cast<std::size_t>(version - 1)]; }
    // With an earlier `newest` version where it lags behind.
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
    std::uint64_t delivered = 0;  // pairs of a reader and a change
    std::uint64_t falls = 0;      // of a version at a reader
    std::uint64_t wrong = 0;      // responses after which a reader's list was not discovery's of that version
    std::size_t behind = 0;       // readers that did not reach the newest version
    std::uint64_t ownFalls = 0;   // of a distributor's own version
    std::uint64_t epochs = 0;
    std::uint64_t olderListsRejected = 0;
    std::uint64_t responses = 0;
};

// Two distributors, each with two upstreams that lag, fail, and send malformed or complete lists; readers
// that move from one distributor to the other, restart, or disconnect. Then all faults end.
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
            if (reader.version != discovery_.version()) ++result_.behind;
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
        bool knows = false;
    };

    struct Outcome {
        SharedBytes body;  // retained, so that its address stays unique
        Version version = 0;
        bool isRight = false;
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
            if (fixtures_[i]->distributor.version() < before) ++result_.ownFalls;
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
        if (fixture.host.polls.size() == answeredPolls_[&fixture]) return;  // it has responded
        Version newest = discovery_.version();
        // Only the first upstream lags at times and sends older versions, so that no new epoch begins.
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

    void connect(std::size_t r) {
        Reader& reader = readers_[r];
        reader.connection = ++lastConnection_;
        owners_[reader.connection] = r;
        poll(reader);
    }
    void poll(Reader& reader) {
        fixtures_[reader.fixture]->poll(
            reader.connection, reader.knows ? std::optional(reader.version) : std::nullopt, 500 * ms);
    }
    void move(std::size_t r) {
        Reader& reader = readers_[r];
        Fixture& fixture = *fixtures_[reader.fixture];
        fixture.distributor.onReaderClosed(fixture.now, reader.connection);
        owners_.erase(reader.connection);
        reader.connection = 0;
        reader.fixture = random_() % fixtures_.size();
        if (!happens(20)) return;
        reader.knows = false;  // it restarts
        reader.version = 0;
    }

    void deliver(std::size_t index) {
        auto sent = std::move(fixtures_[index]->host.responses);
        fixtures_[index]->host.responses.clear();
        for (const auto& one : sent) {
            const auto owner = owners_.find(one.reader);
            if (owner == owners_.end()) continue;
            Reader& reader = readers_[owner->second];
            ++result_.responses;
            if (one.response.status == 200) take(reader, one.response.body);
            poll(reader);
        }
    }
    void take(Reader& reader, const SharedBytes& body) {
        const Version before = reader.knows ? reader.version : 0;
        const Outcome& outcome = outcomeOf(before, body);
        if (outcome.version < before) ++result_.falls;
        if (reader.knows && outcome.version > before)
            result_.delivered += static_cast<std::uint64_t>(outcome.version - before);
        if (!outcome.isRight) ++result_.wrong;
        reader.version = outcome.version;
        reader.knows = true;
    }
    // What a response makes of discovery's list at `before` (0: no list), which is the list of a reader with
    // that version as long as nothing was wrong. Cached for all readers that get the response.
    const Outcome& outcomeOf(Version before, const SharedBytes& body) {
        if (outcomes_.size() > 2'000) outcomes_.clear();
        Outcome& outcome = outcomes_[{before, body.get()}];
        if (outcome.body) return outcome;
        outcome.body = body;
        const ListUpdate update = readListUpdate(*body);
        outcome.version = update.version;
        Servers servers = before > 0 ? discovery_.at(before) : Servers{};
        applyTo(servers, update);
        outcome.isRight = servers == discovery_.at(update.version);
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

TEST_CASE(
    "a million changes through falling, lagging and failing upstreams: no version falls, every list is "
    "right") {
    const RandomResult result = RandomRun(7, 400, 4'700, {}).run();
    MESSAGE("delivered ", result.delivered, " answers ", result.responses, " refused falls ",
            result.olderListsRejected);
    CHECK(result.delivered >= 1'000'000);
    CHECK(result.olderListsRejected > 100);
    CHECK(result.epochs == 0);
    CHECK(result.falls == 0);
    CHECK(result.ownFalls == 0);
    CHECK(result.wrong == 0);
    CHECK(result.behind == 0);
}

TEST_CASE("the random run finds each disabled safeguard of versions and lists") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        const RandomResult result = RandomRun(seed, 40, 1'000, {}).run();
        CHECK(result.falls == 0);
        CHECK(result.ownFalls == 0);
        CHECK(result.wrong == 0);
        CHECK(result.behind == 0);
    }
    for (const Safeguard guard :
         {Safeguard::versionGuard, Safeguard::olderList, Safeguard::tombstones, Safeguard::gaps}) {
        CAPTURE(static_cast<int>(guard));
        bool found = false;
        std::uint64_t seed = 0;
        while (!found && seed < 20) {
            ++seed;
            const RandomResult result = RandomRun(seed, 40, 1'000, {guard}).run();
            found = result.falls + result.wrong + result.behind + result.ownFalls > 0;
        }
        MESSAGE("guard ", static_cast<int>(guard), " left out: found in run ", seed);
        CHECK(found);
    }
}
