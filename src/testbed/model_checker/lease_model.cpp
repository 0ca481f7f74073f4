#include "testbed/model_checker/lease_model.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace poppyscale::testbed {
namespace {

using lease::Fence;
using lease::LeaseAnswer;
using lease::LeaseId;
using lease::LeaseRequest;
using lease::RecallAnswer;
using lease::RecallRequest;
using lease::Safeguard;

// Times are in an arbitrary unit. A lease lasts only a few ticks, so that a run has few steps.
constexpr Nanos kTick = 400;
constexpr Nanos kCriticalSectionDuration = 600;
constexpr LeaseId kLease = 7;
constexpr std::size_t kMaxMessagesInFlight = 16;
constexpr int kMaxMessageAgeTicks = 10;  // longer than a lease on a slow clock
constexpr int kRecoveryTicks = 60;       // covers every quarantine and backoff

lease::LeaseSettings makeSettings(const LeaseModelOptions& options) {
    lease::LeaseSettings settings;
    settings.acceptorCount = 3;
    settings.duration = 2'000;
    settings.rate = 0.25;
    settings.margin = 50;
    settings.answerTimeout = 800;
    settings.renewInterval = 500;
    settings.minBackoff = 2;
    settings.maxBackoff = 4;
    settings.disabledSafeguards = options.disabledSafeguards;
    return settings;
}

int kindOf(const auto& body) { return static_cast<int>(body.index()); }

}  // namespace

LeaseModel::LeaseModel(const LeaseModelOptions& options)
    : options_(options), settings_(makeSettings(options)) {
    acceptors_.resize(static_cast<std::size_t>(settings_.acceptorCount));
    disks_.resize(acceptors_.size());
    for (Disk& state : disks_) state.hasState = true;  // the group of acceptors is not new
    for (int v = 0; v < acceptors(); ++v) startAcceptor(v);
    for (int h = 0; h < options_.holders; ++h) {
        holders_.emplace_back(settings_, static_cast<lease::MemberId>(h + 1), 1);
        suspended_.emplace_back();
        holders_.back().acquire(localTimeOf(acceptors() + h), kLease);
        reconcile(acceptors() + h, true);
    }
}

// Each clock runs at the lowest or highest rate that the settings allow, from a zero of its own.
Nanos LeaseModel::localTimeOf(int process) const {
    const bool fast = options_.clocks >> process & 1U;
    return 1'000'000 * (process + 1) + now_ * (fast ? 5 : 3) / 4;
}

void LeaseModel::startAcceptor(int process) {
    const Disk& state = disk(process);
    acceptors_[static_cast<std::size_t>(process)].emplace(
        settings_, process, localTimeOf(process),
        state.hasState ? std::optional<lease::GrantRecords>(state.records) : std::nullopt);
    reconcile(process, true);
}

void LeaseModel::startHolder(int process) {
    holder(process) = lease::LeaseHolder(settings_, static_cast<lease::MemberId>(process - acceptors() + 1),
                                         ++lastIncarnation_);
    suspended_[static_cast<std::size_t>(process - acceptors())].reset();
    holder(process).acquire(localTimeOf(process), kLease);
    reconcile(process, true);
}

void LeaseModel::send(int from, int to, Body body) {
    if (messagesInFlight_.size() >= kMaxMessagesInFlight) messagesInFlight_.erase(messagesInFlight_.begin());
    messagesInFlight_.push_back({from, to, std::move(body), now_});
}

