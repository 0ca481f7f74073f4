// The requests of one client's connection whose responses are not written yet, in order of arrival.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <string_view>

#include "proxy/pipelined_request.hpp"

namespace poppyscale::proxy {

// Responses may arrive in any order; they are written in the order of the requests. Owns the
// requests: a reference to one is valid until its whole response is taken, or the request is
// removed.
class RequestPipeline {
  public:
    PipelinedRequest& add(PipelinedRequest::Owner& owner) {
        ++awaiting_;
        return requests_.emplace_back(owner);
    }
    void remove(const PipelinedRequest& request);

    // `respond` sets the response to a request, or the header of a streamed one; `append` adds to it.
    void respond(PipelinedRequest& request, std::string_view text);
    void append(PipelinedRequest& request, std::string_view text);
    // `request` is about to stream its response.
    void beginStream(PipelinedRequest& request, std::string_view head);
    // Collects the rest of a streamed response.
    void collect(PipelinedRequest& request);
    // Delivers directly what has been collected, and the rest.
    void stopCollecting(PipelinedRequest& request);
    // Replaces a response of which nothing is written.
    void replace(PipelinedRequest& request, std::string_view text);
    // Replaces the largest response of which nothing is written by `text`. Returns false if none takes
    // more memory than `text`.
    bool replaceLargest(std::string_view text);

    struct Output {
        std::string bytes;
        bool closesConnection = false;  // the connection is closed after these bytes
    };
    // Takes up to `maxBytes` that may be written now: the responses up to the first incomplete one, of
    // which the available part is taken if it is delivered directly. Stops before the response to
    // `heldBack`, which may be null.
    Output takeOutput(const PipelinedRequest* heldBack, std::size_t maxBytes);
    // Resumes the source of the first request's response, if it is paused.
    void resumeFront();

    bool isEmpty() const { return requests_.empty(); }
    std::size_t size() const { return requests_.size(); }
    // The first request, if its response is being streamed; else null.
    PipelinedRequest* streamingFront();
    bool isFront(const PipelinedRequest& request) const { return &request == &requests_.front(); }
    // Bytes of responses that have not been taken: those that are or were collected, and the others.
    std::size_t collectedBytes() const { return collectedBytes_; }
    std::size_t waitingBytes() const { return waitingBytes_; }
    // Requests whose response is still to come.
    std::size_t awaiting() const { return awaiting_; }
    // The same without the first request of the connection.
    std::size_t awaitingBehindFront() const {
        const bool isFrontAwaiting = !requests_.empty() && requests_.front().isAwaiting();
        return isFrontAwaiting ? awaiting_ - 1 : awaiting_;
    }
    bool isStreaming() const;
    bool hasPendingRequest() const;
    // For a client that is gone: cancels the sources of streamed responses, and calls `disconnect`
    // with each request that is pending at the dispatcher, in order.
    template <class Disconnect>
    void cancelAll(Disconnect disconnect) {
        for (PipelinedRequest& request : requests_) {
            request.cancelSource();
            if (request.pending()) disconnect(*request.pending());
        }
    }

  private:
    // Applies a change of `request`'s response, and counts its bytes anew.
    template <class Change>
    void update(PipelinedRequest& request, Change change) {
        countOf(request) -= request.chargedBytes();
        change();
        countOf(request) += request.chargedBytes();
    }
    std::size_t& countOf(const PipelinedRequest& request) {
        return request.isCollected() ? collectedBytes_ : waitingBytes_;
    }

    std::list<PipelinedRequest> requests_;
    std::size_t waitingBytes_ = 0;    // of all responses but the collected ones
    std::size_t collectedBytes_ = 0;  // of collected responses, with what is reserved for them
    std::size_t awaiting_ = 0;        // requests whose response is still to come
};

}  // namespace poppyscale::proxy
