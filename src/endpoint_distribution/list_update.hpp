// A response of the endpoint list protocol, as sent by discovery or a distributor: its version and,
// for each server in it, the JSON text of the server's entry, which is passed on unchanged.
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
    bool isComplete = false;  // whether all servers are named, or only those changed
    std::vector<ServerEntry> entries;
};

// Throws protocol::ParseError for each list that a router would reject.
ListUpdate readListUpdate(std::string_view json);

// Returns a server's last entry, marked as removed.
ServerEntry removedEntry(const ServerEntry& last);

}  // namespace poppyscale::endpoint_distribution
