// The settings of the program `poppyscale_endpoint_distributor`: a TOML file with the table
// `distributor`.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

#include "endpoint_distribution/distributor.hpp"
#include "transport/connection.hpp"

namespace poppyscale::endpoint_distributor {

// Lists all problems of a settings file, one per line, as "FILE:LINE: KEY: PROBLEM".
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Upstream {
    transport::Address address;
    std::string name;  // the address as written in the file
};

struct Settings {
    std::string name;
    std::string listen;
    transport::Address listenAddress{};
    std::vector<Upstream> upstreams;
    std::size_t maxListBytes = 0;  // longest body of an upstream's response
    endpoint_distribution::Options options;
};

// Throws SettingsError that lists all problems.
Settings readSettings(const std::string& path);

}  // namespace poppyscale::endpoint_distributor
