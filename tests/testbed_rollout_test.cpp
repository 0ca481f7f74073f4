// Staged changes on real processes: agents, coordinators and routers on the testbed's machines, with faults
// between them. Every command is audited, and so is what the coordinator says against what each router runs.
#include <doctest/doctest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <semaphore>
#include <string>
#include <vector>

namespace {

constexpr int kLate = 3;                                     // of the testbed: the run proves nothing
constexpr std::uintmax_t kRoom = 4ULL * 1024 * 1024 * 1024;  // for five days' programs, copies and logs

struct Played {
    std::string name;
    int code = kLate;
    std::string text, last, coordinator;
    bool says(const std::string& words) const { return text.find(words) != std::string::npos; }
};

// A day of roll-same with another change, and faults beside it.
struct Day {
    std::string name;
    std::string change = "same";
    std::string faults;
    std::string more;  // of [roll]
};

std::string fault(const std::string& kind, int at, int length, const std::string& more = "") {
    return "[[faults]]\nkind = \"" + kind + "\"\nat_ms = " + std::to_string(at) +
           "\nfor_ms = " + std::to_string(length) + "\n" + more + "\n";
}

class Days {
  public:
    Days() {
        // In memory where there is some: each day copies programs for its machines, and a testbed that waits
        // for a disk to write them is late.
        const std::filesystem::path memory = "/dev/shm";
        std::error_code none;
        const auto space = std::filesystem::space(memory, none);
        const bool fits = !none && space.available > kRoom;
        std::string name =
            ((fits ? memory : std::filesystem::temp_directory_path()) / "poppyroll-XXXXXX").string();
        folder_ = mkdtemp(name.data());
    }
    ~Days() { std::filesystem::remove_all(folder_); }
    Days(const Days&) = delete;
    Days& operator=(const Days&) = delete;

    // Twenty routers, killed at random and upgraded in turn at once.
    Played minute() const {
        const std::string text = scenario(
            "twenty-minute", {{"per_second = 600", "per_second = 150"}, {"count = 60", "count = 24"}});
        return run("minute", text, " --operated");
    }
    // All days and the minute, which comes last. Some at a time: each is a dozen processes, and a testbed
    // that runs late proves nothing, in either way. What was late beside other days or other work of the
    // machine is played once more beside fewer, and then alone; what proves something is never played again.
    std::vector<Played> play(const std::vector<Day>& days) const {
        std::vector<Played> all(days.size() + 1);
        for (const int beside : {5, 2, 1}) {
            std::counting_semaphore<> room(beside);
            std::vector<std::future<void>> plays;
            // The minute first, as it is the longest.
            for (std::size_t i = days.size() + 1; i-- > 0;)
                if (all[i].code == kLate)
                    plays.push_back(std::async(std::launch::async, [&, i] {
                        room.acquire();
                        all[i] = i == days.size() ? minute() : one(days[i]);
                        room.release();
                    }));
            for (auto& play : plays) play.get();
        }
        return all;
    }

  private:
    static std::string scenario(const std::string& name,
                                const std::vector<std::pair<std::string, std::string>>& changes) {
        std::ifstream file(SCENARIOS "/" + name + ".toml");
        std::string text{std::istreambuf_iterator<char>(file), {}};
        text.erase(text.find("[holds]"));
        for (const auto& [from, to] : changes) {
            const auto at = text.find(from);
            if (at != std::string::npos) text.replace(at, from.size(), to);
        }
        return text;
    }
    Played one(const Day& day) const {
        // Two machines and half of the load: what is built with sanitizers is slow.
        std::vector<std::pair<std::string, std::string>> changes{
            {"count = 4", "count = 2"},
            {"instances = 5", "instances = 3"},
            {"per_second = 500", "per_second = 150"},
            {"watch_ms = 4000", "watch_ms = 2500"},
            {"least_ms = 4000", "least_ms = 3000"},
            {"settle_ms = 2000", "settle_ms = 1000"},
            {"0.25", "0.34"},
            {"harm = 0.03", "harm = 0.05"},
            {"change = \"same\"", "change = \"" + day.change + "\"\n" + day.more}};
        if (day.change == "deaf") changes.emplace_back("[routers]", "list = \"file\"\n[routers]");
        return run(day.name, scenario("roll-same", changes) + day.faults, " --ctl " POPPYCTL);
    }
    Played run(const std::string& name, const std::string& text, const std::string& words) const {
        const std::string path = folder_ + "/" + name + ".toml", out = folder_ + "/" + name;
        std::ofstream(path) << text;
        Played played{name, -1, "", "", ""};
        FILE* const pipe = popen((std::string(POPPYSCALE_TESTBED_PROGRAM " run ") + path +
                                  " --program " POPPYSCALE_PROGRAM + words + " --out " + out + " 2>&1")
                                     .c_str(),
                                 "r");
        std::array<char, 4096> buffer{};
        while (const std::size_t got = std::fread(buffer.data(), 1, buffer.size(), pipe))
            played.text.append(buffer.data(), got);
        const int status = pclose(pipe);
        played.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        const auto end = played.text.find_last_not_of('\n');
        played.last = played.text.substr(played.text.find_last_of('\n', end) + 1);
        std::ifstream log(out + "/coordinator.log");
        played.coordinator.assign(std::istreambuf_iterator<char>(log), {});
        played.text += played.coordinator;
        return played;
    }

