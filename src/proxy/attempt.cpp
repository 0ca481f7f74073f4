#include "proxy/attempt.hpp"

#include <algorithm>
#include <utility>

#include "proxy/upstream_server.hpp"

namespace poppyscale::proxy {
namespace {

AttemptProgress::Deadlines deadlinesOf(const Attempt::Parameters& parameters) {
    return {.connection = std::min(parameters.deadline, parameters.latestStart),
            .responseStart = parameters.deadline,
            .request = std::max(parameters.deadline, parameters.requestDeadline)};
}

}  // namespace

Attempt::Attempt(transport::EventLoop& loop, const protocol::Request& message, UpstreamServer& server,
                 const Parameters& parameters)
    : requestId_(parameters.requestId),
      number_(parameters.number),
      message_(message),
      server_(server),
      startedAt_(parameters.startedAt),
      deadline_(parameters.deadline),
      latestStart_(parameters.latestStart),
      sentAt_(parameters.startedAt),
      progress_(deadlinesOf(parameters)),
      body_(parameters.body),
      timeout_(loop, [this] { server_.onTimeLimit(*this); }) {}

RequestBody* Attempt::takeBody() { return std::exchange(body_, nullptr); }

void Attempt::onRequestBegun(bool isStreamed) {
    progress_.onRequestBegun(isStreamed, transport::EventLoop::now());
    startTimeout();
}

void Attempt::onRequestPart(Nanos requestDeadline) {
    progress_.onRequestPart(requestDeadline, transport::EventLoop::now());
    startTimeout();
}

void Attempt::onRequestSent(Nanos requestDeadline) {
    sentAt_ = transport::EventLoop::now();
    progress_.onRequestSent(requestDeadline);
    startTimeout();
}

void Attempt::onResponseBytes(std::size_t count) {
    progress_.onResponseBytes(count, transport::EventLoop::now());
    startTimeout();
}

void Attempt::onForwarding(std::size_t length) {
    progress_.onForwarding(length, transport::EventLoop::now());
    startTimeout();
}

void Attempt::pause() {
    progress_.pause();
    startTimeout();
}

void Attempt::resume() {
    progress_.resume(transport::EventLoop::now());
    startTimeout();
}

void Attempt::startTimeout() { timeout_.start(progress_.phaseEnd()); }

}  // namespace poppyscale::proxy
