#include "program/program.hpp"

#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>

namespace poppyscale::program {
namespace {

// Clients go on connecting for up to 0.4 s after the signal.
constexpr Nanos kLeaving = 480 * kMillisecond;
// Beyond the longest wait of a client: answers just at its end are still on their way.
constexpr Nanos kLastAnswers = 200 * kMillisecond;
constexpr Nanos kMostWait = 20'000 * kMillisecond;  // of a call to discovery
constexpr Nanos kLeastWait = 1'000 * kMillisecond;
constexpr std::size_t kOwnDescriptors = 32;        // standard streams, loop, signals, listener, discovery
constexpr std::size_t kMemoryOfClient = 8 * 1024;  // beside half-sent commands and answers, bounded elsewhere

std::size_t mostLinks(const protocol::Start& start) { return start.descriptors * 2 / 5; }

std::size_t mostClients(const protocol::Start& start) {
    const std::size_t left = start.descriptors - mostLinks(start) - kOwnDescriptors;
    return std::max<std::size_t>(std::min(left, start.memory / 8 / kMemoryOfClient), 1);
}

transport::Address addressOf(const std::string& text, const char* what) {
    if (const auto address = transport::parseAddress(text)) return *address;
    throw protocol::Malformed(fmt::format("{} is not an address and port: '{}'", what, text));
}

}  // namespace

Program::Program(Read read)
    : read_(std::move(read)), start_(read_()), pool_(start_.memory / 8 / transport::kBufferSize) {
    const auto log = [this](std::string_view text) { logger_.line(text); };
    // A descriptor more than the system gives would end in refused clients.
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur =
            std::min<rlim_t>(std::max<rlim_t>(files.rlim_cur, start_.descriptors), files.rlim_max);
        setrlimit(RLIMIT_NOFILE, &files);
        start_.descriptors =
            std::max<std::size_t>(std::min<std::size_t>(start_.descriptors, files.rlim_cur), 64);
    }
    const auto listen = addressOf(start_.listen, "listen");
    const auto discovery = addressOf(start_.discovery, "discovery");
    core_.emplace(loop_, pool_, start_, mostLinks(start_), log);
    clients_.emplace(loop_, pool_, *core_, mostClients(start_), start_.memory / 16, 2 * start_.idle);
    // What discovery holds back for a call that waits counts as told soon after; the shorter the wait, the
    // sooner a silent discovery is noticed.
    const Nanos wait = std::clamp(start_.terms.askWithin, kLeastWait, kMostWait);
    watch_.emplace(loop_, pool_, *core_, discovery, start_.discovery, start_.known.version, wait,
                   start_.memory / 128, log);
    core_->askForList = [this] { watch_->want(); };
    next_.emplace(loop_, [this] { enter(state_ == State::leaving ? State::draining : State::done); });
    const std::string problem = clients_->listen(listen);
    if (!problem.empty())
        throw protocol::Malformed(fmt::format("can't listen on {}: {}", start_.listen, problem));
}

void Program::leave() {
    if (state_ == State::serving) enter(State::leaving);
}

void Program::reload() {
    // While it leaves too: what it still owes goes by the list.
    try {
        protocol::Start fresh = read_();
        const auto discovery = addressOf(fresh.discovery, "discovery");
        fresh.terms.seed = start_.terms.seed;  // another one with each start
        const bool more =
            fresh.listen != start_.listen || fresh.memory != start_.memory || fresh.terms != start_.terms;
        logger_.line(fmt::format("read its configuration anew, discovery at {}{}", fresh.discovery,
                                 more ? "; other changes wait for the next start" : ""));
        start_.discovery = fresh.discovery;
        watch_->moveTo(discovery, fresh.discovery);
    } catch (const std::exception& problem) {
        logger_.line(fmt::format("goes on with the old configuration: {}", problem.what()));
    }
}

int Program::run() {
    enter(State::serving);
    loop_.eachTurn([this] { turn(); });
    loop_.run();
    return 0;
}

void Program::turn() {
    clients_->turn();
    core_->turn();
    if (state_ == State::draining && clients_->closed()) enter(State::done);
}

void Program::enter(State state) {
    state_ = state;
    const Nanos now = transport::Loop::now();
    switch (state) {
        case State::starting:
            break;
        case State::serving:
            logger_.line(fmt::format("{} serves on {}", start_.name, start_.listen));
            break;
        case State::leaving:
            logger_.line(fmt::format("{} was told to stop; {} commands open", start_.name, core_->open()));
            next_->set(now + kLeaving);
            break;
        case State::draining:
            clients_->close();
            next_->set(now + start_.longestPatience + kLastAnswers);
            break;
        case State::done:
            logger_.line(fmt::format("{} stops; {} clients left", start_.name, clients_->count()));
            loop_.stop();
            break;
    }
}

}  // namespace poppyscale::program
