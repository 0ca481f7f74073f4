#include "control/console_listener.hpp"

#include <algorithm>

namespace poppyscale::control {
namespace {

constexpr Nanos kSilent = 8'000 * kMillisecond;  // a caller who has not finished its line by then
constexpr Nanos kLinger = 1'000 * kMillisecond;  // for the answer to be read

}  // namespace

class Caller : private transport::Connection::Owner {
  public:
    explicit Caller(Door& door)
        : door_(door),
          connection_(door.loop_, door.pool_, *this),
          limit_(door.loop_, [this] { door_.drop(*this); }) {}

    transport::Connection& connection() { return connection_; }
    void start() {
        limit_.set(transport::Loop::now() + kSilent);
        connection_.read(true);
    }

  private:
    void received(std::string_view bytes) override {
        if (answered_) return;  // one call to a connection; read on only to see it go
        const auto end = bytes.find('\n');
        line_ += bytes.substr(0, std::min(end, kLongestLine));
        if (line_.size() >= kLongestLine) return say({false, "a line of over 256 bytes"});
        if (end == std::string_view::npos) return;
        std::string wrong;
        const auto call = readCall(line_, wrong);
        say(call ? door_.answer_(*call) : Reply{false, wrong});
    }

    void ended() override { door_.drop(*this); }

    void say(const Reply& reply) {
        answered_ = true;
        if (!connection_.write(reply.line())) return ended();
        connection_.finishSending();
        limit_.set(transport::Loop::now() + kLinger);
    }

    Door& door_;
    transport::Connection connection_;
    transport::Alarm limit_;
    std::string line_;
    bool answered_ = false;
};

Door::Door(transport::Loop& loop, transport::Pool& pool, std::size_t mostCallers, Answer answer)
    : loop_(loop),
      pool_(pool),
      mostCallers_(mostCallers),
      answer_(std::move(answer)),
      listener_(loop, [this](const auto& finish) { admit(finish); }) {}

Door::~Door() = default;

void Door::admit(const std::function<bool(transport::Connection&)>& finish) {
    // The oldest makes room: who has said nothing for longest is the least likely to be a caller.
    if (callers_.size() >= mostCallers_) callers_.pop_front();
    auto made = std::make_unique<Caller>(*this);
    if (!finish(made->connection())) return;
    callers_.push_back(std::move(made));
    callers_.back()->start();
}

void Door::drop(Caller& caller) {
    callers_.remove_if([&](const auto& c) { return c.get() == &caller; });
}

}  // namespace poppyscale::control
