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
constexpr protocol::RespDecoder::Limits kBounds{64 * 1024, 16, 1, 80 * 1024, true, 4 * 1024 * 1024, 4};

std::string wordsOf(const FinalResponse& final) {
    switch (final.kind) {
        case FinalResponse::Kind::succeeded:
            return protocol::bulk(final.value);
        case FinalResponse::Kind::rejected: {
            const auto ms = (final.retryAfter + kMillisecond - 1) / kMillisecond;
            return ms > 0 ? "-BUSY " + std::to_string(ms) + "\r\n" : "-BUSY\r\n";
        }
        case FinalResponse::Kind::failed:
            break;
    }
    return "-ERR failed\r\n";
}

}  // namespace

class ClientConnection : private transport::Connection::Handler, private RequestBody {
  public:
    explicit ClientConnection(ClientListener& clients)
        : listener_(clients),
          connection_(clients.loop_, clients.pool_, *this),
          timer_(clients.loop_, [this] { lookAgain(); }) {}

    ~ClientConnection() override {
        listener_.unsentBytes_ -= ready_;
        listener_.partialRequestBytes_ -= half_;
        listener_.usefulClients_ -= useful_;
        std::erase(listener_.deferred_, this);
        std::erase(listener_.disconnected_, this);
        if (destroyed_) *destroyed_ = true;
        if (sink_) sink_->onAborted();
        for (auto& slot : pipeline_) {
            if (slot.from) slot.from->cancel();
            if (slot.command) listener_.dispatcher_.onClientDisconnected(*slot.command);
        }
    }

    transport::Connection& connection() { return connection_; }
    ClientListener::ConnectionIterator place;

    void start() {
        heardAt_ = owesSince_ = transport::EventLoop::now();
        flush();
    }
    std::size_t holds() const { return ready_ + connection_.unsentBytes(); }
    std::size_t half() const { return half_; }
    // What has come in but was not read yet would be lost with the connection.
    bool mayClose() const { return idle() && !connection_.hasUnreadBytes(); }
    bool lingers() const { return lingers_ && connection_.unsentBytes() == 0; }
    bool useful() const { return useful_; }
    Nanos answeredAt() const { return answeredAt_; }
    void isUseful() { listener_.usefulClients_ += !std::exchange(useful_, true); }
    bool owed() const { return !pipeline_.empty() || connection_.unsentBytes() > 0; }
    bool ending() const { return ending_; }
    // Of no use so far, and of none to anybody who waits: silent, half said, or all of it wrong.
    bool mayMakeRoom() const { return !useful_ && !owed() && !ending_ && !connection_.hasUnreadBytes(); }
    Nanos heardAt() const { return heardAt_; }
    bool leftUnread() const {
        const auto open = [](const PipelinedRequest& s) { return s.command != nullptr; };
        return !listens_ && std::any_of(pipeline_.begin(), pipeline_.end(), open) &&
               connection_.hasPeerClosed();
    }
    void goOn() {
        if (rest_.empty() || writing_) return flush();
        const std::string rest = std::exchange(rest_, {});
        parse(rest, transport::EventLoop::now());
    }

  private:
    // One command's place in the order of answers.
    struct PipelinedRequest : ResponseSink, BodySink {
        explicit PipelinedRequest(ClientConnection& client) : client(client) {}
        void complete(FinalResponse final) override {
            command = nullptr;
            client.answer(*this, wordsOf(final));
            client.heard();
            client.bodyUnwanted(*this);
            client.flush();
        }
        bool isClientConnected() override {
            if (client.isConnectionOpen()) return true;
            command = nullptr;
            client.listener_.disconnected_.push_back(&client);
            return false;
        }
        BodySink& beginStream(std::size_t length, BodySource& giver) override {
            command = nullptr;
            from = &giver;
            left = length;
            client.answer(*this, std::string("$").append(std::to_string(length)).append("\r\n"));
            return *this;
        }
        FlowControl onChunk(std::string_view bytes) override { return client.pass(*this, bytes); }
        void onAborted() override {
            from = nullptr;
            client.listener_.remove(client);  // which shows that it is not whole
        }
        ClientConnection& client;
        PendingRequest* command = nullptr;
        std::optional<std::string> answer;
        bool thenEnd = false;
        BodySource* from = nullptr;  // of a long value, until all of it has come
        std::size_t left = 0;        // of that value
        bool waits = false;          // it has been told that there is no room
    };

