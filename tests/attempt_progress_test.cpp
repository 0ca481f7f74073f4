// The time limit of each phase of an attempt, and values that are streamed after a part of them was buffered.
#include "proxy/attempt_progress.hpp"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

#include "protocol/http_response.hpp"
#include "protocol/resp.hpp"

using namespace poppyscale;
using proxy::AttemptPhase;
using proxy::AttemptProgress;
using proxy::kFinalResponseGrace;

namespace {

constexpr Nanos kSecond = 1'000 * kMillisecond;
constexpr AttemptProgress::Deadlines kDeadlines{
    .connection = 1 * kSecond, .responseStart = 2 * kSecond, .request = 4 * kSecond};

AttemptProgress writtenAttempt() {
    AttemptProgress progress(kDeadlines);
    progress.onRequestBegun(false, kSecond / 2);
    return progress;
}

}  // namespace

// Guards against a limit of one phase that still acts in the next.
TEST_CASE("each phase of an attempt has its own time limit") {
    AttemptProgress progress(kDeadlines);
    CHECK(progress.phase() == AttemptPhase::awaitingConnection);
    CHECK(progress.nextLimit(0) == kDeadlines.connection);
    progress.onRequestBegun(false, kSecond / 2);
    CHECK(progress.phase() == AttemptPhase::awaitingResponse);
    CHECK(progress.nextLimit(kSecond / 2) == kDeadlines.responseStart);
    progress.onResponseBytes(1, kSecond);
    CHECK(progress.phase() == AttemptPhase::receivingResponse);
    CHECK(progress.nextLimit(kSecond) == kDeadlines.request);
    CHECK_FALSE(progress.isExpired(kDeadlines.responseStart));
    CHECK_FALSE(progress.isOverdue(kDeadlines.request - 1));
    CHECK(progress.isOverdue(kDeadlines.request));
    CHECK_FALSE(progress.isExpired(kDeadlines.request));
    CHECK(progress.nextLimit(kDeadlines.request) == kDeadlines.request + kFinalResponseGrace);
    CHECK(progress.isExpired(kDeadlines.request + kFinalResponseGrace));
    progress.onForwarding(100'000, kDeadlines.request);
    CHECK(progress.phase() == AttemptPhase::forwardingResponse);
    CHECK_FALSE(progress.isExpired(kDeadlines.request + kFinalResponseGrace));
    CHECK_FALSE(progress.isOverdue(10 * kSecond));
}

TEST_CASE("a value that is passed on may pause, but is not passed on for ever") {
    AttemptProgress progress = writtenAttempt();
    progress.onResponseBytes(10'000, kSecond);
    progress.onForwarding(100'000, kSecond);
    CHECK(progress.nextLimit(kSecond) == 6 * kSecond);
    progress.onResponseBytes(1, 5 * kSecond);
    CHECK(progress.nextLimit(5 * kSecond) == 10 * kSecond);
    progress.pause();
    CHECK_FALSE(progress.isExpired(60 * kSecond));
    progress.resume(60 * kSecond);
    CHECK(progress.nextLimit(60 * kSecond) == 65 * kSecond);
    progress.onResponseBytes(1, 128 * kSecond);
    CHECK_FALSE(progress.isExpired(128 * kSecond));
    CHECK(progress.isExpired(129 * kSecond));
    progress.pause();
    CHECK(progress.isExpired(129 * kSecond));
}

TEST_CASE("a streamed request has until its client's deadline which counts from the last byte sent") {
    AttemptProgress progress(kDeadlines);
    progress.onRequestBegun(true, kSecond / 2);
    CHECK(progress.phase() == AttemptPhase::sendingRequest);
    progress.onRequestPart(20 * kSecond, 3 * kSecond);
    CHECK(progress.nextLimit(3 * kSecond) == 8 * kSecond);
    progress.onRequestPart(20 * kSecond, 16 * kSecond);
    CHECK(progress.nextLimit(16 * kSecond) == 20 * kSecond);
    progress.onRequestSent(21 * kSecond);
    CHECK(progress.phase() == AttemptPhase::awaitingResponse);
    CHECK(progress.nextLimit(17 * kSecond) == 21 * kSecond);
}

TEST_CASE("a buffered value is streamed from any byte on and stays whole") {
    const std::string value = "0123456789";
    const std::string head = "*3\r\n$10\r\n";
    const std::string response = head + value + "\r\n$3\r\nhit\r\n$-1\r\n";
    const protocol::RespDecoder::Limits limits{.maxBulkLength = 64, .maxStreamedLength = 128};
    for (std::size_t split = 1; split < response.size(); ++split) {
        CAPTURE(split);
        protocol::RespDecoder decoder(limits);
        std::string_view before = std::string_view(response).substr(0, split);
        std::string_view after = std::string_view(response).substr(split);
        using State = protocol::RespDecoder::State;
        CHECK(decoder.feed(before) == State::more);
        const auto begun = decoder.beginStream();
        CHECK(begun.has_value() == (split > head.size()));
        if (!begun) continue;
        CHECK(begun->length == value.size());
        CHECK_FALSE(decoder.beginStream().has_value());
        std::string streamed = begun->bytes;
        State state = decoder.feed(after);
        for (; state == State::streamChunk; state = decoder.feed(after)) streamed += decoder.chunk();
        CHECK(state == State::complete);
        CHECK(streamed == value);
        CHECK(decoder.takeValue().items.size() == 3);
    }
}

TEST_CASE("a buffered HTTP body is streamed if its length is known") {
    for (const bool hasLength : {true, false}) {
        protocol::HttpResponse response(64, 128);
        const std::string framing = hasLength ? "Content-Length: 10" : "Transfer-Encoding: chunked";
        response.feed("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
        CHECK_FALSE(response.beginStream().has_value());
        response.feed(hasLength ? "0123" : "4\r\n01");
        const auto begun = response.beginStream();
        CHECK(begun.has_value() == hasLength);
        if (!begun) continue;
        CHECK(begun->length == 10);
        CHECK(begun->bytes == "0123");
        CHECK(response.feed("456789") == protocol::HttpResponse::State::complete);
        CHECK(response.chunk() == "456789");
    }
}
