// The door for the operator: a Unix socket that only its owner may open. One line of JSON asks, one answers.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "transport/connection.hpp"
#include "transport/listener.hpp"

namespace poppyscale::control {

class Session;

class Server {
  public:
    // Answers what was asked. `session` is for calls that go on: a hand-over.
    using Answer = std::function<nlohmann::json(Session& session, const nlohmann::json& asked)>;
    Server(transport::Loop& loop, transport::Pool& pool, Answer answer);
    ~Server();

    // Empty when it listens at that path, else what is wrong.
    std::string listen(const std::string& path);
    const std::string& path() const { return path_; }
    // A connection that was made by hand; its other side asks and answers as any does.
    Session& join(int descriptor);
    // Another process has its own socket at that path by now, or will.
    void leavePath() { ours_ = false; }
    std::size_t count() const { return sessions_.size(); }

  private:
    friend class Session;
    void drop(Session& session);  // which is gone after this

    transport::Loop& loop_;
    transport::Pool& pool_;
    Answer answer_;
    std::string path_;
    bool ours_ = false;
    std::unique_ptr<transport::Listener> listener_;
    std::list<std::unique_ptr<Session>> sessions_;
};

class Session : private transport::Connection::Owner {
  public:
    explicit Session(Server& server);
    ~Session() override;

    void say(const nlohmann::json& answer);
    // Sends a descriptor beside one byte, after all that was said; false when the other side can't take it.
    bool pass(int descriptor);
    // The other side has gone, which may not have been read yet.
    bool left() const { return connection_.left(); }
    // Called once, when the other side has gone; not when this one is dropped by its server.
    std::function<void()> gone;

  private:
    friend class Server;
    void received(std::string_view bytes) override;
    void ended() override;
    void emptied() override;
    bool send(int descriptor);

    Server& server_;
    transport::Connection connection_;
    std::string line_;
    std::vector<int> toPass_;  // descriptors that wait until all that was said is with the kernel
};

}  // namespace poppyscale::control
