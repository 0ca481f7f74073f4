#include "process/hot_restart/peer_processes.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <stdexcept>

#include "process/hot_restart/inherited_sockets.hpp"

namespace poppyscale::process {
namespace {

using config::LogLevel;

constexpr Nanos kAskWithin = 500 * kMillisecond;
constexpr std::size_t kWorthTelling = 8;  // clients more or less

std::string fileName(std::string name) {
    for (char& c : name)
        if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '_') c = '_';
    return "poppyscale-" + name;
}

}  // namespace

PeerProcesses::PeerProcesses(transport::EventLoop& loop, transport::BufferPool& pool,
                             const std::string& folder, const std::string& name, Handler& owner, Log say)
    : owner_(owner), log_(std::move(say)) {
    if (folder.empty()) return;
    const std::string base = folder + "/" + fileName(name);
    path_ = base + ".sock";
    file_.emplace(base + ".words");
    server_.emplace(loop, pool, [this](auto& session, const auto& asked) { return answer(session, asked); });
}

void PeerProcesses::start(bool besides) {
    if (!file_) return;
    if (const auto problem = file_->read(state_); !problem.empty())
        log_(LogLevel::error,
             fmt::format("of the operators' words on file only what can be read holds: {}", problem));
    if (besides) {
        std::string said;
        try {
            const int socket = fetchOperatorState(path_, kAskWithin, said);
            if (socket >= 0) {
                state_ = {};
                if (const auto problem = state_.parse(said); !problem.empty())
                    log_(LogLevel::error,
                         fmt::format("of the other process's words only a part holds: {}", problem));
                addPeer(server_->adopt(socket), false);
            }
        } catch (const std::exception& problem) {
            log_(LogLevel::error, fmt::format("goes by what is on file: {}", problem.what()));
        }
    }
    reconcile();
}

std::string PeerProcesses::listen() { return server_ ? server_->listen(path_) : ""; }

std::string PeerProcesses::applyCommand(const std::string& word) {
    OperatorState next = state_;
    if (!next.apply(word))
        return fmt::format("it can't be kept: {} servers are out already", state_.ejectedServers.size());
    if (next == state_) return "";
    if (file_)
        if (const auto problem = file_->write(next); !problem.empty())
            return "it could not be written down: " + problem;
    state_ = next;
    reconcile();
    notifyPeers({{"do", "word"}, {"word", word}});
    return "";
}

void PeerProcesses::reloadState() {
    OperatorState fresh;
    if (!file_ || !file_->read(fresh).empty()) return;
    state_ = fresh;
    reconcile();
}

std::size_t PeerProcesses::peerClientCount() const {
    std::size_t sum = 0;
    for (const PeerProcess& k : peers_) sum += k.clients;
    return sum;
}

void PeerProcesses::reportClientCount(std::size_t clients) {
    const auto apart = std::max(clients, reportedClients_) - std::min(clients, reportedClients_);
    if (peers_.empty() || (apart < kWorthTelling && (clients > 0 || apart == 0))) return;
    reportedClients_ = clients;
    notifyPeers({{"do", "holds"}, {"clients", clients}});
}

nlohmann::json PeerProcesses::answer(control::OperatorSession& session, const nlohmann::json& asked) {
    const auto what = asked.value("do", "");
    if (what == "succeed") {
        addPeer(session, true);
        // The newcomer will have its own socket at that path.
        server_->releasePath();
        return {{"words", state_.serialize()}};
    }
    const auto kin = std::find_if(peers_.begin(), peers_.end(),
                                  [&](const PeerProcess& k) { return k.session == &session; });
    if (kin == peers_.end())
        return what.empty() ? nlohmann::json() : nlohmann::json{{"error", "not known here"}};
    if (what == "holds") {
        kin->clients = asked.at("clients").get<std::size_t>();
        owner_.onPeersChanged();
    }
    if (what == "word") {
        OperatorState next = state_;
        const auto word = asked.at("word").get<std::string>();
        if (next.apply(word) && next != state_) {
            state_ = next;
            if (file_) file_->write(state_);
            reconcile();
            notifyPeers(asked, &session);
        }
    }
    return nullptr;
}

void PeerProcesses::addPeer(control::OperatorSession& session, bool heir) {
    peers_.push_back({&session, heir});
    reportedClients_ = 0;
    session.onPeerClosed = [this, at = &session] {
        const auto it =
            std::find_if(peers_.begin(), peers_.end(), [&](const PeerProcess& k) { return k.session == at; });
        const bool wasHeir = it->isNewer;
        peers_.erase(it);
        // A successor that is gone before this one was told to go has left the path to nobody.
        if (wasHeir && !isShuttingDown_) listen();
        owner_.onPeersChanged();
    };
    owner_.onPeersChanged();
}

void PeerProcesses::notifyPeers(const nlohmann::json& what, const control::OperatorSession* but) {
    for (const PeerProcess& k : peers_)
        if (k.session != but) k.session->send(what);
}

void PeerProcesses::reconcile() {
    for (const auto& id : applied_.ejectedServers)
        if (!state_.ejectedServers.contains(id)) owner_.setEjected(id, false);
    for (const auto& id : state_.ejectedServers)
        if (!applied_.ejectedServers.contains(id)) owner_.setEjected(id, true);
    if (applied_.isStandby != state_.isStandby) owner_.setStandby(state_.isStandby);
    applied_ = state_;
}

}  // namespace poppyscale::process
