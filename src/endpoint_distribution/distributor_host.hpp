// What a distributor asks of whatever carries out its decisions, and the values that pass between them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.hpp"
#include "endpoint_distribution/list_state.hpp"

namespace poppyscale::endpoint_distribution {

using ReaderId = std::uint64_t;

struct ReaderRequest {
    std::optional<Version> after;  // nothing: the complete list at once
    Nanos wait = 0;                // for a newer version than `after`
};

struct ListResponse {
    int status = 200;           // or 503
    int retryAfterSeconds = 0;  // with 503
    std::int64_t listAgeMs = 0;
    bool close = false;  // the connection, once this is sent
    SharedBytes body;    // never null
};

enum class CloseReason : std::uint8_t { slow, idle };

// Why an upstream could not be polled.
enum class UpstreamFailure : std::uint8_t { unreachable, unresponsive, malformed };

// No method calls back into the distributor.
class DistributorHost {
  public:
    virtual ~DistributorHost() = default;
    // Gives the number of bytes that the kernel has not taken yet; changes of it are reported by
    // `onReaderBytesSent`.
    virtual std::size_t sendResponse(ReaderId reader, const ListResponse& response) = 0;
    // Replaces any poll in flight. `after`: nothing for the complete list.
    virtual void pollUpstream(std::size_t index, std::optional<Version> after, Nanos wait) = 0;
    virtual void closeReader(ReaderId reader, CloseReason reason) = 0;
    // Replaces the wakeup before; kNever: none.
    virtual void scheduleWakeup(Nanos at) = 0;
    virtual void log(std::string_view text) = 0;
};

}  // namespace poppyscale::endpoint_distribution
