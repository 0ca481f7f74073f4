// Notices to the service manager that started this process.
#pragma once

#include <string>

namespace poppyscale::process {

// Sends `assignments`, lines of NAME=VALUE by sd_notify's protocol, to $NOTIFY_SOCKET. Does nothing without
// one, and nothing waits for it or depends on it.
void notifyServiceManager(const std::string& assignments);

}  // namespace poppyscale::process
