#include "proxy/client_listener.hpp"

#include <algorithm>

namespace poppyscale::proxy {
namespace {

constexpr Nanos kLinger = 1'000 * kMillisecond;  // for the last answer to be read before the end
constexpr std::size_t kMostInLine = 128;         // commands of one connection that wait for their answers
constexpr std::size_t kMostUnsent = 256 * 1024;  // then no more of its commands are read
constexpr std::size_t kMostInTurn = 32 * 1024;   // read of one connection
constexpr std::size_t kMostIgnored = 64 * 1024;  // of what follows a broken command
// In which a client sends a command that it has begun, or its first one: who says nothing may go unheard of.
constexpr Nanos kWhole = 2'500 * kMillisecond;
// Between two commands a client may count on its connection for as long as the first. Where those that have
// said something right take over half of the places, for the second, and as they take more, for less, down to
// a tenth: connections that are used once and kept would else leave none behind a front that opens only so
// many.
constexpr Nanos kKeptIdle = 2'000 * kMillisecond;
constexpr Nanos kKeptShort = 250 * kMillisecond;
constexpr double kShortestAt = 0.65;  // of the places
// A value goes on for as long as it moves, at this pace at least: some bytes a second would hold a place for
// good.
constexpr Nanos kStill = 2'000 * kMillisecond;
// For which a client may leave a long answer unread: it holds a cache's place.
constexpr Nanos kUnread = 10'000 * kMillisecond;
constexpr Nanos kLeastPace = 1'000'000'000 / (32 * 1024);  // for each byte
// That the system has nothing left for new connections is told this often at most.
constexpr Nanos kTellExhaustionEvery = 1'000 * kMillisecond;
// Who is not read ends unseen: looked at this often, where something of theirs is still to be sent on. This
// frees what they hold; that no attempt begins for them is seen to by the look before each attempt.
constexpr Nanos kLook = 50 * kMillisecond;
// No attempt may begin more than 0.1 s after its client has closed the connection. An attempt begins without
// a system call if the connection was known to be open within this time, else the kernel is asked first.
// The time of arrival that counts as known to be open may itself be late by 40 ms: a poll of 20 ms, and 10 ms
// of delay each in the poll and in the turn before it, which Loop::arrivedBy doesn't take for being held up.
// An attempt thus begins 60 ms after the close at the latest, if the kernel has the end by then. It has not
// where a client has closed behind more bytes than fit in this machine's receive window (64 KiB at first):
// the end stands on the client's machine until the router reads on.
constexpr Nanos kKnownOpenFor = 20 * kMillisecond;
// Longer ones than the first come in pieces: the last word of a write, up to 4 MiB.
constexpr protocol::Decoder::Bounds kBounds{64 * 1024, 16, 1, 80 * 1024, true, 4 * 1024 * 1024, 4};

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

class Client : private transport::Connection::Owner, private Body {
  public:
    explicit Client(Clients& clients)
        : clients_(clients),
          connection_(clients.loop_, clients.pool_, *this),
          alarm_(clients.loop_, [this] { lookAgain(); }) {}

    ~Client() override {
        clients_.ready_ -= ready_;
        clients_.half_ -= half_;
        clients_.useful_ -= useful_;
        std::erase(clients_.rested_, this);
        std::erase(clients_.left_, this);
        if (gone_) *gone_ = true;
        if (sink_) sink_->brokeOff();
        for (auto& slot : line_) {
            if (slot.from) slot.from->leave();
            if (slot.command) clients_.core_.left(*slot.command);
        }
    }

    transport::Connection& connection() { return connection_; }
    Clients::Place place;

