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

constexpr std::size_t kPoolBuffers = 16 * 1024;  // 256 MiB of unread responses
constexpr Nanos kSecond = 1'000 * kMillisecond;
constexpr std::size_t kMaxUnreadBytes = 64 * 1024;  // bytes of requests buffered for a connection
// The defective variant "order" gives an older version in every 20th response.
constexpr int kOlderResponseInterval = 20;

std::int64_t unixMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// CLOCK_MONOTONIC in ns, without the event loop's own offset, comparable with the stub routers'
// records.
std::int64_t monotonicNanos() { return static_cast<std::int64_t>(uv_hrtime()); }

template <class T>
T parseNumber(std::string_view text, T defaultValue) {
    T value = defaultValue;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

SlowPeriod parseSlowPeriod(const std::string& text) {
    double at = 0;
    double length = 0;
    double delay = 0;
    if (std::sscanf(text.c_str(), "%lf:%lf:%lf", &at, &length, &delay) != 3)
        throw std::runtime_error("--slow: expected AT:LENGTH:DELAY in ms, found '" + text + "'");
    const auto toNanos = [](double ms) { return static_cast<Nanos>(ms * kMillisecond); };
    return {toNanos(at), toNanos(length), toNanos(delay)};
}

struct Traffic {
    std::uint64_t polls = 0;
    std::uint64_t responses = 0;
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

// A connection that sends polls, which are answered one after the other.
class PollConnection : private transport::Connection::Handler {
  public:
    static constexpr int kNoRouter = -1;
    PollConnection(Discovery& discovery, int realRouter);

    bool accept(const std::function<bool(transport::Connection&)>& finish);
    void onListChanged();
    std::list<std::unique_ptr<PollConnection>>::iterator position;

  private:
    enum class State : std::uint8_t { reading, waiting, delayed, closed };

    void onData(std::string_view bytes) override;
    void onClosed() override;
    void onDrained() override;
    void parseRequests();
    void onRequest();
    void respond();
    void sendResponse();
    void onTimer();
    void close();

    Discovery& discovery_;
    int realRouter_;
    transport::Connection connection_;
    transport::Timer timer_;
    HttpRequestParser parser_;
    std::string unparsed_;
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
    const std::string& responseFor(std::int64_t after);
    Nanos delay() const;
    void countReceived(int realRouter, std::size_t bytes);
    void countPoll(int realRouter, std::int64_t after);
    void countResponse(int realRouter, std::size_t bytes);
    void removeConnection(PollConnection& connection);

  private:
    void listen(int realRouter);
    void beginMeasurement();
    void endMeasurement();
    void scheduleNextChange();
    void change();
    void recordVersion(std::string_view kind);
    void onSecond();
    void finish();
    nlohmann::json totalsJson(const Traffic& traffic) const;
    Nanos sinceMeasurementStart() const { return EventLoop::now() - measurementStart_; }

    DiscoveryOptions options_;
    std::vector<SlowPeriod> slowPeriods_;
    EventLoop loop_;
    transport::BufferPool pool_{kPoolBuffers};
    ServerList list_;
    Random random_;
    std::ofstream changesFile_;
    std::ofstream recordsFile_;
    std::vector<std::unique_ptr<transport::Listener>> listeners_;
    std::list<std::unique_ptr<PollConnection>> connections_;
    std::list<std::unique_ptr<PollConnection>> removed_;
    std::map<std::int64_t, std::string> responses_;  // responses of the current version, by `after`
    // The complete list at the start of the measured time, for the defective variant.
    std::string olderList_;
    std::uint64_t responseCount_ = 0;
    std::vector<std::int64_t> reportedByReal_;  // `after` of each real router's last poll
    int readyRealRouters_ = 0;
    Traffic all_;
    std::vector<Traffic> real_;
    bool isMeasuring_ = false;
    Nanos measurementStart_ = 0;
    double processorSecondsAtStart_ = 0;
    double processorSecondsUsed_ = 0;
    Nanos measuredDuration_ = 0;
    transport::Timer changeTimer_;
    transport::Timer secondTimer_;
    transport::Signal beginSignal_;
    transport::Signal endSignal_;
    transport::Signal finishSignal_;
};

PollConnection::PollConnection(Discovery& discovery, int realRouter)
    : discovery_(discovery),
      realRouter_(realRouter),
      connection_(discovery.loop(), discovery.pool(), *this),
      timer_(discovery.loop(), [this] { onTimer(); }) {}

bool PollConnection::accept(const std::function<bool(transport::Connection&)>& finish) {
    if (!finish(connection_)) return false;
    connection_.setReading(true);
    return true;
}

void PollConnection::onData(std::string_view bytes) {
    if (state_ == State::closed) return;
    discovery_.countReceived(realRouter_, bytes.size());
    unparsed_.append(bytes);
    if (unparsed_.size() > kMaxUnreadBytes) connection_.setReading(false);
    parseRequests();
}

void PollConnection::onDrained() { parseRequests(); }

// While a response is unsent because the peer does not read, no further request is parsed.
void PollConnection::parseRequests() {
    while (state_ == State::reading && !unparsed_.empty() && connection_.unsentBytes() == 0) {
        std::string_view rest = unparsed_;
        const HttpRequestParser::State state = parser_.feed(rest);
        unparsed_.erase(0, unparsed_.size() - rest.size());
        if (state == HttpRequestParser::State::malformed) return close();
        if (state == HttpRequestParser::State::complete) onRequest();
    }
    if (state_ != State::closed && unparsed_.empty()) connection_.setReading(true);
}

void PollConnection::onRequest() {
    after_ = parseNumber<std::int64_t>(parser_.queryParameter("after"), 0);
    const Nanos wait = parseNumber<std::int64_t>(parser_.queryParameter("wait_ms"), 0) * kMillisecond;
    parser_.clear();
    discovery_.countPoll(realRouter_, after_);
    if (after_ != discovery_.version() || wait == 0) return respond();
    state_ = State::waiting;
    timer_.start(EventLoop::now() + wait);
}

void PollConnection::onListChanged() {
    if (state_ != State::waiting) return;
    respond();
    parseRequests();
}

void PollConnection::onTimer() {
    if (state_ == State::delayed)
        sendResponse();
    else
        respond();
    parseRequests();
}

void PollConnection::respond() {
    body_ = discovery_.responseFor(after_);
    const Nanos delay = discovery_.delay();
    if (delay == 0) return sendResponse();
    state_ = State::delayed;
    timer_.start(EventLoop::now() + delay);
}

void PollConnection::sendResponse() {
    timer_.stop();
    state_ = State::reading;
    const std::string text = httpResponse(200, "Content-Type: application/json\r\n", body_);
    body_ = {};
    discovery_.countResponse(realRouter_, text.size());
    if (!connection_.write(text)) close();
}

void PollConnection::onClosed() { close(); }

void PollConnection::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    timer_.stop();
    connection_.setReading(false);
    discovery_.removeConnection(*this);
}

Discovery::Discovery(const DiscoveryOptions& options)
    : options_(options),
      list_(options.caches, options.zones, options.seed, unixMs()),
      random_(options.seed + 1),
      changesFile_(options.folder + "/changes.tsv"),
      recordsFile_(options.folder + "/real.records", std::ios::binary),
      reportedByReal_(static_cast<std::size_t>(options.realRouters)),
      real_(static_cast<std::size_t>(options.realRouters)),
      changeTimer_(loop_, [this] { change(); }),
      secondTimer_(loop_, [this] { onSecond(); }),
      beginSignal_(loop_, SIGUSR1, [this] { beginMeasurement(); }),
      endSignal_(loop_, SIGUSR2, [this] { endMeasurement(); }),
      finishSignal_(loop_, SIGTERM, [this] { finish(); }) {
    for (const std::string& text : options.slow) slowPeriods_.push_back(parseSlowPeriod(text));
    recordVersion("start");
    for (int router = PollConnection::kNoRouter; router < options.realRouters; ++router) listen(router);
    std::string ports;
    for (const auto& listener : listeners_) {
        sockaddr_in boundAddress{};
        socklen_t size = sizeof boundAddress;
        getsockname(listener->descriptor(), reinterpret_cast<sockaddr*>(&boundAddress), &size);
        ports += fmt::format("{}\n", ntohs(boundAddress.sin_port));
    }
    std::ofstream(options.folder + "/discovery.ports.new") << ports;
    std::rename((options.folder + "/discovery.ports.new").c_str(),
                (options.folder + "/discovery.ports").c_str());
}

void Discovery::listen(int realRouter) {
    auto acceptConnection = [this, realRouter](const auto& finish) {
        connections_.push_back(std::make_unique<PollConnection>(*this, realRouter));
        PollConnection& connection = *connections_.back();
        connection.position = std::prev(connections_.end());
        if (!connection.accept(finish)) connections_.pop_back();
    };
    listeners_.push_back(std::make_unique<transport::Listener>(loop_, acceptConnection));
    transport::Address address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const std::string problem = listeners_.back()->listen(address);
    if (!problem.empty())
        throw std::runtime_error("discovery cannot listen on the loopback interface: " + problem);
}

int Discovery::run() {
    loop_.onIteration([this] { removed_.clear(); });
    loop_.run();
    return 0;
}

void Discovery::beginMeasurement() {
    measurementStart_ = EventLoop::now();
    processorSecondsAtStart_ = ownProcessorSeconds();
    isMeasuring_ = true;
    olderList_ = list_.completeJson();
    secondTimer_.start(measurementStart_ + kSecond);
    scheduleNextChange();
}

void Discovery::endMeasurement() {
    if (!isMeasuring_) return;
    measuredDuration_ = sinceMeasurementStart();
    processorSecondsUsed_ = ownProcessorSeconds() - processorSecondsAtStart_;
    isMeasuring_ = false;
    changeTimer_.stop();
    secondTimer_.stop();
}

void Discovery::scheduleNextChange() {
    if (options_.changesPerSecond <= 0) return;
    const double jitter = 0.5 + random_.fraction();
    changeTimer_.start(EventLoop::now() + static_cast<Nanos>(jitter * 1e9 / options_.changesPerSecond));
}

void Discovery::change() {
    scheduleNextChange();
    const std::string_view kind = list_.change(unixMs());
    recordVersion(kind);
    responses_.clear();
    for (auto it = connections_.begin(); it != connections_.end();) {
        PollConnection& connection = **it;
        ++it;  // first, as `onListChanged` may remove the connection from the list
        connection.onListChanged();
    }
}

void Discovery::recordVersion(std::string_view kind) {
    changesFile_ << fmt::format("{}\t{}\t{}\t{}\n", list_.version(), monotonicNanos(), list_.digest(), kind);
}

const std::string& Discovery::responseFor(std::int64_t after) {
    if (options_.sendsOlderVersions && isMeasuring_) {
        if (after == 0) return olderList_;
        if (++responseCount_ % kOlderResponseInterval == 0) {
            std::string& response = responses_[-1];
            response = fmt::format(R"({{"version":{},"full":false,"servers":[]}})", after - 1);
            return response;
        }
    }
    std::string& response = responses_[after];
    if (response.empty()) response = list_.changesSince(after);
    return response;
}

Nanos Discovery::delay() const {
    if (!isMeasuring_) return 0;
    const Nanos now = sinceMeasurementStart();
    for (const SlowPeriod& period : slowPeriods_)
        if (now >= period.at && now < period.at + period.length) return period.delay;
    return 0;
}

void Discovery::countReceived(int realRouter, std::size_t bytes) {
    if (!isMeasuring_) return;
    all_.add(bytes, 0);
    if (realRouter != PollConnection::kNoRouter) real_[static_cast<std::size_t>(realRouter)].add(bytes, 0);
}

void Discovery::countPoll(int realRouter, std::int64_t after) {
    if (isMeasuring_) ++all_.polls;
    if (realRouter == PollConnection::kNoRouter) return;
    const auto index = static_cast<std::size_t>(realRouter);
    if (isMeasuring_) ++real_[index].polls;
    std::int64_t& reported = reportedByReal_[index];
    if (after == reported) return;
    if (reported == 0 && ++readyRealRouters_ == options_.realRouters)
        std::ofstream(options_.folder + "/real.ready") << readyRealRouters_ << '\n';
    reported = after;
    const PropagationRecord record{static_cast<std::uint32_t>(realRouter), 0, after, 0, monotonicNanos()};
    recordsFile_.write(reinterpret_cast<const char*>(&record), sizeof record);
}

void Discovery::countResponse(int realRouter, std::size_t bytes) {
    if (!isMeasuring_) return;
    ++all_.responses;
    all_.add(0, bytes);
    if (realRouter == PollConnection::kNoRouter) return;
    Traffic& traffic = real_[static_cast<std::size_t>(realRouter)];
    ++traffic.responses;
    traffic.add(0, bytes);
}

// The caller may be a method of the connection, so it is destroyed in the loop's next iteration.
void Discovery::removeConnection(PollConnection& connection) {
    removed_.splice(removed_.end(), connections_, connection.position);
}

void Discovery::onSecond() {
    secondTimer_.start(EventLoop::now() + kSecond);
    for (Traffic& traffic : real_) traffic.endSecond();
    all_.endSecond();
}

nlohmann::json Discovery::totalsJson(const Traffic& traffic) const {
    return {{"calls", traffic.polls},
            {"messages", traffic.responses},
            {"bytes_in", traffic.bytesIn},
            {"bytes_out", traffic.bytesOut},
            {"peak_bytes_per_second", traffic.peakBytesPerSecond}};
}

void Discovery::finish() {
    endMeasurement();
    changesFile_.flush();
    recordsFile_.flush();
    nlohmann::json totals = totalsJson(all_);
    totals["seconds"] = static_cast<double>(measuredDuration_) / 1e9;
    totals["processor_seconds"] = processorSecondsUsed_;
    totals["memory_kib"] = residentKibOf(::getpid());
    totals["real"] = nlohmann::json::array();
    for (const Traffic& traffic : real_) totals["real"].push_back(totalsJson(traffic));
    std::ofstream(options_.folder + "/discovery.json") << totals.dump(1) << '\n';
    loop_.stop();
}

}  // namespace

int serveDiscovery(const DiscoveryOptions& options) {
    std::signal(SIGPIPE, SIG_IGN);  // a closed connection is reported by the write's result
    return Discovery(options).run();
}

}  // namespace poppyscale::testbed::scale
