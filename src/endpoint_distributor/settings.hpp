// The settings of the program `poppyscale_endpoint_distributor`: one TOML file with one table.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

#include "endpoint_distribution/distributor.hpp"
#include "transport/connection.hpp"

namespace poppyscale::endpoint_distributor {

// All problems of a file, a line each: "FILE:LINE: KEY: PROBLEM".
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Upstream {
    transport::Address address;
    std::string name;  // as in the file
};

struct Settings {
    std::string name;
    std::string listen;
    transport::Address listenAddress{};
    std::vector<Upstream> upstreams;
    std::size_t maxListBytes = 0;  // of an upstream's response
    endpoint_distribution::Options options;
};

// Throws SettingsError with all problems.
Settings readSettings(const std::string& path);

}  // namespace poppyscale::endpoint_distributor
