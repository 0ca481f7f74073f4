// Writes the replies of the testbed's cache servers and origin to the connections of routers.
#pragma once

#include <cstddef>
#include <string>

#include "testbed/emulator/emulated_deployment.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::testbed {

// Writes one reply after the other to `connection`, which must outlive it: at once, slowly or only in part,
// as the reply's delivery says.
class ReplyWriter {
  public:
    ReplyWriter(transport::EventLoop& loop, transport::Connection& connection, bool isOrigin)
        : connection_(connection), isOrigin_(isOrigin), partTimer_(loop, [this] { sendPart(); }) {}

    void write(const Reply& reply);
    // The reply that is still being sent; null if there is none, or if its server has stopped in the middle
    // of it.
    const Reply* replyInProgress() const {
        return rest_.empty() || reply_.delivery.isStopped() ? nullptr : &reply_;
    }
    // Bytes of the value and its end that were sent of the reply in progress.
    std::size_t sentBytes() const { return sentBytes_; }

  private:
    std::string wholeText(const Reply& reply) const;
    // Sets the rest of a reply with a long value, and returns its head.
    std::string splitReply(const Reply& reply);
    void writeStopped(const std::string& head);
    void sendPart();

    transport::Connection& connection_;
    const bool isOrigin_;
    Reply reply_;
    std::string rest_;  // of the reply after its head; empty without one
    std::size_t valueLength_ = 0;
    std::size_t sentBytes_ = 0;  // of `rest_`
    transport::Timer partTimer_;
};

}  // namespace poppyscale::testbed
