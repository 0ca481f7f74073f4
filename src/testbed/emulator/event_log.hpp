// The append-only log of a run: what happened at the clients, on the way and at the servers, and nothing of
// what a router believes. One line an entry, columns set apart by tabs; the audit and the figures read
// nothing else.
#pragma once

#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace poppyscale::testbed {

struct EventLogError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

enum class EventKind : std::uint8_t {
    server,    // there is one: text "NAME ZONE CELL origin|cache SPEED", number its start, 0 for long ago
    asked,     // a client gave a command to a router: text "VERB CUSTOMER KEY FIRST TRY", number its limit's
               // time, run the time it was due
    answered,  // text the value's token
    declined,  // number the pause it was told
    terminated,
    unsent,  // the router could not be reached, or went before an answer
    silent,  // no answer when its time and the slack were over
    left,    // the client went away
    sent,   // an attempt was written whole: number its work in core-ns, text "d=MS held=MS": the time that it
            // told its server, and how long before it was read it may have come; "" if it told none
    began,  // it took effect there, unless it is pure
    ended,  // text "value|miss|error|busy|spoilt TOKEN", said to the router
    closed,  // the router closed the connection while the attempt was out
    broke,   // the server or the network did
    listed,  // a router was told of a server: text its state, number its start
    started,
    fell,      // a server that was overdriven stops
    killed,    // a router, for good or for a time
    stopping,  // SIGTERM to a router
    up,        // a router can be reached: text its zone
    fault,     // text "begins|ends KIND ..."
    late,      // number: how late the testbed was, at its worst in the last while
    opened,    // a router opened a connection to a server, which took it
    claims     // what a process says that it does: text "WHAT begins|ends", or "runs WHAT"; number when
};

struct LogEvent {
    Nanos at = 0;
    EventKind kind = EventKind::fault;
    std::uint64_t command = 0;
    int router = -1;
    int server = -1;
    std::uint64_t run = 0;  // of an attempt, new for each
    std::int64_t number = 0;
    std::string text;
};

std::string_view nameOf(EventKind what);
// The word with number `at` of a text, "" past its end.
std::string_view wordAt(std::string_view text, int at);

class EventLog {
  public:
    // Without a path nothing is written; `watch` hears of each entry all the same.
    explicit EventLog(const std::string& path = "");
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void head(const nlohmann::json& head);
    void add(const LogEvent& entry);
    std::function<void(const nlohmann::json&)> watchHead;
    std::function<void(const LogEvent&)> watch;

  private:
    std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
    std::string buffer_;
    void flush();
};

// Reads a log whole; throws BadLedger with the line that can't be read.
void readEventLog(const std::string& path, const std::function<void(const nlohmann::json&)>& head,
                  const std::function<void(const LogEvent&)>& visit);

}  // namespace poppyscale::testbed
