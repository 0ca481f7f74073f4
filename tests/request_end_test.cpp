// Which requests ended late or without a final response, in the metrics and the log.
#include <doctest/doctest.h>

#include <string>

#include "ctl/control_client.hpp"
#include "fixtures.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

constexpr useconds_t kStoppedUs = 300'000;  // longer than the requests' timeout

// Lets a read wait at its cache server while the router's process is stopped beyond the read's deadline.
Socket readAtStoppedRouter(RouterFixture& fixture, Socket& connection) {
    Socket client = fixture.client();
    client.send(get("plum", "c=read,t=north,d=200"));
    connection = fixture.caches[0].accept();
    connection.readCommand();
    fixture.program.signal(SIGSTOP);
    usleep(kStoppedUs);
    return client;
}

nlohmann::json requestEnds(const RouterFixture& fixture) {
    return ctl::sendRequest(fixture.program.operatorSocketPath(), {{"do", "figures"}}, kWaitTimeoutMs)
        .at("request_ends");
}

}  // namespace

TEST_CASE("a late final response and a client that leaves after its deadline are counted and logged") {
    for (const bool hasClientLeft : {false, true}) {
        CAPTURE(hasClientLeft);
        RouterFixture fixture(1, minimalStartConfig(), "[admin]\nsocket = \"{}/admin.sock\"\n");
        Socket connection(-1);
        Socket client = readAtStoppedRouter(fixture, connection);
        if (hasClientLeft) client.close();
        fixture.program.signal(SIGCONT);
        if (!hasClientLeft) CHECK(client.readResponse().starts_with("-BUSY"));
        usleep(50'000);
        const auto ends = requestEnds(fixture);
        CHECK(ends.at("late_responses") == (hasClientLeft ? 0 : 1));
        CHECK(ends.at("clients_left") == (hasClientLeft ? 1 : 0));
        CHECK(ends.at("clients_left_overdue") == (hasClientLeft ? 1 : 0));
        const std::string log = fixture.program.log();
        const std::string line = hasClientLeft
                                     ? "client left without a final response: id=9b1f-plum class=read"
                                     : "late final response: kind=rejected id=9b1f-plum class=read";
        CHECK_MESSAGE(log.find(line) != std::string::npos, log);
        if (hasClientLeft) CHECK_MESSAGE(log.find("phase=awaiting_response") != std::string::npos, log);
    }
}
