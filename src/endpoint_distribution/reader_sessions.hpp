// The state of each reader's connection: whether the reader is admitted, what it waits for, and
// when it is due.
//
// A reader that does not receive its response slows down no other reader: it gets no further
// response until all of the last one is sent, and is closed after kDrainTimeout, or after
// kMaxUnsentTimeout if more than `maxUnsentBytes` are unsent. No reader gets more than one response
// in `batchInterval`.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "endpoint_distribution/options.hpp"
#include "endpoint_distribution/reader.hpp"
#include "endpoint_distribution/response_schedule.hpp"

namespace poppyscale::endpoint_distribution {

class ReaderSessions {
  public:
    // `options` and `schedule` have to outlive the sessions.
    ReaderSessions(const Options& options, ResponseSchedule& schedule)
        : options_(options), schedule_(schedule) {}

    void connect(Nanos now, ReaderId id);
    // These three functions ignore unknown readers. `unsent` is the number of bytes still to be
    // sent.
    void request(Nanos now, ReaderId id, const ReaderRequest& request);
    void recordUnsent(Nanos now, ReaderId id, std::size_t unsent);
    void close(ReaderId id);
    // The reader was answered; `unsent` bytes are still to be sent. The reader has to be known.
    void recordResponse(Nanos now, ReaderId id, std::size_t unsent);
    // To be called when the schedule has changed.
    void updateDeadlines();

    // The readers whose deadline has passed, the earliest deadline first.
    std::vector<ReaderId> dueReaders(Nanos now) const;
    // kNever if no reader has a deadline.
    Nanos nextDeadline() const { return deadlines_.empty() ? kNever : deadlines_.begin()->at; }
    // The reader has to be known.
    const Reader& at(ReaderId id) const { return readers_.at(id); }
    std::size_t admittedCount() const { return admittedCount_; }

  private:
    struct Deadline {
        Nanos at = 0;
        ReaderId reader = 0;
        auto operator<=>(const Deadline&) const = default;
    };

    void admit(Reader& reader);
    void startRequest(Nanos now, Reader& reader, const ReaderRequest& request);
    void updateDeadline(ReaderId id, Reader& reader);
    Nanos deadlineOf(const Reader& reader) const;

    const Options& options_;
    ResponseSchedule& schedule_;
    std::map<ReaderId, Reader> readers_;
    std::set<Deadline> deadlines_;
    std::size_t admittedCount_ = 0;
};

}  // namespace poppyscale::endpoint_distribution
