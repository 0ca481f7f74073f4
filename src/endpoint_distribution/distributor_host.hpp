// The interface through which a distributor sends, polls, sets timers and logs, and the values
// passed over it.
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
    std::optional<Version> after;  // nullopt requests the complete list at once
    Nanos wait = 0;                // longest wait for a version newer than `after`
};

struct ListResponse {
    int status = 200;           // 200 or 503
    int retryAfterSeconds = 0;  // set with status 503
    std::int64_t listAgeMs = 0;
    bool closesConnection = false;  // the connection is closed after the response is sent
    SharedBytes body;               // never null
};

enum class CloseReason : std::uint8_t { slow, idle };

// Why an upstream could not be polled.
enum class UpstreamFailure : std::uint8_t { unreachable, unresponsive, malformed };

// The methods must not call back into the distributor.
class DistributorHost {
  public:
    virtual ~DistributorHost() = default;
    // Returns the number of bytes that are still unsent. The host reports each change of that
    // number to `Distributor::onReaderBytesSent`.
    virtual std::size_t sendResponse(ReaderId reader, const ListResponse& response) = 0;
    // Cancels any poll in flight. Without `after` the complete list is requested.
    virtual void pollUpstream(std::size_t index, std::optional<Version> after, Nanos wait) = 0;
    virtual void closeReader(ReaderId reader, CloseReason reason) = 0;
    // Replaces the wakeup scheduled before; kNever cancels it.
    virtual void scheduleWakeup(Nanos at) = 0;
    virtual void log(std::string_view text) = 0;
};

}  // namespace poppyscale::endpoint_distribution
