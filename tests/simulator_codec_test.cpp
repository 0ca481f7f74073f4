#include <doctest/doctest.h>

#include <string>

#include "simulator_adapter/codec.hpp"

using namespace poppyscale;
using namespace poppyscale::simulator_adapter;

namespace {
Line lineOf(std::string_view text) {
    Line line;
    line.split(text);
    return line;
}
}  // namespace

TEST_CASE("malformed lines are named, not survived by luck") {
    CHECK_THROWS_AS(lineOf("HELLO\twho=1"), ParseError);
    CHECK_THROWS_AS(lineOf("VERDICT\twho"), ParseError);
    CHECK_THROWS_AS(readIncomingRequest(lineOf("ACCEPT\tref=12\tprofile=p\tnotAfterUs=1")), ParseError);
    CHECK_THROWS_AS(readIncomingRequest(lineOf("ACCEPT\tref=0123456789abcdef\tprofile=p")), ParseError);
    CHECK_THROWS_AS(readIncomingRequest(
                        lineOf("ACCEPT\tref=0123456789abcdef\tprofile=p\tnotAfterUs=9223372036854775807")),
                    ParseError);
    CHECK_THROWS_AS(readAttemptResult(lineOf("VERDICT\tref=0123456789abcdef\tverdict=well")), ParseError);
    CHECK_THROWS_AS(readEndpoint(lineOf("ENTRY\tserver=a\tavailability=7")), ParseError);
    CHECK_THROWS_AS(readEndpoint(lineOf("ENTRY\tserver=a\tavailability=1\theft=nan")), ParseError);
    CHECK_THROWS_WITH_AS(readPolicySettings(lineOf("CONFIGURE\twho=1\tseed=1\tmembershipMode=pushed")),
                         "CONFIGURE: missing setting replicasOfMe", ParseError);
}

TEST_CASE("times that could overflow or lie before the clock's start are refused") {
    CHECK_THROWS_AS(readAttemptResult(lineOf("VERDICT\tref=0123456789abcdef\tverdict=pass\tspentUs=-1")),
                    ParseError);
    CHECK_THROWS_AS(readEndpoint(lineOf("ENTRY\tserver=a\tavailability=1\tcameUpUs=4611686018427387904")),
                    ParseError);
}

TEST_CASE("unknown fields are ignored and bits are read as bits") {
    const Line line = lineOf("ACCEPT\twho=3\tnew=x\tref=00000000000000ff\tprofile=p\tnotAfterUs=7\tbits=5");
    const IncomingRequest arrival = readIncomingRequest(line);
    CHECK(arrival.id == 255);
    CHECK(arrival.isWrite);
    CHECK(arrival.deadline == 7000);
}

TEST_CASE("actions are written as the wire has them") {
    std::string reply;
    Writer writer(reply, 3);
    writer.startAttempt(255, "10.0.0.1:9000", 5000, kNever);
    writer.reject(1, 0);
    writer.scheduleWakeup(1001);
    CHECK(reply ==
          "HAND_OFF\twho=3\tref=00000000000000ff\tserver=10.0.0.1:9000\tnotPastUs=5\n"
          "OVERLOAD_REPLY\twho=3\tref=0000000000000001\n"
          "WAKE_AT\twho=3\tfireAtUs=2\ttag=0\n");
}
