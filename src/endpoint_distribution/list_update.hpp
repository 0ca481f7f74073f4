// An answer of the list protocol, as discovery or a distributor gives it: the version, and for each server
// named in it the text of its entry, which is passed on as it came.
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
    bool isComplete =
        false;  // all servers, else those that have changed since the version that was asked with
    std::vector<ServerEntry> entries;
};

// Throws protocol::Malformed for whatever a router would refuse.
ListUpdate readListUpdate(std::string_view json);

// The entry of a server that a whole list does not name any more.
ServerEntry removedEntry(const ServerEntry& last);

}  // namespace poppyscale::endpoint_distribution