void LeaseModel::reconcile(int process, bool syncs) {
    const Nanos local = localTimeOf(process);
    if (!isAcceptor(process)) {
        const auto actions = holder(process).reconcile(local);
        for (const auto& [v, request] : actions.requests) send(process, v, request);
        for (const auto& [to, lease] : actions.offers) send(process, acceptors() + to - 1, lease);
        return;
    }
    for (bool more = true; more;) {
        auto actions = acceptor(process).reconcile(local);
        for (auto& [to, answer] : actions.answers) send(process, acceptors() + to - 1, answer);
        for (auto& [to, recall] : actions.recalls) send(process, to, recall);
        for (auto& [to, recalled] : actions.recallAnswers) send(process, to, std::move(recalled));
        more = false;
        if (actions.ticket == 0) continue;
        Disk& state = disk(process);
        for (auto& [lease, record] : actions.recordsToPersist) state.pending[lease] = record;
        state.ticket = actions.ticket;
        if (!syncs) continue;
        state.hasState = true;
        for (const auto& [lease, record] : state.pending) state.records[lease] = record;
        state.pending.clear();
        acceptor(process).onPersisted(local, std::exchange(state.ticket, 0));
        more = true;
    }
}

void LeaseModel::sync(int process) {
    Disk& state = disk(process);
    state.hasState = true;
    for (const auto& [lease, record] : state.pending) state.records[lease] = record;
    state.pending.clear();
    acceptor(process).onPersisted(localTimeOf(process), std::exchange(state.ticket, 0));
    reconcile(process, true);
}

void LeaseModel::deliver(const Message& message, bool syncs) {
    const Nanos local = localTimeOf(message.to);
    if (isAcceptor(message.to)) {
        auto& target = acceptor(message.to);
        if (const auto* request = std::get_if<LeaseRequest>(&message.body))
            target.onRequest(local, static_cast<lease::MemberId>(message.from - acceptors() + 1), *request);
        if (std::holds_alternative<RecallRequest>(message.body))
            target.onRequest(local, message.from, RecallRequest{});
        if (const auto* recallAnswer = std::get_if<RecallAnswer>(&message.body))
            target.onRecallAnswer(local, message.from, *recallAnswer);
    } else {
        if (const auto* answer = std::get_if<LeaseAnswer>(&message.body))
            holder(message.to).onAnswer(local, message.from, *answer);
        if (const auto* offered = std::get_if<LeaseId>(&message.body))
            holder(message.to).onTransferOffered(local, *offered);
    }
    reconcile(message.to, syncs);
}

bool LeaseModel::canAct(int process) const {
    return holder(process)
        .enterCriticalSection(localTimeOf(process), kLease, kCriticalSectionDuration)
        .has_value();
}

bool LeaseModel::isActing(int process) const {
    return std::any_of(activeSections_.begin(), activeSections_.end(), [&](const ActiveSection& a) {
        return a.holder == process - acceptors() + 1 && a.until > now_;
    });
}

bool LeaseModel::isLeaseHeld() const {
    for (int p = acceptors(); p < processCount(); ++p)
        if (holder(p).isHolding(localTimeOf(p), kLease)) return true;
    return false;
}

// Checks the act as its receiver does, by fencing tokens, and in true time for overlaps.
bool LeaseModel::beginAct(int process, Fence fence, bool isLate) {
    std::erase_if(activeSections_, [this](const ActiveSection& a) { return a.until <= now_; });
    // Once another holder has acted, the receiver rejects the late act of a suspended one by its token.
    if (isLate && fence < highestFence_) return true;
    for (const ActiveSection& a : activeSections_)
        if (a.holder != process - acceptors() + 1 && !isLate)
            violation_ = fmt::format("two holders act at once: h{} with fencing token {} and h{} with {}",
                                     a.holder, a.fence >> lease::kMemberBits, process - acceptors() + 1,
                                     fence >> lease::kMemberBits);
    if (fence < highestFence_)
        violation_ =
            fmt::format("the fencing token decreased: h{} acts with {} after {}", process - acceptors() + 1,
                        fence >> lease::kMemberBits, highestFence_ >> lease::kMemberBits);
    highestFence_ = std::max(highestFence_, fence);
    if (!isLate)
        activeSections_.push_back({process - acceptors() + 1, fence, now_ + kCriticalSectionDuration});
    if (std::exchange(lastActor_, process) != process) ++actorChangeCount_;
    return true;
}

