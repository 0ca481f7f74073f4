// What the router logs: which parts and levels, as the operator's file says it.
#pragma once

#include <string_view>

#include "config/operator_config.hpp"
#include "logging/logger.hpp"

namespace poppyscale::process {

class ProcessLogger {
  public:
    void configure(const config::LogConfig& plan);
    void log(std::string_view part, config::LogLevel level, std::string_view text);

  private:
    config::LogConfig config_;
    logging::Logger log_{"poppyscale", logging::Format::text, config::LogConfig{}.perSecond, 50};
};

}  // namespace poppyscale::process
