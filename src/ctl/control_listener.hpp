// The server's side of a Unix socket that takes requests as lines of JSON.
#pragma once

#include <poll.h>

#include <cstdint>
#include <functional>
#include <list>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/file_descriptor.hpp"

namespace poppyscale::ctl {

// Listens at a Unix socket that only its owner may open, for a program with a poll loop: each line from a
// client is a request, answered by one line, at once or later. Who may open the socket may run programs
// through it; between machines, a tunnel of the operator's carries it.
//
// Guarantees: never blocks; at most kMaxClients clients and kMaxLine bytes of a request or its client is
// disconnected. Owns the socket's file, which it replaces and removes, and its clients' connections. Used
// from the loop's thread alone.
class ControlListener {
  public:
    static constexpr std::size_t kMaxLine = 4 << 20;  // bytes; an order carries a configuration template
    static constexpr std::size_t kMaxClients = 16;

    // Called with each request, a JSON object; `client` is for answer().
    using RequestHandler = std::function<void(std::uint64_t client, const nlohmann::json& request)>;
    // Throws std::runtime_error when it can't listen at that path.
    ControlListener(std::string path, RequestHandler onRequest);
    ~ControlListener();
    ControlListener(const ControlListener&) = delete;
    ControlListener& operator=(const ControlListener&) = delete;

    // Adds what the loop has to wait for.
    void addPollDescriptors(std::vector<pollfd>& descriptors) const;
    // Accepts clients, reads requests and sends answers, as far as that is possible without waiting.
    void runIteration();
    // Sends an answer; dropped where the client has disconnected.
    void answer(std::uint64_t client, const nlohmann::json& answer);

  private:
    struct Client {
        std::uint64_t id;
        FileDescriptor socket;
        std::string received;
        std::string unsent;
        bool isClosed = false;  // to be removed at the end of the iteration
    };
    void listen();
    void acceptClients();
    void receive(Client& client);
    void handleRequests(Client& client);
    void flush(Client& client);

    std::string path_;
    RequestHandler onRequest_;
    FileDescriptor socket_;
    std::uint64_t lastClientId_ = 0;
    std::list<Client> clients_;
};

}  // namespace poppyscale::ctl
