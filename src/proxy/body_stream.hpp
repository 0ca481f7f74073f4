// A long value on its way, in pieces, between two sides of which neither keeps it. Each tells the other when
// it goes, and is not called again after that.
#pragma once

#include <cstdint>
#include <string_view>

namespace poppyscale::proxy {

enum class Room : std::uint8_t { more, full, gone };

class Taker {
  public:
    virtual ~Taker() = default;
    // All of it is taken, whatever is said. After `full` nothing may come until `more`, after `gone` nothing.
    virtual Room piece(std::string_view bytes) = 0;
    virtual void brokeOff() = 0;  // the rest won't come
};

class Giver {
  public:
    virtual ~Giver() = default;
    virtual void more() = 0;   // there is room again
    virtual void leave() = 0;  // nothing more is wanted
};

// The value of a write, which waits until somebody takes it.
class Body : public Giver {
  public:
    virtual void begin(Taker& taker) = 0;
};

}  // namespace poppyscale::proxy
