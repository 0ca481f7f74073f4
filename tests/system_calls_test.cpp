// Every request gets a response while a share of the router's system calls fails in the ways that Linux
// documents.
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

// Shares a fault plan with a router that is started during its lifetime: the router maps the plan's file.
class FaultPlan {
  public:
    FaultPlan() {
        char path[] = "/tmp/poppyscale-faults-XXXXXX";
        const int fd = mkstemp(path);
        file_ = path;
        if (fd < 0 || ftruncate(fd, sizeof(fault_injection::InjectionPlan)) != 0)
            throw std::runtime_error("can't create the file of a fault plan");
        void* const memory =
            mmap(nullptr, sizeof(fault_injection::InjectionPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        close(fd);
        if (memory == MAP_FAILED) throw std::runtime_error("can't map the file of a fault plan");
        plan_ = new (memory) fault_injection::InjectionPlan;
        setenv(fault_injection::kPlanVariable, path, 1);
        setenv("LD_PRELOAD", POPPYSCALE_FAULT_INJECTION, 1);
        setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    }
    ~FaultPlan() {
        unsetenv(fault_injection::kPlanVariable);
        unsetenv("LD_PRELOAD");
        unsetenv("ASAN_OPTIONS");
        munmap(plan_, sizeof(fault_injection::InjectionPlan));
        unlink(file_.c_str());
    }
    FaultPlan(const FaultPlan&) = delete;
    FaultPlan& operator=(const FaultPlan&) = delete;

    void setShare(fault_injection::SystemCall call, fault_injection::FaultEffect effect, double share) {
        plan_->share[static_cast<std::size_t>(call)][static_cast<std::size_t>(effect)] =
            static_cast<std::uint32_t>(share * fault_injection::kShareUnit);
    }
    std::uint64_t occurrences(fault_injection::SystemCall call, fault_injection::FaultEffect effect) const {
        return plan_->occurrences[static_cast<std::size_t>(call)][static_cast<std::size_t>(effect)];
    }

  private:
    std::string file_;
    fault_injection::InjectionPlan* plan_ = nullptr;
};

// A cache server that has every key.
class AlwaysHitCache {
  public:
    AlwaysHitCache() : thread_([this] { run(); }) {}
    ~AlwaysHitCache() {
        stopped_ = true;
        thread_.join();
    }
    TestServer server;

  private:
    void run() {
        std::vector<Socket> peers;
        while (!stopped_) {
            if (!server.isQuiet(1)) peers.push_back(server.accept());
            for (Socket& peer : peers)
                while (peer.isOpen() && !peer.isQuiet(0)) {
                    if (peer.readCommand().empty()) {
                        peer.close();
                        break;
                    }
                    peer.send(hit("value"));
                }
        }
    }
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

struct ResponseCounts {
    int answered = 0;
    int rejected = 0;
    int unanswered = 0;
};

// Sends requests, each on its own connection, and counts the responses.
ResponseCounts sendRequests(std::uint16_t port, int requests) {
    ResponseCounts counts;
    for (int i = 0; i < requests; ++i) {
        Socket client(port);
        client.send(get("k" + std::to_string(i % 20)));
        const std::string answer = client.readResponse();
        if (answer == "value")
            ++counts.answered;
        else if (answer.starts_with("-"))
            ++counts.rejected;
        else
            ++counts.unanswered;
    }
    return counts;
}

struct FaultCase {
    fault_injection::SystemCall call;
    fault_injection::FaultEffect effect;
    double share;
};

void checkResponsesDuringFaults(const std::vector<FaultCase>& cases, int requests) {
    FaultPlan plan;
    AlwaysHitCache cache;
    ReservedPort routerPort;
    TestServer discovery;
    auto start = minimalStartConfig();
    start["listen"] = "127.0.0.1:" + std::to_string(routerPort.port);
    start["discovery"] = discovery.address();
    start["known"] = {{"version", 7}, {"full", true}, {"servers", {entryOf("c0", cache.server)}}};
    Program program(start.dump());
    for (int tries = 0; tries < 100 && Socket(routerPort.port).send(array({"PING"})).readLine() != "+PONG";
         ++tries)
        std::this_thread::sleep_for(50ms);
    for (const FaultCase& fault : cases) plan.setShare(fault.call, fault.effect, fault.share);
    const ResponseCounts counts = sendRequests(routerPort.port, requests);
    CAPTURE(program.log());
    CHECK(counts.unanswered == 0);
    CHECK(counts.answered + counts.rejected == requests);
    CHECK(counts.answered > requests / 2);
    for (const FaultCase& fault : cases) {
        CAPTURE(fault_injection::kSystemCallNames[static_cast<std::size_t>(fault.call)]);
        CAPTURE(fault_injection::kFaultEffectNames[static_cast<std::size_t>(fault.effect)]);
        CHECK(plan.occurrences(fault.call, fault.effect) > 0);
    }
    CHECK(program.isRunning());
    CHECK(program.log().find("invariant violated") == std::string::npos);
}

}  // namespace

TEST_CASE("Responds to every client while accepting connections fails intermittently") {
    using fault_injection::FaultEffect;
    using fault_injection::SystemCall;
    for (const FaultEffect effect : {FaultEffect::fileTableFull, FaultEffect::noBuffers,
                                     FaultEffect::noMemory, FaultEffect::aborted, FaultEffect::interrupted}) {
        CAPTURE(fault_injection::kFaultEffectNames[static_cast<std::size_t>(effect)]);
        checkResponsesDuringFaults({{SystemCall::accept, effect, 0.1}}, 200);
    }
}

TEST_CASE("Responds to every request while connections to servers fail intermittently") {
    using fault_injection::FaultEffect;
    using fault_injection::SystemCall;
    checkResponsesDuringFaults({{SystemCall::socket, FaultEffect::fileTableFull, 0.1},
                                {SystemCall::connect, FaultEffect::noAddress, 0.1},
                                {SystemCall::connect, FaultEffect::networkUnreachable, 0.1},
                                {SystemCall::connect, FaultEffect::timedOut, 0.1},
                                {SystemCall::read, FaultEffect::hostUnreachable, 0.1}},
                               300);
}

TEST_CASE("Responds to every request while reads, writes and polls are partial or interrupted") {
    using fault_injection::FaultEffect;
    using fault_injection::SystemCall;
    checkResponsesDuringFaults({{SystemCall::read, FaultEffect::partial, 0.6},
                                {SystemCall::read, FaultEffect::interrupted, 0.1},
                                {SystemCall::read, FaultEffect::tryAgain, 0.1},
                                {SystemCall::write, FaultEffect::partial, 0.6},
                                {SystemCall::write, FaultEffect::interrupted, 0.1},
                                {SystemCall::write, FaultEffect::tryAgain, 0.1},
                                {SystemCall::pollWait, FaultEffect::interrupted, 0.2}},
                               300);
}

TEST_CASE("Responds to every request while accepts, connections, reads, writes and polls all fail at times") {
    using fault_injection::FaultEffect;
    using fault_injection::SystemCall;
    checkResponsesDuringFaults({{SystemCall::accept, FaultEffect::fileTableFull, 0.05},
                                {SystemCall::accept, FaultEffect::aborted, 0.05},
                                {SystemCall::socket, FaultEffect::noBuffers, 0.5},
                                {SystemCall::connect, FaultEffect::hostUnreachable, 0.5},
                                {SystemCall::read, FaultEffect::partial, 0.4},
                                {SystemCall::read, FaultEffect::timedOut, 0.02},
                                {SystemCall::write, FaultEffect::partial, 0.4},
                                {SystemCall::write, FaultEffect::noBuffers, 0.05},
                                {SystemCall::pollWait, FaultEffect::interrupted, 0.1}},
                               300);
}