    // Asks the kernel, unless the connection was known to be open a moment ago.
    bool isConnectionOpen() {
        const Nanos now = transport::EventLoop::now();
        if (now - knownOpenAt_ < kKnownOpenFor) return true;
        if (connection_.hasPeerClosed()) return false;
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
        heardAt_ = transport::EventLoop::now();
        listener_.clients_.splice(listener_.clients_.end(), listener_.clients_, place);
    }
    bool idle() const { return !owed() && !decoder_.isInValue() && !ending_; }

    void onData(std::string_view bytes) override {
        if (ending_) {
            // Read on only to see it go. One that sends on and on is left standing until the time is over.
            if ((ignored_ += bytes.size()) > kMostIgnored) connection_.setReading(false);
            return;
        }
        movedAt_ = transport::EventLoop::now();
        if (std::exchange(turn_, listener_.iteration_) != listener_.iteration_) readInTurn_ = 0;
        readInTurn_ += bytes.size();
        heard();
        const Nanos at = listener_.loop_.earliestArrival();
        noteArrival(bytes.size(), at);
        parse(bytes, at);
    }

    void parse(std::string_view bytes, Nanos at) {
        if (!decoder_.isInValue() && owesSince_ == 0) owesSince_ = transport::EventLoop::now();
        using State = protocol::RespDecoder::State;
        for (auto state = State::complete; state != State::more && !ending_ && !unread();) {
            state = decoder_.feed(bytes);
            if (state == State::malformed)
                reply("-ERR Protocol error: " + decoder_.problem() + "\r\n", true);
            else if (state == State::streamBegins)
                takeHead(at);
            else if (state == State::streamChunk)
                give(decoder_.chunk());
            else if (state == State::complete && writing_)
                bodyRead_ = true, bodyOver();
            else if (state == State::complete)
                take(decoder_.takeValue(), at);
            if (state == State::complete) owesSince_ = heardAt_;
        }
        rest_ = bytes;
        if (ending_) unwritten();
        countHalf();
        if (!decoder_.isInValue() || ending_) owesSince_ = 0;
        flush();
    }

    void countHalf() {
        const std::size_t half =
            ending_ ? 0
                    : (decoder_.isInValue() ? decoder_.bufferedBytes() : 0) + pending_.size() + rest_.size();
        listener_.partialRequestBytes_ += half - half_;
        half_ = half;
    }

    void take(protocol::RespValue words, Nanos at) {
        auto said = protocol::readRequest(std::move(words));
        if (auto* aside = std::get_if<protocol::ControlCommand>(&said)) {
            if (aside->isPing && listener_.isStandby_) return reply("-ERR standing by\r\n", false);
            if (!aside->response.starts_with('-')) isUseful();
            return reply(std::move(aside->response), aside->closesConnection);
        }
        PipelinedRequest& slot = pipeline_.emplace_back(*this);
        auto& command = std::get<protocol::Request>(said);
        if (!listener_.acceptsRequests(command.timeout)) return answer(slot, "-BUSY\r\n");
        const auto taken = listener_.dispatcher_.accept(slot, std::move(command), at);
        slot.command = taken.request;
        if (taken.problem.empty()) isUseful();
        // Over what may be held it was never sent, so that trying again is harmless; with a command that
        // can't be right it would be as wrong the next time.
        if (!taken.request)
            answer(slot, taken.problem.empty() ? "-BUSY\r\n" : "-ERR " + std::string(taken.problem) + "\r\n");
    }

