// The old process's side of a hot restart: a new process takes the sockets of this one over.
#pragma once

#include <sys/types.h>

#include <functional>
