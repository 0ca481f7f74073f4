// The responses that clients get, as RESP2.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace poppyscale::protocol {

// A value that is complete.
std::string valueResponse(std::string_view value);
// What precedes a value of `length` bytes that follows in chunks; `kBulkTerminator` ends it.
std::string streamedValueHead(std::size_t length);
// The request was not executed, and may be sent again. A `retryAfter` of 0 names no time; otherwise it is
// rounded up to milliseconds.
std::string rejectedResponse(Nanos retryAfter = 0);
// The request may have been executed.
std::string failedResponse();
// Why a valid message can't be accepted as a request, however often it is sent.
enum class RequestProblem : std::uint8_t {
    unknownRequestClass,
    idInUse  // by a request that is open
};
std::string problemResponse(RequestProblem problem);
// Of a message that is no valid request.
std::string errorResponse(std::string_view problem);
// The connection is closed behind both of these.
std::string protocolErrorResponse(std::string_view problem);
std::string requestTimeoutResponse();
// The router accepts no clients from load balancers at present.
std::string standbyResponse();
bool isErrorResponse(std::string_view response);

}  // namespace poppyscale::protocol