LeaseModel::Step LeaseModel::messageStep(std::size_t index, StepKind kind) const {
    const Message& message = messagesInFlight_[index];
    Step step{kind, message.to, message.from, kindOf(message.body), 0};
    for (std::size_t i = 0; i < index; ++i)
        step.ordinal += messagesInFlight_[i].to == message.to && messagesInFlight_[i].from == message.from &&
                        kindOf(messagesInFlight_[i].body) == step.messageKind;
    return step;
}

std::optional<std::size_t> LeaseModel::findMessage(const Step& step) const {
    int remaining = step.ordinal;
    for (std::size_t i = 0; i < messagesInFlight_.size(); ++i)
        if (messagesInFlight_[i].to == step.process && messagesInFlight_[i].from == step.from &&
            kindOf(messagesInFlight_[i].body) == step.messageKind && remaining-- == 0)
            return i;
    return std::nullopt;
}

LeaseModel::Step LeaseModel::fairStep() const {
    for (int v = 0; v < acceptors(); ++v)
        if (disks_[static_cast<std::size_t>(v)].ticket) return {StepKind::completeSync, v};
    for (int p = acceptors(); p < processCount(); ++p)
        if (!suspended_[static_cast<std::size_t>(p - acceptors())] && !isActing(p) && canAct(p))
            return {StepKind::act, p};
    for (std::size_t i = 0; i < messagesInFlight_.size(); ++i) {
        const int to = messagesInFlight_[i].to;
        const bool suspended = !isAcceptor(to) && suspended_[static_cast<std::size_t>(to - acceptors())];
        if (!messagesInFlight_[i].isDelayed && !suspended) return messageStep(i, StepKind::deliver);
    }
    return {StepKind::tick};
}

std::vector<LeaseModel::Step> LeaseModel::enabledSteps() const {
    if (options_.deviations < 0) return possibleSteps();
    if (tick_ >= options_.ticks) return {};
    const Step next = fairStep();
    std::vector<Step> all{next};
    if (options_.deviations == 0) return all;
    for (Step& step : possibleSteps())
        if (!(step == next)) all.push_back(step);
    for (std::size_t i = 0; i < messagesInFlight_.size(); ++i)
        if (!messagesInFlight_[i].isDelayed) {
            all.push_back(messageStep(i, StepKind::loseMessage));
            all.push_back(messageStep(i, StepKind::delayMessage));
        }
    return all;
}

bool LeaseModel::apply(const Step& step) {
    if (options_.deviations < 0) return execute(step);
    const bool deviates = !(step == fairStep());
    if (deviates && options_.deviations == 0) return false;
    if (!execute(step)) return false;
    options_.deviations -= deviates;
    return true;
}

std::vector<LeaseModel::Step> LeaseModel::possibleSteps() const {
    std::vector<Step> all;
    if (tick_ < options_.ticks) all.push_back({StepKind::tick});
    for (std::size_t i = 0; i < messagesInFlight_.size(); ++i) {
        all.push_back(messageStep(i, StepKind::deliver));
        if (options_.duplicates > 0) all.push_back(messageStep(i, StepKind::deliverTwice));
        if (options_.slowSyncs > 0 && isAcceptor(messagesInFlight_[i].to) &&
            std::holds_alternative<LeaseRequest>(messagesInFlight_[i].body))
            all.push_back(messageStep(i, StepKind::deliverBeforeSync));
    }
    for (int v = 0; v < acceptors(); ++v) {
        if (disks_[static_cast<std::size_t>(v)].ticket) all.push_back({StepKind::completeSync, v});
        if (options_.crashes > 0) all.push_back({StepKind::restartAcceptor, v});
        if (options_.diskLosses > 0) all.push_back({StepKind::loseDisk, v});
    }
    for (int p = acceptors(); p < processCount(); ++p) {
        const bool suspended = suspended_[static_cast<std::size_t>(p - acceptors())].has_value();
        if (suspended) {
            all.push_back({StepKind::resume, p});
            continue;
        }
        if (options_.crashes > 0) all.push_back({StepKind::restartHolder, p});
        if (canAct(p)) {
            all.push_back({StepKind::act, p});
            if (options_.suspensions > 0) all.push_back({StepKind::suspend, p});
        }
        if (options_.releases > 0 && holder(p).isHolding(localTimeOf(p), kLease) && !isActing(p)) {
            all.push_back({StepKind::release, p});
            all.push_back({StepKind::transfer, p});
        }
    }
    return all;
}

