// How outcomes are written in log lines.
#pragma once

#include <string_view>

#include "policy/types.hpp"
#include "proxy/response_sink.hpp"

namespace poppyscale::proxy {

std::string_view textOf(AttemptOutcome outcome);
std::string_view textOf(FinalResponse::Kind kind);

}  // namespace poppyscale::proxy
