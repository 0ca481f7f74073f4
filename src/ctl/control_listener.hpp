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

class Door {
  public:
    // What was asked by whom; answered with `answer`, now or later.
    using Asked = std::function<void(std::uint64_t who, const nlohmann::json& what)>;
    // Throws std::runtime_error when it can't listen at that path.
    Door(std::string path, Asked asked);
    ~Door();
    Door(const Door&) = delete;
    Door& operator=(const Door&) = delete;

    // What to wait for, beside what else the program waits for.
    void waitFor(std::vector<pollfd>& all) const;
    // Takes what came, whatever the poll said.
    void turn();
    void answer(std::uint64_t who, const nlohmann::json& what);

  private:
    struct Caller {
        std::uint64_t id;
        int fd;
        std::string in, out;
        bool gone = false;
    };
    void flush(Caller& caller);

    std::string path_;
    Asked asked_;
    int fd_ = -1;
    std::uint64_t last_ = 0;
    std::list<Caller> callers_;
};

}  // namespace poppyscale::ctl