// Ticks and acts have twelve times the weight of a fault, deliveries eight times.
LeaseModel::Step LeaseModel::randomStep(std::mt19937& random) const {
    const auto all = enabledSteps();
    const auto weight = [](const Step& step) {
        switch (step.kind) {
            case StepKind::tick:
                return 3.0;
            case StepKind::deliver:
                return 2.0;
            case StepKind::act:
                return 3.0;
            case StepKind::completeSync:
            case StepKind::resume:
                return 1.0;
            default:
                return 0.25;
        }
    };
    std::vector<double> weights;
    for (const Step& a : all) weights.push_back(weight(a));
    return all[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random)];
}

bool LeaseModel::execute(const Step& step) {
    const auto spendBudget = [](int& budget) { return budget > 0 && budget-- > 0; };
    const bool isHolding =
        !isAcceptor(step.process) && holder(step.process).isHolding(localTimeOf(step.process), kLease);
    const auto suspendedSection = [&]() -> std::optional<lease::CriticalSection>& {
        return suspended_[static_cast<std::size_t>(step.process - acceptors())];
    };
    switch (step.kind) {
        case StepKind::tick:
            if (++tick_ > options_.ticks) return --tick_, false;
            now_ += kTick;
            std::erase_if(messagesInFlight_,
                          [this](const Message& m) { return now_ - m.sentAt > kMaxMessageAgeTicks * kTick; });
            for (int p = 0; p < processCount(); ++p)
                if (isAcceptor(p) || !suspended_[static_cast<std::size_t>(p - acceptors())])
                    reconcile(p, !isAcceptor(p) || disk(p).ticket == 0);
            return true;
        case StepKind::deliver:
        case StepKind::deliverTwice:
        case StepKind::deliverBeforeSync: {
            const auto i = findMessage(step);
            if (!i) return false;
            if (!isAcceptor(step.process) && suspendedSection()) return false;
            if (step.kind == StepKind::deliverBeforeSync &&
                (!isAcceptor(step.process) || !spendBudget(options_.slowSyncs)))
                return false;
            if (step.kind == StepKind::deliverTwice && !spendBudget(options_.duplicates)) return false;
            const Message message = messagesInFlight_[*i];
            if (step.kind != StepKind::deliverTwice)
                messagesInFlight_.erase(messagesInFlight_.begin() + static_cast<std::ptrdiff_t>(*i));
            // A pending sync also delays the sync of later records.
            deliver(message, step.kind != StepKind::deliverBeforeSync &&
                                 (!isAcceptor(message.to) || disk(message.to).ticket == 0));
            return true;
        }
        case StepKind::loseMessage:
        case StepKind::delayMessage: {
            const auto i = findMessage(step);
            if (!i || messagesInFlight_[*i].isDelayed) return false;
            if (step.kind == StepKind::loseMessage)
                messagesInFlight_.erase(messagesInFlight_.begin() + static_cast<std::ptrdiff_t>(*i));
            else
                messagesInFlight_[*i].isDelayed = true;
            return true;
        }
        case StepKind::completeSync:
            if (!isAcceptor(step.process) || disk(step.process).ticket == 0) return false;
            return sync(step.process), true;
        case StepKind::restartAcceptor:
        case StepKind::loseDisk: {
            if (!isAcceptor(step.process)) return false;
            // Acceptors lose their disks one at a time. If a majority lost them at once, the quarantine
            // would still rule out overlapping grants, but fencing tokens could be forgotten.
            if (step.kind == StepKind::loseDisk)
                for (int v = 0; v < acceptors(); ++v)
                    if (acceptor(v).state() != lease::Acceptor::State::voting) return false;
            if (!spendBudget(step.kind == StepKind::loseDisk ? options_.diskLosses : options_.crashes))
                return false;
            Disk& state = disk(step.process);
            state.pending.clear();
            state.ticket = 0;
            if (step.kind == StepKind::loseDisk) state = Disk{};
            startAcceptor(step.process);
            return true;
        }
        case StepKind::restartHolder:
            if (isAcceptor(step.process) || !spendBudget(options_.crashes)) return false;
            return startHolder(step.process), true;
        case StepKind::act:
            if (isAcceptor(step.process) || suspendedSection() || !canAct(step.process)) return false;
            return beginAct(step.process, holder(step.process).fence(kLease), false);
        case StepKind::suspend:
            if (isAcceptor(step.process) || suspendedSection() || !canAct(step.process) ||
                !spendBudget(options_.suspensions))
                return false;
            suspendedSection() =
                holder(step.process)
                    .enterCriticalSection(localTimeOf(step.process), kLease, kCriticalSectionDuration);
            return true;
        case StepKind::resume: {
            if (isAcceptor(step.process) || !suspendedSection()) return false;
            const Fence fence = suspendedSection()->fence;
            suspendedSection().reset();
            beginAct(step.process, fence, true);
            reconcile(step.process, true);
            return true;
        }
        case StepKind::release:
            if (!isHolding || suspendedSection() || isActing(step.process) || !spendBudget(options_.releases))
                return false;
            holder(step.process).release(localTimeOf(step.process), kLease);
            reconcile(step.process, true);
            holder(step.process).acquire(localTimeOf(step.process), kLease, 2);
            return true;
        case StepKind::transfer:
            if (!isHolding || suspendedSection() || isActing(step.process) || options_.holders < 2 ||
                !spendBudget(options_.releases))
                return false;
            holder(step.process)
                .transfer(
                    localTimeOf(step.process), kLease,
                    static_cast<lease::MemberId>((step.process - acceptors() + 1) % options_.holders + 1));
            reconcile(step.process, true);
            return true;
    }
    return false;
}

