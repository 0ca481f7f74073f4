// Lines on standard error, as text or as JSON, bounded in rate.
#pragma once

#include <string_view>

#include "operator/plan.hpp"

namespace poppyscale::program {

class Logger {
  public:
    void plan(const op::LogPlan& plan) { plan_ = plan; }
    void line(std::string_view part, op::Level level, std::string_view text);

  private:
    op::LogPlan plan_;
    double allowance_ = 50;  // lines
    long long filledAt_ = 0;
    unsigned long left_ = 0;  // lines since the last one printed
};

}  // namespace poppyscale::program
