// Processor time and memory of this process and of others.
#pragma once

#include <sys/types.h>

namespace poppyscale::testbed::scale {

// User and system time of this process so far, in seconds.
double ownProcessorSeconds();
// Processor time of another process, summed over its live threads; 0 once it has ended.
double processorSecondsOf(pid_t pid);
// Resident memory of a process in KiB; 0 once it has ended.
double residentKibOf(pid_t pid);

}  // namespace poppyscale::testbed::scale