// Ends all faults and delivers all messages; then some holder has to hold the lease and act.
void LeaseModel::endFaults() {
    options_.ticks = tick_ + kRecoveryTicks;
    options_.deviations = -1;
    for (int p = acceptors(); p < processCount(); ++p) apply({StepKind::resume, p});
    for (int i = 0; i < kRecoveryTicks && violation_.empty(); ++i) {
        for (int v = 0; v < acceptors(); ++v)
            if (disk(v).ticket) sync(v);
        for (int n = 0; !messagesInFlight_.empty() && n < 400; ++n) {
            const Message message = messagesInFlight_.front();
            messagesInFlight_.erase(messagesInFlight_.begin());
            deliver(message, true);
        }
        for (int p = acceptors(); p < processCount(); ++p)
            if (canAct(p)) beginAct(p, holder(p).fence(kLease), false);
        if (isLeaseHeld() && !activeSections_.empty()) return;
        apply({StepKind::tick});
    }
    if (violation_.empty())
        violation_ = fmt::format("no holder acts within {} ticks after the last fault", kRecoveryTicks);
}

std::string LeaseModel::image() const {
    std::string text =
        fmt::format("{};{};{},{},{},{},{},{};{};", tick_ >= options_.ticks, options_.deviations,
                    options_.diskLosses, options_.crashes, options_.duplicates, options_.suspensions,
                    options_.releases, options_.slowSyncs, highestFence_);
    for (int p = 0; p < processCount(); ++p) {
        const Nanos local = localTimeOf(p);
        if (isAcceptor(p)) {
            const Disk& state = disks_[static_cast<std::size_t>(p)];
            text += acceptors_[static_cast<std::size_t>(p)]->image(local);
            text += fmt::format("d{}", state.hasState);
            for (const auto& [lease, r] : state.records)
                text += fmt::format("{}{};", r.highest, r.isReleased);
            for (const auto& [lease, r] : state.pending)
                text += fmt::format("p{}{};", r.highest, r.isReleased);
        } else {
            text += holder(p).image(local);
            const auto& suspended = suspended_[static_cast<std::size_t>(p - acceptors())];
            if (suspended) text += fmt::format("s{};", suspended->fence);
        }
    }
    for (const ActiveSection& a : activeSections_)
        if (a.until > now_) text += fmt::format("x{},{},{};", a.holder, a.fence, a.until - now_);
    std::vector<std::string> lines;
    for (const Message& message : messagesInFlight_) {
        std::string line = fmt::format("{}>{}:{}:{}:", message.from, message.to, message.body.index(),
                                       (now_ - message.sentAt) / kTick);
        if (const auto* request = std::get_if<LeaseRequest>(&message.body))
            line += fmt::format("{},{}.{},{},{}", static_cast<int>(request->kind), request->fence,
                                request->incarnation,
                                request->stamp ? localTimeOf(message.from) - request->stamp : 0, request->to);
        if (const auto* a = std::get_if<LeaseAnswer>(&message.body))
            line += fmt::format("{}.{},{},{},{}", a->fence, a->incarnation,
                                localTimeOf(message.to) - a->stamp, a->granted, a->highest);
        if (const auto* r = std::get_if<RecallAnswer>(&message.body)) {
            line += r->hasState ? "y" : "n";
            for (const auto& [lease, record] : r->records) line += fmt::format("{},", record.highest);
        }
        lines.push_back(std::move(line));
    }
    // The fair order delivers the oldest message first, so there their order is part of the state.
    if (options_.deviations < 0) std::sort(lines.begin(), lines.end());
    for (const auto& line : lines) text += line + "|";
    return text;
}

