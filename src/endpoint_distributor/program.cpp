#include "endpoint_distributor/program.hpp"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <random>

namespace poppyscale::endpoint_distributor {
namespace {

// Connections for rejected readers and status requests.
constexpr std::size_t kSpareConnections = 256;
// Descriptors of stdio, loop, signals, listener and upstream.
constexpr std::size_t kReservedDescriptors = 64;
constexpr std::size_t kSpareBuffers = 256;
// Enough for one chunk that the kernel has not accepted.
constexpr std::size_t kBuffersPerReader = 2;
constexpr Nanos kShutdownTimeout = 1'000 * kMillisecond;

endpoint_distribution::Options optionsOf(const Settings& settings) {
    endpoint_distribution::Options options = settings.options;
    options.seed = std::random_device{}() ^ static_cast<std::uint64_t>(::getpid()) << 32;
    return options;
}

}  // namespace

DistributorProcess::DistributorProcess(const Settings& settings)
    : settings_(settings),
      logger_(settings.name, logging::Format::text),
      pool_((settings.options.maxReaders + kSpareConnections) * kBuffersPerReader + kSpareBuffers),
      wakeup_(loop_, [] {}),  // only wakes the loop; runIteration() does the work
      shutdownTimeout_(loop_, [this] { loop_.stop(); }),
      readers_(loop_, pool_, settings.options.maxReaders + kSpareConnections,
               [this] { return statusJson(); }),
      distributor_(optionsOf(settings), *this, transport::EventLoop::now()),
      upstreams_(loop_, pool_, distributor_, settings.upstreams, settings.maxListBytes) {
    raiseDescriptorLimit();
    readers_.attach(distributor_);
    const std::string problem = readers_.listen(settings.listenAddress);
    if (!problem.empty()) throw StartupError(fmt::format("can't listen on {}: {}", settings.listen, problem));
    terminate_.emplace(loop_, SIGTERM, [this] { beginShutdown(); });
    interrupt_.emplace(loop_, SIGINT, [this] { beginShutdown(); });
    loop_.onIteration([this] { runIteration(); });
}

void DistributorProcess::raiseDescriptorLimit() {
    rlimit limit{};
    const rlim_t needed = settings_.options.maxReaders + kSpareConnections + kReservedDescriptors;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= needed) return;
    limit.rlim_cur = std::min(needed, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_cur < needed)
        logger_.info(fmt::format("descriptor limit too low for max_readers: limit {}, needed {}",
                                 limit.rlim_cur, needed));
}

void DistributorProcess::run() {
    log(fmt::format("listening on {}", settings_.listen));
    loop_.run();
}

void DistributorProcess::runIteration() {
    readers_.handlePending();
    distributor_.reconcile(transport::EventLoop::now());
    if (isShuttingDown_ && readers_.isAllSent()) loop_.stop();
}

void DistributorProcess::beginShutdown() {
    if (isShuttingDown_) return;
    isShuttingDown_ = true;
    log("shutting down: answering the waiting readers");
    readers_.stopListening();
    upstreams_.stop();
    distributor_.shutDown(transport::EventLoop::now());
    shutdownTimeout_.start(transport::EventLoop::now() + kShutdownTimeout);
}

std::size_t DistributorProcess::sendResponse(endpoint_distribution::ReaderId reader,
                                             const endpoint_distribution::ListResponse& response) {
    return readers_.respond(reader, response);
}

void DistributorProcess::pollUpstream(std::size_t index, std::optional<endpoint_distribution::Version> after,
                                      Nanos wait) {
    upstreams_.poll(index, after, wait);
}

void DistributorProcess::closeReader(endpoint_distribution::ReaderId reader,
                                     endpoint_distribution::CloseReason reason) {
    if (reason == endpoint_distribution::CloseReason::slow)
        log("closed a reader's connection: the reader did not receive its response in time");
    readers_.close(reader);
}

void DistributorProcess::scheduleWakeup(Nanos at) {
    if (at == kNever)
        wakeup_.stop();
    else
        wakeup_.start(at);
}

void DistributorProcess::log(std::string_view text) { logger_.info(text); }

std::string DistributorProcess::statusJson() const {
    const endpoint_distribution::DistributorStatus status = distributor_.status(transport::EventLoop::now());
    const nlohmann::json json{{"name", settings_.name},
                              {"version", status.version},
                              {"entries", status.entries},
                              {"tombstones", status.tombstones},
                              {"age_ms", status.age / kMillisecond},
                              {"trouble", status.lastFailure},
                              {"upstream", settings_.upstreams[status.upstream].name},
                              {"readers", status.readers},
                              {"epochs", status.epochs},
                              {"lost_versions", status.lostVersions},
                              {"answers", status.responses},
                              {"bytes_sent", readers_.bytesSent()},
                              {"whole_answers", status.completeResponses},
                              {"delta_answers", status.deltaResponses},
                              {"slow_readers_closed", status.slowReadersClosed},
                              {"readers_refused", status.readersRejected},
                              {"version_falls_refused", status.olderListsRejected}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace poppyscale::endpoint_distributor
