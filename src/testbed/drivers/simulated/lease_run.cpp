#include "testbed/drivers/simulated/lease_run.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lease/acceptor.hpp"
#include "lease/lease_holder.hpp"
#include "testbed/emulator/event_queue.hpp"
#include "testbed/emulator/random.hpp"

namespace poppyscale::testbed {
namespace {

using namespace lease;

constexpr Nanos kSecond = 1'000 * kMillisecond;
constexpr Nanos kDiskSyncTime = 4 * kMillisecond;
constexpr Nanos kLatency = 400 * 1000;  // mean one-way latency, without delays by faults
constexpr Nanos kCriticalSectionDuration = 200 * kMillisecond;
constexpr Nanos kActInterval = 500 * kMillisecond;
// Interval between the attempts of a router that holds a lease but may not act yet.
constexpr Nanos kRetryInterval = 10 * kMillisecond;
constexpr int kBytesPerMessage = 29;  // assumed size of an encoded lease message, for bytesPerFrame

double cpuSeconds() {
    timespec at{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) / 1e9;
}

class SimulatedLeaseRun {
  public:
    explicit SimulatedLeaseRun(const LeaseRunOptions& options)
        : options_(options),
          random_(options.seed * 7 + 1),
          faultRandom_(options.seed * 13 + 5),
          networkRandom_(options.seed * 17 + 9) {
        settings_.acceptorCount = options.acceptors;
        settings_.disabledSafeguards = options.disabledSafeguards;
        routers_.resize(static_cast<std::size_t>(options.routers));
        for (int index = 0; index < options.routers; ++index) {
            Router& router = routerAt(index);
            router.clockRate = 1 + settings_.rate * (2 * random_.fraction() - 1);
            router.clockZero = static_cast<Nanos>(random_.fraction() * 1e12);
            router.disk.hasState = true;
            startProcess(0, index);
        }
        leases_.resize(static_cast<std::size_t>(options.leases));
        // Spreads the candidates of each lease evenly over the routers; the k-th has rank k.
        for (int l = 0; l < options.leases; ++l)
            for (int k = 0; k < options.candidates; ++k)
                candidates_[(l + k * (options.routers / options.candidates) + k) % options.routers].push_back(
                    {static_cast<LeaseId>(l), k});
        for (int index = 0; index < options.routers; ++index) acquireAll(0, index);
    }

    LeaseRunResult run() {
        const auto startedAt = std::chrono::steady_clock::now();
        const double cpuAtStart = cpuSeconds();
        const auto end = static_cast<Nanos>(options_.seconds * 1e9);
        planFaults(kSecond * 10, end);
        events_.schedule(0, [this](Nanos t) { sample(t); });
        while (events_.next() <= end) events_.step(end);
        LeaseRunResult& result = result_;
        result.seconds = options_.seconds;
        result.wallSeconds =
            std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
        result.unheldShare =
            sampleCount_ ? static_cast<double>(unheldSampleCount_) / static_cast<double>(sampleCount_) : 0;
        std::sort(takeoverTimes_.begin(), takeoverTimes_.end());
        const auto quantile = [this](double q) {
            return takeoverTimes_.empty() ? 0
                                          : takeoverTimes_[static_cast<std::size_t>(
                                                q * static_cast<double>(takeoverTimes_.size() - 1))];
        };
        result.takeoverP50 = quantile(0.5);
        result.takeoverP99 = quantile(0.99);
        result.maxTakeover = quantile(1);
        result.framesPerSecond = static_cast<double>(frameCount_) / options_.routers / options_.seconds;
        result.bytesPerFrame = frameCount_ ? static_cast<double>(messageCount_) * kBytesPerMessage /
                                                 static_cast<double>(frameCount_)
                                           : 0;
        result.cpuMicros = (cpuSeconds() - cpuAtStart) * 1e6 / options_.routers / options_.seconds;
        result.digest = fmt::format("{:016x}", digest_);
        return result;
    }