    void start() {
        heardAt_ = owesSince_ = transport::Loop::now();
        flush();
    }
    std::size_t holds() const { return ready_ + connection_.unsent(); }
    std::size_t half() const { return half_; }
    // What has come in but was not read yet would be lost with the connection.
    bool mayClose() const { return idle() && !connection_.bytesWait(); }
    bool lingers() const { return lingers_ && connection_.unsent() == 0; }
    bool useful() const { return useful_; }
    Nanos answeredAt() const { return answeredAt_; }
    void isUseful() { clients_.useful_ += !std::exchange(useful_, true); }
    bool owed() const { return !line_.empty() || connection_.unsent() > 0; }
    bool ending() const { return ending_; }
    // Of no use so far, and of none to anybody who waits: silent, half said, or all of it wrong.
    bool mayMakeRoom() const { return !useful_ && !owed() && !ending_ && !connection_.bytesWait(); }
    Nanos heardAt() const { return heardAt_; }
    bool leftUnread() const {
        const auto open = [](const Slot& s) { return s.command != nullptr; };
        return !listens_ && std::any_of(line_.begin(), line_.end(), open) && connection_.left();
    }
    void goOn() {
        if (rest_.empty() || writing_) return flush();
        const std::string rest = std::exchange(rest_, {});
        parse(rest, transport::Loop::now());
    }

  private:
    // One command's place in the order of answers.
    struct Slot : Asker, Taker {
        explicit Slot(Client& client) : client(client) {}
        void tell(Final final) override {
            command = nullptr;
            client.answer(*this, wordsOf(final));
            client.heard();
            client.bodyUnwanted(*this);
            client.flush();
        }
        bool present() override {
            if (client.isConnectionOpen()) return true;
            command = nullptr;
            client.clients_.left_.push_back(&client);
            return false;
        }
        Taker& begin(std::size_t length, Giver& giver) override {
            command = nullptr;
            from = &giver;
            left = length;
            client.answer(*this, std::string("$").append(std::to_string(length)).append("\r\n"));
            return *this;
        }
        Room piece(std::string_view bytes) override { return client.pass(*this, bytes); }
        void brokeOff() override {
            from = nullptr;
            client.clients_.drop(client);  // which shows that it is not whole
        }
        Client& client;
        Command* command = nullptr;
        std::optional<std::string> answer;
        bool thenEnd = false;
        Giver* from = nullptr;  // of a long value, until all of it has come
        std::size_t left = 0;   // of that value
        bool waits = false;     // it has been told that there is no room
    };

    // Asks the kernel, unless the connection was known to be open a moment ago.
    bool isConnectionOpen() {
        const Nanos now = transport::Loop::now();
        if (now - knownOpenAt_ < kKnownOpenFor) return true;
        if (connection_.left()) return false;
        knownOpenAt_ = now;
        return true;
    }
    // Bytes prove that the connection was open when they arrived. When that was is only known if everything
    // before them had been read: else they, and the end behind them, may have stood in the kernel for long.
    void noteArrival(std::size_t size, Nanos arrivedBy) {
        if (caughtUp_) knownOpenAt_ = std::max(knownOpenAt_, arrivedBy);
        caughtUp_ = size < transport::kBufferSize;
    }

    void heard() {
        heardAt_ = transport::Loop::now();
        clients_.clients_.splice(clients_.clients_.end(), clients_.clients_, place);
    }
    bool idle() const { return !owed() && !decoder_.within() && !ending_; }

    void received(std::string_view bytes) override {
        if (ending_) {
            // Read on only to see it go. One that sends on and on is left standing until the time is over.
            if ((ignored_ += bytes.size()) > kMostIgnored) connection_.read(false);
            return;
        }
        movedAt_ = transport::Loop::now();
        if (std::exchange(turn_, clients_.turn_) != clients_.turn_) readInTurn_ = 0;
        readInTurn_ += bytes.size();
        heard();
        const Nanos at = clients_.loop_.arrivedBy();
        noteArrival(bytes.size(), at);
        parse(bytes, at);
    }

    void parse(std::string_view bytes, Nanos at) {
        if (!decoder_.within() && owesSince_ == 0) owesSince_ = transport::Loop::now();
        using State = protocol::Decoder::State;
        for (auto state = State::whole; state != State::more && !ending_ && !unread();) {
            state = decoder_.feed(bytes);
            if (state == State::broken)
                reply("-ERR Protocol error: " + decoder_.problem() + "\r\n", true);
            else if (state == State::longBegins)
                takeHead(at);
            else if (state == State::longPiece)
                give(decoder_.piece());
            else if (state == State::whole && writing_)
                bodyRead_ = true, bodyOver();
            else if (state == State::whole)
                take(decoder_.take(), at);
            if (state == State::whole) owesSince_ = heardAt_;
        }
        rest_ = bytes;
        if (ending_) unwritten();
        countHalf();
        if (!decoder_.within() || ending_) owesSince_ = 0;
        flush();
    }

