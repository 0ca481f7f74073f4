// Defective versions of the router: the router's own code with one defect, so that a staged rollout can only
// be stopped by that defect.
#pragma once

#include <string>

namespace poppyscale::testbed {

// A defect. `size` is the share or the `size` in the comment of its kind; other kinds ignore it.
struct DefectiveVariant {
    enum class Kind : std::uint8_t {
        none,
        failsToStart,          // exits at its start
        hangs,                 // never becomes ready
        exitsEarly,            // exits `size` seconds after its start; 3 s if `size` is 0
        rejects,               // rejects this share of requests at once
        slower,                // delays a successful response by `size` times the attempt's duration
        dropsRequests,         // never answers this share of requests
        leaksMemory,           // leaks `size` KiB per request
        connectionPerAttempt,  // opens a connection for each attempt
        ignoresDraining,       // keeps sending to servers that are draining
        cutsResponses,         // ends attempts whose response is incomplete `size` ms after their start
        givesUpLate            // gives up incomplete responses `size` ms after their request's deadline
    };
    Kind kind = Kind::none;
    double size = 0;
};
// The kind with that name in $POPPYSCALE_TESTBED_PROGRAM_HARM. Throws std::runtime_error for an unknown name.
DefectiveVariant::Kind parseDefectiveVariant(const std::string& name);

// Runs the defective router with the router's own command line and returns the exit code.
int runDefectiveVariant(int argc, char** argv, const DefectiveVariant& variant);

}  // namespace poppyscale::testbed
