// Server for requests over a Unix socket, one line of JSON each.
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

// Listens at a Unix socket, for a program with a poll loop. Each line from a client is a request and is
// answered by one line, at once or later. Only the file's owner may connect, because a client can run
// programs through the socket. Clients on other machines connect through a tunnel that the operator sets up.
//
// Guarantees: never blocks. Serves up to kMaxClients clients and closes further connections. Disconnects a
// client of which it has read more than kMaxLine bytes that are not handled yet. Owns the socket's file,
// which it replaces and removes, and the clients' connections. Used only on the loop's thread.
class ControlListener {
  public:
    static constexpr std::size_t kMaxLine = 4 << 20;  // bytes; an order contains a configuration template
    static constexpr std::size_t kMaxClients = 16;

    // Called with each request, a JSON object. `client` identifies the recipient in answer().
    using RequestHandler = std::function<void(std::uint64_t client, const nlohmann::json& request)>;
    // Throws std::runtime_error if it can't listen at `path`.
    ControlListener(std::string path, RequestHandler onRequest);
    ~ControlListener();
    ControlListener(const ControlListener&) = delete;
    ControlListener& operator=(const ControlListener&) = delete;

    // Adds the descriptors that the loop has to poll.
    void addPollDescriptors(std::vector<pollfd>& descriptors) const;
    // Accepts clients, reads requests and sends answers, as far as that is possible without waiting.
    void runIteration();
    // Sends an answer. It is dropped if the client has disconnected.
    void answer(std::uint64_t client, const nlohmann::json& answer);

  private:
    struct Client {
        std::uint64_t id;
        FileDescriptor socket;
        std::string received;
        std::string unsent;
        bool isClosed = false;  // a closed client is removed at the end of the iteration
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
