#include "testbed/scale/discovery.hpp"

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "testbed/drivers/live/http_request.hpp"
#include "testbed/emulator/random.hpp"
#include "testbed/scale/record.hpp"
#include "testbed/scale/server_list.hpp"
#include "testbed/scale/usage.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace poppyscale::testbed::scale {
namespace {

using transport::EventLoop;

constexpr std::size_t kPoolBuffers = 16 * 1024;  // 256 MiB of answers that callers have not read
constexpr Nanos kSecond = 1'000 * kMillisecond;
constexpr std::size_t kMostUnread = 64 * 1024;  // bytes of calls
constexpr int kOlderEvery = 20;                 // answers, by the known mistake

std::int64_t unixMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// As the stub routers note it: without the loop's own offset.
std::int64_t monotonicNow() { return static_cast<std::int64_t>(uv_hrtime()); }

template <class T>
T numberOr(std::string_view text, T otherwise) {
    T value = otherwise;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

SlowPeriod slowPeriodOf(const std::string& text) {
    double at = 0;
    double length = 0;
    double delay = 0;
    if (std::sscanf(text.c_str(), "%lf:%lf:%lf", &at, &length, &delay) != 3)
        throw std::runtime_error("a slow period is AT:LENGTH:DELAY in ms, not " + text);
    const auto nanos = [](double ms) { return static_cast<Nanos>(ms * kMillisecond); };
    return {nanos(at), nanos(length), nanos(delay)};
}

struct Traffic {
    std::uint64_t calls = 0;
    std::uint64_t messages = 0;  // answers
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t bytesThisSecond = 0;
    std::uint64_t peakBytesPerSecond = 0;

    void add(std::uint64_t in, std::uint64_t out) {
        bytesIn += in;
        bytesOut += out;
        bytesThisSecond += in + out;
    }
    void endSecond() {
        peakBytesPerSecond = std::max(peakBytesPerSecond, bytesThisSecond);
        bytesThisSecond = 0;
    }
};

class Discovery;

// A caller: one call after the other on a connection.
class PollConnection : private transport::Connection::Handler {
  public:
    static constexpr int kNoRouter = -1;
    PollConnection(Discovery& discovery, int realRouter);

    bool accept(const std::function<bool(transport::Connection&)>& finish);
    void listChanged();
    std::list<std::unique_ptr<PollConnection>>::iterator self;

  private:
    enum class State : std::uint8_t { reading, waiting, heldBack, dropped };

    void onData(std::string_view bytes) override;
    void onClosed() override;
    void onDrained() override;
    void readCalls();
    void called();
    void answer();
    void send();
    void timeIsUp();
    void drop();

    Discovery& discovery_;
    int realRouter_;
    transport::Connection connection_;
    transport::Timer alarm_;
    HttpRequestParser call_;
    std::string unread_;
    std::string body_;
    std::int64_t after_ = 0;
    State state_ = State::reading;
};

class Discovery {
  public:
    explicit Discovery(const DiscoveryOptions& options);
    int run();

    EventLoop& loop() { return loop_; }
    transport::BufferPool& pool() { return pool_; }
    std::int64_t version() const { return list_.version(); }
    const std::string& answerFor(std::int64_t after);
    Nanos delay() const;
    void heard(int realRouter, std::size_t bytes);
    void called(int realRouter, std::int64_t after);
    void answered(int realRouter, std::size_t bytes);
    void drop(PollConnection& caller);

  private:
    void listen(int realRouter);
    void begin();
    void end();
    void nextChange();
    void change();
    void noteVersion(std::string_view kind);
    void eachSecond();
    void finish();
    nlohmann::json totalsOf(const Traffic& traffic) const;
    Nanos sinceBegin() const { return EventLoop::now() - beganAt_; }

    DiscoveryOptions options_;
    std::vector<SlowPeriod> slow_;
    EventLoop loop_;
    transport::BufferPool pool_{kPoolBuffers};
    ServerList list_;
    Random random_;
    std::ofstream changes_;
    std::ofstream records_;
    std::vector<std::unique_ptr<transport::Listener>> listeners_;
    std::list<std::unique_ptr<PollConnection>> callers_;
    std::list<std::unique_ptr<PollConnection>> dropped_;
    std::map<std::int64_t, std::string> answers_;  // of the present version, by what they follow
    std::string older_;                            // the whole list as it was, for the known mistake
    std::uint64_t told_ = 0;
    std::vector<std::int64_t> saidByReal_;  // the version of each real router's last call
    int realReady_ = 0;
    Traffic all_;
    std::vector<Traffic> real_;
    bool measuring_ = false;
    Nanos beganAt_ = 0;
    double processorAtBegin_ = 0;
    double processorUsed_ = 0;
    Nanos measured_ = 0;
    transport::Timer changeAlarm_;
    transport::Timer secondAlarm_;
    transport::Signal beginSignal_;
    transport::Signal endSignal_;
    transport::Signal finishSignal_;
};

PollConnection::PollConnection(Discovery& discovery, int realRouter)
    : discovery_(discovery),
      realRouter_(realRouter),
      connection_(discovery.loop(), discovery.pool(), *this),
      alarm_(discovery.loop(), [this] { timeIsUp(); }) {}

bool PollConnection::accept(const std::function<bool(transport::Connection&)>& finish) {
    if (!finish(connection_)) return false;
    connection_.setReading(true);
    return true;
}

void PollConnection::onData(std::string_view bytes) {
    if (state_ == State::dropped) return;
    discovery_.heard(realRouter_, bytes.size());
    unread_.append(bytes);
    if (unread_.size() > kMostUnread) connection_.setReading(false);
    readCalls();
}

void PollConnection::onDrained() { readCalls(); }

// A caller that does not read its answers gets no further one: what it asks stays unread.
void PollConnection::readCalls() {
    while (state_ == State::reading && !unread_.empty() && connection_.unsentBytes() == 0) {
        std::string_view rest = unread_;
        const HttpRequestParser::State state = call_.feed(rest);
        unread_.erase(0, unread_.size() - rest.size());
        if (state == HttpRequestParser::State::malformed) return drop();
        if (state == HttpRequestParser::State::complete) called();
    }
    if (state_ != State::dropped && unread_.empty()) connection_.setReading(true);
}

void PollConnection::called() {
    after_ = numberOr<std::int64_t>(call_.query("after"), 0);
    const Nanos wait = numberOr<std::int64_t>(call_.query("wait_ms"), 0) * kMillisecond;
    call_.clear();
    discovery_.called(realRouter_, after_);
    if (after_ != discovery_.version() || wait == 0) return answer();
    state_ = State::waiting;
    alarm_.start(EventLoop::now() + wait);
}

void PollConnection::listChanged() {
    if (state_ != State::waiting) return;
    answer();
    readCalls();
}

void PollConnection::timeIsUp() {
    if (state_ == State::heldBack)
        send();
    else
        answer();
    readCalls();
}

void PollConnection::answer() {
    body_ = discovery_.answerFor(after_);
    const Nanos delay = discovery_.delay();
    if (delay == 0) return send();
    state_ = State::heldBack;
    alarm_.start(EventLoop::now() + delay);
}

void PollConnection::send() {
    alarm_.stop();
    state_ = State::reading;
    const std::string text = httpAnswer(200, "Content-Type: application/json\r\n", body_);
    body_ = {};
    discovery_.answered(realRouter_, text.size());
    if (!connection_.write(text)) drop();
}

void PollConnection::onClosed() { drop(); }

void PollConnection::drop() {
    if (state_ == State::dropped) return;
    state_ = State::dropped;
    alarm_.stop();
    connection_.setReading(false);
    discovery_.drop(*this);
}

Discovery::Discovery(const DiscoveryOptions& options)
    : options_(options),
      list_(options.caches, options.zones, options.seed, unixMs()),
      random_(options.seed + 1),
      changes_(options.folder + "/changes.tsv"),
      records_(options.folder + "/real.records", std::ios::binary),
      saidByReal_(static_cast<std::size_t>(options.realRouters)),
      real_(static_cast<std::size_t>(options.realRouters)),
      changeAlarm_(loop_, [this] { change(); }),
      secondAlarm_(loop_, [this] { eachSecond(); }),
      beginSignal_(loop_, SIGUSR1, [this] { begin(); }),
      endSignal_(loop_, SIGUSR2, [this] { end(); }),
      finishSignal_(loop_, SIGTERM, [this] { finish(); }) {
    for (const std::string& text : options.slow) slow_.push_back(slowPeriodOf(text));
    noteVersion("start");
    for (int router = PollConnection::kNoRouter; router < options.realRouters; ++router) listen(router);
    std::string ports;
    for (const auto& listener : listeners_) {
        sockaddr_in at{};
        socklen_t size = sizeof at;
        getsockname(listener->descriptor(), reinterpret_cast<sockaddr*>(&at), &size);
        ports += fmt::format("{}\n", ntohs(at.sin_port));
    }
    std::ofstream(options.folder + "/discovery.ports.new") << ports;
    std::rename((options.folder + "/discovery.ports.new").c_str(),
                (options.folder + "/discovery.ports").c_str());
}

void Discovery::listen(int realRouter) {
    auto admit = [this, realRouter](const auto& finish) {
        callers_.push_back(std::make_unique<PollConnection>(*this, realRouter));
        PollConnection& caller = *callers_.back();
        caller.self = std::prev(callers_.end());
        if (!caller.accept(finish)) callers_.pop_back();
    };
    listeners_.push_back(std::make_unique<transport::Listener>(loop_, admit));
    transport::Address any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const std::string problem = listeners_.back()->listen(any);
    if (!problem.empty()) throw std::runtime_error("discovery can't listen: " + problem);
}

int Discovery::run() {
    loop_.onIteration([this] { dropped_.clear(); });
    loop_.run();
    return 0;
}

void Discovery::begin() {
    beganAt_ = EventLoop::now();
    processorAtBegin_ = ownProcessorSeconds();
    measuring_ = true;
    older_ = list_.whole();
    secondAlarm_.start(beganAt_ + kSecond);
    nextChange();
}

void Discovery::end() {
    if (!measuring_) return;
    measured_ = sinceBegin();
    processorUsed_ = ownProcessorSeconds() - processorAtBegin_;
    measuring_ = false;
    changeAlarm_.stop();
    secondAlarm_.stop();
}

void Discovery::nextChange() {
    if (options_.changesPerSecond <= 0) return;
    const double jitter = 0.5 + random_.fraction();
    changeAlarm_.start(EventLoop::now() + static_cast<Nanos>(jitter * 1e9 / options_.changesPerSecond));
}

void Discovery::change() {
    nextChange();
    const std::string_view kind = list_.change(unixMs());
    noteVersion(kind);
    answers_.clear();
    for (auto it = callers_.begin(); it != callers_.end();) {
        PollConnection& caller = **it;
        ++it;  // it may be dropped
        caller.listChanged();
    }
}

void Discovery::noteVersion(std::string_view kind) {
    changes_ << fmt::format("{}\t{}\t{}\t{}\n", list_.version(), monotonicNow(), list_.digest(), kind);
}

const std::string& Discovery::answerFor(std::int64_t after) {
    if (options_.tellsOlder && measuring_) {
        if (after == 0) return older_;
        if (++told_ % kOlderEvery == 0) {
            std::string& answer = answers_[-1];
            answer = fmt::format(R"({{"version":{},"full":false,"servers":[]}})", after - 1);
            return answer;
        }
    }
    std::string& answer = answers_[after];
    if (answer.empty()) answer = list_.changesSince(after);
    return answer;
}

Nanos Discovery::delay() const {
    if (!measuring_) return 0;
    const Nanos now = sinceBegin();
    for (const SlowPeriod& slow : slow_)
        if (now >= slow.at && now < slow.at + slow.length) return slow.delay;
    return 0;
}

void Discovery::heard(int realRouter, std::size_t bytes) {
    if (!measuring_) return;
    all_.add(bytes, 0);
    if (realRouter != PollConnection::kNoRouter) real_[static_cast<std::size_t>(realRouter)].add(bytes, 0);
}

void Discovery::called(int realRouter, std::int64_t after) {
    if (measuring_) ++all_.calls;
    if (realRouter == PollConnection::kNoRouter) return;
    const auto index = static_cast<std::size_t>(realRouter);
    if (measuring_) ++real_[index].calls;
    std::int64_t& said = saidByReal_[index];
    if (after == said) return;
    if (said == 0 && ++realReady_ == options_.realRouters)
        std::ofstream(options_.folder + "/real.ready") << realReady_ << '\n';
    said = after;
    const PropagationRecord record{static_cast<std::uint32_t>(realRouter), 0, after, 0, monotonicNow()};
    records_.write(reinterpret_cast<const char*>(&record), sizeof record);
}

void Discovery::answered(int realRouter, std::size_t bytes) {
    if (!measuring_) return;
    ++all_.messages;
    all_.add(0, bytes);
    if (realRouter == PollConnection::kNoRouter) return;
    Traffic& traffic = real_[static_cast<std::size_t>(realRouter)];
    ++traffic.messages;
    traffic.add(0, bytes);
}

// Whoever calls this may be within a call of it: it goes in the loop's next turn.
void Discovery::drop(PollConnection& caller) { dropped_.splice(dropped_.end(), callers_, caller.self); }

void Discovery::eachSecond() {
    secondAlarm_.start(EventLoop::now() + kSecond);
    for (Traffic& traffic : real_) traffic.endSecond();
    all_.endSecond();
}

nlohmann::json Discovery::totalsOf(const Traffic& traffic) const {
    return {{"calls", traffic.calls},
            {"messages", traffic.messages},
            {"bytes_in", traffic.bytesIn},
            {"bytes_out", traffic.bytesOut},
            {"peak_bytes_per_second", traffic.peakBytesPerSecond}};
}

void Discovery::finish() {
    end();
    changes_.flush();
    records_.flush();
    nlohmann::json totals = totalsOf(all_);
    totals["seconds"] = static_cast<double>(measured_) / 1e9;
    totals["processor_seconds"] = processorUsed_;
    totals["memory_kib"] = residentKibOf(::getpid());
    totals["real"] = nlohmann::json::array();
    for (const Traffic& traffic : real_) totals["real"].push_back(totalsOf(traffic));
    std::ofstream(options_.folder + "/discovery.json") << totals.dump(1) << '\n';
    loop_.stop();
}

}  // namespace

int serveDiscovery(const DiscoveryOptions& options) {
    std::signal(SIGPIPE, SIG_IGN);  // a caller that has gone shows in what the write returns
    return Discovery(options).run();
}

}  // namespace poppyscale::testbed::scale
