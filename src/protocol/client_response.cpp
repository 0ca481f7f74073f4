#include "protocol/client_response.hpp"

#include "protocol/resp.hpp"

namespace poppyscale::protocol {

std::string valueResponse(std::string_view value) { return bulk(value); }

std::string streamedValueHead(std::size_t length) { return bulkHead(length); }

std::string rejectedResponse(Nanos retryAfter) {
    const auto milliseconds = (retryAfter + kMillisecond - 1) / kMillisecond;
    return milliseconds > 0 ? "-BUSY " + std::to_string(milliseconds) + "\r\n" : "-BUSY\r\n";
}

std::string failedResponse() { return errorResponse("failed"); }

std::string problemResponse(RequestProblem problem) {
    switch (problem) {
        case RequestProblem::unknownRequestClass:
            return errorResponse("unknown request class in item c of the info list");
        case RequestProblem::idInUse:
            break;
    }
    return errorResponse("the id is already used by another open request");
}

std::string errorResponse(std::string_view problem) {
    return std::string("-ERR ").append(problem).append("\r\n");
}

std::string protocolErrorResponse(std::string_view problem) {
    return std::string("-ERR Protocol error: ").append(problem).append("\r\n");
}

std::string requestTimeoutResponse() {
    return protocolErrorResponse("the command was not complete within the time limit");
}

std::string standbyResponse() { return errorResponse("the router is in standby"); }

bool isErrorResponse(std::string_view response) { return response.starts_with('-'); }

}  // namespace poppyscale::protocol
