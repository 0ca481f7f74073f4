#include "proxy/upstream_codec.hpp"

#include <utility>

#include "protocol/http_response.hpp"
#include "protocol/resp.hpp"

namespace poppyscale::proxy {
namespace {

constexpr std::size_t kMaxBufferedValue = 64 * 1024;  // bytes; longer values are streamed
constexpr std::size_t kMaxValue = 4 * 1024 * 1024;    // bytes

constexpr protocol::RespDecoder::Limits kResponseLimits{.maxBulkLength = kMaxBufferedValue,
                                                        .maxItems = 16,
                                                        .maxDepth = 3,
                                                        .maxValueSize = 2 * kMaxBufferedValue,
                                                        .commandsOnly = false,
                                                        .maxStreamedLength = kMaxValue,
                                                        .streamedItem = 0};

class CacheCodec : public UpstreamCodec {
  public:
    std::string encode(const protocol::Request& request, std::string_view /*host*/,
                       Nanos timeLeft) const override {
        return protocol::cacheRequest(request, timeLeft);
    }
    std::string_view bodyTerminator() const override { return protocol::kBulkTerminator; }

    State feed(std::string_view& bytes) override {
        using DecoderState = protocol::RespDecoder::State;
        DecoderState state = DecoderState::streamBegins;
        while (state == DecoderState::streamBegins) state = decoder_.feed(bytes);
        if (state == DecoderState::streamChunk) return State::chunk;
        if (state == DecoderState::malformed) return State::malformed;
        if (state == DecoderState::more) return State::more;
        isReusable_ = bytes.empty();
        return State::complete;
    }
    State onConnectionEnd() override { return State::malformed; }
    std::size_t streamedLength() const override { return decoder_.streamedLength(); }
    std::string_view chunk() const override { return decoder_.chunk(); }
    protocol::AttemptResponse takeResponse() override {
        return protocol::readCacheResponse(decoder_.takeValue());
    }
    bool isReusable() const override { return isReusable_; }
    std::size_t expectedBytes() const override { return decoder_.expectedBytes(); }
    void clear() override {}

  private:
    protocol::RespDecoder decoder_{kResponseLimits};
    bool isReusable_ = false;  // no bytes followed the response
};

class OriginCodec : public UpstreamCodec {
  public:
    std::string encode(const protocol::Request& request, std::string_view host,
                       Nanos timeLeft) const override {
        return protocol::originRequest(request, host, timeLeft);
    }
    std::string_view bodyTerminator() const override { return {}; }

    // The parser consumes all bytes at once, so they may hold a chunk and also complete the response.
    // The chunk is reported first, and the parser's state by the next call.
    State feed(std::string_view& bytes) override {
        if (isStatePending_) {
            isStatePending_ = false;
            return state_;
        }
        state_ = stateOf(response_.feed(bytes));
        bytes = {};
        isStatePending_ = !response_.chunk().empty();
        return isStatePending_ ? State::chunk : state_;
    }
    State onConnectionEnd() override { return stateOf(response_.end()); }
    std::size_t streamedLength() const override { return response_.streamedLength(); }
    std::string_view chunk() const override { return response_.chunk(); }
    protocol::AttemptResponse takeResponse() override {
        const int status = response_.status();
        if (status == 200) return {AttemptOutcome::succeeded, std::move(response_.body()), true};
        const bool wasNotExecuted = (status == 503 || status == 504) && response_.wasNotExecuted();
        const auto outcome = wasNotExecuted ? AttemptOutcome::overloaded : AttemptOutcome::failed;
        return {outcome, {}, status >= 500};
    }
    bool isReusable() const override { return response_.isKeepAlive(); }
    std::size_t expectedBytes() const override { return response_.expectedBytes(); }
    void clear() override { response_.clear(); }

  private:
    static State stateOf(protocol::HttpResponse::State state) {
        switch (state) {
            case protocol::HttpResponse::State::more:
                return State::more;
            case protocol::HttpResponse::State::complete:
                return State::complete;
            case protocol::HttpResponse::State::malformed:
                break;
        }
        return State::malformed;
    }

    protocol::HttpResponse response_{kMaxBufferedValue, kMaxValue};
    State state_ = State::more;
    bool isStatePending_ = false;  // `state_` is reported by the next `feed`, after a chunk
};

}  // namespace

std::unique_ptr<UpstreamCodec> makeCacheCodec() { return std::make_unique<CacheCodec>(); }

std::unique_ptr<UpstreamCodec> makeOriginCodec() { return std::make_unique<OriginCodec>(); }

}  // namespace poppyscale::proxy
