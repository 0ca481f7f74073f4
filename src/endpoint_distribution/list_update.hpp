// A response of the endpoint list protocol, as discovery or a distributor gives it: its version and, for each
// server named in it, the text of the server's entry, which is passed on unchanged.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poppyscale::endpoint_distribution {

using Version = std::int64_t;

struct ServerEntry {
    std::string id;
    bool isRemoved = false;
    std::string text;  // the JSON object
};

struct ListUpdate {
    Version version = 0;
    bool isComplete = false;  // all servers; otherwise those that changed since the polled version
    std::vector<ServerEntry> entries;
};

// Throws protocol::ParseError for whatever a router would reject.
ListUpdate readListUpdate(std::string_view json);

// The entry of a server that a complete list does not name any more.
ServerEntry removedEntry(const ServerEntry& last);

}  // namespace poppyscale::endpoint_distribution
