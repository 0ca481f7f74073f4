// The clients' listening socket when the platform holds it and passes it to the process.
#pragma once

#include <string>

#include "base/file_descriptor.hpp"

namespace poppyscale::process {

// Takes the inherited descriptor whose number is `text`, the value of $ROUTER_PASSED_SOCKET, and
// makes it close-on-exec. Throws std::runtime_error that names the variable when it is not a
// listening stream socket.
FileDescriptor takePassedSocket(const std::string& text);

}  // namespace poppyscale::process
