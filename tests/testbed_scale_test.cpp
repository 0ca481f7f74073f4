// Tests of scale runs: the computation of propagation times, the endpoint list that discovery
// serves, and small runs of the program, also with the defective variants that a run has to detect.
#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/endpoint_list.hpp"
#include "testbed/scale/in_force.hpp"
#include "testbed/scale/record.hpp"
#include "testbed/scale/server_list.hpp"
#include "testbed_fixture.hpp"

namespace {

using namespace poppyscale;
using namespace poppyscale::testbed::scale;
using poppyscale::test::TemporaryFolder;

constexpr const char* kFolderPrefix = "scale-";
constexpr std::uintmax_t kMinFreeMemoryBytes = 1ULL * 1024 * 1024 * 1024;

struct Output {
    int code = -1;
    std::string text;
    std::string lastLine;
};

Output shell(const std::string& command) {
    Output output;
    FILE* const pipe = popen((command + " 2>&1").c_str(), "r");
    std::array<char, 4096> buffer{};
    while (const std::size_t got = std::fread(buffer.data(), 1, buffer.size(), pipe))
        output.text.append(buffer.data(), got);
    const int status = pclose(pipe);
    output.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    const auto end = output.text.find_last_not_of('\n');
    const auto begin = output.text.find_last_of('\n', end);
    output.lastLine = output.text.substr(begin + 1, end - begin);
    return output;
}

std::string scaleCommand(const std::string& file, const std::string& folder, const std::string& more) {
    return std::string(POPPYSCALE_TESTBED_PROGRAM) + " scale " + file + " --zones 3 --caches 100 --out " +
           folder + " " + more;
}

nlohmann::json resultIn(const std::string& folder) {
    std::ifstream file(folder + "/result.json");
    return nlohmann::json::parse(file);
}

double figure(const std::string& line, const std::string& name) {
    const auto at = (" " + line).find(" " + name + "=");
    REQUIRE_MESSAGE(at != std::string::npos, name, " is not in: ", line);
    return std::stod(line.substr(at + name.size() + 1));
}

std::size_t linesOf(const std::string& path) {
    std::ifstream file(path);
    return static_cast<std::size_t>(
        std::count(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>(), '\n'));
}

// Versions 1 to `count`, one per second; the digest of version v is 100 + v.
std::vector<Change> versions(int count) {
    std::vector<Change> all;
    for (int v = 1; v <= count; ++v)
        all.push_back({v, v * 1'000 * kMillisecond, static_cast<std::uint64_t>(100 + v)});
    return all;
}

PropagationRecord recordOf(std::int64_t version, std::int64_t atMs) {
    return {0, 0, version, static_cast<std::uint64_t>(100 + version), atMs * kMillisecond};
}

}  // namespace

TEST_CASE("scale propagation: a change is in force from the first list that contains it") {
    PropagationStatistics statistics(versions(3));
    statistics.add({recordOf(1, 1'010), recordOf(2, 2'030), recordOf(3, 3'005)});
    CHECK(statistics.delivered() == 2);
    CHECK(statistics.lost() == 0);
    CHECK(statistics.stale() == 0);
    CHECK(statistics.quantileMs(1) == doctest::Approx(30));
    CHECK(statistics.quantileMs(0.5) == doctest::Approx(5));
}

TEST_CASE("scale propagation: a list with two new changes brings both into force") {
    PropagationStatistics statistics(versions(3));
    statistics.add({recordOf(1, 1'010), recordOf(3, 3'005)});
    CHECK(statistics.delivered() == 2);
    CHECK(statistics.quantileMs(1) == doctest::Approx(1'005));
}

// A router that dropped a list still reports later versions. The digest of its list shows the loss.
TEST_CASE("scale propagation: detects a dropped list although later versions arrive") {
    PropagationStatistics statistics(versions(4));
    PropagationRecord third = recordOf(3, 3'010);
    third.digest = 7;  // lacks the change of version 2
    PropagationRecord fourth = recordOf(4, 4'010);
    fourth.digest = 8;
    statistics.add({recordOf(1, 1'010), third, fourth});
    CHECK(statistics.delivered() == 0);
    CHECK(statistics.lost() == 3);
}

TEST_CASE("scale propagation: changes missing from a list are in force from the next correct list on") {
    PropagationStatistics statistics(versions(4));
    PropagationRecord third = recordOf(3, 3'010);
    third.digest = 7;
    statistics.add({recordOf(1, 1'010), third, recordOf(4, 4'020)});
    CHECK(statistics.lost() == 0);
    CHECK(statistics.quantileMs(1) == doctest::Approx(2'020));
}

TEST_CASE("scale propagation: an older list is stale, and takes newer changes out of force") {
    PropagationStatistics statistics(versions(3));
    statistics.add({recordOf(1, 1'010), recordOf(3, 3'005), recordOf(2, 4'000), recordOf(3, 5'000)});
    CHECK(statistics.stale() == 1);
    CHECK(statistics.lost() == 0);
    CHECK(statistics.quantileMs(1) == doctest::Approx(2'000));

    PropagationStatistics notRestored(versions(3));
    notRestored.add({recordOf(1, 1'010), recordOf(3, 3'005), recordOf(2, 4'000)});
    CHECK(notRestored.stale() == 1);
    CHECK(notRestored.lost() == 1);
}

TEST_CASE("scale propagation: receiving the newest list again leaves all changes in force") {
    PropagationStatistics statistics(versions(3));
    statistics.add({recordOf(1, 1'010), recordOf(3, 3'005), recordOf(3, 9'000)});
    CHECK(statistics.stale() == 0);
    CHECK(statistics.quantileMs(1) == doctest::Approx(1'005));
}

TEST_CASE("scale propagation: a router without any list has lost all changes") {
    PropagationStatistics statistics(versions(3));
    statistics.add({});
    CHECK(statistics.lost() == 2);
    CHECK(statistics.delivered() == 0);
}

TEST_CASE("scale discovery: the changes since any earlier version yield the current list") {
    ServerList list(40, 3, 5, 1'700'000'000'000);
    std::vector<std::unordered_map<std::string, std::uint64_t>> held;
    std::vector<std::int64_t> since;
    const auto apply = [](const protocol::EndpointList& list,
                          std::unordered_map<std::string, std::uint64_t>& to) {
        if (list.isComplete) to.clear();
        for (const auto& entry : list.entries)
            to[entry.endpoint.name] = entryDigest(entry.endpoint.name, entry.endpoint.state, entry.startedMs);
    };
    for (int i = 0; i < 400; ++i) {
        if (i % 50 == 0) {
            apply(protocol::readEndpointList(list.completeJson()), held.emplace_back());
            since.push_back(list.version());
        }
        CHECK_FALSE(list.change(1'700'000'000'000 + i).empty());
        CHECK(list.version() == i + 2);
    }
    for (std::size_t i = 0; i < held.size(); ++i) {
        const auto changes = protocol::readEndpointList(list.changesSince(since[i]));
        CHECK_FALSE(changes.isComplete);
        CHECK(changes.version == list.version());
        apply(changes, held[i]);
        std::uint64_t digest = 0;
        for (const auto& [name, entry] : held[i]) digest += entry;
        CHECK(digest == list.digest());
    }
    CHECK(protocol::readEndpointList(list.changesSince(0)).isComplete);
    CHECK(protocol::readEndpointList(list.changesSince(list.version() + 1)).isComplete);
    CHECK(list.size() >= 30);
    CHECK(list.size() <= 40);
}

TEST_CASE("scale: small runs stay within their bounds, and detect the defective variants") {
    const TemporaryFolder folder(kFolderPrefix, kMinFreeMemoryBytes);
    const std::string plain = folder.write("plain.toml", "[bounds]\nin_force_ms = 5000\n");
    const std::string tight = folder.write("tight.toml", "[bounds]\nin_force_ms = 0.001\n");
    const std::string events = folder.write("events.toml", R"([bounds]
in_force_ms = 5000
[[events]]
kind = "restart_routers"
at_ms = 500
part = 0.2
[[events]]
kind = "slow_discovery"
at_ms = 1500
length_ms = 1000
delay_ms = 400
[[events]]
kind = "slow_reader"
at_ms = 100
length_ms = 2500
)");
    const auto start = [&](const std::string& file, const std::string& name, const std::string& more) {
        return std::async(std::launch::async, shell, scaleCommand(file, folder / name, more));
    };
    auto plainRun = start(plain, "kept", "--routers 30 --real 2 --changes-per-second 10 --seconds 3");
    auto apply = start(plain, "apply", "--routers 100 --changes-per-second 10 --seconds 3 --without apply");
    auto orderVariant =
        start(plain, "order", "--routers 10 --changes-per-second 30 --seconds 3 --without order");
    auto tightRun = start(tight, "tight", "--routers 5 --changes-per-second 5 --seconds 1");
    auto eventsRun = start(events, "events", "--routers 20 --real 1 --changes-per-second 10 --seconds 3");

    const Output plainOutput = plainRun.get();
    CHECK_MESSAGE(plainOutput.code == 0, plainOutput.text);
    for (const char* name : {"in_force_p50_ms", "bytes_per_second_router", "cpu_share_router",
                             "memory_kb_router", "cpu_share_control", "messages_per_second_control"})
        CHECK_MESSAGE(figure(plainOutput.lastLine, name) > 0, plainOutput.lastLine);
    CHECK(figure(plainOutput.lastLine, "routers") == 32);
    CHECK(figure(plainOutput.lastLine, "caches") == 100);
    CHECK(figure(plainOutput.lastLine, "lost") == 0);
    CHECK(figure(plainOutput.lastLine, "stale") == 0);
    CHECK(figure(plainOutput.lastLine, "in_force_max_ms") < 5'000);
    const auto result = resultIn(folder / "kept");
    const std::size_t changes = linesOf(folder / "kept/changes.tsv") - 1;
    CHECK(changes >= 10);
    CHECK(result.at("delivered").get<std::size_t>() == 32 * changes);
    // The bytes of stub routers are counted by TCP_INFO, those of real routers by discovery.
    const double ratio =
        result.at("bytes_per_second_router").get<double>() / result.at("bytes_per_second_real").get<double>();
    CHECK_MESSAGE((ratio > 0.9 && ratio < 1.1), result.dump());
    CHECK(std::filesystem::file_size(folder / "kept/report.html") > 500);

    const Output lost = apply.get();
    CHECK_MESSAGE(lost.code == 1, lost.text);
    CHECK_MESSAGE(figure(lost.lastLine, "lost") > 0, lost.text);
    CHECK_MESSAGE(lost.text.find("where the change never came into force") != std::string::npos, lost.text);

    const Output orderOutput = orderVariant.get();
    CHECK_MESSAGE(orderOutput.code == 1, orderOutput.text);
    CHECK_MESSAGE(figure(orderOutput.lastLine, "stale") > 0, orderOutput.text);
    CHECK_MESSAGE(orderOutput.text.find("lists used by a router after it had used a newer version") !=
                      std::string::npos,
                  orderOutput.text);

    const Output tightOutput = tightRun.get();
    CHECK_MESSAGE(tightOutput.code == 1, tightOutput.text);
    CHECK_MESSAGE(tightOutput.text.find("over the bound of 0.001") != std::string::npos, tightOutput.text);

    const Output eventsOutput = eventsRun.get();
    CHECK_MESSAGE(eventsOutput.code == 0, eventsOutput.text);
    CHECK_MESSAGE(figure(eventsOutput.lastLine, "lost") == 0, eventsOutput.text);
    // A change made while discovery delays each response by 400 ms takes at least that long.
    CHECK_MESSAGE(figure(eventsOutput.lastLine, "in_force_max_ms") >= 400, eventsOutput.text);
}

TEST_CASE("scale: rejects invalid options and runs beyond the machine's limits before starting anything") {
    const TemporaryFolder folder(kFolderPrefix, kMinFreeMemoryBytes);
    const std::string plain = folder.write("plain.toml", "");
    const auto isRefused = [&](const std::string& command, const std::string& why) {
        const Output output = shell(command);
        CHECK_MESSAGE(output.code == 2, output.text);
        CHECK_MESSAGE(output.text.find(why) != std::string::npos, output.text);
        CHECK_FALSE(std::filesystem::exists(folder / "out"));
    };
    const auto refused = [&](const std::string& file, const std::string& more, const std::string& why) {
        isRefused(scaleCommand(file, folder / "out", "--seconds 1 " + more), why);
    };
    refused(plain, "--routers 2 --purges-per-second 3", "must be 0, purges are not built");
    refused(plain, "--routers 0", "a scale run needs at least one router");
    isRefused(std::string(POPPYSCALE_TESTBED_PROGRAM) + " scale " + plain +
                  " --routers 100000 --caches 100000 --seconds 1 --out " + (folder / "out"),
              "over half of the machine's");
    refused(plain, "--routers 2 --without sense", "unknown defective variant 'sense'");
    refused(plain, "--routers 2 --real 1 --distributors 1", "--real with --distributors is not built");
    const auto event = [&](const std::string& kind, const std::string& more) {
        return folder.write(kind + ".toml", "[[events]]\nkind = \"" + kind + "\"\nat_ms = 100\n" + more);
    };
    refused(event("cut_zone", "length_ms = 10"), "--routers 2",
            "event cut_zone: this kind of event is not built");
    refused(event("lose_rack", "length_ms = 10"), "--routers 2",
            "event lose_rack: this kind of event is not built");
    refused(event("kill_distributor", "length_ms = 10"), "--routers 2",
            "needs a distributor, but --distributors is 0");
    refused(event("slow_reader", "length_ms = 1000"), "--routers 2", "after the measured time of 1.0 s");
    refused(event("restart_routers", ""), "--routers 0 --real 1", "needs a stub router, but --routers is 0");

    const Output few =
        shell("ulimit -n 100; " + scaleCommand(plain, folder / "out", "--routers 200 --seconds 1"));
    CHECK_MESSAGE(few.code == 2, few.text);
    CHECK_MESSAGE(few.text.find("descriptors in one process, over its limit of 100") != std::string::npos,
                  few.text);
}

TEST_CASE("scale: reports all problems of a scenario file at once, with file, line and key") {
    const TemporaryFolder folder(kFolderPrefix, kMinFreeMemoryBytes);
    const std::string file = folder.write("bad.toml", R"([bounds]
in_force_ms = "soon"
speed = 3

[[events]]
kind = "earthquake"
at_ms = 5

[[events]]
kind = "slow_discovery"
at_ms = 5
length_ms = 100

[[events]]
kind = "restart_routers"
at_ms = 5
part = 7
length_ms = 3
)");
    const Output output = shell(scaleCommand(file, folder / "out", "--routers 2 --seconds 1"));
    CHECK(output.code == 1);
    for (const char* line :
         {"bad.toml:2: bounds.in_force_ms: is not a number",
          "bad.toml:3: bounds.speed: is not a key that is known here",
          "bad.toml:6: events[0].kind: 'earthquake' is none of kill_distributor",
          "bad.toml:9: events[1].delay_ms: is missing", "bad.toml:17: events[2].part: is not from 0 to 1",
          "bad.toml:18: events[2].length_ms: is not a key that is known here"})
        CHECK_MESSAGE(output.text.find(line) != std::string::npos, line, " is not in:\n", output.text);
    CHECK_FALSE(std::filesystem::exists(folder / "out"));
    const Output absent =
        shell(scaleCommand(folder / "none.toml", folder / "out", "--routers 2 --seconds 1"));
    CHECK(absent.code == 1);
    CHECK(absent.text.find("none.toml: can't be read") != std::string::npos);
}
