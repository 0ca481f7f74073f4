// Client requests, read from RESP2.
#pragma once

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "base/time.hpp"
#include "protocol/resp.hpp"

namespace poppyscale::protocol {

// A read or a write of one key.
struct Request {
    std::string key;
    std::string id;    // chosen by the client
    std::string info;  // the info list, as it was sent
    std::string value;
    std::string requestClass;
    std::string tenant;
    Nanos timeout = 0;  // how long the client waits
    bool isWrite = false;
    bool isRetry = false;            // the client marks the request as a retry
    std::size_t streamedLength = 0;  // length of a value that follows in chunks instead of `value`, or 0
};

// A message that needs no routing decision, such as PING or an invalid request, with its encoded
// response.
struct ControlCommand {
    std::string response;
    bool closesConnection = false;
    bool isPing = false;
};

// A message is a request or is responded to at once.
using ClientMessage = std::variant<Request, ControlCommand>;

ClientMessage readRequest(RespValue message);
// Reads a write whose value follows in chunks; `arguments` are all those that precede the value.
ClientMessage readRequestHead(std::vector<RespValue> arguments, std::size_t streamedLength);

}  // namespace poppyscale::protocol
