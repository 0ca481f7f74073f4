// The beginning of a value that is streamed from there on.
#pragma once

#include <cstddef>
#include <string>

namespace poppyscale::protocol {

struct StreamStart {
    std::size_t length = 0;  // of the whole value
    std::string bytes;       // of the value, from its first one; not empty
};

}  // namespace poppyscale::protocol
