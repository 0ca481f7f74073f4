// A stub router: the endpoint watcher, request dispatcher and decision module of a real router,
// without clients.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_watcher.hpp"
#include "protocol/endpoint_list.hpp"
#include "protocol/startup_config.hpp"
#include "proxy/request_dispatcher.hpp"
#include "testbed/scale/record.hpp"
#include "testbed/stub_routers/list_image.hpp"
#include "transport/buffer_pool.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::testbed::stub_routers {

// A request dispatcher that keeps a copy of the lists it receives.
class ObservedDispatcher : public proxy::RequestDispatcher {
  public:
    // Defective variant: every `dropEveryNthDelta`th list of changes is dropped; 0 drops none. The
    // count of lists starts at `initialDeltaCount`, so that routers drop different ones.
    ObservedDispatcher(transport::EventLoop& loop, transport::BufferPool& pool,
                       const protocol::StartupConfig& config, int dropEveryNthDelta,
                       std::uint64_t initialDeltaCount);

    void onEndpointList(EndpointUpdateKind kind, const protocol::EndpointList& list) override;

    // The version of the last list received; 0 if none was.
    std::int64_t version() const { return version_; }
    std::uint64_t digest() const { return image_.digest(); }
    // Whether the decision module's servers are those of the lists received.
    bool moduleMatchesList() { return image_.matches(endpointStatuses()); }

  private:
    EndpointListImage image_;
    std::int64_t version_ = 0;
    int dropEveryNthDelta_;
    std::uint64_t deltaCount_;
};

class StubRouter {
  public:
    // `sources`: ADDRESS:PORT of discovery or of distributors.
    StubRouter(transport::EventLoop& loop, transport::BufferPool& pool, std::uint32_t routerNumber,
               protocol::StartupConfig config, const std::vector<std::string>& sources,
               int dropEveryNthDelta);

    // Drops the list and reconnects, as a new process does.
    void restart();
    // Does the work of one iteration of a real router's event loop. Returns a record if another
    // list version is in force afterwards.
    std::optional<scale::PropagationRecord> runIteration();

    bool hasList() const { return currentVersion_ > 0; }
    bool moduleMatchesList() { return dispatcher_->moduleMatchesList(); }
    std::uint64_t versionDecreases() const { return versionDecreases_; }
    std::uint64_t pollCount() const { return pollsBeforeRestart_ + watcher_->pollCount(); }

  private:
    void connect();

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    std::uint32_t routerNumber_;
    protocol::StartupConfig config_;
    std::vector<discovery::EndpointSource> sources_;
    int dropEveryNthDelta_;
    std::unique_ptr<ObservedDispatcher> dispatcher_;
    std::unique_ptr<discovery::EndpointWatcher> watcher_;
    std::int64_t currentVersion_ = 0;  // version of the list in force; 0: none
    std::int64_t highestVersion_ = 0;  // highest version that was in force, also before restarts
    std::uint64_t versionDecreases_ = 0;
    std::uint64_t pollsBeforeRestart_ = 0;
};

}  // namespace poppyscale::testbed::stub_routers