    // ---- a write that comes in pieces: this is the giver of its value

    void takeHead(Nanos at) {
        auto said = protocol::readRequestHead(decoder_.itemsBeforeStream(), decoder_.streamedLength());
        if (auto* aside = std::get_if<protocol::ControlCommand>(&said))
            return reply(std::move(aside->response), true);
        PipelinedRequest& slot = pipeline_.emplace_back(*this);
        writing_ = &slot;
        ungiven_ = decoder_.streamedLength();
        bodyRead_ = false;
        unwanted_ = true;
        auto& command = std::get<protocol::Request>(said);
        if (!listener_.acceptsRequests(command.timeout)) return answer(slot, "-BUSY\r\n");
        const auto taken = listener_.dispatcher_.accept(slot, std::move(command), at, this);
        slot.command = taken.request;
        unwanted_ = !taken.request;
        if (taken.problem.empty()) isUseful();
        if (!taken.request)
            answer(slot, taken.problem.empty() ? "-BUSY\r\n" : "-ERR " + std::string(taken.problem) + "\r\n");
    }
    void give(std::string_view bytes) {
        if (unwanted_) return;  // read to its end all the same: the answer comes behind it
        if (!sink_ || full_) return void(pending_ += bytes);
        const FlowControl room = sink_->onChunk(bytes);
        ungiven_ -= bytes.size();
        full_ = room == FlowControl::full;
        if (room == FlowControl::closed || ungiven_ == 0) sink_ = nullptr;
        if (room == FlowControl::closed) unwritten();
        bodyOver();
    }
    // All of it was read, and taken if anybody wanted it: the connection goes on, in the next turn.
    void bodyOver() {
        if (!writing_ || !bodyRead_ || (!unwanted_ && ungiven_ > 0)) return;
        writing_ = nullptr;
        if (!rest_.empty()) listener_.deferred_.push_back(this);
    }
    // What came behind such a write, until that is over.
    bool unread() const { return writing_ && bodyRead_; }
    void streamTo(BodySink& taker) override {
        sink_ = &taker;
        resume();
    }
    void resume() override {
        full_ = false;
        if (!pending_.empty()) give(std::exchange(pending_, {}));
        countHalf();
        listen();
        watchOver();
    }
    void cancel() override {
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
        if (BodySink* const sink = std::exchange(sink_, nullptr)) sink->onAborted();
        if (!ending_ || !writing_) return;
        // Nothing more is read of it, and what is wrong with it is its answer.
        if (writing_->command) listener_.dispatcher_.onClientDisconnected(*writing_->command);
        PipelinedRequest* const gone = std::exchange(writing_, nullptr);
        ready_ -= gone->answer ? gone->answer->size() : 0;
        listener_.unsentBytes_ -= gone->answer ? gone->answer->size() : 0;
        pipeline_.remove_if([&](const PipelinedRequest& s) { return &s == gone; });
    }
    void bodyUnwanted(const PipelinedRequest& slot) {
        if (&slot != writing_) return;
        unwritten();
        bodyOver();
    }
    bool bodyWaits() const { return writing_ && !unwanted_ && (!sink_ || full_); }

    // ---- a long value that comes as an answer

