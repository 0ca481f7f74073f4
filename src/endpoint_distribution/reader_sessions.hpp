// The readers' connections: which are admitted, what each waits for, and which are due.
//
// A reader that does not take its response costs itself alone: it gets no further response before it has, and
// it is due to be closed after kDrainTimeout, or after kMaxUnsentTimeout with more than `maxUnsent` bytes to
// take. No reader is due for a response more often than once in `batch`.
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
    // An unknown reader is ignored, here and below.
    void request(Nanos now, ReaderId id, const ReaderRequest& request);
    // Its kernel has `unsent` bytes left to take.
    void recordUnsent(Nanos now, ReaderId id, std::size_t unsent);
    void close(ReaderId id);
    // It was answered, and its kernel has `unsent` bytes left to take. The reader has to be known.
    void recordResponse(Nanos now, ReaderId id, std::size_t unsent);
    // After a change of the schedule.
    void updateDeadlines();

    // Those whose deadline has come, the earliest first.
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
