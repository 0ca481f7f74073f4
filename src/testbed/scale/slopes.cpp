#include "testbed/scale/slopes.hpp"

#include <cmath>

#include "testbed/scale/series.hpp"

namespace poppyscale::testbed::scale {
namespace {

// The figures of a run that get slopes. Processor figures are in percent of a core, as the bounds
// are.
struct Figures {
    double propagationP50Ms = 0, propagationMaxMs = 0;
    double routerBytes = 0, routerProcessor = 0, routerMemory = 0;
    double controlProcessor = 0, controlMemory = 0, controlMessages = 0;
};

Figures figuresOf(const Result& result) {
    Figures f;
    f.propagationP50Ms = result.propagationP50Ms;
    f.propagationMaxMs = result.propagationMaxMs;
    f.routerBytes = result.routerBytesPerSecond;
    f.routerProcessor = 100 * result.routerProcessorShare;
    f.routerMemory = result.routerMemoryKib;
    f.controlProcessor = 100 * result.controlProcessorShare;
    f.controlMemory = result.controlMemoryKib;
    f.controlMessages = result.controlMessagesPerSecond;
    return f;
}

}  // namespace

std::vector<double> defaultSizes(Varied varied) {
    switch (varied) {
        case Varied::routers:
            return {50, 100, 150, 200, 250};
        case Varied::caches:
            return {150, 300, 450, 600, 750};
        case Varied::rate:
            return {1, 2, 3, 4, 5};
    }
    return {};
}

const char* nameOf(Varied varied) {
    switch (varied) {
        case Varied::routers:
            return "routers";
        case Varied::caches:
            return "caches";
        case Varied::rate:
            return "rate";
    }
    return "";
}

Options optionsAt(const SlopeSeries& series, double size, std::uint64_t seed) {
    Options options = series.options;
    options.seed = seed;
    if (series.varied == Varied::routers)
        options.stubRouters = static_cast<int>(std::lround(size)) - options.realRouters;
    if (series.varied == Varied::caches) options.caches = static_cast<int>(std::lround(size));
    if (series.varied == Varied::rate) options.changesPerSecond = size;
    if (!options.folder.empty())
        options.folder += fmt::format("/{}-{:g}-{}", nameOf(series.varied), size, seed);
    return options;
}

bool runSlopes(const SlopeSeries& series, const RunFunction& run) {
    const std::vector<Quantity<Figures>> quantities = {
        {"control_processor", "% of a core", &Figures::controlProcessor},
        {"control_memory", "KiB", &Figures::controlMemory},
        {"control_messages", "1/s", &Figures::controlMessages},
        {"in_force_p50", "ms", &Figures::propagationP50Ms},
        {"in_force_max", "ms", &Figures::propagationMaxMs},
        {"router_bytes", "bytes/s", &Figures::routerBytes},
        {"router_processor", "% of a core", &Figures::routerProcessor},
        {"router_memory", "KiB", &Figures::routerMemory},
    };
    const auto measure = [&](double size, std::uint64_t seed) {
        return figuresOf(run(optionsAt(series, size, seed)));
    };
    const auto sizes = series.sizes.empty() ? defaultSizes(series.varied) : series.sizes;
    return runSeries<Figures>(nameOf(series.varied), sizes, series.seeds, series.predictionFactor, quantities,
                              measure);
}

}  // namespace poppyscale::testbed::scale
