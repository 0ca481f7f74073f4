#include "proxy/outcome_text.hpp"

namespace poppyscale::proxy {

std::string_view textOf(AttemptOutcome outcome) {
    switch (outcome) {
        case AttemptOutcome::succeeded:
            return "succeeded";
        case AttemptOutcome::failed:
            return "failed";
        case AttemptOutcome::timedOut:
            return "timed_out";
        case AttemptOutcome::connectionLost:
            return "connection_lost";
        case AttemptOutcome::notExecuted:
            return "not_executed";
        case AttemptOutcome::overloaded:
            return "overloaded";
        case AttemptOutcome::connectFailed:
            return "connect_failed";
        case AttemptOutcome::notSent:
            return "not_sent";
        case AttemptOutcome::cacheMiss:
            return "cache_miss";
    }
    return "unknown";
}

std::string_view textOf(FinalResponse::Kind kind) {
    switch (kind) {
        case FinalResponse::Kind::succeeded:
            return "succeeded";
        case FinalResponse::Kind::rejected:
            return "rejected";
        case FinalResponse::Kind::failed:
            break;
    }
    return "failed";
}

}  // namespace poppyscale::proxy
