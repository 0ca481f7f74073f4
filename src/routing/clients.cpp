#include "routing/clients.hpp"

#include <algorithm>

namespace poppyscale::routing {
namespace {

constexpr Nanos kLinger = 1'000 * kMillisecond;  // for the last answer to be read before the end
constexpr std::size_t kMostInLine = 128;         // commands of one connection that wait for their answers
constexpr std::size_t kMostUnsent = 256 * 1024;  // then no more of its commands are read
constexpr protocol::Decoder::Bounds kBounds{64 * 1024, 16, 1, 80 * 1024, true};

std::string wordsOf(const Final& final) {
    switch (final.kind) {
        case Final::Kind::answered:
            return protocol::bulk(final.value);
        case Final::Kind::declined: {
            const auto ms = (final.comeBack + kMillisecond - 1) / kMillisecond;
            return ms > 0 ? "-BUSY " + std::to_string(ms) + "\r\n" : "-BUSY\r\n";
        }
        case Final::Kind::terminated:
            break;
    }
    return "-ERR failed\r\n";
}

}  // namespace

class Client : private transport::Connection::Owner {
  public:
    explicit Client(Clients& clients)
        : clients_(clients),
          connection_(clients.loop_, clients.pool_, *this),
          patience_(clients.loop_, [this] { lookAgain(); }) {}

    ~Client() override {
        clients_.ready_ -= ready_;
        for (auto& slot : line_)
            if (slot.command) clients_.core_.left(*slot.command);
    }

    transport::Connection& connection() { return connection_; }
    std::list<std::unique_ptr<Client>>::iterator place;

    void start() { connection_.read(true); }
    std::size_t holds() const { return ready_ + connection_.unsent(); }
    bool owed() const { return !line_.empty() || connection_.unsent() > 0; }
    bool idle() const { return !owed() && !decoder_.within() && !ending_; }
    // What has come in but was not read yet would be lost with the connection.
    bool mayClose() const { return idle() && !connection_.bytesWait(); }

  private:
    // One command's place in the order of answers.
    struct Slot : Asker {
        explicit Slot(Client& client) : client(client) {}
        void tell(Final final) override {
            command = nullptr;
            client.answer(*this, wordsOf(final));
            client.flush();
        }
        Client& client;
        Command* command = nullptr;
        std::optional<std::string> answer;
        bool thenEnd = false;
    };

    void received(std::string_view bytes) override {
        clients_.clients_.splice(clients_.clients_.end(), clients_.clients_, place);
        const Nanos at = clients_.loop_.arrivedBy();
        while (!bytes.empty() && !ending_) {
            const auto state = decoder_.feed(bytes);
            if (state == protocol::Decoder::State::more) break;
            if (state == protocol::Decoder::State::broken) {
                reply("-ERR Protocol error: " + decoder_.problem() + "\r\n", true);
                break;
            }
            ++commands_;
            auto said = protocol::readCommand(decoder_.take());
            if (auto* aside = std::get_if<protocol::Aside>(&said)) {
                reply(std::move(aside->answer), aside->thenClose);
                continue;
            }
            Slot& slot = line_.emplace_back(*this);
            slot.command = clients_.core_.take(slot, std::move(std::get<protocol::Command>(said)), at);
            // Over the number that may be open; never sent, so that trying again is harmless.
            if (!slot.command) answer(slot, "-BUSY\r\n");
        }
        flush();
    }

    void reply(std::string text, bool thenEnd) {
        Slot& slot = line_.emplace_back(*this);
        answer(slot, std::move(text));
        slot.thenEnd = ending_ = thenEnd;
    }

    void answer(Slot& slot, std::string text) {
        ready_ += text.size();
        clients_.ready_ += text.size();
        slot.answer = std::move(text);
    }

    void ended() override { clients_.drop(*this); }
    void emptied() override { flush(); }

    void flush() {
        if (!clients_.relieve(*this)) return;
        std::string out;
        bool end = false;
        while (!line_.empty() && line_.front().answer && !end) {
            out += *line_.front().answer;
            end = line_.front().thenEnd;
            line_.pop_front();
        }
        if (!out.empty()) {
            clients_.ready_ -= out.size();
            ready_ -= out.size();
            if (!connection_.write(out)) return clients_.drop(*this);
        }
        if (end) {
            // Closed at once, unread bytes would reset the connection under the last answer.
            connection_.finishSending();
            return patience_.set(transport::Loop::now() + kLinger);
        }
        if (ending_ && line_.empty()) return;
        if (clients_.closing_ && mayClose()) return clients_.drop(*this);
        connection_.read(line_.size() < kMostInLine && connection_.unsent() < kMostUnsent);
        if (!waitsForClient())
            patience_.clear();
        else if (!patience_.isSet())
            beginWait();
    }

    // A half-sent command, or answers that are not read.
    bool waitsForClient() const { return decoder_.within() || connection_.unsent() > 0; }
    std::uint64_t progress() const { return commands_ + connection_.sent(); }
    void beginWait() {
        before_ = progress();
        patience_.set(transport::Loop::now() + clients_.patience_);
    }
    // One that is slow, or always has the next command half sent, is let be as long as something moves.
    void lookAgain() { ending_ || progress() == before_ ? clients_.drop(*this) : beginWait(); }

    Clients& clients_;
    transport::Connection connection_;
    transport::Alarm patience_;
    protocol::Decoder decoder_{kBounds};
    std::list<Slot> line_;
    std::size_t ready_ = 0;  // bytes of answers that stand behind one still to come
    bool ending_ = false;    // nothing more is read of it
    std::uint64_t commands_ = 0;
    std::uint64_t before_ = 0;  // the progress when the wait for the client began
};

Clients::Clients(transport::Loop& loop, transport::Pool& pool, Core& core, std::size_t most,
                 std::size_t mostReady, Nanos patience)
    : loop_(loop),
      pool_(pool),
      core_(core),
      most_(most),
      mostReady_(mostReady),
      patience_(patience),
      listener_(std::make_unique<transport::Listener>(loop, [this](const auto& finish) { admit(finish); })) {}

Clients::~Clients() = default;

void Clients::admit(const std::function<bool(transport::Connection&)>& finish) {
    if (clients_.size() >= most_) {
        const auto idle =
            std::find_if(clients_.begin(), clients_.end(), [](auto& c) { return c->mayClose(); });
        if (idle != clients_.end()) clients_.erase(idle);
    }
    auto made = std::make_unique<Client>(*this);
    if (!finish(made->connection()) || clients_.size() >= most_) return;
    Client& client = *clients_.emplace_back(std::move(made));
    client.place = std::prev(clients_.end());
    client.start();
}

void Clients::close() {
    if (closing_) return;
    if (listener_) listener_->takeBacklog();
    listener_.reset();
    closing_ = true;
    for (auto it = clients_.begin(); it != clients_.end();)
        (*it)->mayClose() ? it = clients_.erase(it) : ++it;
}

// Who doesn't read, or has many answers stand behind one that doesn't come, fills the machine. Who holds most
// goes, and a quarter of the buffers is left for writing to the caches.
bool Clients::relieve(const Client& writing) {
    while (pool_.left() < pool_.most() / 4 || ready_ > mostReady_) {
        const auto most = std::max_element(clients_.begin(), clients_.end(),
                                           [](auto& a, auto& b) { return a->holds() < b->holds(); });
        if (most == clients_.end() || (*most)->holds() == 0) return true;
        const bool itself = most->get() == &writing;
        clients_.erase(most);
        if (itself) return false;
    }
    return true;
}

void Clients::drop(Client& client) { clients_.erase(client.place); }

}  // namespace poppyscale::routing
