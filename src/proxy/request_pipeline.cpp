#include "proxy/request_pipeline.hpp"

#include <algorithm>

namespace poppyscale::proxy {

void RequestPipeline::remove(const PipelinedRequest& request) {
    countOf(request) -= request.chargedBytes();
    if (request.isAwaiting()) --awaiting_;
    const auto it = std::find_if(requests_.begin(), requests_.end(),
                                 [&](const PipelinedRequest& candidate) { return &candidate == &request; });
    requests_.erase(it);
}

void RequestPipeline::respond(PipelinedRequest& request, std::string_view text) {
    if (request.isAwaiting()) --awaiting_;
    update(request, [&] { request.respond(text); });
}

void RequestPipeline::beginStream(PipelinedRequest& request, std::string_view head) {
    --awaiting_;
    append(request, head);
}

void RequestPipeline::append(PipelinedRequest& request, std::string_view text) {
    update(request, [&] { request.append(text); });
}

void RequestPipeline::collect(PipelinedRequest& request) {
    update(request, [&] { request.collect(); });
}

void RequestPipeline::stopCollecting(PipelinedRequest& request) {
    update(request, [&] { request.stopCollecting(); });
}

void RequestPipeline::replace(PipelinedRequest& request, std::string_view text) {
    update(request, [&] { request.replaceResponse(text); });
}

// A response whose source is detached is in the middle of a call from it.
bool RequestPipeline::replaceLargest(std::string_view text) {
    PipelinedRequest* largest = nullptr;
    for (PipelinedRequest& request : requests_) {
        const bool isReplaceable =
            !request.hasBegun() && !request.isCollected() && (request.isComplete() || request.hasSource());
        if (isReplaceable && (!largest || request.chargedBytes() > largest->chargedBytes()))
            largest = &request;
    }
    if (!largest || largest->chargedBytes() <= text.size()) return false;
    replace(*largest, text);
    return true;
}

PipelinedRequest* RequestPipeline::streamingFront() {
    const bool isStreaming = !requests_.empty() && requests_.front().isStreaming();
    return isStreaming ? &requests_.front() : nullptr;
}

RequestPipeline::Output RequestPipeline::takeOutput(const PipelinedRequest* heldBack, std::size_t maxBytes) {
    Output output;
    while (!requests_.empty() && !output.closesConnection && output.bytes.size() < maxBytes) {
        PipelinedRequest& front = requests_.front();
        const bool isCollecting = front.isStreaming() && !front.isDirect();
        if (front.isAwaiting() || isCollecting || &front == heldBack) break;
        const std::string_view part = front.unsent().substr(0, maxBytes - output.bytes.size());
        output.bytes += part;
        front.onTaken(part.size());
        if (!front.unsent().empty()) break;
        if (front.isStreaming()) {
            update(front, [&] { front.clearUnsent(); });
            break;
        }
        output.closesConnection = front.closesConnection();
        countOf(front) -= front.chargedBytes();
        requests_.pop_front();
    }
    return output;
}

void RequestPipeline::resumeFront() {
    if (!requests_.empty() && requests_.front().hasPausedSource()) requests_.front().resumeSource();
}

bool RequestPipeline::isStreaming() const {
    return std::any_of(requests_.begin(), requests_.end(),
                       [](const PipelinedRequest& request) { return request.isStreaming(); });
}

bool RequestPipeline::hasPendingRequest() const {
    return std::any_of(requests_.begin(), requests_.end(),
                       [](const PipelinedRequest& request) { return request.pending() != nullptr; });
}

}  // namespace poppyscale::proxy
