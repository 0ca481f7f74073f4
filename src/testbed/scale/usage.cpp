#include "testbed/scale/usage.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace poppyscale::testbed::scale {

double ownProcessorSeconds() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

double processorSecondsOf(pid_t pid) {
    // schedstat has the scheduler's account in ns. /proc/PID/stat is too coarse: it counts in
    // hundredths of a second, as much as an idle router uses in one second.
    std::error_code problem;
    double nanos = 0;
    for (const auto& thread :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task", problem)) {
        std::ifstream file(thread.path() / "schedstat");
        double running = 0;
        file >> running;
        nanos += running;
    }
    return nanos / 1e9;
}

double residentKibOf(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double all = 0;
    double resident = 0;
    file >> all >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1024;
}

}  // namespace poppyscale::testbed::scale
