// A stub router: the list watch, the core and the decision module of a real one, without clients.
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

// The core itself, and what it was handed.
class ObservedDispatcher : public proxy::RequestDispatcher {
  public:
    // By a known mistake every `loseEveryList`th list of changes is lost, 0 for none. `listsBefore` of them
    // are taken as counted, so that not all routers lose the same.
    ObservedDispatcher(transport::EventLoop& loop, transport::BufferPool& pool,
                       const protocol::StartupConfig& start, int loseEveryList, std::uint64_t listsBefore);

    void onEndpointList(EndpointUpdateKind kind, const protocol::EndpointList& roster) override;

    // Of the list that was handed over last; 0 without one.
    std::int64_t version() const { return version_; }
    std::uint64_t digest() const { return image_.digest(); }
    // Whether the decision module holds the servers that it was handed.
    bool moduleAgrees() { return image_.agrees(endpointStatuses()); }

  private:
    ListImage image_;
    std::int64_t version_ = 0;
    int loseEveryList_;
    std::uint64_t lists_;
};

class StubRouter {
  public:
    // `sources` are discovery alone or distributors, each ADDRESS:PORT.
    StubRouter(transport::EventLoop& loop, transport::BufferPool& pool, std::uint32_t number,
               protocol::StartupConfig start, const std::vector<std::string>& sources, int loseEveryList);

    // Forgets its list and connects anew, as a new process does.
    void restart();
    // What a turn of a real router's loop does. A record where another list is in force after it.
    std::optional<scale::PropagationRecord> turn();

    bool hasList() const { return inForce_ > 0; }
    bool moduleAgrees() { return core_->moduleAgrees(); }
    std::uint64_t versionsFallen() const { return fallen_; }
    std::uint64_t calls() const { return callsBefore_ + watch_->pollCount(); }

  private:
    void start();

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    std::uint32_t number_;
    protocol::StartupConfig start_;
    std::vector<discovery::EndpointSource> sources_;
    int loseEveryList_;
    std::unique_ptr<ObservedDispatcher> core_;
    std::unique_ptr<discovery::EndpointWatcher> watch_;
    std::int64_t inForce_ = 0;  // version
    std::int64_t highest_ = 0;
    std::uint64_t fallen_ = 0;
    std::uint64_t callsBefore_ = 0;
};

}  // namespace poppyscale::testbed::stub_routers
