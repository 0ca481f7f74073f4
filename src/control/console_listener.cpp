#include "control/console_listener.hpp"

#include <algorithm>

namespace poppyscale::control {
namespace {

constexpr Nanos kSilent = 8'000 * kMillisecond;  // a caller who has not finished its line by then
constexpr Nanos kLinger = 1'000 * kMillisecond;  // for the answer to be read

}  // namespace

class ConsoleConnection : private transport::Connection::Handler {
  public:
    explicit ConsoleConnection(ConsoleListener& door)
        : door_(door),
          connection_(door.loop_, door.pool_, *this),
          limit_(door.loop_, [this] { door_.drop(*this); }) {}

    transport::Connection& connection() { return connection_; }
    void start() {
        limit_.start(transport::EventLoop::now() + kSilent);
        connection_.setReading(true);
    }

  private:
    void onData(std::string_view bytes) override {
        if (answered_) return;  // one call to a connection; read on only to see it go
        const auto end = bytes.find('\n');
        line_ += bytes.substr(0, std::min(end, kMaxConsoleLine));
        if (line_.size() >= kMaxConsoleLine) return say({false, "a line of over 256 bytes"});
        if (end == std::string_view::npos) return;
        std::string wrong;
        const auto call = readConsoleCommand(line_, wrong);
        say(call ? door_.answer_(*call) : ConsoleReply{false, wrong});
    }

    void onClosed() override { door_.drop(*this); }

    void say(const ConsoleReply& reply) {
        answered_ = true;
        if (!connection_.write(reply.line())) return onClosed();
        connection_.shutdownWrite();
        limit_.start(transport::EventLoop::now() + kLinger);
    }

    ConsoleListener& door_;
    transport::Connection connection_;
    transport::Timer limit_;
    std::string line_;
    bool answered_ = false;
};

ConsoleListener::ConsoleListener(transport::EventLoop& loop, transport::BufferPool& pool,
                                 std::size_t mostCallers, CommandHandler answer)
    : loop_(loop),
      pool_(pool),
      mostCallers_(mostCallers),
      answer_(std::move(answer)),
      listener_(loop, [this](const auto& finish) { admit(finish); }) {}

ConsoleListener::~ConsoleListener() = default;

void ConsoleListener::admit(const std::function<bool(transport::Connection&)>& finish) {
    // The oldest makes room: who has said nothing for longest is the least likely to be a caller.
    if (callers_.size() >= mostCallers_) callers_.pop_front();
    auto made = std::make_unique<ConsoleConnection>(*this);
    if (!finish(made->connection())) return;
    callers_.push_back(std::move(made));
    callers_.back()->start();
}

void ConsoleListener::drop(ConsoleConnection& caller) {
    callers_.remove_if([&](const auto& c) { return c.get() == &caller; });
}

}  // namespace poppyscale::control