std::string LeaseModel::describe(const Step& step) const {
    const auto name = [this](int p) {
        return isAcceptor(p) ? fmt::format("a{}", p) : fmt::format("h{}", p - acceptors() + 1);
    };
    static constexpr const char* kinds[] = {"request", "answer", "recall request", "recall answer",
                                            "transfer offer"};
    const auto delivery = [&] {
        const std::string which =
            step.ordinal > 0 ? fmt::format(" (number {} of them)", step.ordinal + 1) : "";
        return fmt::format("{}'s {} arrives at {}{}", name(step.from), kinds[step.messageKind],
                           name(step.process), which);
    };
    switch (step.kind) {
        case StepKind::tick:
            return "time advances by one tick";
        case StepKind::loseMessage:
            return fmt::format("{}'s {} to {} is lost", name(step.from), kinds[step.messageKind],
                               name(step.process));
        case StepKind::delayMessage:
            return fmt::format("{}'s {} to {} is delayed", name(step.from), kinds[step.messageKind],
                               name(step.process));
        case StepKind::deliver:
            return delivery();
        case StepKind::deliverTwice:
            return delivery() + ", and stays in flight";
        case StepKind::deliverBeforeSync:
            return delivery() + ", and its disk does not sync yet";
        case StepKind::completeSync:
            return name(step.process) + "'s disk syncs";
        case StepKind::restartAcceptor:
            return name(step.process) + " crashes and restarts with its disk";
        case StepKind::loseDisk:
            return name(step.process) + " loses its disk and restarts without state";
        case StepKind::restartHolder:
            return name(step.process) + " crashes and restarts";
        case StepKind::act:
            return name(step.process) + " acts";
        case StepKind::suspend:
            return name(step.process) + " enters a critical section and is suspended before it acts";
        case StepKind::resume:
            return name(step.process) + " resumes and acts late";
        case StepKind::release:
            return name(step.process) + " releases the lease";
        case StepKind::transfer:
            return name(step.process) + " transfers the lease to the next holder";
    }
    return "";
}

}  // namespace poppyscale::testbed
