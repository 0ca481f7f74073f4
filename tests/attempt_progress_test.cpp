// The time limit of each phase of an attempt, and whether a value is still arriving.
#include "proxy/attempt_progress.hpp"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

#include "protocol/http_response.hpp"
#include "protocol/resp.hpp"
#include "proxy/arrival_progress.hpp"

using namespace poppyscale;
using proxy::ArrivalProgress;
using proxy::AttemptPhase;
using proxy::AttemptProgress;

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
    CHECK(progress.phaseEnd() == kDeadlines.connection);
    progress.onRequestBegun(false, kSecond / 2);
    CHECK(progress.phase() == AttemptPhase::awaitingResponse);
    CHECK(progress.phaseEnd() == kDeadlines.responseStart);
    progress.onResponseBytes(1, kSecond);
    CHECK(progress.phase() == AttemptPhase::receivingResponse);
    CHECK(progress.phaseEnd() == kDeadlines.request);
    CHECK_FALSE(progress.isExpired(kDeadlines.responseStart));
    CHECK_FALSE(progress.isExpired(kDeadlines.request - 1));
    CHECK(progress.isExpired(kDeadlines.request));
    // Bytes that arrive at the last moment postpone nothing.
    progress.onResponseBytes(1, kDeadlines.request - 1);
    CHECK(progress.phaseEnd() == kDeadlines.request);
    progress.onForwarding(100'000, kDeadlines.request - 1);
    CHECK(progress.phase() == AttemptPhase::forwardingResponse);
    CHECK_FALSE(progress.isExpired(kDeadlines.request));
    CHECK_FALSE(progress.isExpired(kDeadlines.request + kSecond));
}

TEST_CASE("a value that is passed on may pause, but is not passed on for ever") {
    AttemptProgress progress = writtenAttempt();
    progress.onResponseBytes(10'000, kSecond);
    progress.onForwarding(100'000, kSecond);
    CHECK(progress.phaseEnd() == 6 * kSecond);
    progress.onResponseBytes(1, 5 * kSecond);
    CHECK(progress.phaseEnd() == 10 * kSecond);
    progress.pause();
    CHECK_FALSE(progress.isExpired(60 * kSecond));
    progress.resume(60 * kSecond);
    CHECK(progress.phaseEnd() == 65 * kSecond);
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
    CHECK(progress.phaseEnd() == 8 * kSecond);
    progress.onRequestPart(20 * kSecond, 16 * kSecond);
    CHECK(progress.phaseEnd() == 20 * kSecond);
    progress.onRequestSent(21 * kSecond);
    CHECK(progress.phase() == AttemptPhase::awaitingResponse);
    CHECK(progress.phaseEnd() == 21 * kSecond);
}

// Guards against passing on a part of a short value, which its client could not tell from a whole one.
TEST_CASE("a short value is given out only when it is whole wherever its bytes are split") {
    const std::string value = "0123456789";
    const std::string response = "*3\r\n$10\r\n" + value + "\r\n$3\r\nhit\r\n$-1\r\n";
    const protocol::RespDecoder::Limits limits{.maxBulkLength = 64, .maxStreamedLength = 128};
    for (std::size_t split = 1; split < response.size(); ++split) {
        CAPTURE(split);
        protocol::RespDecoder decoder(limits);
        std::string_view before = std::string_view(response).substr(0, split);
        std::string_view after = std::string_view(response).substr(split);
        using State = protocol::RespDecoder::State;
        CHECK(decoder.feed(before) == State::more);
        CHECK(decoder.streamedLength() == 0);
        CHECK(decoder.feed(after) == State::complete);
        const auto items = decoder.takeValue().items;
        CHECK(items.size() == 3);
        CHECK(items.at(0).text == value);
    }
}

TEST_CASE("a short HTTP body is given out only when it is whole with and without a length") {
    for (const bool hasLength : {true, false}) {
        protocol::HttpResponse response(64, 128);
        const std::string framing = hasLength ? "Content-Length: 10" : "Transfer-Encoding: chunked";
        response.feed("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
        CHECK(response.feed(hasLength ? "0123" : "4\r\n0123\r\n6\r\n") ==
              protocol::HttpResponse::State::more);
        CHECK(response.chunk().empty());
        CHECK(response.streamedLength() == 0);
        const auto end = response.feed(hasLength ? "456789" : "456789\r\n0\r\n\r\n");
        CHECK(end == protocol::HttpResponse::State::complete);
        CHECK(response.body() == "0123456789");
    }
}

// Guards against taking a server that has stopped, or sends single bytes for ever, for one that still sends.
TEST_CASE("a value is still arriving if its bytes pause no longer than usual and come fast enough") {
    constexpr Nanos kStart = 10 * kSecond;
    ArrivalProgress steady;
    steady.restart(kStart);
    for (int i = 0; i <= 20; ++i) steady.onBytes(2'000, kStart + i * 20 * kMillisecond);
    CHECK(steady.isArriving(kStart + 470 * kMillisecond));
    CHECK_FALSE(steady.isArriving(kStart + 490 * kMillisecond));

    ArrivalProgress bursts;
    bursts.restart(kStart);
    for (int i = 0; i <= 2; ++i) bursts.onBytes(10'000, kStart + i * 200 * kMillisecond);
    CHECK(bursts.isArriving(kStart + 640 * kMillisecond));
    CHECK_FALSE(bursts.isArriving(kStart + 660 * kMillisecond));

    ArrivalProgress stopped;
    stopped.restart(kStart);
    stopped.onBytes(100'000, kStart);
    CHECK(stopped.isArriving(kStart + 50 * kMillisecond));
    CHECK_FALSE(stopped.isArriving(kStart + 51 * kMillisecond));

    ArrivalProgress trickle;
    trickle.restart(kStart);
    for (int i = 0; i <= 20; ++i) trickle.onBytes(1, kStart + i * 20 * kMillisecond);
    CHECK_FALSE(trickle.isArriving(kStart + 400 * kMillisecond));
    trickle.restart(kStart + kSecond);
    CHECK(trickle.isArriving(kStart + kSecond + 10 * kMillisecond));
}
