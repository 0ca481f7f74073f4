// The list of cache servers that a scale run's discovery serves: its entries, random changes and
// JSON. Uses no sockets and no clock.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/types.hpp"
#include "testbed/emulator/random.hpp"

namespace poppyscale::testbed::scale {

class ServerList {
  public:
    ServerList(int caches, int zones, std::uint64_t seed, std::int64_t startedMs);

    // Makes a new version by one random change: a cache starts draining, is removed, added or
    // restarted. Returns the kind of change: "drain", "gone", "new" or "restart".
    std::string_view change(std::int64_t nowMs);

    std::int64_t version() const { return version_; }
    // The sum of `entryDigest` over the entries of the current version.
    std::uint64_t digest() const { return digest_; }
    std::size_t size() const { return listedCount_; }

    // The JSON of the complete list.
    std::string completeJson() const;
    // The JSON of the changes since version `after`; of the complete list if `after` is unknown or
    // too old.
    std::string changesSince(std::int64_t after) const;

  private:
    struct Server {
        std::string id;
        std::string fixedJson;  // the constant part of its JSON
        EndpointState state = EndpointState::ready;
        std::int64_t startedMs = 0;
        std::int64_t lastChangedVersion = 0;  // version of its last change
    };

    std::size_t add(std::int64_t startedMs);
    void setState(std::size_t index, EndpointState state, std::int64_t startedMs);
    std::size_t randomReadyServer();
    std::string entryJson(const Server& server) const;

    int caches_;
    int zones_;
    Random random_;
    std::vector<Server> servers_;              // servers by number; removed servers stay
    std::vector<std::size_t> draining_;        // server numbers, longest draining first
    std::vector<std::size_t> changedServers_;  // the server changed in each version after the first
    std::int64_t version_ = 0;
    std::uint64_t digest_ = 0;
    std::size_t listedCount_ = 0;
};

}  // namespace poppyscale::testbed::scale
