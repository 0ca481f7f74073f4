#include "proxy/attempt.hpp"

#include <utility>

#include "proxy/upstream_server.hpp"

namespace poppyscale::proxy {

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
      body_(parameters.body),
      timeout_(loop, [this] { server_.abandon(*this); }) {}

RequestBody* Attempt::takeBody() { return std::exchange(body_, nullptr); }

void Attempt::onResponseBytes(std::size_t count, Nanos now) {
    responseBytes_ += count;
    lastResponseByteAt_ = now;
}

void Attempt::onBodySent(Nanos now, Nanos deadline) {
    sentAt_ = now;
    timeout_.start(deadline);
}

}  // namespace poppyscale::proxy
