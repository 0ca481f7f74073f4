// The append-only event log of a run. It records what happened at the clients, on the network and
// at the servers, and holds no internal state of a router. Each event is one line of tab-separated
// columns. The audit and the figures read nothing else.
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

// The order must match kEventNames in event_log.cpp, which holds the names used in log files.
enum class EventKind : std::uint8_t {
    // A server exists. Text "NAME ZONE CELL origin|cache CAPACITY", number its start time, 0 for
    // long ago.
    serverAdded,
    // A client sent a request to a router. Text "CLASS TENANT KEY FIRST_TRY_ID TRY_NUMBER", number
    // the request's deadline, attemptId the time at which the request was due.
    requestSent,
    answered,    // text the token of the value
    rejected,    // the router rejected the request; number the Retry-After in nanoseconds
    failed,      // the router failed the request
    unsent,      // the router could not be reached, or went away before it answered
    unanswered,  // there was no answer by the deadline plus the slack
    clientDisconnected,
    // An attempt was written completely. Number its work in core-ns. Text "d=MS held=MS": the
    // timeout that was forwarded to the server, and for how long the attempt may have waited before
    // it was read; "" if no timeout was forwarded.
    attemptSent,
    executionStarted,  // the attempt began to take effect at the server; not logged for pure requests
    attemptEnded,      // text "value|miss|error|busy|spoilt TOKEN", the server's reply to the router
    closed,            // the router closed the connection while the attempt was in flight
    connectionBroken,  // the server or the network closed the connection while the attempt was in flight
    // A router was notified of a server, or is assumed to know its state. Text the state, followed by
    // " counted" if the knowledge is only assumed; number the server's start time.
    listed,
    started,           // a server came up; number its start time
    serverOverloaded,  // an overloaded server stopped
    // A router's process ended, for good or until its restart. Text "asked" if the testbed or an agent
    // ended it, else "by itself".
    killed,
    // A router was asked to stop, or is about to be killed with its machine. Number the time of that, or 0.
    stopping,
    up,               // a router can be reached; text its zone
    fault,            // text "begins|ends KIND ..."
    testbedLateness,  // number: the testbed's largest lateness since the last event of this kind
    opened,           // a router opened a connection to a server, which accepted it
    // A server begins a reply whose value it sends late or slowly. Text "pause=MS length=BYTES rate=BYTES".
    slowReplyBegun,
    // Such a reply ended early. Text "closed" by the router, or "broken" by the server or the network; number
    // the
    // bytes of the value that were sent.
    slowReplyCut,
    responseBegun,  // the client got the first byte of a response that is not complete
    statement  // a process's statement about itself; text "WHAT begins|ends" or "runs WHAT", number the time
};

struct LogEvent {
    Nanos at = 0;
    EventKind kind = EventKind::fault;
    std::uint64_t requestId = 0;
    int router = -1;
    int server = -1;
    // Unique within the log. In `requestSent` events: the time at which the request was due.
    std::uint64_t attemptId = 0;
    std::int64_t number = 0;
    std::string text;
};

std::string_view nameOf(EventKind kind);
// The word at index `at` of a text of words separated by spaces, "" past the end.
std::string_view wordAt(std::string_view text, int at);

class EventLog {
  public:
    // Without a path no file is written, but `onEvent` is still called with each event.
    explicit EventLog(const std::string& path = "");
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void head(const nlohmann::json& head);
    void add(const LogEvent& event);
    std::function<void(const nlohmann::json&)> onHead;
    std::function<void(const LogEvent&)> onEvent;

  private:
    std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
    std::string buffer_;
    void flush();
};

// Reads a complete log. Throws EventLogError with the number of the line that can't be read.
void readEventLog(const std::string& path, const std::function<void(const nlohmann::json&)>& visitHead,
                  const std::function<void(const LogEvent&)>& visitEvent);

}  // namespace poppyscale::testbed
