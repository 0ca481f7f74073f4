// RESP2: what clients and caches speak. Bytes to values and back, taken in pieces as they come.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poppyscale::protocol {

struct Value {
    enum class Kind : std::uint8_t { simple, error, integer, bulk, array, null };
    Kind kind = Kind::null;
    std::string text;  // of all but arrays
    std::vector<Value> items;
};

// Takes one value after the other out of a stream; never holds more than its bounds allow.
class Decoder {
  public:
    struct Bounds {
        std::size_t bulk = 64 * 1024;
        std::size_t items = 64;          // of one array
        std::size_t depth = 3;           // arrays within arrays
        std::size_t whole = 256 * 1024;  // bytes of one value with all it holds
        bool onlyCommands = false;       // an array of bulk strings and nothing else
    };
    enum class State : std::uint8_t { more, whole, broken };

    explicit Decoder(const Bounds& bounds) : bounds_(bounds) {}

    // Eats of `bytes` up to the end of one value at most.
    State feed(std::string_view& bytes);
    Value take();
    const std::string& problem() const { return problem_; }
    bool within() const { return begun_; }  // a value has begun and is not whole
    std::size_t held() const { return held_; }

  private:
    struct Open {
        Value array;
        std::size_t left;
    };
    State header();
    State put(Value value);
    State fail(std::string_view what);

    Bounds bounds_;
    std::string line_;
    std::optional<std::size_t> bulkLeft_;  // with its closing CR LF
    Value bulk_;
    std::vector<Open> open_;
    Value done_;
    std::string problem_;
    std::size_t held_ = 0;
    bool begun_ = false;
};

void appendBulk(std::string& out, std::string_view text);
std::string bulk(std::string_view text);
std::string command(const std::vector<std::string_view>& words);

}  // namespace poppyscale::protocol
