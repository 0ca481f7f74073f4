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
constexpr Nanos kSync = 4 * kMillisecond;
constexpr Nanos kLatency = 400 * 1000;  // one way
constexpr Nanos kActLasts = 200 * kMillisecond;
constexpr Nanos kActEvery = 500 * kMillisecond;
constexpr Nanos kAskAct = 10 * kMillisecond;  // a task that may not act yet asks again

double cpuSeconds() {
    timespec at{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) / 1e9;
}

class SimulatedRun {
  public:
    explicit SimulatedRun(const LeaseRunOptions& p)
        : p_(p), random_(p.seed * 7 + 1), faults_(p.seed * 13 + 5), net_(p.seed * 17 + 9) {
        settings_.acceptorCount = p.acceptors;
        settings_.disabledSafeguards = p.disabledSafeguard;
        routers_.resize(static_cast<std::size_t>(p.routers));
        for (int r = 0; r < p.routers; ++r) {
            Router& one = at(r);
            one.rate = 1 + settings_.rate * (2 * random_.fraction() - 1);
            one.zero = static_cast<Nanos>(random_.fraction() * 1e12);
            one.disk.voted = true;
            start(0, r);
        }
        leases_.resize(static_cast<std::size_t>(p.leases));
        // Three candidates each, spread evenly: which is the first is drawn.
        for (int l = 0; l < p.leases; ++l)
            for (int k = 0; k < p.candidates; ++k)
                candidates_[(l + k * (p.routers / p.candidates) + k) % p.routers].push_back(
                    {static_cast<LeaseId>(l), k});
        for (int r = 0; r < p.routers; ++r) wantAll(0, r);
    }

    LeaseRunResult play() {
        const auto began = std::chrono::steady_clock::now();
        const double cpu = cpuSeconds();
        const auto end = static_cast<Nanos>(p_.seconds * 1e9);
        planFaults(kSecond * 10, end);
        events_.schedule(0, [this](Nanos t) { sample(t); });
        while (events_.next() <= end) events_.step(end);
        LeaseRunResult& o = out_;
        o.seconds = p_.seconds;
        o.wall = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        o.without = samples_ ? static_cast<double>(nobody_) / static_cast<double>(samples_) : 0;
        std::sort(gaps_.begin(), gaps_.end());
        const auto quantile = [this](double q) {
            return gaps_.empty() ? 0
                                 : gaps_[static_cast<std::size_t>(q * static_cast<double>(gaps_.size() - 1))];
        };
        o.p50 = quantile(0.5);
        o.p99 = quantile(0.99);
        o.most = quantile(1);
        o.framesPerSecond = static_cast<double>(frames_) / p_.routers / p_.seconds;
        o.bytesPerFrame = frames_ ? static_cast<double>(messages_) * 29 / static_cast<double>(frames_) : 0;
        o.cpuMicros = (cpuSeconds() - cpu) * 1e6 / p_.routers / p_.seconds;
        o.digest = fmt::format("{:016x}", digest_);
        return o;
    }

  private:
    struct Disk {
        bool voted = false;
        GrantRecords records;
    };
    struct Router {
        bool up = true, stopped = false;
        int incarnation = 0;
        double rate = 1;
        Nanos zero = 0, trueAt = 0, shownAt = 0;
        std::optional<Acceptor> acceptor;
        std::optional<LeaseHolder> holder;
        Disk disk;
        double loss = 0;
        bool cutTo = false, cutFrom = false;
        Nanos delay = 0;
        Nanos wakeAt = kNever;
        std::vector<std::function<void(Nanos)>> held;  // what came while it was stopped
    };
    struct Lease {
        Fence seen = 0;
        int actor = -1;  // who acts or acted last
        Nanos actsUntil = 0;
        Nanos diedAt = 0;  // its holder was killed, and nobody has acted since
    };
    Router& at(int r) { return routers_[static_cast<std::size_t>(r)]; }
    bool isAcceptorVoting(int r) const { return r < p_.acceptors; }

    // The clock that goes on while a machine sleeps, off by its rate, from a zero of its own.
    Nanos local(int r, Nanos now) {
        const Router& one = at(r);
        return one.zero + one.shownAt + static_cast<Nanos>(static_cast<double>(now - one.trueAt) * one.rate);
    }
    Nanos trueAt(int r, Nanos shown) {
        const Router& one = at(r);
        return one.trueAt +
               static_cast<Nanos>(static_cast<double>(shown - one.zero - one.shownAt) / one.rate);
    }

