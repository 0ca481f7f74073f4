// Lines on standard error, bounded in rate.
#pragma once

#include <string_view>

namespace poppyscale::program {

class Logger {
  public:
    void line(std::string_view text);

  private:
    double allowance_ = 50;  // lines
    long long filledAt_ = 0;
    unsigned long left_ = 0;  // lines since the last one printed
};

}  // namespace poppyscale::program
