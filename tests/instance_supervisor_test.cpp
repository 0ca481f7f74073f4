// Stories of the fleet's decisions, against hands that only write down what they are asked.
#include "supervisor/instance_supervisor.hpp"

#include <doctest/doctest.h>

using namespace poppyscale;
using supervisor::InstanceSupervisor;

namespace {

constexpr Nanos ms = kMillisecond;

struct Fleet : supervisor::SupervisorHost {
    explicit Fleet(int count, int batch = 1)
        : keeper({count, batch, 1'000 * ms, 500 * ms, 100 * ms, 1'600 * ms, 10'000 * ms, 3'000 * ms}, 7,
                 *this) {
        settle();
        for (int i = 0; i < count; ++i) keeper.onReady(now, i);
        settle();
        asked.clear();
    }
    void start(int i) override { asked += "+" + std::to_string(i); }
    void stop(int i) override { asked += "-" + std::to_string(i); }
    void kill(int i) override { asked += "!" + std::to_string(i); }
    void upgrade(int i) override { asked += "^" + std::to_string(i); }
    void log(std::string_view) override {}
    // What is asked by then.
    std::string settle(Nanos later = 0) {
        asked.clear();
        now += later;
        keeper.reconcile(now);
        return asked;
    }
    Nanos now = 1;
    std::string asked;
    InstanceSupervisor keeper;
};

}  // namespace

TEST_CASE("what ends is started again after pauses that grow, differ, and begin anew when it was steady") {
    Fleet f(1);
    Nanos last = 0;
    for (const Nanos pause : {100, 200, 400, 800, 1'600, 1'600}) {
        f.keeper.onExited(f.now, 0);
        CHECK(f.settle() == "");
        last = f.keeper.nextDeadline() - f.now;
        CHECK(last >= pause * ms / 2);
        CHECK(last <= pause * ms);
        CHECK(f.settle(last) == "+0");
        f.keeper.onReady(f.now, 0);
    }
    f.now += 20'000 * ms;
    f.keeper.onExited(f.now, 0);
    CHECK(f.keeper.nextDeadline() - f.now <= 100 * ms);
    Fleet many(8);
    for (int i = 0; i < 8; ++i) many.keeper.onExited(many.now, i);
    CHECK(many.settle(50 * ms) == "");
    const std::string half = many.settle(25 * ms);
    CHECK(half.size() > 0);
    CHECK(half.size() < 16);  // not all in step
}

TEST_CASE("one that does not get ready is ended, and one that does not stop too") {
    Fleet f(1);
    f.keeper.onExited(f.now, 0);
    CHECK(f.settle(100 * ms) == "+0");
    CHECK(f.settle(1'000 * ms) == "!0");
    CHECK(f.settle(1'000 * ms) == "");  // once
    f.keeper.onExited(f.now, 0);
    CHECK(f.settle(200 * ms) == "+0");
    f.keeper.onReady(f.now, 0);
    f.keeper.stopAll();
    CHECK(f.settle() == "-0");
    CHECK(f.settle(3'000 * ms) == "!0");
    f.keeper.onExited(f.now, 0);
    CHECK(f.keeper.allStopped());
    CHECK(f.settle(10'000 * ms) == "");
}

TEST_CASE("a roll goes a batch at a time, each up and watched before the next") {
    Fleet f(3, 2);
    REQUIRE(f.keeper.startRolling(f.now, InstanceSupervisor::RollingOperation::restart));
    CHECK_FALSE(f.keeper.startRolling(f.now, InstanceSupervisor::RollingOperation::upgrade));
    CHECK(f.settle() == "-0-1");
    f.keeper.onExited(f.now, 0);
    f.keeper.onExited(f.now, 1);
    CHECK(f.settle() == "+0+1");  // at once: their end was asked for
    f.keeper.onReady(f.now, 0);
    CHECK(f.settle(900 * ms) == "");
    f.keeper.onReady(f.now, 1);
    CHECK(f.settle() == "");
    CHECK(f.settle(499 * ms) == "");
    CHECK(f.settle(1 * ms) == "-2");
    f.keeper.onExited(f.now, 2);
    f.settle();
    f.keeper.onReady(f.now, 2);
    f.settle();
    f.settle(500 * ms);
    CHECK_FALSE(f.keeper.isRolling());
    CHECK(f.keeper.rollingProblem() == "");
    CHECK(f.keeper.restarts(0) == 0);
}

TEST_CASE("a roll that makes things worse stops and says why") {
    Fleet f(3);
    f.keeper.startRolling(f.now, InstanceSupervisor::RollingOperation::restart);
    f.settle();
    f.keeper.onExited(f.now, 0);
    f.settle();
    f.keeper.onReady(f.now, 0);
    f.settle();
    f.keeper.onExited(f.now + 100 * ms, 0);  // within the watch
    CHECK(f.keeper.rollingProblem() == "instance 0 ended after its turn");
    f.settle(200 * ms);
    f.keeper.onReady(f.now, 0);
    CHECK(f.settle(5'000 * ms) == "");  // nobody else's turn comes
    Fleet hangs(2);
    hangs.keeper.startRolling(hangs.now, InstanceSupervisor::RollingOperation::restart);
    hangs.settle();
    hangs.keeper.onExited(hangs.now, 0);
    hangs.settle();
    CHECK(hangs.settle(1'000 * ms) == "!0");
    CHECK(hangs.keeper.rollingProblem() == "instance 0 is not ready in time");
    Fleet refused(2);
    refused.keeper.startRolling(refused.now, InstanceSupervisor::RollingOperation::upgrade);
    CHECK(refused.settle() == "^0");
    refused.keeper.onUpgraded(refused.now, 0, "the new process ended");
    CHECK(refused.settle(5'000 * ms) == "");
    CHECK(refused.keeper.allReady());  // it goes on as it was
}

TEST_CASE("no turn of a roll comes while another instance is away") {
    Fleet f(3);
    f.keeper.startRolling(f.now, InstanceSupervisor::RollingOperation::upgrade);
    CHECK(f.settle() == "^0");
    f.keeper.onUpgraded(f.now, 0, "");
    f.keeper.onExited(f.now, 2);  // for a reason of its own
    CHECK(f.settle(1'000 * ms) == "+2");
    CHECK(f.settle(900 * ms) == "");
    f.keeper.onReady(f.now, 2);
    CHECK(f.settle(0) == "");
    CHECK(f.settle(500 * ms) == "^1");
}

TEST_CASE("a keeper that comes anew finds its instances and starts only what is not there") {
    Fleet unused(1);
    std::string asked;
    struct Hands : supervisor::SupervisorHost {
        explicit Hands(std::string& asked) : asked(asked) {}
        void start(int i) override { asked += "+" + std::to_string(i); }
        void stop(int) override {}
        void kill(int) override {}
        void upgrade(int) override {}
        void log(std::string_view) override {}
        std::string& asked;
    } hands(asked);
    InstanceSupervisor keeper({3, 1, 1'000 * ms, 0, 100 * ms, 1'000 * ms, 1'000 * ms, 1'000 * ms}, 1, hands);
    keeper.onFound(1, 0, true);
    keeper.onFound(1, 2, false);
    keeper.reconcile(1);
    CHECK(asked == "+1");
}
