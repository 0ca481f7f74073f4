// Requests as clients send them, from RESP2.
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
    std::string id;    // the client's own
    std::string info;  // the info list, as it was sent
    std::string value;
    std::string requestClass;
    std::string tenant;
    Nanos timeout = 0;  // how long the client waits
    bool isWrite = false;
    bool isRetry = false;            // as the client says
    std::size_t streamedLength = 0;  // of a value that follows in chunks, in place of `value`; otherwise 0
};

// What needs no decision, with its encoded response; also a message that is no valid request.
struct ControlCommand {
    std::string response;
    bool closesConnection = false;
    bool isPing = false;
};

// A message is a request or is responded to at once.
using ClientMessage = std::variant<Request, ControlCommand>;

ClientMessage readRequest(RespValue message);
// Of a write whose value follows in chunks: `arguments` are all that precede it.
ClientMessage readRequestHead(std::vector<RespValue> arguments, std::size_t streamedLength);

}  // namespace poppyscale::protocol
