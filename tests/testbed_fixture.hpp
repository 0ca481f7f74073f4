// Fixture of the testbed's tests: the folder in which a run with real processes keeps its files.
#pragma once

#include <stdlib.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>
#include <system_error>

namespace poppyscale::test {

// A folder that is removed at the end of the test. It is in memory (/dev/shm) where enough is free, else in
// the temporary directory: a testbed that waits for a disk to write its files runs late.
class TemporaryFolder {
  public:
    // The folder's name is `prefix` and six random characters.
    TemporaryFolder(const std::string& prefix, std::uintmax_t minFreeMemoryBytes) {
        const std::filesystem::path memory = "/dev/shm";
        std::error_code error;
        const auto space = std::filesystem::space(memory, error);
        const bool fits = !error && space.available >= minFreeMemoryBytes;
        path_ = ((fits ? memory : std::filesystem::temp_directory_path()) / (prefix + "XXXXXX")).string();
        if (!mkdtemp(path_.data())) throw std::runtime_error("can't create the temporary folder " + path_);
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return path_; }
    std::string operator/(const std::string& name) const { return path_ + "/" + name; }
    std::string write(const std::string& name, const std::string& text) const {
        std::ofstream(*this / name) << text;
        return *this / name;
    }

  private:
    std::string path_;
};

}  // namespace poppyscale::test
