// Tests of `poppyctl roll` as a program, against emulated agents of this and other versions.
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

using Answer = std::function<json(const json& request, const json& defaultAnswer)>;

// An agent with one instance, whose answers a function makes from the request and the present version's
// answer.
class EmulatedAgent {
  public:
    EmulatedAgent(const std::string& path, Answer answer)
        : listener_(path, [this, answer = std::move(answer)](std::uint64_t client, const json& request) {
              requests += request.value("do", "") + ";";
              listener_.answer(client, answer(request, defaultAnswer()));
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
    std::string requests;  // the names of all, each with a semicolon

  private:
    ctl::ControlListener listener_;
    std::jthread thread_;
};

struct RolloutResult {
    int exitCode = -1;
    std::string output;
    bool hasSentOrders = false;
};

// A rollout over one agent of the present version and another one.
class RolloutRun {
  public:
    RolloutRun() {
        char name[] = "/tmp/poppyscale-agents-XXXXXX";
        folder_ = mkdtemp(name);
    }
    ~RolloutRun() { std::filesystem::remove_all(folder_); }
    RolloutResult run(const Answer& otherAnswer, const std::string& options = "") const {
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

TEST_CASE("agents of an older version are rejected by name, and no order is sent") {
    const RolloutRun formatRun;
    const RolloutRun unknownRun;
    auto pendingFormat = std::async(std::launch::async, [&] {
        return formatRun.run([](const json&, json answer) {
            answer["format"] = 0;
            return answer;
        });
    });
    const RolloutResult unknown = unknownRun.run([](const json& request, const json&) {
        return json{{"error", "'" + request.value("do", "") + "' is not known here"}};
    });
    const RolloutResult format = pendingFormat.get();
    CHECK(format.exitCode == 1);
    CHECK_MESSAGE(format.output.find("other (unsupported format 0, expected 1)") != std::string::npos,
                  format.output);
    CHECK_FALSE(format.hasSentOrders);
    CHECK(unknown.exitCode == 1);
    CHECK_MESSAGE(unknown.output.find("other ('look' is not known here)") != std::string::npos,
                  unknown.output);
    CHECK_FALSE(unknown.hasSentOrders);
}

TEST_CASE("unknown fields of a newer agent are ignored; instances without metrics don't pass a stage") {
    const RolloutRun rollout;
    const auto newerAnswer = [](const json&, json answer) {
        answer["mood"] = "well";
        answer["instances"][0]["colour"] = {1, 2, 3};
        return answer;
    };
    const RolloutResult status = rollout.run(newerAnswer, "--status ");
    CHECK(status.exitCode == 0);
    CHECK_MESSAGE(status.output.find("tells no figures") != std::string::npos, status.output);
    // The rollout begins, but as these agents change nothing and their instances have no metrics, no stage
    // passes.
    const RolloutResult result = rollout.run(newerAnswer);
    CHECK(result.hasSentOrders);
    CHECK_MESSAGE((result.exitCode == 1 || result.exitCode == 3), result.output);
    CHECK(result.output.find("stage holds") == std::string::npos);
}
