#include "process/hot_restart/peer_processes.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <stdexcept>

#include "process/hot_restart/inherited_sockets.hpp"

namespace poppyscale::process {
namespace {

using config::Level;

constexpr Nanos kAskWithin = 500 * kMillisecond;
constexpr std::size_t kWorthTelling = 8;  // clients more or less

std::string fileName(std::string name) {
    for (char& c : name)
        if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '_') c = '_';
    return "poppyscale-" + name;
}

}  // namespace

Succession::Succession(transport::Loop& loop, transport::Pool& pool, const std::string& folder,
                       const std::string& name, Owner& owner, Say say)
    : owner_(owner), say_(std::move(say)) {
    if (folder.empty()) return;
    const std::string base = folder + "/" + fileName(name);
    path_ = base + ".sock";
    file_.emplace(base + ".words");
    server_.emplace(loop, pool, [this](auto& session, const auto& asked) { return answer(session, asked); });
}

void Succession::begin(bool besides) {
    if (!file_) return;
    if (const auto problem = file_->read(words_); !problem.empty())
        say_(Level::error,
             fmt::format("of the operators' words on file only what can be read holds: {}", problem));
    if (besides) {
        std::string said;
        try {
            const int socket = askPredecessor(path_, kAskWithin, said);
            if (socket >= 0) {
                words_ = {};
                if (const auto problem = words_.read(said); !problem.empty())
                    say_(Level::error,
                         fmt::format("of the other process's words only a part holds: {}", problem));
                join(server_->join(socket), false);
            }
        } catch (const std::exception& problem) {
            say_(Level::error, fmt::format("goes by what is on file: {}", problem.what()));
        }
    }
    settle();
}

std::string Succession::listen() { return server_ ? server_->listen(path_) : ""; }

std::string Succession::say(const std::string& word) {
    Words next = words_;
    if (!next.take(word))
        return fmt::format("it can't be kept: {} servers are out already", words_.out.size());
    if (next == words_) return "";
    if (file_)
        if (const auto problem = file_->write(next); !problem.empty())
            return "it could not be written down: " + problem;
    words_ = next;
    settle();
    tell({{"do", "word"}, {"word", word}});
    return "";
}

void Succession::lookAgain() {
    Words fresh;
    if (!file_ || !file_->read(fresh).empty()) return;
    words_ = fresh;
    settle();
}

std::size_t Succession::othersClients() const {
    std::size_t sum = 0;
    for (const Kin& k : kin_) sum += k.clients;
    return sum;
}

void Succession::holds(std::size_t clients) {
    const auto apart = std::max(clients, told_) - std::min(clients, told_);
    if (kin_.empty() || (apart < kWorthTelling && (clients > 0 || apart == 0))) return;
    told_ = clients;
    tell({{"do", "holds"}, {"clients", clients}});
}

nlohmann::json Succession::answer(control::Session& session, const nlohmann::json& asked) {
    const auto what = asked.value("do", "");
    if (what == "succeed") {
        join(session, true);
        // The newcomer will have its own socket at that path.
        server_->leavePath();
        return {{"words", words_.text()}};
    }
    const auto kin =
        std::find_if(kin_.begin(), kin_.end(), [&](const Kin& k) { return k.session == &session; });
    if (kin == kin_.end())
        return what.empty() ? nlohmann::json() : nlohmann::json{{"error", "not known here"}};
    if (what == "holds") {
        kin->clients = asked.at("clients").get<std::size_t>();
        owner_.othersChanged();
    }
    if (what == "word") {
        Words next = words_;
        const auto word = asked.at("word").get<std::string>();
        if (next.take(word) && next != words_) {
            words_ = next;
            if (file_) file_->write(words_);
            settle();
            tell(asked, &session);
        }
    }
    return nullptr;
}

void Succession::join(control::Session& session, bool heir) {
    kin_.push_back({&session, heir});
    told_ = 0;
    session.gone = [this, at = &session] {
        const auto it = std::find_if(kin_.begin(), kin_.end(), [&](const Kin& k) { return k.session == at; });
        const bool wasHeir = it->heir;
        kin_.erase(it);
        // A successor that is gone before this one was told to go has left the path to nobody.
        if (wasHeir && !leaves_) listen();
        owner_.othersChanged();
    };
    owner_.othersChanged();
}

void Succession::tell(const nlohmann::json& what, const control::Session* but) {
    for (const Kin& k : kin_)
        if (k.session != but) k.session->say(what);
}

void Succession::settle() {
    for (const auto& id : applied_.out)
        if (!words_.out.contains(id)) owner_.ban(id, false);
    for (const auto& id : words_.out)
        if (!applied_.out.contains(id)) owner_.ban(id, true);
    if (applied_.standby != words_.standby) owner_.standBy(words_.standby);
    applied_ = words_;
}

}  // namespace poppyscale::process
