#include "proxy/request_pipeline.hpp"

#include <algorithm>

namespace poppyscale::proxy {

void RequestPipeline::remove(const PipelinedRequest& request) {
    unsentBytes_ -= request.unsent().size();
    if (request.isAwaiting()) --awaiting_;
    const auto it = std::find_if(requests_.begin(), requests_.end(),
                                 [&](const PipelinedRequest& candidate) { return &candidate == &request; });
    requests_.erase(it);
}

void RequestPipeline::respond(PipelinedRequest& request, std::string_view text) {
    if (request.isAwaiting()) --awaiting_;
    request.respond(text);
    unsentBytes_ += text.size();
}

void RequestPipeline::beginStream(PipelinedRequest& request, std::string_view head) {
    --awaiting_;
    request.append(head);
    unsentBytes_ += head.size();
}

bool RequestPipeline::replaceLargest(std::string_view text) {
    PipelinedRequest* largest = nullptr;
    for (PipelinedRequest& request : requests_)
        if (request.isComplete() && (!largest || request.unsent().size() > largest->unsent().size()))
            largest = &request;
    if (!largest || largest->unsent().size() <= text.size()) return false;
    unsentBytes_ -= largest->unsent().size();
    largest->replaceResponse(text);
    unsentBytes_ += text.size();
    return true;
}

void RequestPipeline::append(PipelinedRequest& request, std::string_view text) {
    request.append(text);
    unsentBytes_ += text.size();
}

RequestPipeline::Output RequestPipeline::takeOutput(const PipelinedRequest* heldBack, std::size_t maxBytes) {
    Output output;
    while (!requests_.empty() && !output.closesConnection && output.bytes.size() < maxBytes) {
        PipelinedRequest& front = requests_.front();
        if (front.isAwaiting() || &front == heldBack) break;
        output.bytes += front.unsent();
        if (front.isStreaming()) {
            front.clearUnsent();
            break;
        }
        output.closesConnection = front.closesConnection();
        requests_.pop_front();
    }
    unsentBytes_ -= output.bytes.size();
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
