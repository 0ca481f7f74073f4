#include "proxy/connection_pool.hpp"

#include <algorithm>
#include <utility>

#include "protocol/http_response.hpp"
#include "protocol/resp.hpp"

namespace poppyscale::proxy {
namespace {

constexpr std::size_t kLongestKept = 64 * 1024;         // of values that are taken whole and checked
constexpr std::size_t kLongestValue = 4 * 1024 * 1024;  // longer ones come in pieces, up to this
constexpr Nanos kStill = 5'000 * kMillisecond;          // such a one may stand still for
constexpr protocol::Decoder::Bounds kAnswers{kLongestKept, 16, 3, 2 * kLongestKept, false, kLongestValue, 0};

}  // namespace

// One connection, with one relay at a time: answers come in order, so behind a heavy command a second one
// would only wait.
class Link : private transport::Connection::Owner, private Giver, private Taker {
  public:
    explicit Link(Upstream& upstream)
        : upstream_(upstream),
          address_(*upstream.address_),
          connection_(upstream.shared_.loop, upstream.shared_.pool, *this),
          alarm_(upstream.shared_.loop, [this] { up_ ? upstream_.drop(*this) : neverUp(); }) {
        if (upstream.origin_) http_.emplace(kLongestKept, kLongestValue);
    }
    ~Link() override {
        upstream_.shared_.held -= held_;
        if (taker_) taker_->brokeOff();
        if (body_) body_->leave();
    }

    bool open() {
        alarm_.set(transport::Loop::now() + upstream_.shared_.connectWithin);
        return connection_.open(address_);
    }
    bool up() const { return up_; }
    bool idle() const { return up_ && !relay_; }
    bool free() const { return !relay_; }
    bool quiet() const { return connection_.quiet(); }
    Nanos idleSince() const { return idleSince_; }
    // Of an earlier address, or of a cache that is to get nothing new.
    bool stale() const {
        return !upstream_.usable() || !upstream_.address_ ||
               !transport::sameAddress(address_, *upstream_.address_);
    }

    void begin(Relay& relay) {
        alarm_.clear();
        relay.alarm.set(relay.giveUpAt);
        relay_ = &relay;
        relay.on = this;
        const Nanos timeLeft = relay.giveUpAt - transport::Loop::now();
        // All that is sent comes by here; whatever was decided, nothing may be wrong with it now.
        if (stale() || timeLeft <= 0)
            upstream_.shared_.guard.violated(Invariant::sending,
                                             "request " + relay.said.id + " to " + upstream_.host_);
        const std::string head = upstream_.origin_
                                     ? protocol::originCall(relay.said, upstream_.host_, timeLeft)
                                     : protocol::cacheCommand(relay.said, timeLeft);
        if (!connection_.write(head)) return broke(Ending::noRoute);  // its last byte was not taken
        if (!relay.body) return;
        body_ = std::exchange(relay.body, nullptr);
        bodyLeft_ = relay.said.longLength;
        moved();
        body_->begin(*this);
    }
    void neverUp() { lose(upstream_.nextWaiting(), Ending::noRoute); }
    // Whether the command's last byte is with the kernel: before that it can't have run.
    bool written() const { return connection_.unsent() == 0 && bodyLeft_ == 0; }
    Relay* take() {
        Relay* const relay = std::exchange(relay_, nullptr);
        if (relay) relay->on = nullptr;
        return relay;
    }

  private:
    void opened(bool success) override {
        if (!success) return neverUp();
        up_ = true;
        upstream_.heardAt_ = transport::Loop::now();
        // Out since it was asked for, or at another address: not a place to be taken up, nor one to be used.
        if (stale()) return upstream_.drop(*this);
        connection_.read(true);
        rest();
    }

