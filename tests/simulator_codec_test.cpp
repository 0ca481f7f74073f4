#include <doctest/doctest.h>

#include <string>

#include "simulator_adapter/codec.hpp"

using namespace poppyscale;
using namespace poppyscale::simulator_adapter;

namespace {
Message messageOf(std::string_view line) {
    Message message;
    message.parse(line);
    return message;
}
}  // namespace

TEST_CASE("Malformed lines are rejected with an error that names the problem") {
    CHECK_THROWS_AS(messageOf("HELLO\twho=1"), ParseError);
    CHECK_THROWS_AS(messageOf("VERDICT\twho"), ParseError);
    CHECK_THROWS_AS(readIncomingRequest(messageOf("ACCEPT\tref=12\tprofile=p\tnotAfterUs=1")), ParseError);
    CHECK_THROWS_AS(readIncomingRequest(messageOf("ACCEPT\tref=0123456789abcdef\tprofile=p")), ParseError);
    CHECK_THROWS_AS(readIncomingRequest(
                        messageOf("ACCEPT\tref=0123456789abcdef\tprofile=p\tnotAfterUs=9223372036854775807")),
                    ParseError);
    CHECK_THROWS_AS(readAttemptResult(messageOf("VERDICT\tref=0123456789abcdef\tverdict=well")), ParseError);
    CHECK_THROWS_AS(readEndpoint(messageOf("ENTRY\tserver=a\tavailability=7")), ParseError);
    CHECK_THROWS_AS(readEndpoint(messageOf("ENTRY\tserver=a\tavailability=1\theft=nan")), ParseError);
    CHECK_THROWS_WITH_AS(readPolicySettings(messageOf("CONFIGURE\twho=1\tseed=1\tmembershipMode=pushed")),
                         "CONFIGURE: missing setting replicasOfMe", ParseError);
}

TEST_CASE("Rejects times that are negative or could overflow in nanoseconds") {
    CHECK_THROWS_AS(readAttemptResult(messageOf("VERDICT\tref=0123456789abcdef\tverdict=pass\tspentUs=-1")),
                    ParseError);
    CHECK_THROWS_AS(readEndpoint(messageOf("ENTRY\tserver=a\tavailability=1\tcameUpUs=4611686018427387904")),
                    ParseError);
}

TEST_CASE("Unknown fields are ignored, and the flags in the field bits are read separately") {
    const Message message =
        messageOf("ACCEPT\twho=3\tnew=x\tref=00000000000000ff\tprofile=p\tnotAfterUs=7\tbits=5");
    const IncomingRequest incoming = readIncomingRequest(message);
    CHECK(incoming.id == 255);
    CHECK(incoming.isWrite);
    CHECK(incoming.deadline == 7000);
}

TEST_CASE("Actions are written as lines of the simulator's protocol") {
    std::string reply;
    ActionWriter writer(reply, 3);
    writer.startAttempt(255, "10.0.0.1:9000", 5000, kNever);
    writer.reject(1, 0);
    writer.scheduleWakeup(1001);
    CHECK(reply ==
          "HAND_OFF\twho=3\tref=00000000000000ff\tserver=10.0.0.1:9000\tnotPastUs=5\n"
          "OVERLOAD_REPLY\twho=3\tref=0000000000000001\n"
          "WAKE_AT\twho=3\tfireAtUs=2\ttag=0\n");
}

TEST_CASE("All fields are read, even if they are shorter than the message's type") {
    const Message message = messageOf("VERDICT\ta=1\tb=2");
    CHECK(message.fields().size() == 2);
    CHECK(message.text("b") == "2");
    CHECK_THROWS_AS(messageOf("VERDICT\ta=1\t"), ParseError);
}