    void countHalf() {
        const std::size_t half =
            ending_ ? 0 : (decoder_.within() ? decoder_.held() : 0) + pending_.size() + rest_.size();
        clients_.half_ += half - half_;
        half_ = half;
    }

    void take(protocol::Value words, Nanos at) {
        auto said = protocol::readCommand(std::move(words));
        if (auto* aside = std::get_if<protocol::Aside>(&said)) {
            if (aside->ping && clients_.standsBy_) return reply("-ERR standing by\r\n", false);
            if (!aside->answer.starts_with('-')) isUseful();
            return reply(std::move(aside->answer), aside->thenClose);
        }
        Slot& slot = line_.emplace_back(*this);
        auto& command = std::get<protocol::Command>(said);
        if (!clients_.takes(command.patience)) return answer(slot, "-BUSY\r\n");
        const auto taken = clients_.core_.take(slot, std::move(command), at);
        slot.command = taken.command;
        if (taken.wrong.empty()) isUseful();
        // Over what may be held it was never sent, so that trying again is harmless; with a command that
        // can't be right it would be as wrong the next time.
        if (!taken.command)
            answer(slot, taken.wrong.empty() ? "-BUSY\r\n" : "-ERR " + std::string(taken.wrong) + "\r\n");
    }

    // ---- a write that comes in pieces: this is the giver of its value

    void takeHead(Nanos at) {
        auto said = protocol::readHead(decoder_.before(), decoder_.longLength());
        if (auto* aside = std::get_if<protocol::Aside>(&said)) return reply(std::move(aside->answer), true);
        Slot& slot = line_.emplace_back(*this);
        writing_ = &slot;
        ungiven_ = decoder_.longLength();
        bodyRead_ = false;
        unwanted_ = true;
        auto& command = std::get<protocol::Command>(said);
        if (!clients_.takes(command.patience)) return answer(slot, "-BUSY\r\n");
        const auto taken = clients_.core_.take(slot, std::move(command), at, this);
        slot.command = taken.command;
        unwanted_ = !taken.command;
        if (taken.wrong.empty()) isUseful();
        if (!taken.command)
            answer(slot, taken.wrong.empty() ? "-BUSY\r\n" : "-ERR " + std::string(taken.wrong) + "\r\n");
    }
    void give(std::string_view bytes) {
        if (unwanted_) return;  // read to its end all the same: the answer comes behind it
        if (!sink_ || full_) return void(pending_ += bytes);
        const Room room = sink_->piece(bytes);
        ungiven_ -= bytes.size();
        full_ = room == Room::full;
        if (room == Room::gone || ungiven_ == 0) sink_ = nullptr;
        if (room == Room::gone) unwritten();
        bodyOver();
    }
    // All of it was read, and taken if anybody wanted it: the connection goes on, in the next turn.
    void bodyOver() {
        if (!writing_ || !bodyRead_ || (!unwanted_ && ungiven_ > 0)) return;
        writing_ = nullptr;
        if (!rest_.empty()) clients_.rested_.push_back(this);
    }
    // What came behind such a write, until that is over.
    bool unread() const { return writing_ && bodyRead_; }
    void begin(Taker& taker) override {
        sink_ = &taker;
        more();
    }
    void more() override {
        full_ = false;
        if (!pending_.empty()) give(std::exchange(pending_, {}));
        countHalf();
        listen();
        watchOver();
    }
    void leave() override {
        sink_ = nullptr;
        unwritten();
        bodyOver();
        countHalf();
        listen();
        watchOver();
    }
    void unwritten() {
        unwanted_ = true;
        full_ = false;
        pending_ = {};
        if (Taker* const sink = std::exchange(sink_, nullptr)) sink->brokeOff();
        if (!ending_ || !writing_) return;
        // Nothing more is read of it, and what is wrong with it is its answer.
        if (writing_->command) clients_.core_.left(*writing_->command);
        Slot* const gone = std::exchange(writing_, nullptr);
        ready_ -= gone->answer ? gone->answer->size() : 0;
        clients_.ready_ -= gone->answer ? gone->answer->size() : 0;
        line_.remove_if([&](const Slot& s) { return &s == gone; });
    }
    void bodyUnwanted(const Slot& slot) {
        if (&slot != writing_) return;
        unwritten();
        bodyOver();
    }
    bool bodyWaits() const { return writing_ && !unwanted_ && (!sink_ || full_); }

