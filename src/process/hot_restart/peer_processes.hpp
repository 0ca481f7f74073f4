// The processes that are one router for a while, as one takes over from the other: what operators said
// crosses between them both ways, and each knows what the other holds.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/operator_config.hpp"
#include "control/operator_socket.hpp"
#include "process/operator_state.hpp"

namespace poppyscale::process {

class Succession {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // The words that hold, wherever they were said.
        virtual void ban(const std::string& id, bool on) = 0;
        virtual void standBy(bool on) = 0;
        // A process beside this one has come or gone, or holds another number of clients.
        virtual void othersChanged() = 0;
    };
    using Say = std::function<void(config::Level level, std::string_view text)>;
    // `folder` is where processes that come later look, or empty.
    Succession(transport::Loop& loop, transport::Pool& pool, const std::string& folder,
               const std::string& name, Owner& owner, Say say);

    // What was written down, and from a predecessor, if there is to be one, what holds now. Waits for its
    // answer, but not long: it may hang.
    void begin(bool besides);
    // Where a successor finds this process; empty, or what is wrong.
    std::string listen();
    // A word from this process's door. Empty once it binds here and will bind later, else why it can't.
    std::string say(const std::string& word);
    // What another wrote while this one was held up.
    void lookAgain();
    void leaves() { leaves_ = true; }

    const Words& words() const { return words_; }
    bool alone() const { return kin_.empty(); }
    std::size_t othersClients() const;
    void holds(std::size_t clients);

  private:
    struct Kin {
        control::Session* session;
        bool heir;
        std::size_t clients = 0;
    };
    nlohmann::json answer(control::Session& session, const nlohmann::json& asked);
    void join(control::Session& session, bool heir);
    void tell(const nlohmann::json& what, const control::Session* but = nullptr);
    void settle();

    Owner& owner_;
    Say say_;
    std::string path_;  // of the socket
    std::optional<WordsFile> file_;
    std::optional<control::Server> server_;
    std::vector<Kin> kin_;
    Words words_, applied_;
    std::size_t told_ = 0;  // clients
    bool leaves_ = false;
};

}  // namespace poppyscale::process