    void received(std::string_view bytes) override {
        upstream_.heardAt_ = transport::Loop::now();
        if (!relay_) return upstream_.drop(*this);  // nobody asked
        if (http_) {
            const auto state = http_->feed(bytes);
            if (!http_->piece().empty() && !pass(http_->longLength(), http_->piece())) return;
            if (state == protocol::HttpAnswer::State::whole) return end(readHttp(), http_->keepsOpen());
            if (state == protocol::HttpAnswer::State::broken) return end({}, false);
        } else {
            using State = protocol::Decoder::State;
            auto state = State::longBegins;
            while (state == State::longBegins || state == State::longPiece) {
                state = decoder_.feed(bytes);
                if (state == State::longPiece && !pass(decoder_.longLength(), decoder_.piece())) return;
            }
            if (state == State::whole) return end(protocol::readCacheAnswer(decoder_.take()), bytes.empty());
            if (state == State::broken) return end({}, false);
        }
        // Each has its bound, but all of them together would fill a small machine.
        hold(http_ ? http_->held() : decoder_.held());
        if (upstream_.shared_.held > upstream_.shared_.mostHeld) end({}, false);
    }

    void ended() override {
        if (!up_) return neverUp();
        // An answer that lasts to the end of the connection: cut off, it would pass for a shorter one.
        if (relay_ && http_ && written() && connection_.finished() &&
            http_->end() == protocol::HttpAnswer::State::whole)
            return end(readHttp(), false);
        broke(written() ? Ending::cut : Ending::noRoute);
    }

    // A piece of a long answer. False when this link is gone.
    bool pass(std::size_t length, std::string_view bytes) {
        if (relay_->answeredAt == 0) {
            left_ = length;
            taker_ = upstream_.shared_.owner.relayGives(*relay_, length, *this);
        }
        left_ -= bytes.size();
        const Room room = taker_ ? taker_->piece(bytes) : Room::gone;
        if (room == Room::gone) {
            taker_ = nullptr;
            end({Ending::answered, {}, false}, false);
            return false;
        }
        if (left_ == 0) taker_ = nullptr;
        moved();
        if (room == Room::full && taker_) {
            // Who reads slowly is the client; how long is its front's to say.
            connection_.read(false);
            relay_->alarm.clear();
        }
        return true;
    }
    void more() override {
        connection_.read(true);
        moved();
    }
    void leave() override {
        taker_ = nullptr;
        broke(Ending::answered);
    }

    // A piece of what is written.
    Room piece(std::string_view bytes) override {
        bodyLeft_ -= bytes.size();
        const bool last = bodyLeft_ == 0;
        if (!connection_.write(bytes) || (last && !http_ && !connection_.write(protocol::afterPieces))) {
            body_ = nullptr;
            broke(Ending::noRoute);
            return Room::gone;
        }
        moved();
        if (!last) return connection_.unsent() > 0 ? Room::full : Room::more;
        // Its time, and the origin's, count from its last byte.
        body_ = nullptr;
        relay_->sentAt = transport::Loop::now();
        relay_->alarm.set(relay_->sentAt + relay_->said.patience);
        return Room::more;
    }
    void brokeOff() override {
        body_ = nullptr;
        broke(Ending::notSent);  // by its client, of which the cache knows nothing
    }
    void emptied() override {
        if (body_) body_->more();
    }
    void moved() { relay_->alarm.set(transport::Loop::now() + kStill); }

    void broke(Ending ending) { lose(take(), ending); }

    // The relay is taken first: a waiting one would have another connection opened for it.
    void lose(Relay* relay, Ending ending) {
        Upstream& upstream = upstream_;
        upstream.drop(*this);
        if (relay) upstream.shared_.owner.relayEnded(*relay, {ending, {}});
    }

    void end(protocol::Outcome outcome, bool keep) {
        Upstream& upstream = upstream_;
        // An answer before the command was whole: what of it was read is not known.
        keep = keep && outcome.inForm && written() && !stale();
        Relay* const relay = take();
        if (http_) http_->clear();
        hold(0);
        left_ = 0;
        if (keep)
            rest();
        else
            upstream.drop(*this);
        upstream.shared_.owner.relayEnded(*relay, std::move(outcome));
    }