  private:
    struct Disk {
        bool hasState = false;
        GrantRecords records;
    };
    struct Router {
        bool isUp = true, isSuspended = false;
        int incarnation = 0;
        double clockRate = 1;
        Nanos clockZero = 0, clockSetAt = 0, clockReading = 0;
        std::optional<Acceptor> acceptor;
        std::optional<LeaseHolder> holder;
        Disk disk;
        double lossRate = 0;
        bool isCutInbound = false, isCutOutbound = false;
        Nanos addedDelay = 0;
        Nanos wakeAt = kNever;
        std::vector<std::function<void(Nanos)>> deferred;  // events that arrived while it was suspended
    };
    struct Lease {
        Fence highestFence = 0;
        int lastActor = -1;  // the router that acts or acted last
        Nanos actUntil = 0;
        Nanos holderKilledAt = 0;  // 0 once a router has acted again
    };
    Router& routerAt(int index) { return routers_[static_cast<std::size_t>(index)]; }
    bool isAcceptor(int index) const { return index < options_.acceptors; }

    // The router's clock: it runs on while the machine sleeps, at the router's rate and from its own zero.
    Nanos localTimeOf(int index, Nanos now) {
        const Router& router = routerAt(index);
        return router.clockZero + router.clockReading +
               static_cast<Nanos>(static_cast<double>(now - router.clockSetAt) * router.clockRate);
    }
    Nanos trueTime(int index, Nanos localTime) {
        const Router& router = routerAt(index);
        return router.clockSetAt +
               static_cast<Nanos>(static_cast<double>(localTime - router.clockZero - router.clockReading) /
                                  router.clockRate);
    }

