// What the router logs: which parts and levels, as the operator's file says it.
#pragma once

#include <string_view>

#include "config/operator_config.hpp"
#include "logging/logger.hpp"

namespace poppyscale::process {

class Logger {
  public:
    void plan(const config::LogPlan& plan);
    void line(std::string_view part, config::Level level, std::string_view text);

  private:
    config::LogPlan plan_;
    logging::Log log_{"poppyscale", logging::Form::text, config::LogPlan{}.perSecond, 50};
};

}  // namespace poppyscale::process