    FlowControl pass(PipelinedRequest& slot, std::string_view bytes) {
        // Let go of meanwhile: whoever gives it is told by what this returns if the client goes.
        BodySource* const from = std::exchange(slot.from, nullptr);
        slot.left -= bytes.size();
        const bool last = slot.left == 0;
        bool gone = false;
        destroyed_ = &gone;
        heard();
        // What stands before it first, its own beginning among that.
        if (&slot == &pipeline_.front() && !slot.answer->empty()) flush();
        if (gone) return FlowControl::closed;
        if (&slot == &pipeline_.front() && slot.answer->empty()) {
            if (!connection_.write(bytes)) return listener_.remove(*this), FlowControl::closed;
        } else {
            extend(slot, bytes);
        }
        if (last) extend(slot, "\r\n");
        flush();
        if (gone) return FlowControl::closed;
        destroyed_ = nullptr;
        if (last) return FlowControl::ready;
        slot.from = from;
        slot.waits = connection_.unsentBytes() > 0 || &slot != &pipeline_.front();
        return slot.waits ? FlowControl::full : FlowControl::ready;
    }
    void extend(PipelinedRequest& slot, std::string_view text) {
        ready_ += text.size();
        listener_.unsentBytes_ += text.size();
        slot.answer->append(text);
    }
    void wantMore() {
        if (pipeline_.empty() || !pipeline_.front().from || !pipeline_.front().waits ||
            connection_.unsentBytes() > 0)
            return;
        pipeline_.front().waits = false;
        pipeline_.front().from->resume();
    }
    bool givesLong() const {
        return std::any_of(pipeline_.begin(), pipeline_.end(),
                           [](const PipelinedRequest& s) { return s.left > 0; });
    }

    void reply(std::string text, bool thenEnd) {
        PipelinedRequest& slot = pipeline_.emplace_back(*this);
        answer(slot, std::move(text));
        slot.thenEnd = ending_ = thenEnd;
    }

    void answer(PipelinedRequest& slot, std::string_view text) {
        slot.answer.emplace();
        extend(slot, text);
    }

    void onClosed() override { listener_.remove(*this); }
    void onDrained() override { flush(); }

    void flush() {
        if (!listener_.relieveMemory(*this)) return;
        std::string out;
        bool end = false;
        while (!pipeline_.empty() && pipeline_.front().answer && &pipeline_.front() != writing_ && !end) {
            out += *pipeline_.front().answer;
            // The rest of it is still to come.
            if (pipeline_.front().left > 0) {
                pipeline_.front().answer->clear();
                break;
            }
            end = pipeline_.front().thenEnd;
            pipeline_.pop_front();
        }
        if (!out.empty()) {
            listener_.unsentBytes_ -= out.size();
            ready_ -= out.size();
            answeredAt_ = transport::EventLoop::now();
            if (!connection_.write(out)) return listener_.remove(*this);
        }
        if (end) {
            // Closed at once, unread bytes would reset the connection under the last answer.
            connection_.shutdownWrite();
            lingers_ = true;
            connection_.setReading(true);
            return timer_.start(transport::EventLoop::now() + kLinger);
        }
        if (lingers_) return;
        wantMore();
        listen();
        watchOver();
    }

    void listen() {
        // Behind a long value nothing is taken: its break would lose that too.
        const bool wanted = !ending_ && pipeline_.size() < kMostInLine &&
                            connection_.unsentBytes() < kMostUnsent && !bodyWaits() && !givesLong() &&
                            rest_.empty();
        // That it was not read is not the client's delay.
        if (wanted && !listens_ && owesSince_) owesSince_ = movedAt_ = transport::EventLoop::now();
        listens_ = wanted;
        // A part for each in a turn: whoever sends at full speed would else keep the others waiting.
        const bool rests = wanted && turn_ == listener_.iteration_ && readInTurn_ >= kMostInTurn;
        if (rests) listener_.deferred_.push_back(this);
        const bool reads = wanted && !rests;
        if (!reads) caughtUp_ = false;
        connection_.setReading(reads);
    }

    // Until when the client has to have done its part: sent the whole of a command that it has begun, its
    // first one since it connected, or read some of its answers.
    void watchOver() {
        const bool unread = connection_.unsentBytes() > 0;
        if (!unread || connection_.sentBytes() != sentBefore_) unreadSince_ = transport::EventLoop::now();
        sentBefore_ = connection_.sentBytes();
        if (owesSince_ && listens_)
            timer_.start(wholeBy());
        else if (unread)
            timer_.start(unreadSince_ + (givesLong() ? std::min(listener_.maxRequestTimeout_, kUnread)
                                                     : listener_.maxRequestTimeout_));
        else
            timer_.stop();
    }

