// The processes of a scale run: how each is started, and what it needs in its folder.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "testbed/drivers/live/child_process.hpp"
#include "testbed/scale/scale.hpp"

namespace poppyscale::testbed::scale {

// One process holds that many stub routers at most: each turn of its loop looks at all of them.
constexpr int kRoutersPerProcess = 250;

struct StubProcess {
    std::unique_ptr<ChildProcess> process;
    int first = 0;
    int routers = 0;
};

struct Distributor {
    std::unique_ptr<ChildProcess> process;
    int port = 0;
    double processorBefore =
        0;  // of the time that is measured: what was used before it, below 0 after a kill
};

// Paths of the programs, beside the one that runs now. Throws where one is missing.
std::string programPath(const std::string& name);

// The configuration of a router, as poppyscale reads it: no clients, nothing known of the list.
std::string routerConfiguration(const Options& options, int router, const std::string& listen,
                                const std::string& discovery);

std::unique_ptr<ChildProcess> startDiscovery(const Options& options);
std::vector<StubProcess> startStubRouters(const Options& options, const std::vector<int>& ports);
std::unique_ptr<ChildProcess> startReal(const Options& options, int router, int port);
std::unique_ptr<ChildProcess> startDistributor(const Options& options, int index, int port,
                                               int discoveryPort);

// A port of the loopback interface that nobody listens on.
int freePort();
// Whether something accepts connections there.
bool isListening(int port);

}  // namespace poppyscale::testbed::scale
