// The list of cache servers that a scale run's discovery tells: what is in it, how it changes, and its JSON.
// No sockets and no clock.
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

    // One cache drains, is gone, is new or was restarted: a version of its own. Returns a word for it.
    std::string_view change(std::int64_t nowMs);

    std::int64_t version() const { return version_; }
    // Sum of `entryDigest` over the entries of this version.
    std::uint64_t digest() const { return digest_; }
    std::size_t size() const { return present_; }

    // What a call is answered with: all of the list, or what has changed since the version `after`, where
    // that can still be told.
    std::string whole() const;
    std::string changesSince(std::int64_t after) const;

  private:
    struct Server {
        std::string id;
        std::string fixed;  // the part of its JSON that never changes
        EndpointState presence = EndpointState::ready;
        std::int64_t startedMs = 0;
        std::int64_t changedIn = 0;  // version
    };

    std::size_t add(std::int64_t startedMs);
    void set(std::size_t index, EndpointState presence, std::int64_t startedMs);
    std::size_t anyReady();
    std::string entryJson(const Server& server) const;

    int caches_;
    int zones_;
    Random random_;
    std::vector<Server> servers_;        // by number; those that are gone stay
    std::vector<std::size_t> draining_;  // the longest first
    std::vector<std::size_t> changed_;   // server of each version after the first
    std::int64_t version_ = 0;
    std::uint64_t digest_ = 0;
    std::size_t present_ = 0;
};

}  // namespace poppyscale::testbed::scale
