// The clients' listening socket where the platform holds it.
#pragma once

#include <string>

#include "base/file_descriptor.hpp"

namespace poppyscale::process {

// Takes the inherited descriptor that $ROUTER_PASSED_SOCKET, `text`, names by its number. No child process
// inherits it. Throws std::runtime_error that names the variable when it is not a listening stream socket.
FileDescriptor takePassedSocket(const std::string& text);

}  // namespace poppyscale::process
