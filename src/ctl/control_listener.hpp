// A Unix socket that only its owner may open, for a program that polls: a line of JSON asks, one answers, now
// or later. Between machines the operator's own tunnel carries it; whoever may ask here may run programs.
#pragma once

#include <poll.h>

#include <cstdint>
#include <functional>
#include <list>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace poppyscale::ctl {

class ControlListener {
  public:
    // What was asked by whom; answered with `answer`, now or later.
    using RequestHandler = std::function<void(std::uint64_t who, const nlohmann::json& what)>;
    // Throws std::runtime_error when it can't listen at that path.
    ControlListener(std::string path, RequestHandler asked);
    ~ControlListener();
    ControlListener(const ControlListener&) = delete;
    ControlListener& operator=(const ControlListener&) = delete;

    // What to wait for, beside what else the program waits for.
    void addPollDescriptors(std::vector<pollfd>& all) const;
    // Takes what came, whatever the poll said.
    void runIteration();
    void answer(std::uint64_t who, const nlohmann::json& what);

  private:
    struct Client {
        std::uint64_t id;
        int fd;
        std::string in, out;
        bool gone = false;
    };
    void flush(Client& caller);

    std::string path_;
    RequestHandler asked_;
    int fd_ = -1;
    std::uint64_t last_ = 0;
    std::list<Client> callers_;
};

}  // namespace poppyscale::ctl