    Nanos wholeBy() const {
        const Nanos head = owesSince_ + kWhole;
        if (!decoder_.isInStreamedItem()) return head;
        const auto longest =
            static_cast<Nanos>(std::max(decoder_.streamedLength(), kBounds.maxBulkLength)) * kLeastPace;
        return std::clamp(movedAt_ + kStill, head, head + longest);
    }

    void lookAgain() {
        if (lingers_) return listener_.remove(*this);
        if (!owesSince_ || !listens_) {
            // Slow is no reason while something moves.
            if (connection_.unsentBytes() > 0 && connection_.sentBytes() != sentBefore_) return watchOver();
            return listener_.remove(*this);
        }
        if (!decoder_.isInValue()) return listener_.remove(*this);
        reply("-ERR Protocol error: command not whole in time\r\n", true);
        unwritten();
        flush();
    }

    ClientListener& listener_;
    transport::Connection connection_;
    transport::Timer timer_;
    protocol::RespDecoder decoder_{kBounds};
    std::list<PipelinedRequest> pipeline_;
    // The write whose value comes in pieces, until its end; who takes them; and what nobody took yet.
    PipelinedRequest* writing_ = nullptr;
    BodySink* sink_ = nullptr;
    std::string pending_;
    std::string rest_;  // what came behind it
    std::size_t ungiven_ = 0;
    bool bodyRead_ = false;
    bool full_ = false;          // the taker has no room
    bool unwanted_ = false;      // nobody will take any more
    bool* destroyed_ = nullptr;  // told by the end of this
    Nanos movedAt_ = 0;          // when it last sent something, or was let
    std::size_t ready_ = 0;      // bytes of answers that stand behind one still to come
    std::size_t half_ = 0;       // bytes of a command that is not whole yet
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

ClientListener::ClientListener(transport::EventLoop& loop, transport::BufferPool& pool,
                               RequestDispatcher& core, std::size_t most, std::size_t mostHeld,
                               Nanos patience)
    : loop_(loop),
      pool_(pool),
      dispatcher_(core),
      maxClients_(most),
      maxBufferedBytes_(mostHeld),
      maxRequestTimeout_(patience),
      listener_(
          std::make_unique<transport::Listener>(loop, [this](const auto& finish) { onAccept(finish); })) {
    listener_->onExhausted([this](std::string_view why) { exhausted(why); });
}

ClientListener::~ClientListener() = default;

void ClientListener::onAccept(const std::function<bool(transport::Connection&)>& finish) {
    const bool room = ensureCapacity();
    auto made = std::make_unique<ClientConnection>(*this);
    if (!finish(made->connection()) || !room) return;
    ClientConnection& client = *clients_.emplace_back(std::move(made));
    client.place = std::prev(clients_.end());
    client.start();
}

// The system has no descriptor or memory for another connection. Who wants to connect waits in the backlog;
// none of those that are there is closed for it: what they have sent may not have come yet.
void ClientListener::exhausted(std::string_view why) {
    const Nanos now = transport::EventLoop::now();
    if (now < exhaustionReportedAt_ + kTellExhaustionEvery) return;
    exhaustionReportedAt_ = now;
    if (onExhausted) onExhausted(why);
}

// First who is only let read its last answer, then who has not said anything right yet, oldest first, so that
// a crowd that says nothing, half of something or only nonsense makes room for itself; then who idles.
bool ClientListener::ensureCapacity() {
    if (clients_.size() < maxClients_) return true;
    auto gone = std::find_if(clients_.begin(), clients_.end(), [](auto& c) { return c->lingers(); });
    if (gone == clients_.end())
        gone = std::find_if(clients_.begin(), clients_.end(), [](auto& c) { return c->mayMakeRoom(); });
    if (gone == clients_.end()) gone = longestIdle();
    return gone != clients_.end() && closeIdle(gone);
}

Nanos ClientListener::idleTimeout() const {
    const double taken = static_cast<double>(usefulClients_) / static_cast<double>(maxClients_);
    if (taken <= 0.5) return kKeptIdle;
    const double part = std::clamp((kShortestAt - taken) / (kShortestAt - 0.5), 0.1, 1.0);
    return static_cast<Nanos>(part * static_cast<double>(kKeptShort));
}

// Who has said something right, but nothing lately; or none.
ClientListener::ConnectionIterator ClientListener::longestIdle() {
    const Nanos since = transport::EventLoop::now() - idleTimeout();
    for (auto it = clients_.begin(); it != clients_.end() && (*it)->heardAt() <= since; ++it)
        if ((*it)->useful() && (*it)->mayClose()) return it;
    return clients_.end();
}

void ClientListener::runIteration() {
    ++iteration_;
    detectDisconnects();
    if (drain_) closeDueConnections();
    // Half of the places are kept free of those that idle: connections that were used once and stay would
    // leave none behind a front that opens only so many.
    while (clients_.size() > maxClients_ / 2) {
        const auto it = longestIdle();
        if (it == clients_.end() || !closeIdle(it)) break;
    }
    while (!deferred_.empty()) {
        ClientConnection* const client = deferred_.back();
        deferred_.pop_back();
        client->goOn();
    }
}

void ClientListener::close() {
    if (listener_) listener_->acceptBacklog();
    listener_.reset();
}

void ClientListener::detectDisconnects() {
    while (!disconnected_.empty()) remove(*disconnected_.back());
    const Nanos now = transport::EventLoop::now();
    if (now < nextCheckAt_) return;
    nextCheckAt_ = now + kLook;
    std::erase_if(clients_, [](auto& c) { return c->leftUnread(); });
}

void ClientListener::closeDueConnections() {
    const Nanos now = transport::EventLoop::now();
    const auto left = static_cast<double>(drain_->idleUntil - now);
    const auto width = static_cast<double>(std::max<Nanos>(drain_->idleUntil - drain_->idleFrom, 1));
    // Of those that idle, what may still be there by now; who was heard of longest ago goes first.
    const auto may = std::clamp(left / width, 0.0, 1.0) * static_cast<double>(clientsAtDrainStart_);
    std::size_t idle = 0;
    for (auto& c : clients_) idle += c->mayClose();
    for (auto it = clients_.begin(); it != clients_.end();) {
        ClientConnection& c = **it++;
        const bool said = c.answeredAt() >= drain_->since;
        const bool halfSaid = !acceptsRequests() && !c.owed() && !c.ending() && c.half() > 0;
        if (halfSaid || (c.mayClose() && (said || static_cast<double>(idle) > may))) {
            idle -= idle > 0;
            closeIdle(c.place);
        }
    }
}

// Who doesn't read, has many answers stand behind one that doesn't come, or begins commands and leaves them,
// fills the machine. Who holds most goes, or who has held a begun one longest; a quarter of the buffers is
// left for writing to the caches.
bool ClientListener::relieveMemory(const ClientConnection& writing) {
    while (pool_.available() < pool_.capacity() / 4 || unsentBytes_ > maxBufferedBytes_ ||
           partialRequestBytes_ > maxBufferedBytes_) {
        const auto most =
            partialRequestBytes_ > maxBufferedBytes_
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

void ClientListener::remove(ClientConnection& client) { clients_.erase(client.place); }

bool ClientListener::closeIdle(ConnectionIterator client) {
    if ((*client)->owed()) {
        dispatcher_.guard().reportViolation(Invariant::closing,
                                            "a client's connection with a request that has no answer");
        dispatcher_.guard().recordBlocked(BlockedAction::responsePending);
        return false;
    }
    clients_.erase(client);
    return true;
}

}  // namespace poppyscale::proxy
