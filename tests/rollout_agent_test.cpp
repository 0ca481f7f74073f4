// Tests of the program `poppyctl roll` against emulated agents of this and of other versions.
#include <doctest/doctest.h>
#include <sys/wait.h>

#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <thread>

#include "ctl/control_listener.hpp"
#include "rollout/messages_codec.hpp"

using namespace poppyscale;
using nlohmann::json;

namespace {

// Makes an answer from the request and from the answer that an agent of the current version gives.
using MakeAnswer = std::function<json(const json& request, const json& defaultAnswer)>;

// An agent with one instance that answers what `makeAnswer` returns.
class EmulatedAgent {
  public:
    EmulatedAgent(const std::string& path, MakeAnswer makeAnswer)
        : listener_(path,
                    [this, makeAnswer = std::move(makeAnswer)](std::uint64_t client, const json& request) {
                        requests += request.value("do", "") + ";";
                        listener_.answer(client, makeAnswer(request, defaultAnswer()));
                    }) {
        thread_ = std::jthread([this](const std::stop_token& stop) {
            while (!stop.stop_requested()) {
                listener_.runIteration();
                usleep(5'000);
            }
        });
    }
    ~EmulatedAgent() {
        thread_.request_stop();
        thread_.join();
    }
    static json defaultAnswer() {
        rollout::Report report;
        report.instances.push_back(
            {"r0", "north", rollout::InstanceState::original, true, 60'000 * kMillisecond, 0, "", {}});
        return rollout::toJson(report, {json{{"format", 1}}});
    }
    std::string requests;  // the names of all requests received, each followed by a semicolon

  private:
    ctl::ControlListener listener_;
    std::jthread thread_;
};

struct RolloutResult {
    int exitCode = -1;
    std::string output;
    bool hasSentOrders = false;
};

// Runs `poppyctl roll` with two emulated agents: "present", of the current version, and "other".
class RolloutRun {
  public:
    RolloutRun() {
        char name[] = "/tmp/poppyscale-agents-XXXXXX";
        folder_ = mkdtemp(name);
    }
    ~RolloutRun() { std::filesystem::remove_all(folder_); }
    RolloutResult run(const MakeAnswer& otherAnswer, const std::string& options = "") const {
        EmulatedAgent present(folder_ + "/a.sock",
                              [](const json&, const json& defaultAnswer) { return defaultAnswer; });
        EmulatedAgent other(folder_ + "/b.sock", otherAnswer);
        std::ofstream(folder_ + "/plan.toml")
            << "[change]\nprogram = \"/bin/true\"\n[stage]\nwatch_ms = 1500\nleast_ms = 1000\nlongest_ms = "
               "2000\n[back]\nwithin_ms = 1000\n[[agents]]\nname = \"present\"\nsocket = \"" +
                   folder_ + "/a.sock\"\n[[agents]]\nname = \"other\"\nsocket = \"" + folder_ + "/b.sock\"\n";
        FILE* const pipe = popen((POPPYCTL " roll " + options + folder_ + "/plan.toml 2>&1").c_str(), "r");
        RolloutResult result;
        char buffer[4096];
        while (const std::size_t size = std::fread(buffer, 1, sizeof buffer, pipe))
            result.output.append(buffer, size);
        const int status = pclose(pipe);
        result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        result.hasSentOrders = (present.requests + other.requests).find("roll;") != std::string::npos;
        return result;
    }

  private:
    std::string folder_;
};

}  // namespace

// Guards against a rollout that has changed some machines before it meets an agent that can't take part.
TEST_CASE("Rejects agents of an older version by name and sends no order") {
    const RolloutRun formatRun;
    const RolloutRun unknownRun;
    auto pendingFormat = std::async(std::launch::async, [&] {
        return formatRun.run([](const json&, json answer) {
            answer["format"] = 0;
            return answer;
        });
    });
    const RolloutResult unknown = unknownRun.run([](const json& request, const json&) {
        return json{{"error", "unknown request '" + request.value("do", "") + "'"}};
    });
    const RolloutResult format = pendingFormat.get();
    CHECK(format.exitCode == 1);
    CHECK_MESSAGE(format.output.find("other (unsupported format 0, expected 1)") != std::string::npos,
                  format.output);
    CHECK_FALSE(format.hasSentOrders);
    CHECK(unknown.exitCode == 1);
    CHECK_MESSAGE(unknown.output.find("other (unknown request 'look')") != std::string::npos, unknown.output);
    CHECK_FALSE(unknown.hasSentOrders);
}

// Guards against a coordinator that fails on the report of a newer agent, and against a stage that passes
// without evidence.
TEST_CASE("Ignores unknown fields of a newer agent, and passes no stage without the instances' metrics") {
    const RolloutRun rollout;
    const auto newerAnswer = [](const json&, json answer) {
        answer["mood"] = "well";
        answer["instances"][0]["colour"] = {1, 2, 3};
        return answer;
    };
    const RolloutResult status = rollout.run(newerAnswer, "--status ");
    CHECK(status.exitCode == 0);
    CHECK_MESSAGE(status.output.find(", no metrics") != std::string::npos, status.output);
    // The rollout begins, but no stage passes: these agents change nothing, and their instances have no
    // metrics.
    const RolloutResult result = rollout.run(newerAnswer);
    CHECK(result.hasSentOrders);
    CHECK_MESSAGE((result.exitCode == 1 || result.exitCode == 3), result.output);
    CHECK(result.output.find("stage holds") == std::string::npos);
}