    // ---- a long value that comes as an answer

    Room pass(Slot& slot, std::string_view bytes) {
        // Let go of meanwhile: whoever gives it is told by what this returns if the client goes.
        Giver* const from = std::exchange(slot.from, nullptr);
        slot.left -= bytes.size();
        const bool last = slot.left == 0;
        bool gone = false;
        gone_ = &gone;
        heard();
        // What stands before it first, its own beginning among that.
        if (&slot == &line_.front() && !slot.answer->empty()) flush();
        if (gone) return Room::gone;
        if (&slot == &line_.front() && slot.answer->empty()) {
            if (!connection_.write(bytes)) return clients_.drop(*this), Room::gone;
        } else {
            extend(slot, bytes);
        }
        if (last) extend(slot, "\r\n");
        flush();
        if (gone) return Room::gone;
        gone_ = nullptr;
        if (last) return Room::more;
        slot.from = from;
        slot.waits = connection_.unsent() > 0 || &slot != &line_.front();
        return slot.waits ? Room::full : Room::more;
    }
    void extend(Slot& slot, std::string_view text) {
        ready_ += text.size();
        clients_.ready_ += text.size();
        slot.answer->append(text);
    }
    void wantMore() {
        if (line_.empty() || !line_.front().from || !line_.front().waits || connection_.unsent() > 0) return;
        line_.front().waits = false;
        line_.front().from->more();
    }
    bool givesLong() const {
        return std::any_of(line_.begin(), line_.end(), [](const Slot& s) { return s.left > 0; });
    }

    void reply(std::string text, bool thenEnd) {
        Slot& slot = line_.emplace_back(*this);
        answer(slot, std::move(text));
        slot.thenEnd = ending_ = thenEnd;
    }

    void answer(Slot& slot, std::string_view text) {
        slot.answer.emplace();
        extend(slot, text);
    }

    void ended() override { clients_.drop(*this); }
    void emptied() override { flush(); }

    void flush() {
        if (!clients_.relieve(*this)) return;
        std::string out;
        bool end = false;
        while (!line_.empty() && line_.front().answer && &line_.front() != writing_ && !end) {
            out += *line_.front().answer;
            // The rest of it is still to come.
            if (line_.front().left > 0) {
                line_.front().answer->clear();
                break;
            }
            end = line_.front().thenEnd;
            line_.pop_front();
        }
        if (!out.empty()) {
            clients_.ready_ -= out.size();
            ready_ -= out.size();
            answeredAt_ = transport::Loop::now();
            if (!connection_.write(out)) return clients_.drop(*this);
        }
        if (end) {
            // Closed at once, unread bytes would reset the connection under the last answer.
            connection_.finishSending();
            lingers_ = true;
            connection_.read(true);
            return alarm_.set(transport::Loop::now() + kLinger);
        }
        if (lingers_) return;
        wantMore();
        listen();
        watchOver();
    }

    void listen() {
        // Behind a long value nothing is taken: its break would lose that too.
        const bool wanted = !ending_ && line_.size() < kMostInLine && connection_.unsent() < kMostUnsent &&
                            !bodyWaits() && !givesLong() && rest_.empty();
        // That it was not read is not the client's delay.
        if (wanted && !listens_ && owesSince_) owesSince_ = movedAt_ = transport::Loop::now();
        listens_ = wanted;
        // A part for each in a turn: whoever sends at full speed would else keep the others waiting.
        const bool rests = wanted && turn_ == clients_.turn_ && readInTurn_ >= kMostInTurn;
        if (rests) clients_.rested_.push_back(this);
        const bool reads = wanted && !rests;
        if (!reads) caughtUp_ = false;
        connection_.read(reads);
    }

    // Until when the client has to have done its part: sent the whole of a command that it has begun, its
    // first one since it connected, or read some of its answers.
    void watchOver() {
        const bool unread = connection_.unsent() > 0;
        if (!unread || connection_.sent() != sentBefore_) unreadSince_ = transport::Loop::now();
        sentBefore_ = connection_.sent();
        if (owesSince_ && listens_)
            alarm_.set(wholeBy());
        else if (unread)
            alarm_.set(unreadSince_ +
                       (givesLong() ? std::min(clients_.patience_, kUnread) : clients_.patience_));
        else
            alarm_.clear();
    }

