// Harmful versions of the router: the program itself but for one harm, so that what stops a staged change is
// that harm and nothing else.
#pragma once

#include <string>

namespace poppyscale::testbed {

// What a defective version does, to a share `size` of what it takes where that says something.
struct DefectiveVariant {
    enum class Kind : std::uint8_t {
        none,
        failsToStart,  // ends at its start
        hangs,         // before it is ready
        ends,          // `size` seconds after it was made, 3 without it
        rejects,       // rejected at once
        slower,        // an attempt's answer comes later by this part of its time
        lossy,         // never answered
        leaks,         // keeps so many kB of each command
        connections,   // opens one for each attempt
        drains         // goes on sending to what leaves
    };
    Kind kind = Kind::none;
    double size = 0;
};
// Throws std::runtime_error for an unknown name.
DefectiveVariant::Kind defectiveVariantNamed(const std::string& name);

// As the program is started, by its command line. The exit code.
int runDefectiveVariant(int argc, char** argv, const DefectiveVariant& harm);

}  // namespace poppyscale::testbed
