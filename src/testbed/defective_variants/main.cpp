// The router with one defect, which $POPPYSCALE_TESTBED_PROGRAM_HARM names. Agents start it like the router.
#include <cstdlib>
#include <exception>
#include <iostream>

#include "testbed/defective_variants/defect.hpp"

int main(int argc, char** argv) {
    const char* const harm = std::getenv("POPPYSCALE_TESTBED_PROGRAM_HARM");
    const char* const size = std::getenv("POPPYSCALE_TESTBED_PROGRAM_HARM_SIZE");
    try {
        return poppyscale::testbed::runDefectiveVariant(
            argc, argv,
            {poppyscale::testbed::parseDefectiveVariant(harm ? harm : "none"), size ? std::atof(size) : 0});
    } catch (const std::exception& problem) {
        std::cerr << "poppyscale_defective_variant: " << problem.what() << '\n';
        return 2;
    }
}