    Nanos wholeBy() const {
        const Nanos head = owesSince_ + kWhole;
        if (!decoder_.inLongItem()) return head;
        const auto longest = static_cast<Nanos>(std::max(decoder_.longLength(), kBounds.bulk)) * kLeastPace;
        return std::clamp(movedAt_ + kStill, head, head + longest);
    }

    void lookAgain() {
        if (lingers_) return clients_.drop(*this);
        if (!owesSince_ || !listens_) {
            // Slow is no reason while something moves.
            if (connection_.unsent() > 0 && connection_.sent() != sentBefore_) return watchOver();
            return clients_.drop(*this);
        }
        if (!decoder_.within()) return clients_.drop(*this);
        reply("-ERR Protocol error: command not whole in time\r\n", true);
        unwritten();
        flush();
    }

    Clients& clients_;
    transport::Connection connection_;
    transport::Alarm alarm_;
    protocol::Decoder decoder_{kBounds};
    std::list<Slot> line_;
    // The write whose value comes in pieces, until its end; who takes them; and what nobody took yet.
    Slot* writing_ = nullptr;
    Taker* sink_ = nullptr;
    std::string pending_;
    std::string rest_;  // what came behind it
    std::size_t ungiven_ = 0;
    bool bodyRead_ = false;
    bool full_ = false;      // the taker has no room
    bool unwanted_ = false;  // nobody will take any more
    bool* gone_ = nullptr;   // told by the end of this
    Nanos movedAt_ = 0;      // when it last sent something, or was let
    std::size_t ready_ = 0;  // bytes of answers that stand behind one still to come
    std::size_t half_ = 0;   // bytes of a command that is not whole yet
    std::size_t readInTurn_ = 0;
    std::size_t ignored_ = 0;
    std::uint64_t turn_ = 0;  // the one that the bytes above were read in
    bool ending_ = false;     // nothing more is read of it
    bool lingers_ = false;    // told all, until it has read that
    bool listens_ = false;
    bool caughtUp_ = false;  // it is being read, and the last read took all that the kernel had
    Nanos knownOpenAt_ = 0;  // the latest time at which its connection was known to be open
    bool useful_ = false;    // has said something that was right
    Nanos heardAt_ = 0;      // when it last sent something or got an answer
    Nanos answeredAt_ = 0;
    Nanos owesSince_ = 0;  // when the command began that is not whole yet
    Nanos unreadSince_ = 0;
    std::uint64_t sentBefore_ = 0;  // bytes, when the wait for it to read began
};

Clients::Clients(transport::Loop& loop, transport::Pool& pool, Core& core, std::size_t most,
                 std::size_t mostHeld, Nanos patience)
    : loop_(loop),
      pool_(pool),
      core_(core),
      most_(most),
      mostHeld_(mostHeld),
      patience_(patience),
      listener_(std::make_unique<transport::Listener>(loop, [this](const auto& finish) { admit(finish); })) {
    listener_->whenExhausted([this](std::string_view why) { exhausted(why); });
}

Clients::~Clients() = default;

void Clients::admit(const std::function<bool(transport::Connection&)>& finish) {
    const bool room = makeRoom();
    auto made = std::make_unique<Client>(*this);
    if (!finish(made->connection()) || !room) return;
    Client& client = *clients_.emplace_back(std::move(made));
    client.place = std::prev(clients_.end());
    client.start();
}

// The system has no descriptor or memory for another connection. Who wants to connect waits in the backlog;
// none of those that are there is closed for it: what they have sent may not have come yet.
void Clients::exhausted(std::string_view why) {
    const Nanos now = transport::Loop::now();
    if (now < exhaustionToldAt_ + kTellExhaustionEvery) return;
    exhaustionToldAt_ = now;
    if (tellExhausted) tellExhausted(why);
}

// First who is only let read its last answer, then who has not said anything right yet, oldest first, so that
// a crowd that says nothing, half of something or only nonsense makes room for itself; then who idles.
bool Clients::makeRoom() {
    if (clients_.size() < most_) return true;
    auto gone = std::find_if(clients_.begin(), clients_.end(), [](auto& c) { return c->lingers(); });
    if (gone == clients_.end())
        gone = std::find_if(clients_.begin(), clients_.end(), [](auto& c) { return c->mayMakeRoom(); });
    if (gone == clients_.end()) gone = idlest();
    return gone != clients_.end() && closeIdle(gone);
}

Nanos Clients::keptIdle() const {
    const double taken = static_cast<double>(useful_) / static_cast<double>(most_);
    if (taken <= 0.5) return kKeptIdle;
    const double part = std::clamp((kShortestAt - taken) / (kShortestAt - 0.5), 0.1, 1.0);
    return static_cast<Nanos>(part * static_cast<double>(kKeptShort));
}

// Who has said something right, but nothing lately; or none.
Clients::Place Clients::idlest() {
    const Nanos since = transport::Loop::now() - keptIdle();
    for (auto it = clients_.begin(); it != clients_.end() && (*it)->heardAt() <= since; ++it)
        if ((*it)->useful() && (*it)->mayClose()) return it;
    return clients_.end();
}

void Clients::turn() {
    ++turn_;
    seeWhoLeft();
    if (emptying_) letGo();
    // Half of the places are kept free of those that idle: connections that were used once and stay would
    // leave none behind a front that opens only so many.
    while (clients_.size() > most_ / 2) {
        const auto it = idlest();
        if (it == clients_.end() || !closeIdle(it)) break;
    }
    while (!rested_.empty()) {
        Client* const client = rested_.back();
        rested_.pop_back();
        client->goOn();
    }
}

void Clients::close() {
    if (listener_) listener_->takeBacklog();
    listener_.reset();
}

void Clients::seeWhoLeft() {
    while (!left_.empty()) drop(*left_.back());
    const Nanos now = transport::Loop::now();
    if (now < lookAt_) return;
    lookAt_ = now + kLook;
    std::erase_if(clients_, [](auto& c) { return c->leftUnread(); });
}

void Clients::letGo() {
    const Nanos now = transport::Loop::now();
    const auto left = static_cast<double>(emptying_->idleUntil - now);
    const auto width = static_cast<double>(std::max<Nanos>(emptying_->idleUntil - emptying_->idleFrom, 1));
    // Of those that idle, what may still be there by now; who was heard of longest ago goes first.
    const auto may = std::clamp(left / width, 0.0, 1.0) * static_cast<double>(idleAtFirst_);
    std::size_t idle = 0;
    for (auto& c : clients_) idle += c->mayClose();
    for (auto it = clients_.begin(); it != clients_.end();) {
        Client& c = **it++;
        const bool said = c.answeredAt() >= emptying_->since;
        const bool halfSaid = !takes() && !c.owed() && !c.ending() && c.half() > 0;
        if (halfSaid || (c.mayClose() && (said || static_cast<double>(idle) > may))) {
            idle -= idle > 0;
            closeIdle(c.place);
        }
    }
}

// Who doesn't read, has many answers stand behind one that doesn't come, or begins commands and leaves them,
// fills the machine. Who holds most goes, or who has held a begun one longest; a quarter of the buffers is
// left for writing to the caches.
bool Clients::relieve(const Client& writing) {
    while (pool_.left() < pool_.most() / 4 || ready_ > mostHeld_ || half_ > mostHeld_) {
        const auto most =
            half_ > mostHeld_
                ? std::find_if(clients_.begin(), clients_.end(), [](auto& c) { return c->half() > 0; })
                : std::max_element(clients_.begin(), clients_.end(),
                                   [](auto& a, auto& b) { return a->holds() < b->holds(); });
        if (most == clients_.end() || (*most)->holds() + (*most)->half() == 0) return true;
        const bool itself = most->get() == &writing;
        clients_.erase(most);
        if (itself) return false;
    }
    return true;
}

void Clients::drop(Client& client) { clients_.erase(client.place); }

bool Clients::closeIdle(Place client) {
    if ((*client)->owed()) {
        core_.guard().violated(Invariant::closing, "a client's connection with a request that has no answer");
        core_.guard().refused(Refusal::stillOwed);
        return false;
    }
    clients_.erase(client);
    return true;
}

}  // namespace poppyscale::proxy
