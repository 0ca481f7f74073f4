// The requests of one client's connection that have not been responded to, in the order in which they came.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <string_view>

#include "proxy/pipelined_request.hpp"

namespace poppyscale::proxy {

// Responses may come in any order; they are written in the order of the requests. Owns the requests: a
// reference to one is valid until its response was taken or it is removed.
class RequestPipeline {
  public:
    PipelinedRequest& add(PipelinedRequest::Owner& owner) { return requests_.emplace_back(owner); }
    void remove(const PipelinedRequest& request);

    // Begins the response of a request with `text`, or adds to it.
    void respond(PipelinedRequest& request, std::string_view text);
    void append(PipelinedRequest& request, std::string_view text);

    struct Output {
        std::string bytes;
        bool closesConnection = false;  // behind these bytes
    };
    // Takes all that may be written now: up to the first response that is incomplete, or the one to
    // `heldBack`, which may be null.
    Output takeOutput(const PipelinedRequest* heldBack);
    // Resumes the response that is being written, if its source waits for that.
    void resumeFront();

    bool isEmpty() const { return requests_.empty(); }
    std::size_t size() const { return requests_.size(); }
    bool isFront(const PipelinedRequest& request) const { return &request == &requests_.front(); }
    // Bytes of responses that wait for one ahead of them.
    std::size_t unsentBytes() const { return unsentBytes_; }
    bool isStreaming() const;
    bool hasPendingRequest() const;
    // The client goes away: cancels what is being streamed, and calls `disconnect` with each request that is
    // open at the dispatcher, in order.
    template <class Disconnect>
    void cancelAll(Disconnect disconnect) {
        for (PipelinedRequest& request : requests_) {
            request.cancelSource();
            if (request.pending()) disconnect(*request.pending());
        }
    }

  private:
    std::list<PipelinedRequest> requests_;
    std::size_t unsentBytes_ = 0;
};

}  // namespace poppyscale::proxy
