// The state of one reader's connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "endpoint_distribution/distributor_host.hpp"

namespace poppyscale::endpoint_distribution {

enum class ReaderState : std::uint8_t {
    idle,     // no request is open
    waiting,  // the request is not answered yet
    draining  // part of the response is still unsent
};

// Whether the reader counts towards the maximum number of readers. Decided at its first request,
// and again at each request while the reader is rejected.
enum class Admission : std::uint8_t { undecided, admitted, rejected };

struct Reader {
    ReaderState state = ReaderState::idle;
    Admission admission = Admission::undecided;
    Nanos stateSince = 0;                 // when the reader entered its state
    Nanos earliestResponseAt = 0;         // limits a reader to one response per batch interval
    std::size_t unsent = 0;               // bytes of the response that are still unsent
    ReaderRequest request;                // valid in the state `waiting`
    std::optional<ReaderRequest> queued;  // received in the state `draining`
    Nanos deadline = kNever;              // when the reader is answered or closed

    bool isRejected() const { return admission == Admission::rejected; }
};

}  // namespace poppyscale::endpoint_distribution
