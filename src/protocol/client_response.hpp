// Responses to clients, as RESP2.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace poppyscale::protocol {

// A complete value.
std::string valueResponse(std::string_view value);
// The header of a value of `length` bytes, which the caller sends in chunks with `kBulkTerminator`
// at the end.
std::string streamedValueHead(std::size_t length);
// The request was not executed and may be retried. A `retryAfter` of 0 states no time; any other is
// rounded up to whole milliseconds.
std::string rejectedResponse(Nanos retryAfter = 0);
// The request may have been executed.
std::string failedResponse();
// Why a well-formed request gets an error instead of a rejection, which would invite a retry.
enum class RequestProblem : std::uint8_t {
    unknownRequestClass,
    idInUse  // another open request has the same id
};
std::string problemResponse(RequestProblem problem);
// The response to a message that is not a valid request.
std::string errorResponse(std::string_view problem);
// After either of these two the connection is closed.
std::string protocolErrorResponse(std::string_view problem);
std::string requestTimeoutResponse();
// The response to a load balancer's health check while the router is in standby and wants no new
// clients.
std::string standbyResponse();
bool isErrorResponse(std::string_view response);

}  // namespace poppyscale::protocol
