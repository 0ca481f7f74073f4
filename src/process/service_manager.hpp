// State notifications to the service manager that started this process.
#pragma once

#include <string>

namespace poppyscale::process {

// Sends `assignments`, lines of NAME=VALUE in sd_notify's protocol, to $NOTIFY_SOCKET. Does nothing
// when the variable is not set. Never blocks; errors are ignored.
void notifyServiceManager(const std::string& assignments);

}  // namespace poppyscale::process
