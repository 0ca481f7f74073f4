// Stories of the coordinator as a program, beside agents of other versions that are played here.
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

// An agent with one instance that says what its version does.
class Agent {
  public:
    Agent(const std::string& path, std::function<json(const json& asked, const json& usual)> says)
        : door_(path, [this, says = std::move(says)](auto who, const json& asked) {
              heard += asked.value("do", "") + ";";
              door_.answer(who, says(asked, usual()));
          }) {
        thread_ = std::jthread([this](const std::stop_token& stop) {
            while (!stop.stop_requested()) {
                door_.runIteration();
                usleep(5'000);
            }
        });
    }
    ~Agent() {
        thread_.request_stop();
        thread_.join();
    }
    static json usual() {
        rollout::Report r;
        r.instances.push_back(
            {"r0", "north", rollout::InstanceState::original, true, 60'000 * kMillisecond, 0, "", {}});
        return rollout::toJson(r, {json{{"format", 1}}});
    }
    std::string heard;

  private:
    ctl::ControlListener door_;
    std::jthread thread_;
};

struct Rolled {
    int code = -1;
    std::string text;
};

struct Beside {
    Beside() {
        char name[] = "/tmp/poppyscale-agents-XXXXXX";
        folder = mkdtemp(name);
    }
    ~Beside() { std::filesystem::remove_all(folder); }
    // The coordinator over one agent of the present version and that other one.
    Rolled roll(const std::function<json(const json&, const json&)>& other, const std::string& words = "") {
        Agent present(folder + "/a.sock", [](const json&, const json& usual) { return usual; });
        Agent old(folder + "/b.sock", other);
        std::ofstream(folder + "/plan.toml")
            << "[change]\nprogram = \"/bin/true\"\n[stage]\nwatch_ms = 1500\nleast_ms = 1000\nlongest_ms = "
               "2000\n[back]\nwithin_ms = 1000\n[[agents]]\nname = \"present\"\nsocket = \"" +
                   folder + "/a.sock\"\n[[agents]]\nname = \"other\"\nsocket = \"" + folder + "/b.sock\"\n";
        FILE* const pipe = popen((POPPYCTL " roll " + words + folder + "/plan.toml 2>&1").c_str(), "r");
        Rolled rolled;
        char buffer[4096];
        while (const std::size_t got = std::fread(buffer, 1, sizeof buffer, pipe))
            rolled.text.append(buffer, got);
        const int status = pclose(pipe);
        rolled.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        toldToRoll = (present.heard + old.heard).find("roll;") != std::string::npos;
        return rolled;
    }
    std::string folder;
    bool toldToRoll = false;
};

}  // namespace

TEST_CASE("agents of the version before are refused by name, and nothing is begun") {
    Beside one, two;
    auto format = std::async(std::launch::async, [&] {
        return one.roll([](const json&, json usual) {
            usual["format"] = 0;
            return usual;
        });
    });
    const Rolled deaf = two.roll([](const json& asked, const json&) {
        return json{{"error", "'" + asked.value("do", "") + "' is not known here"}};
    });
    const Rolled other = format.get();
    CHECK(other.code == 1);
    CHECK_MESSAGE(other.text.find("other (format 0 is not known here, 1 is)") != std::string::npos,
                  other.text);
    CHECK_FALSE(one.toldToRoll);
    CHECK(deaf.code == 1);
    CHECK_MESSAGE(deaf.text.find("other ('look' is not known here)") != std::string::npos, deaf.text);
    CHECK_FALSE(two.toldToRoll);
}

TEST_CASE("what a newer agent says more is let be; an old program's instance tells nothing and is not good") {
    Beside beside;
    const auto newer = [](const json&, json usual) {
        usual["mood"] = "well";
        usual["instances"][0]["colour"] = {1, 2, 3};
        return usual;
    };
    const Rolled shown = beside.roll(newer, "--status ");
    CHECK(shown.code == 0);
    CHECK_MESSAGE(shown.text.find("tells no figures") != std::string::npos, shown.text);
    // It is begun, and as these agents never change anything and their instances tell nothing it does not
    // hold.
    const Rolled rolled = beside.roll(newer);
    CHECK(beside.toldToRoll);
    CHECK_MESSAGE((rolled.code == 1 || rolled.code == 3), rolled.text);
    CHECK(rolled.text.find("stage holds") == std::string::npos);
}
