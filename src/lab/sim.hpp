// The world in virtual time round the decision module itself: hundreds of routers in one process, no socket.
#pragma once

#include <functional>

#include "lab/ledger.hpp"
#include "lab/scenario.hpp"

namespace poppyscale::lab {

struct SimResult {
    Nanos length = 0;        // of the scenario's time
    double wallSeconds = 0;  // that it took
};

// `progress` is told the time reached, about once a simulated second.
SimResult simulate(const Scenario& scenario, std::uint64_t seed, Ledger& ledger,
                   const std::function<void(Nanos)>& progress = {});

}  // namespace poppyscale::lab