    std::string folder_;
};

}  // namespace

TEST_CASE(
    "staged changes on machines: what harms is stopped and undone, what does not goes through all troubles") {
    struct Expected : Day {
        std::string outcome;  // in the line of figures
        std::string word;     // that the coordinators' log holds
    };
    const std::string went = " went=1 stopped=0 undone=0", undone = " went=0 stopped=1 undone=1";
    const std::string notUndone = " went=0 stopped=1 undone=0";
    const std::string killed =
        fault("coordinator_kill", 5500, 1000) + fault("agent_kill", 9000, 800, "machine = 1");
    const std::string twice =
        fault("coordinator_twice", 6000, 1) + fault("machine_lost", 9000, 2000, "machine = 1");
    const std::string cut = fault("machine_cut", 6000, 6000, "machine = 0\nway = \"from\"") +
                            fault("agent_stop", 9000, 5000, "machine = 1");
    // Each coordinator on a machine, which are cut from one another: the later one waits until it hears all.
    const std::string apart = fault("machine_cut", 5000, 6000, "machine = 0\nothers = [1]") +
                              fault("coordinator_twice", 6000, 1, "machine = 1");
    const std::string clocks = fault("clock_rate", 3000, 30000, "by = 1.08\nmachine = 0") +
                               fault("clock_rate", 3000, 30000, "by = 0.92\nmachine = 1") +
                               fault("clock_jump", 7000, 5000, "by = 3600000\nmachine = 0") +
                               fault("clock_jump", 8000, 5000, "by = -3600000\nmachine = 1");
    const std::string disks = fault("disk_slow", 3000, 35000, "by = 700\nmachine = 0") +
                              fault("sync_fails", 7000, 20000, "count = 2\nmachine = 1") +
                              fault("machine_sleep", 10000, 3000, "machine = 1");
    const std::string drained = fault("drain", 7000, 3000, "count = 4") +
                                fault("drain", 10500, 3000, "count = 4") +
                                fault("drain", 14000, 3000, "count = 4");
    const std::vector<Expected> all{
        {{"coordinator-killed", "same", killed, ""}, went, "number=2"},
        {{"two-coordinators", "same", twice, ""}, went, "overtaken"},
        {{"cut-from", "same", cut, ""}, went, "stage holds"},
        {{"apart", "same", apart, "machine = 0\n"}, went, "overtaken"},
        {{"clocks", "same", clocks, ""}, went, "stage holds"},
        {{"disks", "same", disks, ""}, went, "stage holds"},
        {{"machine-killed", "same", fault("machine_kill", 7000, 1500, "machine = 0"), ""},
         went,
         "stage holds"},
        {{"ends", "ends", "", ""}, undone, "unexpected exits on"},
        {{"ends-in-drain", "ends", "", "size = 0.3\n"}, undone, "unexpected exits on"},
        {{"slower", "slower", "", "size = 0.6\n"}, undone, "why=slower"},
        {{"lossy", "lossy", "", "size = 0.05\n"}, undone, "answered"},
        {{"drains", "drains", drained, ""}, undone, "relays"},
        {{"deaf", "deaf", "", ""}, undone, "stops"},
        {{"disk-full", "same", fault("disk_full", 6000, 38000, "machine = 0"), ""}, notUndone, "can't write"},
        {{"read-only", "same", fault("disk_read_only", 6000, 38000, "machine = 0"), ""},
         notUndone,
         "Read-only file system"},
        {{"way-back-gone", "slower", fault("program_gone", 5500, 500, "machine = 0"), "size = 0.6\n"},
         notUndone,
         "can't run"}};
    const Days days;
    const auto played = days.play({all.begin(), all.end()});
    const Played& twenty = played.back();
    CHECK_MESSAGE(twenty.code == 0, twenty.text);
    CHECK(twenty.last.starts_with("verdict: kept"));
    for (std::size_t i = 0; i < all.size(); ++i) {
        const Played& p = played[i];
        CAPTURE(p.name);
        CHECK_MESSAGE(p.code == 0, p.text);
        CHECK(p.last.starts_with("verdict: kept"));
        CHECK_MESSAGE(p.says(all[i].outcome), p.text);
        CHECK_MESSAGE(p.coordinator.find(all[i].word) != std::string::npos, p.coordinator);
        // Of what harms a third stage never comes.
        if (all[i].outcome != went)
            CHECK_MESSAGE(p.coordinator.find("stage=3") == std::string::npos, p.coordinator);
    }
}