    void startProcess(Nanos now, int index) {
        Router& router = routerAt(index);
        router.isUp = true;
        router.isSuspended = false;
        ++router.incarnation;
        router.wakeAt = kNever;
        router.holder.emplace(
            settings_, static_cast<MemberId>(index + 1),
            static_cast<std::uint32_t>(options_.seed * 65'537 +
                                       static_cast<std::uint64_t>(index * 1'000 + router.incarnation)));
        if (isAcceptor(index))
            router.acceptor.emplace(
                settings_, index, localTimeOf(index, now),
                router.disk.hasState ? std::optional<GrantRecords>(router.disk.records) : std::nullopt);
    }
    void acquireAll(Nanos now, int index) {
        for (const auto& [lease, rank] : candidates_[index]) {
            routerAt(index).holder->acquire(localTimeOf(index, now), lease, rank);
            events_.schedule(now, [this, index, lease = lease, incarnation = routerAt(index).incarnation](
                                      Nanos t) { runTask(t, index, lease, incarnation); });
        }
        reconcile(now, index);
    }

    // ---- tasks: each acts as often as its lease allows, and the receiver of the acts checks them

    void runTask(Nanos now, int index, LeaseId lease, int incarnation) {
        Router& router = routerAt(index);
        if (!router.isUp || router.incarnation != incarnation) return;
        const auto repeat = [this, index, lease, incarnation](Nanos t) {
            runTask(t, index, lease, incarnation);
        };
        if (router.isSuspended) return router.deferred.push_back(repeat);
        const auto section =
            router.holder->enterCriticalSection(localTimeOf(index, now), lease, kCriticalSectionDuration);
        if (!section)
            return events_.schedule(
                now + (router.holder->isHolding(localTimeOf(index, now), lease) ? kRetryInterval
                                                                                : kActInterval),
                repeat);
        // Occasionally suspends the process between enterCriticalSection and the act.
        if (suspendsBeforeActs_ && faultRandom_.chance(0.0005)) {
            suspend(now, index, 2 * settings_.duration);
            router.deferred.push_back([this, index, lease, fence = section->fence, repeat](Nanos t) {
                recordAct(t, index, lease, fence, true);
                events_.schedule(t + kActInterval, repeat);
            });
            return;
        }
        recordAct(now, index, lease, section->fence, false);
        events_.schedule(now + kActInterval, repeat);
    }
    void recordAct(Nanos now, int index, LeaseId lease, Fence fence, bool isLate) {
        Lease& state = leases_[lease];
        if (isLate && fence < state.highestFence) return void(++result_.lateActsRejected);
        ++result_.acts;
        if (!isLate && state.lastActor != index && now < state.actUntil)
            recordViolation(result_.overlaps, now, index, lease, "two routers act at once");
        if (fence < state.highestFence)
            recordViolation(result_.fenceViolations, now, index, lease, "the fencing token decreased");
        state.highestFence = std::max(state.highestFence, fence);
        if (state.lastActor != index) {
            ++result_.actorChanges;
            if (state.holderKilledAt)
                takeoverTimes_.push_back(static_cast<double>(now - state.holderKilledAt) / 1e9);
        }
        state.holderKilledAt = 0;
        state.lastActor = index;
        if (!isLate) state.actUntil = now + kCriticalSectionDuration;
        const std::uint64_t act[] = {static_cast<std::uint64_t>(now), static_cast<std::uint64_t>(index),
                                     lease, fence};
        digest_ = XXH3_64bits_withSeed(act, sizeof act, digest_);
    }
    void recordViolation(long& count, Nanos now, int index, LeaseId lease, const char* rule) {
        if (count++ == 0 && result_.firstViolation.empty())
            result_.firstViolation =
                fmt::format("{:.3f} s: lease {}: {}: router {}, after router {}",
                            static_cast<double>(now) / 1e9, lease, rule, index, leases_[lease].lastActor);
    }

    // ---- messages

    template <class F>
    void send(Nanos now, int from, int to, std::size_t count, F deliver) {
        ++frameCount_;
        messageCount_ += count;
        Router &sender = routerAt(from), &receiver = routerAt(to);
        if (sender.isCutOutbound || receiver.isCutInbound || networkRandom_.chance(sender.lossRate) ||
            networkRandom_.chance(receiver.lossRate) || networkRandom_.chance(lossRate_))
            return;
        const auto latency =
            static_cast<Nanos>(static_cast<double>(kLatency) * (0.8 + 0.4 * networkRandom_.fraction())) +
            sender.addedDelay + receiver.addedDelay;
        events_.schedule(now + latency, [this, to, incarnation = receiver.incarnation,
                                         deliver = std::move(deliver)](Nanos t) {
            Router& router = routerAt(to);
            if (!router.isUp || router.incarnation != incarnation) return;
            if (router.isSuspended)
                return router.deferred.push_back([this, to, deliver](Nanos then) {
                    deliver(then);
                    reconcile(then, to);
                });
            deliver(t);
            reconcile(t, to);
        });
    }

    void reconcile(Nanos now, int index) {
        Router& router = routerAt(index);
        if (!router.isUp || router.isSuspended) return;
        auto actions = router.holder->reconcile(localTimeOf(index, now));
        std::map<int, std::vector<LeaseRequest>> requestsByAcceptor;
        for (const auto& [v, request] : actions.requests) requestsByAcceptor[v].push_back(request);
        for (auto& [v, all] : requestsByAcceptor) {
            const std::size_t count = all.size();
            send(now, index, v, count, [this, index, v = v, all = std::move(all)](Nanos t) {
                for (const LeaseRequest& request : all)
                    routerAt(v).acceptor->onRequest(localTimeOf(v, t), static_cast<MemberId>(index + 1),
                                                    request);
            });
        }
        for (const auto& [to, lease] : actions.offers)
            send(now, index, to - 1, 1, [this, to = to - 1, lease = lease](Nanos t) {
                routerAt(to).holder->onTransferOffered(localTimeOf(to, t), lease);
            });
        if (router.acceptor) reconcileAcceptor(now, index);
        const Nanos next = router.holder->nextDeadline();
        Nanos due = next == kNever ? kNever : trueTime(index, next) + 1;
        if (router.acceptor && router.acceptor->nextDeadline() != kNever)
            due = std::min(due, trueTime(index, router.acceptor->nextDeadline()) + 1);
        due = std::max(due, now + 1);
        if (due >= router.wakeAt && router.wakeAt > now) return;
        router.wakeAt = due;
        events_.schedule(due, [this, index, incarnation = router.incarnation, due](Nanos t) {
            if (routerAt(index).incarnation != incarnation || routerAt(index).wakeAt != due) return;
            routerAt(index).wakeAt = kNever;
            reconcile(t, index);
        });
    }
    void reconcileAcceptor(Nanos now, int index) {
        auto actions = routerAt(index).acceptor->reconcile(localTimeOf(index, now));
        std::map<int, std::vector<LeaseAnswer>> answersByHolder;
        for (const auto& [to, answer] : actions.answers) answersByHolder[to - 1].push_back(answer);
        for (auto& [to, all] : answersByHolder) {
            const std::size_t count = all.size();
            send(now, index, to, count, [this, index, to = to, all = std::move(all)](Nanos t) {
                for (const LeaseAnswer& a : all) routerAt(to).holder->onAnswer(localTimeOf(to, t), index, a);
            });
        }
        for (const auto& [to, recall] : actions.recalls)
            send(now, index, to, 1, [this, index, to = to](Nanos t) {
                routerAt(to).acceptor->onRequest(localTimeOf(to, t), index, RecallRequest{});
            });
        for (auto& [to, recallAnswer] : actions.recallAnswers) {
            const std::size_t count = recallAnswer.records.size() + 1;
            send(now, index, to, count, [this, index, to = to, answer = std::move(recallAnswer)](Nanos t) {
                routerAt(to).acceptor->onRecallAnswer(localTimeOf(to, t), index, answer);
            });
        }
        if (actions.ticket == 0) return;
        events_.schedule(now + kDiskSyncTime,
                         [this, index, incarnation = routerAt(index).incarnation,
                          records = std::move(actions.recordsToPersist), ticket = actions.ticket](Nanos t) {
                             Router& router = routerAt(index);
                             if (!router.isUp || router.incarnation != incarnation) return;
                             router.disk.hasState = true;
                             for (const auto& [lease, record] : records) router.disk.records[lease] = record;
                             const auto confirm = [this, index, ticket](Nanos then) {
                                 routerAt(index).acceptor->onPersisted(localTimeOf(index, then), ticket);
                                 reconcile(then, index);
                             };
                             if (router.isSuspended) return router.deferred.push_back(confirm);
                             confirm(t);
                         });
    }

    // ---- faults

    void kill(Nanos now, int index, bool keepsDisk, Nanos downtime) {
        Router& router = routerAt(index);
        if (!router.isUp) return;
        if (router.holder)
            for (const auto& [lease, rank] : candidates_[index])
                if (router.holder->isHolding(localTimeOf(index, now), lease)) {
                    ++result_.killedHolders;
                    if (!leases_[lease].holderKilledAt) leases_[lease].holderKilledAt = now;
                }
        router.isUp = false;
        router.deferred.clear();
        router.isCutInbound = router.isCutOutbound = false;
        if (!keepsDisk) router.disk = {};
        events_.schedule(now + downtime, [this, index](Nanos t) {
            if (routerAt(index).isUp) return;
            startProcess(t, index);
            acquireAll(t, index);
        });
    }
    void suspend(Nanos now, int index, Nanos length) {
        Router& router = routerAt(index);
        if (!router.isUp || router.isSuspended) return;
        router.isSuspended = true;
        events_.schedule(now + length, [this, index, incarnation = router.incarnation](Nanos t) {
            Router& resumed = routerAt(index);
            if (!resumed.isUp || resumed.incarnation != incarnation || !resumed.isSuspended) return;
            resumed.isSuspended = false;
            for (auto& callback : std::exchange(resumed.deferred, {})) callback(t);
            resumed.wakeAt = kNever;
            reconcile(t, index);
        });
    }
    bool areAllAcceptorsVoting() {
        for (int v = 0; v < options_.acceptors; ++v)
            if (!routerAt(v).isUp || routerAt(v).acceptor->state() != Acceptor::State::voting) return false;
        return true;
    }
    void planFaults(Nanos from, Nanos end) {
        if (options_.faults == "loss") lossRate_ = 0.1;
        if (options_.faults == "none" || options_.faults == "loss") return;
        suspendsBeforeActs_ = options_.faults == "all";
        const bool hasAllFaults = options_.faults == "all";
        for (Nanos t = from; t < end - 20 * kSecond;
             t += static_cast<Nanos>((hasAllFaults ? 0.5 + faultRandom_.fraction() * 3 : 4) * 1e9))
            events_.schedule(t, [this](Nanos now) { injectFault(now); });
    }
    void injectFault(Nanos now) {
        const auto length =
            static_cast<Nanos>((0.2 + 8 * faultRandom_.fraction() * faultRandom_.fraction()) * 1e9);
        const bool isAcceptorFault = faultRandom_.chance(0.5);
        const int index = isAcceptorFault ? faultRandom_.integerBelow(options_.acceptors)
                                          : faultRandom_.integerBelow(options_.routers);
        if (options_.faults == "restart") {
            const int v = restartCount_++ % options_.acceptors;
            return kill(now, v, true, kSecond / 2);
        }
        if (options_.faults == "flap") {
            routerAt(0).isCutInbound = routerAt(0).isCutOutbound = true;
            return events_.schedule(now + 2 * kSecond, [this](Nanos) {
                routerAt(0).isCutInbound = routerAt(0).isCutOutbound = false;
            });
        }
        if (options_.faults == "holders")
            return kill(now,
                        options_.acceptors + faultRandom_.integerBelow(options_.routers - options_.acceptors),
                        true, 10 * kSecond);
        switch (faultRandom_.integerBelow(8)) {
            case 0:
                return kill(now, index, true, length);
            case 1:
                // Acceptors lose their disks one at a time. If a majority lost them at once, the quarantine
                // would still rule out overlapping grants, but fencing tokens could be forgotten.
                return kill(now, index, isAcceptor(index) && !areAllAcceptorsVoting(), length);
            case 2:
                return suspend(now, index, length);
            case 3:
                routerAt(index).isCutInbound = true;
                return events_.schedule(now + length,
                                        [this, index](Nanos) { routerAt(index).isCutInbound = false; });
            case 4:
                routerAt(index).isCutOutbound = true;
                return events_.schedule(now + length,
                                        [this, index](Nanos) { routerAt(index).isCutOutbound = false; });
            case 5:
                routerAt(index).lossRate = 0.1 + 0.8 * faultRandom_.fraction();
                return events_.schedule(now + length, [this, index](Nanos) { routerAt(index).lossRate = 0; });
            case 6:
                // The delay can exceed a lease's duration.
                routerAt(index).addedDelay = length;
                return events_.schedule(now + length,
                                        [this, index](Nanos) { routerAt(index).addedDelay = 0; });
            default: {
                // Sets the clock's rate to a limit of the settings; its reading does not jump.
                Router& router = routerAt(index);
                router.clockReading = localTimeOf(index, now) - router.clockZero;
                router.clockSetAt = now;
                router.clockRate = 1 + settings_.rate * (faultRandom_.chance(0.5) ? 1 : -1);
                return;
            }
        }
    }

    // Counts ten times per second the leases that nobody holds.
    void sample(Nanos now) {
        if (now >= 2 * kSecond)
            for (LeaseId l = 0; l < leases_.size(); ++l) {
                bool isHeld = false;
                for (int k = 0; k < options_.candidates && !isHeld; ++k) {
                    const int index =
                        (static_cast<int>(l) + k * (options_.routers / options_.candidates) + k) %
                        options_.routers;
                    isHeld =
                        routerAt(index).isUp && routerAt(index).holder->isHolding(localTimeOf(index, now), l);
                }
                ++sampleCount_;
                unheldSampleCount_ += !isHeld;
            }
        events_.schedule(now + kSecond / 10, [this](Nanos t) { sample(t); });
    }

    LeaseRunOptions options_;
    lease::LeaseSettings settings_;
    Random random_, faultRandom_, networkRandom_;
    EventQueue events_;
    std::vector<Router> routers_;
    std::vector<Lease> leases_;
    // By router: the leases for which the router is a candidate, each with the router's rank.
    std::unordered_map<int, std::vector<std::pair<LeaseId, int>>> candidates_;
    double lossRate_ = 0;
    bool suspendsBeforeActs_ = false;
    int restartCount_ = 0;
    std::uint64_t frameCount_ = 0, messageCount_ = 0, digest_ = 0;
    long sampleCount_ = 0, unheldSampleCount_ = 0;
    std::vector<double> takeoverTimes_;
    LeaseRunResult result_;
};

}  // namespace

LeaseRunResult runSimulatedLeases(const LeaseRunOptions& options) { return SimulatedLeaseRun(options).run(); }

}  // namespace poppyscale::testbed
