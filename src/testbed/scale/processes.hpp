// Starts the processes of a scale run and writes the files that they need.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "testbed/drivers/live/child_process.hpp"
#include "testbed/scale/scale.hpp"

namespace poppyscale::testbed::scale {

// The most stub routers in one process. Each iteration of its event loop goes through all of them.
constexpr int kMaxRoutersPerProcess = 250;

struct StubProcess {
    std::unique_ptr<ChildProcess> process;
    int first = 0;
    int routers = 0;
};

struct Distributor {
    std::unique_ptr<ChildProcess> process;
    int port = 0;
    // Processor seconds used before the measured time, subtracted from the final reading. 0 for a
    // process that was started within the measured time.
    double processorSecondsBefore = 0;
};

// The path of a program in the folder of the running one. Throws std::runtime_error if it is
// missing.
std::string programPath(const std::string& name);

// The startup configuration of a router as JSON, without any endpoints.
std::string routerConfiguration(const Options& options, int router, const std::string& listen,
                                const std::string& discovery);

std::unique_ptr<ChildProcess> startDiscovery(const Options& options);
std::vector<StubProcess> startStubRouters(const Options& options, const std::vector<int>& ports);
std::unique_ptr<ChildProcess> startRealRouter(const Options& options, int router, int port);
std::unique_ptr<ChildProcess> startDistributor(const Options& options, int index, int port,
                                               int discoveryPort);

// A free port of the loopback interface.
int freePort();
// Whether a process accepts connections on that loopback port.
bool isListening(int port);

}  // namespace poppyscale::testbed::scale