    void rest() {
        idleSince_ = transport::Loop::now();
        alarm_.set(idleSince_ + upstream_.shared_.keepIdle);
        upstream_.shared_.freed = true;
    }

    void hold(std::size_t bytes) {
        upstream_.shared_.held += bytes - held_;
        held_ = bytes;
    }

    protocol::Outcome readHttp() {
        const int status = http_->status();
        if (status == 200) return {Ending::answered, std::move(http_->body()), true};
        const bool neverRan = (status == 503 || status == 504) && http_->neverRan();
        return {neverRan ? Ending::noRoom : Ending::errored, {}, status >= 500};
    }

    Upstream& upstream_;
    transport::Address address_;
    transport::Connection connection_;
    transport::Alarm alarm_;  // to be up by then; later, to have idled long enough
    protocol::Decoder decoder_{kAnswers};
    std::optional<protocol::HttpAnswer> http_;
    Relay* relay_ = nullptr;
    Taker* taker_ = nullptr;  // of an answer that comes in pieces, until it has all of them
    std::size_t left_ = 0;    // of that answer
    Body* body_ = nullptr;    // of a write that comes in pieces, until all of it did
    std::size_t bodyLeft_ = 0;
    Nanos idleSince_ = 0;
    std::size_t held_ = 0;  // bytes of an answer that is not whole yet
    bool up_ = false;
};

Relay::Relay(transport::Loop& loop, const protocol::Command& said, Upstream& to)
    : said(said), to(to), alarm(loop, [this] { this->to.giveUp(*this); }) {}

void Links::trim() {
    while (count > most && closeIdlest()) {
    }
}

bool Links::makeRoom() { return count < most || closeIdlest(); }

bool Links::closeIdlest() {
    Upstream* oldest = nullptr;
    for (Upstream* u : upstreams)
        if (u->longestIdle() > 0 && (!oldest || u->longestIdle() < oldest->longestIdle())) oldest = u;
    if (!oldest) return false;
    const auto it = std::min_element(oldest->links_.begin(), oldest->links_.end(), [](auto& a, auto& b) {
        return std::pair(!a->idle(), a->idleSince()) < std::pair(!b->idle(), b->idleSince());
    });
    std::swap(*it, oldest->links_.back());
    oldest->links_.pop_back();
    --count;
    return true;
}

void Links::tend() {
    freed = false;
    // What ends at once is only noted, so none of them goes while this looks at it.
    for (Upstream* u : upstreams)
        if (!u->waiting_.empty()) u->tend();
}

Upstream::Upstream(Links& links, bool origin) : shared_(links), origin_(origin) {
    shared_.upstreams.push_back(this);
}

Upstream::~Upstream() {
    shared_.count -= links_.size();
    std::erase(shared_.upstreams, this);
}

void Upstream::listed(Presence presence, const std::optional<transport::Address>& address,
                      const std::string& host) {
    presence_ = presence;
    address_ = address;
    host_ = host;
    shut();
}

void Upstream::bar(bool on) {
    barred_ = on;
    shut();
}

void Upstream::shut() {
    std::vector<Link*> stale;
    for (auto& link : links_)
        if (link->free() && link->stale()) stale.push_back(link.get());
    for (Link* link : stale) drop(*link);
    if (usable()) return;
    // What still waits for a connection would go out to a cache that is to get nothing new.
    while (Relay* const relay = nextWaiting()) shared_.owner.relayEnded(*relay, {Ending::notSent, {}});
}

// Connections on their way that no relay waits for, the youngest first.
void Upstream::shed() {
    for (auto left = opening(); left > waiting_.size(); --left)
        drop(**std::find_if(links_.rbegin(), links_.rend(), [](auto& l) { return !l->up(); }));
}

std::size_t Upstream::opening() const {
    return static_cast<std::size_t>(
        std::count_if(links_.begin(), links_.end(), [](auto& l) { return !l->up(); }));
}

void Upstream::send(Relay& relay) {
    if (barred_) {
        shared_.guard.refused(Refusal::serverLeaves);
        return shared_.owner.relayEnded(relay, {Ending::notSent, {}});
    }
    if (!address_) return shared_.owner.relayEnded(relay, {Ending::noRoute, {}});
    relay.alarm.set(std::min(relay.giveUpAt, relay.startBy));
    waiting_.push_back(&relay);
    ++relays_;
    tend();
}

// As many connections on their way as relays wait for one; whichever is free first takes the next relay.
void Upstream::tend() {
    while (!waiting_.empty()) {
        Link* const link = idle();
        if (!link) break;
        // Ended or spoken on since its last answer, and not read yet: a command would be lost on it.
        if (!link->quiet()) {
            drop(*link);
            continue;
        }
        Relay& relay = *nextWaiting();
        if (const auto why = whyNotWrite(relay)) {
            shared_.guard.refused(*why);
            shared_.owner.relayEnded(relay, {Ending::notSent, {}});
        } else {
            link->begin(relay);
        }
    }
    for (auto on = opening(); on < waiting_.size() && address_ && shared_.makeRoom(); ++on) {
        links_.push_back(std::make_unique<Link>(*this));
        ++shared_.count;
        ++shared_.opened;
        Link& link = *links_.back();
        if (!link.open()) return link.neverUp();
    }
}

std::optional<Refusal> Upstream::whyNotWrite(Relay& relay) const {
    const Nanos now = transport::Loop::now();
    if (!usable()) return Refusal::serverLeaves;
    if (now >= relay.startBy || relay.giveUpAt - now < protocol::kLeastTimeTold) return Refusal::noTimeLeft;
    if (!shared_.owner.awaited(relay)) return Refusal::clientLeft;
    return std::nullopt;
}

// The one used last, so that the others can reach their idle time.
Link* Upstream::idle() {
    Link* best = nullptr;
    for (auto& link : links_)
        if (link->idle() && (!best || link->idleSince() > best->idleSince())) best = link.get();
    return best;
}

Nanos Upstream::longestIdle() const {
    Nanos since = 0;
    for (auto& link : links_)
        if (link->idle() && (since == 0 || link->idleSince() < since)) since = link->idleSince();
    return since;
}

Relay* Upstream::nextWaiting() {
    if (waiting_.empty()) return nullptr;
    Relay* const relay = waiting_.front();
    waiting_.pop_front();
    return relay;
}

void Upstream::giveUp(Relay& relay) {
    if (!relay.on) {
        std::erase(waiting_, &relay);
        return shared_.owner.relayEnded(relay, {opening() > 0 ? Ending::noRoute : Ending::notSent, {}});
    }
    // Closed before the module hears of it: a next relay must not go while this one is still out.
    Ending ending = relay.on->written() ? Ending::timedOut : Ending::noRoute;
    if (relay.answeredAt) ending = Ending::errored;  // its value stands still
    Link& link = *relay.on;
    link.take();
    drop(link);
    // Not a byte came from there while the relay was out: a machine that is cut off leaves its connections
    // open and silent. On a new one that shows as never run, on these as one more relay that may have.
    while (Link* const silent = heardAt_ < relay.sentAt ? idle() : nullptr) drop(*silent);
    shared_.owner.relayEnded(relay, {ending, {}});
}

void Upstream::withdraw(Relay& relay) {
    if (relay.on && relay.on->written()) return;
    if (Link* const link = relay.on) {
        link->take();
        drop(*link);
    } else {
        std::erase(waiting_, &relay);
        shed();
    }
    shared_.owner.relayEnded(relay, {Ending::notSent, {}});
}

void Upstream::drop(Link& link) {
    const auto it = std::find_if(links_.begin(), links_.end(), [&](auto& l) { return l.get() == &link; });
    const auto gone = std::move(*it);
    links_.erase(it);
    --shared_.count;
    shared_.freed = true;
}

}  // namespace poppyscale::proxy
