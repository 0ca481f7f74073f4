#include "process/status_report.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

#include "process/resource_limits.hpp"

namespace poppyscale::process {
namespace {

// Bytes of one request in the report, without the texts of the request itself.
constexpr std::size_t kShownRequestBytes = 256;

std::int64_t toMillis(Nanos duration) { return duration / kMillisecond; }

const char* stateText(EndpointState state) {
    switch (state) {
        case EndpointState::ready:
            return "ready";
        case EndpointState::draining:
            return "draining";
        case EndpointState::removed:
            break;
    }
    return "gone";
}

long residentMemoryKb() {
    long totalPages = 0;
    long residentPages = 0;
    std::ifstream("/proc/self/statm") >> totalPages >> residentPages;
    return residentPages * (::sysconf(_SC_PAGESIZE) / 1024);
}

// The number of open descriptors; -1 when it can't be read.
std::ptrdiff_t openDescriptors() {
    std::error_code error;
    const auto descriptors = std::filesystem::directory_iterator("/proc/self/fd", error);
    if (error) return -1;
    return std::distance(begin(descriptors), end(descriptors));
}

std::size_t shownBytes(const proxy::RequestStatus& request) {
    return kShownRequestBytes + request.id.size() + request.requestClass.size() + request.tenant.size() +
           request.key.size() + request.server.size();
}

nlohmann::json toJson(const proxy::RequestStatus& request, Nanos now) {
    return {{"id", request.id},
            {"verb", request.requestClass},
            {"customer", request.tenant},
            {"key", request.key},
            {"age_ms", toMillis(now - request.acceptedAt)},
            {"left_ms", toMillis(request.deadline - now)},
            {"relays", request.attemptCount},
            {"waited_for", request.isAwaited},
            {"at", request.server},
            {"out_ms", request.server.empty() ? 0 : toMillis(now - request.sentAt)}};
}

nlohmann::json toJson(const EndpointStatus& endpoint, Nanos now) {
    return {{"name", endpoint.name},
            {"zone", endpoint.zone},
            {"kind", endpoint.isOrigin ? "origin" : "cache"},
            {"state", stateText(endpoint.state)},
            {"banned", endpoint.isEjectedByOperator},
            {"out", endpoint.inFlight},
            {"window", endpoint.concurrencyLimit},
            {"warmth", endpoint.warmupFraction},
            {"heard", endpoint.recentOutcomes},
            {"failed", endpoint.recentFailures},
            {"lateness", endpoint.latencyRatio},
            {"hints", endpoint.hintedKeys},
            {"aside_ms", std::max<std::int64_t>(toMillis(endpoint.ejectedUntil - now), 0)}};
}

nlohmann::json toJson(const WarmupAttemptCounts& counts) {
    return {{"preferred", counts.preferred},
            {"within_budget", counts.withinBudget},
            {"without_budget", counts.withoutBudget}};
}

}  // namespace

StatusReport::StatusReport(const ActiveConfig& config, DataPath& dataPath, const ProcessLifecycle& lifecycle,
                           const HotRestart& hotRestart, std::string version)
    : config_(config),
      dataPath_(dataPath),
      lifecycle_(lifecycle),
      hotRestart_(hotRestart),
      version_(std::move(version)) {}

nlohmann::json StatusReport::endpointListStatus() const {
    auto list = nlohmann::json::object();
    const auto* const watcher = dataPath_.endpointWatcher();
    if (!watcher) return list;
    list["age_ms"] = toMillis(transport::EventLoop::now() - watcher->lastResponseAt());
    list["trouble"] = watcher->lastFailure();
    if (!config_.operatorConfig().distributors.empty()) {
        list["source"] = watcher->currentSource();
        list["sources"] = watcher->sourceCount();
    }
    return list;
}

std::int64_t StatusReport::uptimeMs() const { return toMillis(transport::EventLoop::now() - startedAt_); }

nlohmann::json StatusReport::status() const {
    const protocol::StartupConfig& startup = config_.startup();
    const proxy::RequestDispatcher& dispatcher = dataPath_.dispatcher();
    return {{"name", startup.name},
            {"list", endpointListStatus()},
            {"state", stateText(lifecycle_.state())},
            {"pid", ::getpid()},
            {"up_ms", uptimeMs()},
            {"listen", startup.listen},
            {"discovery", startup.discovery},
            {"open", dispatcher.openRequests()},
            {"clients", dataPath_.clientListener().count()},
            {"links", dispatcher.connectionCount()},
            {"reloads", config_.reloadCount()},
            {"upgrading", hotRestart_.isInProgress()},
            {"described", config_.describe()}};
}

nlohmann::json StatusReport::metrics() const {
    proxy::RequestDispatcher& dispatcher = dataPath_.dispatcher();
    const auto* const watcher = dataPath_.endpointWatcher();
    auto report = dispatcher.metrics()->json();
    int readyCaches = 0;
    int listedCaches = 0;
    for (const EndpointStatus& endpoint : dispatcher.endpointStatuses()) {
        if (endpoint.isOrigin) continue;
        ++listedCaches;
        if (endpoint.state == EndpointState::ready && !endpoint.isEjectedByOperator) ++readyCaches;
    }
    auto attemptsByCache = nlohmann::json::object();
    for (const auto& [name, server] : dispatcher.attemptsByServer())
        attemptsByCache[name] = {server.attempts, server.isDraining};
    report.update({{"name", config_.startup().name},
                   {"caches", std::move(attemptsByCache)},
                   {"program", version_},
                   {"pid", ::getpid()},
                   {"zone", config_.startup().policy.zone},
                   {"state", stateText(lifecycle_.state())},
                   {"up_ms", uptimeMs()},
                   {"open", dispatcher.openRequests()},
                   {"clients", dataPath_.clientListener().count()},
                   {"links", dispatcher.connectionCount()},
                   {"links_opened", dispatcher.connectionsOpened()},
                   {"list_calls", watcher ? watcher->pollCount() : 0},
                   {"guard", dispatcher.guard().json()},
                   {"attempts_ended", dispatcher.attemptEnds().json()},
                   {"request_ends", dispatcher.requestEnds().json()},
                   {"warmup_attempts", toJson(dispatcher.warmupAttemptCounts())},
                   {"caches_ready", readyCaches},
                   {"caches_listed", listedCaches},
                   {"memory_kb", residentMemoryKb()},
                   {"descriptors", openDescriptors()}});
    return report;
}

nlohmann::json StatusReport::requests() const {
    const Nanos now = transport::EventLoop::now();
    const proxy::RequestDispatcher& dispatcher = dataPath_.dispatcher();
    auto shown = nlohmann::json::array();
    std::size_t bytesLeft = maxShownRequestBytes(config_.startup());
    for (const auto& request : dispatcher.requestStatuses()) {
        const std::size_t bytes = shownBytes(request);
        if (bytes > bytesLeft) break;
        bytesLeft -= bytes;
        shown.push_back(toJson(request, now));
    }
    return {{"open", dispatcher.openRequests()}, {"commands", std::move(shown)}};
}

nlohmann::json StatusReport::endpoints() const {
    const Nanos now = transport::EventLoop::now();
    auto shown = nlohmann::json::array();
    for (const EndpointStatus& endpoint : dataPath_.dispatcher().endpointStatuses())
        shown.push_back(toJson(endpoint, now));
    return {{"caches", std::move(shown)}};
}

}  // namespace poppyscale::process
