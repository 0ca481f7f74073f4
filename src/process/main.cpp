#include "process/command_line.hpp"

int main(int argc, char** argv) { return poppyscale::process::runCommandLine(argc, argv); }
