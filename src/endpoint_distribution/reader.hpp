// The state of one reader's connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "endpoint_distribution/distributor_host.hpp"

namespace poppyscale::endpoint_distribution {

enum class ReaderState : std::uint8_t {
    idle,     // no request is open
    waiting,  // its request is not answered yet
    draining  // its kernel has not taken all of the response
};

// Whether it is one of the bounded number of readers. Decided at its first request, and again at each request
// while it is rejected.
enum class Admission : std::uint8_t { undecided, admitted, rejected };

struct Reader {
    ReaderState state = ReaderState::idle;
    Admission admission = Admission::undecided;
    Nanos since = 0;  // when it entered its state
    Nanos mayAnswerAt = 0;
    std::size_t unsent = 0;               // bytes
    ReaderRequest request;                // while it waits
    std::optional<ReaderRequest> queued;  // arrived while it drains
    Nanos deadline = kNever;              // when it is due for the next action

    bool isRejected() const { return admission == Admission::rejected; }
};

}  // namespace poppyscale::endpoint_distribution
