// System calls of the router that fail for a moment, in the ways that Linux documents: every request has its
// answer.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/mman.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

#include "fixtures.hpp"
#include "testbed/fault_injection/fault_plan.hpp"

using namespace poppyscale;
using namespace poppyscale::test;
using namespace std::chrono_literals;
namespace fault_injection = poppyscale::testbed::fault_injection;

namespace {

// The plan that a router started while this lives maps.
class FaultPlan {
  public:
    FaultPlan() {
        char path[] = "/tmp/poppyscale-faults-XXXXXX";
        const int fd = mkstemp(path);
        file_ = path;
        if (fd < 0 || ftruncate(fd, sizeof(fault_injection::FaultPlan)) != 0)
            throw std::runtime_error("no file for a plan");
        void* const at =
            mmap(nullptr, sizeof(fault_injection::FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        close(fd);
        if (at == MAP_FAILED) throw std::runtime_error("no memory for a plan");
        plan_ = new (at) fault_injection::FaultPlan;
        setenv(fault_injection::kPlanVariable, path, 1);
        setenv("LD_PRELOAD", POPPYSCALE_FAULT_INJECTION, 1);
        setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    }
    ~FaultPlan() {
        unsetenv(fault_injection::kPlanVariable);
        unsetenv("LD_PRELOAD");
        unsetenv("ASAN_OPTIONS");
        munmap(plan_, sizeof(fault_injection::FaultPlan));
        unlink(file_.c_str());
    }
    FaultPlan(const FaultPlan&) = delete;
    FaultPlan& operator=(const FaultPlan&) = delete;

    void fail(fault_injection::SystemCall call, fault_injection::FaultEffect way, double share) {
        plan_->share[static_cast<std::size_t>(call)][static_cast<std::size_t>(way)] =
            static_cast<std::uint32_t>(share * fault_injection::kOne);
    }
    std::uint64_t happened(fault_injection::SystemCall call, fault_injection::FaultEffect way) const {
        return plan_->occurrences[static_cast<std::size_t>(call)][static_cast<std::size_t>(way)];
    }

  private:
    std::string file_;
    fault_injection::FaultPlan* plan_ = nullptr;
};

// A cache server that has every key.
class FullCache {
  public:
    FullCache() : thread_([this] { run(); }) {}
    ~FullCache() {
        stopped_ = true;
        thread_.join();
    }
    TestServer door;

  private:
    void run() {
        std::vector<Socket> peers;
        while (!stopped_) {
            if (!door.quiet(1)) peers.push_back(door.accept());
            for (Socket& peer : peers)
                while (peer.open() && !peer.quiet(0)) {
                    if (peer.command().empty()) {
                        peer.hangUp();
                        break;
                    }
                    peer.say(hit("value"));
                }
        }
    }
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

struct Counted {
    int answered = 0;
    int rejected = 0;
    int unanswered = 0;
};

// Requests, each on a connection of its own.
Counted ask(std::uint16_t port, int requests) {
    Counted counted;
    for (int i = 0; i < requests; ++i) {
        Socket client(port);
        client.say(get("k" + std::to_string(i % 20)));
        const std::string answer = client.answer();
        if (answer == "value")
            ++counted.answered;
        else if (answer.starts_with("-"))
            ++counted.rejected;
        else
            ++counted.unanswered;
    }
    return counted;
}

struct Case {
    fault_injection::SystemCall call;
    fault_injection::FaultEffect way;
    double share;
};

void checkCases(const std::vector<Case>& cases, int requests) {
    FaultPlan plan;
    FullCache cache;
    ReservedPort place;
    TestServer discovery;
    auto start = smallStart();
    start["listen"] = "127.0.0.1:" + std::to_string(place.port);
    start["discovery"] = discovery.address();
    start["known"] = {{"version", 7}, {"full", true}, {"servers", {entryOf("c0", cache.door)}}};
    Program program(start.dump());
    for (int tries = 0; tries < 100 && Socket(place.port).say(array({"PING"})).line() != "+PONG"; ++tries)
        std::this_thread::sleep_for(50ms);
    for (const Case& one : cases) plan.fail(one.call, one.way, one.share);
    const Counted counted = ask(place.port, requests);
    CAPTURE(program.log());
    CHECK(counted.unanswered == 0);
    CHECK(counted.answered + counted.rejected == requests);
    CHECK(counted.answered > requests / 2);
    for (const Case& one : cases) {
        CAPTURE(fault_injection::kSystemCallNames[static_cast<std::size_t>(one.call)]);
        CAPTURE(fault_injection::kFaultEffectNames[static_cast<std::size_t>(one.way)]);
        CHECK(plan.happened(one.call, one.way) > 0);
    }
    CHECK(program.running());
    CHECK(program.log().find("invariant violated") == std::string::npos);
}

}  // namespace

TEST_CASE("a client that connects while accepting fails for a moment has its answer") {
    using fault_injection::FaultEffect;
    using fault_injection::SystemCall;
    for (const FaultEffect way : {FaultEffect::noFiles, FaultEffect::noBuffers, FaultEffect::noMemory,
                                  FaultEffect::aborted, FaultEffect::interrupted}) {
        CAPTURE(fault_injection::kFaultEffectNames[static_cast<std::size_t>(way)]);
        checkCases({{SystemCall::accept, way, 0.1}}, 200);
    }
}

TEST_CASE("connections to servers that can't be made for a moment cost no request its answer") {
    using fault_injection::FaultEffect;
    using fault_injection::SystemCall;
    checkCases({{SystemCall::socket, FaultEffect::noFiles, 0.1},
                {SystemCall::connect, FaultEffect::noAddress, 0.1},
                {SystemCall::connect, FaultEffect::unreachable, 0.1},
                {SystemCall::connect, FaultEffect::timedOut, 0.1},
                {SystemCall::read, FaultEffect::noHost, 0.1}},
               300);
}

TEST_CASE("short and interrupted reads, writes and polls change nothing") {
    using fault_injection::FaultEffect;
    using fault_injection::SystemCall;
    checkCases({{SystemCall::read, FaultEffect::partial, 0.6},
                {SystemCall::read, FaultEffect::interrupted, 0.1},
                {SystemCall::read, FaultEffect::tryAgain, 0.1},
                {SystemCall::write, FaultEffect::partial, 0.6},
                {SystemCall::write, FaultEffect::interrupted, 0.1},
                {SystemCall::write, FaultEffect::tryAgain, 0.1},
                {SystemCall::pollWait, FaultEffect::interrupted, 0.2}},
               300);
}

TEST_CASE("all of these together") {
    using fault_injection::FaultEffect;
    using fault_injection::SystemCall;
    checkCases({{SystemCall::accept, FaultEffect::noFiles, 0.05},
                {SystemCall::accept, FaultEffect::aborted, 0.05},
                {SystemCall::socket, FaultEffect::noBuffers, 0.5},
                {SystemCall::connect, FaultEffect::noHost, 0.5},
                {SystemCall::read, FaultEffect::partial, 0.4},
                {SystemCall::read, FaultEffect::timedOut, 0.02},
                {SystemCall::write, FaultEffect::partial, 0.4},
                {SystemCall::write, FaultEffect::noBuffers, 0.05},
                {SystemCall::pollWait, FaultEffect::interrupted, 0.1}},
               300);
}