    void start(Nanos now, int r) {
        Router& one = at(r);
        one.up = true;
        one.stopped = false;
        ++one.incarnation;
        one.wakeAt = kNever;
        one.holder.emplace(settings_, static_cast<MemberId>(r + 1),
                           static_cast<std::uint32_t>(
                               p_.seed * 65'537 + static_cast<std::uint64_t>(r * 1'000 + one.incarnation)));
        if (isAcceptorVoting(r))
            one.acceptor.emplace(
                settings_, r, local(r, now),
                one.disk.voted ? std::optional<GrantRecords>(one.disk.records) : std::nullopt);
    }
    void wantAll(Nanos now, int r) {
        for (const auto& [lease, rank] : candidates_[r]) {
            at(r).holder->acquire(local(r, now), lease, rank);
            events_.schedule(now, [this, r, lease = lease, life = at(r).incarnation](Nanos t) {
                task(t, r, lease, life);
            });
        }
        reconcile(now, r);
    }

    // ---- tasks: each acts as often as it may, and the receiver of its acts sees who

    void task(Nanos now, int r, LeaseId lease, int life) {
        Router& one = at(r);
        if (!one.up || one.incarnation != life) return;
        const auto again = [this, r, lease, life](Nanos t) { task(t, r, lease, life); };
        if (one.stopped) return one.held.push_back(again);
        const auto act = one.holder->enterCriticalSection(local(r, now), lease, kActLasts);
        if (!act)
            return events_.schedule(now + (one.holder->isHolding(local(r, now), lease) ? kAskAct : kActEvery),
                                    again);
        // Once in a while it is stopped just between the question and the act.
        if (stops_ && faults_.chance(0.0005)) {
            stop(now, r, 2 * settings_.duration);
            one.held.push_back([this, r, lease, fence = act->fence, again](Nanos t) {
                arrive(t, r, lease, fence, true);
                events_.schedule(t + kActEvery, again);
            });
            return;
        }
        arrive(now, r, lease, act->fence, false);
        events_.schedule(now + kActEvery, again);
    }
    void arrive(Nanos now, int r, LeaseId lease, Fence fence, bool late) {
        Lease& l = leases_[lease];
        if (late && fence < l.seen) return void(++out_.lateRefused);
        ++out_.acts;
        if (!late && l.actor != r && now < l.actsUntil)
            broke(out_.overlaps, now, r, lease, "two act at once");
        if (fence < l.seen) broke(out_.violations, now, r, lease, "the fence fell");
        l.seen = std::max(l.seen, fence);
        if (l.actor != r) {
            ++out_.changes;
            if (l.diedAt) gaps_.push_back(static_cast<double>(now - l.diedAt) / 1e9);
        }
        l.diedAt = 0;
        l.actor = r;
        if (!late) l.actsUntil = now + kActLasts;
        const std::uint64_t what[] = {static_cast<std::uint64_t>(now), static_cast<std::uint64_t>(r), lease,
                                      fence};
        digest_ = XXH3_64bits_withSeed(what, sizeof what, digest_);
    }
    void broke(long& count, Nanos now, int r, LeaseId lease, const char* what) {
        if (count++ == 0 && out_.first.empty())
            out_.first = fmt::format("{:.3f} s: lease {}: {}, by router {} beside {}",
                                     static_cast<double>(now) / 1e9, lease, what, r, leases_[lease].actor);
    }

    // ---- between them

    template <class F>
    void send(Nanos now, int from, int to, std::size_t count, F what) {
        ++frames_;
        messages_ += count;
        Router &a = at(from), &b = at(to);
        if (a.cutFrom || b.cutTo || net_.chance(a.loss) || net_.chance(b.loss) || net_.chance(loss_)) return;
        const auto way = static_cast<Nanos>(static_cast<double>(kLatency) * (0.8 + 0.4 * net_.fraction())) +
                         a.delay + b.delay;
        events_.schedule(now + way, [this, to, life = b.incarnation, what = std::move(what)](Nanos t) {
            Router& one = at(to);
            if (!one.up || one.incarnation != life) return;
            if (one.stopped)
                return one.held.push_back([this, to, what](Nanos then) {
                    what(then);
                    reconcile(then, to);
                });
            what(t);
            reconcile(t, to);
        });
    }

    void reconcile(Nanos now, int r) {
        Router& one = at(r);
        if (!one.up || one.stopped) return;
        auto wanted = one.holder->reconcile(local(r, now));
        std::map<int, std::vector<LeaseRequest>> asks;
        for (const auto& [v, ask] : wanted.requests) asks[v].push_back(ask);
        for (auto& [v, all] : asks) {
            const std::size_t count = all.size();
            send(now, r, v, count, [this, r, v = v, all = std::move(all)](Nanos t) {
                for (const LeaseRequest& ask : all)
                    at(v).acceptor->onRequest(local(v, t), static_cast<MemberId>(r + 1), ask);
            });
        }
        for (const auto& [to, lease] : wanted.offers)
            send(now, r, to - 1, 1, [this, to = to - 1, lease = lease](Nanos t) {
                at(to).holder->onTransferOffered(local(to, t), lease);
            });
        if (one.acceptor) reconcileAcceptor(now, r);
        const Nanos next = one.holder->nextDeadline();
        Nanos due = next == kNever ? kNever : trueAt(r, next) + 1;
        if (one.acceptor && one.acceptor->nextDeadline() != kNever)
            due = std::min(due, trueAt(r, one.acceptor->nextDeadline()) + 1);
        due = std::max(due, now + 1);
        if (due >= one.wakeAt && one.wakeAt > now) return;
        one.wakeAt = due;
        events_.schedule(due, [this, r, life = one.incarnation, due](Nanos t) {
            if (at(r).incarnation != life || at(r).wakeAt != due) return;
            at(r).wakeAt = kNever;
            reconcile(t, r);
        });
    }
    void reconcileAcceptor(Nanos now, int r) {
        auto wanted = at(r).acceptor->reconcile(local(r, now));
        std::map<int, std::vector<LeaseAnswer>> answers;
        for (const auto& [to, answer] : wanted.answers) answers[to - 1].push_back(answer);
        for (auto& [to, all] : answers) {
            const std::size_t count = all.size();
            send(now, r, to, count, [this, r, to = to, all = std::move(all)](Nanos t) {
                for (const LeaseAnswer& a : all) at(to).holder->onAnswer(local(to, t), r, a);
            });
        }
        for (const auto& [to, recall] : wanted.recalls)
            send(now, r, to, 1, [this, r, to = to](Nanos t) {
                at(to).acceptor->onRequest(local(to, t), r, RecallRequest{});
            });
        for (auto& [to, recalled] : wanted.recallAnswers) {
            const std::size_t count = recalled.records.size() + 1;
            send(now, r, to, count, [this, r, to = to, said = std::move(recalled)](Nanos t) {
                at(to).acceptor->onRequest(local(to, t), r, said);
            });
        }
        if (wanted.ticket == 0) return;
        events_.schedule(now + kSync,
                         [this, r, life = at(r).incarnation, keep = std::move(wanted.recordsToPersist),
                          ticket = wanted.ticket](Nanos t) {
                             Router& one = at(r);
                             if (!one.up || one.incarnation != life) return;
                             one.disk.voted = true;
                             for (const auto& [lease, record] : keep) one.disk.records[lease] = record;
                             const auto tell = [this, r, ticket](Nanos then) {
                                 at(r).acceptor->onPersisted(local(r, then), ticket);
                                 reconcile(then, r);
                             };
                             if (one.stopped) return one.held.push_back(tell);
                             tell(t);
                         });
    }

    // ---- what fails

    void kill(Nanos now, int r, bool disk, Nanos away) {
        Router& one = at(r);
        if (!one.up) return;
        if (one.holder)
            for (const auto& [lease, rank] : candidates_[r])
                if (one.holder->isHolding(local(r, now), lease)) {
                    ++out_.kills;
                    if (!leases_[lease].diedAt) leases_[lease].diedAt = now;
                }
        one.up = false;
        one.held.clear();
        one.cutTo = one.cutFrom = false;
        if (!disk) one.disk = {};
        events_.schedule(now + away, [this, r](Nanos t) {
            if (at(r).up) return;
            start(t, r);
            wantAll(t, r);
        });
    }
    void stop(Nanos now, int r, Nanos length) {
        Router& one = at(r);
        if (!one.up || one.stopped) return;
        one.stopped = true;
        events_.schedule(now + length, [this, r, life = one.incarnation](Nanos t) {
            Router& again = at(r);
            if (!again.up || again.incarnation != life || !again.stopped) return;
            again.stopped = false;
            for (auto& what : std::exchange(again.held, {})) what(t);
            again.wakeAt = kNever;
            reconcile(t, r);
        });
    }
    bool areAllAcceptorsVoting() {
        for (int v = 0; v < p_.acceptors; ++v)
            if (!at(v).up || at(v).acceptor->state() != Acceptor::State::voting) return false;
        return true;
    }
    void planFaults(Nanos from, Nanos end) {
        if (p_.faults == "loss") loss_ = 0.1;
        if (p_.faults == "none" || p_.faults == "loss") return;
        stops_ = p_.faults == "all";
        const bool all = p_.faults == "all";
        for (Nanos t = from; t < end - 20 * kSecond;
             t += static_cast<Nanos>((all ? 0.5 + faults_.fraction() * 3 : 4) * 1e9))
            events_.schedule(t, [this](Nanos now) { fault(now); });
    }
    void fault(Nanos now) {
        const auto length = static_cast<Nanos>((0.2 + 8 * faults_.fraction() * faults_.fraction()) * 1e9);
        const bool voter = faults_.chance(0.5);
        const int r = voter ? faults_.below(p_.acceptors) : faults_.below(p_.routers);
        if (p_.faults == "restart") {
            const int v = iteration_++ % p_.acceptors;
            return kill(now, v, true, kSecond / 2);
        }
        if (p_.faults == "flap") {
            at(0).cutTo = at(0).cutFrom = true;
            return events_.schedule(now + 2 * kSecond,
                                    [this](Nanos) { at(0).cutTo = at(0).cutFrom = false; });
        }
        if (p_.faults == "holders")
            return kill(now, p_.acceptors + faults_.below(p_.routers - p_.acceptors), true, 10 * kSecond);
        switch (faults_.below(8)) {
            case 0:
                return kill(now, r, true, length);
            case 1:
                // One acceptor after the other: of a majority that forgets at once only the quarantine is
                // promised.
                return kill(now, r, isAcceptorVoting(r) && !areAllAcceptorsVoting(), length);
            case 2:
                return stop(now, r, length);
            case 3:
                at(r).cutTo = true;
                return events_.schedule(now + length, [this, r](Nanos) { at(r).cutTo = false; });
            case 4:
                at(r).cutFrom = true;
                return events_.schedule(now + length, [this, r](Nanos) { at(r).cutFrom = false; });
            case 5:
                at(r).loss = 0.1 + 0.8 * faults_.fraction();
                return events_.schedule(now + length, [this, r](Nanos) { at(r).loss = 0; });
            case 6:
                // Over a lease's length at times.
                at(r).delay = length;
                return events_.schedule(now + length, [this, r](Nanos) { at(r).delay = 0; });
            default: {
                // To the ends of what is allowed, from where it is.
                Router& one = at(r);
                one.shownAt = local(r, now) - one.zero;
                one.trueAt = now;
                one.rate = 1 + settings_.rate * (faults_.chance(0.5) ? 1 : -1);
                return;
            }
        }
    }

    // Whether somebody holds each, ten times a second.
    void sample(Nanos now) {
        if (now >= 2 * kSecond)
            for (LeaseId l = 0; l < leases_.size(); ++l) {
                bool held = false;
                for (int k = 0; k < p_.candidates && !held; ++k) {
                    const int r = (static_cast<int>(l) + k * (p_.routers / p_.candidates) + k) % p_.routers;
                    held = at(r).up && at(r).holder->isHolding(local(r, now), l);
                }
                ++samples_;
                nobody_ += !held;
            }
        events_.schedule(now + kSecond / 10, [this](Nanos t) { sample(t); });
    }

    LeaseRunOptions p_;
    lease::LeaseSettings settings_;
    Random random_, faults_, net_;
    EventQueue events_;
    std::vector<Router> routers_;
    std::vector<Lease> leases_;
    std::unordered_map<int, std::vector<std::pair<LeaseId, int>>> candidates_;  // by router, with its rank
    double loss_ = 0;
    bool stops_ = false;
    int iteration_ = 0;
    std::uint64_t frames_ = 0, messages_ = 0, digest_ = 0;
    long samples_ = 0, nobody_ = 0;
    std::vector<double> gaps_;
    LeaseRunResult out_;
};

}  // namespace

LeaseRunResult runSimulatedLeases(const LeaseRunOptions& play) { return SimulatedRun(play).play(); }

}  // namespace poppyscale::testbed
