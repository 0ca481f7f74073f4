#include "endpoint_distribution/reader_sessions.hpp"

#include <algorithm>

namespace poppyscale::endpoint_distribution {

void ReaderSessions::connect(Nanos now, ReaderId id) {
    Reader& reader = readers_[id];
    reader.stateSince = now;
    updateDeadline(id, reader);
}

void ReaderSessions::request(Nanos now, ReaderId id, const ReaderRequest& request) {
    const auto found = readers_.find(id);
    if (found == readers_.end()) return;
    Reader& reader = found->second;
    if (reader.admission != Admission::admitted) admit(reader);
    const bool mustQueue =
        reader.state == ReaderState::draining && options_.isEnabled(Safeguard::slowReaderBound);
    if (mustQueue)
        reader.queued = request;
    else
        startRequest(now, reader, request);
    updateDeadline(id, reader);
}

void ReaderSessions::admit(Reader& reader) {
    if (admittedCount_ >= options_.maxReaders) {
        reader.admission = Admission::rejected;
        return;
    }
    reader.admission = Admission::admitted;
    ++admittedCount_;
}

void ReaderSessions::startRequest(Nanos now, Reader& reader, const ReaderRequest& request) {
    reader.state = ReaderState::waiting;
    reader.stateSince = now;
    reader.request = request;
    reader.request.wait = std::clamp<Nanos>(request.wait, 0, kMaxReaderWait);
    schedule_.recordRequest(now, request);
}

void ReaderSessions::recordUnsent(Nanos now, ReaderId id, std::size_t unsent) {
    const auto found = readers_.find(id);
    if (found == readers_.end()) return;
    Reader& reader = found->second;
    reader.unsent = unsent;
    if (reader.state != ReaderState::draining) return;
    if (unsent > 0) return updateDeadline(id, reader);
    reader.state = ReaderState::idle;
    reader.stateSince = now;
    if (reader.queued) {
        startRequest(now, reader, *reader.queued);
        reader.queued.reset();
    }
    updateDeadline(id, reader);
}

void ReaderSessions::close(ReaderId id) {
    const auto found = readers_.find(id);
    if (found == readers_.end()) return;
    const Reader& reader = found->second;
    deadlines_.erase({reader.deadline, id});
    if (reader.admission == Admission::admitted) --admittedCount_;
    readers_.erase(found);
}

void ReaderSessions::recordResponse(Nanos now, ReaderId id, std::size_t unsent) {
    Reader& reader = readers_.at(id);
    reader.earliestResponseAt = options_.isEnabled(Safeguard::batching) ? now + options_.batchInterval : now;
    reader.stateSince = now;
    reader.unsent = unsent;
    reader.state = unsent > 0 ? ReaderState::draining : ReaderState::idle;
    updateDeadline(id, reader);
}

void ReaderSessions::updateDeadlines() {
    for (auto& [id, reader] : readers_) updateDeadline(id, reader);
}

std::vector<ReaderId> ReaderSessions::dueReaders(Nanos now) const {
    std::vector<ReaderId> due;
    for (const Deadline& deadline : deadlines_) {
        if (deadline.at > now) break;
        due.push_back(deadline.reader);
    }
    return due;
}

Nanos ReaderSessions::deadlineOf(const Reader& reader) const {
    switch (reader.state) {
        case ReaderState::idle:
            return reader.stateSince + kIdleTimeout;
        case ReaderState::draining:
            if (!options_.isEnabled(Safeguard::slowReaderBound)) return kNever;
            return reader.stateSince +
                   (reader.unsent > options_.maxUnsentBytes ? kMaxUnsentTimeout : kDrainTimeout);
        case ReaderState::waiting:
            break;
    }
    return schedule_.dueAt(reader);
}

void ReaderSessions::updateDeadline(ReaderId id, Reader& reader) {
    const Nanos deadline = deadlineOf(reader);
    if (deadline == reader.deadline) return;
    deadlines_.erase({reader.deadline, id});
    reader.deadline = deadline;
    if (deadline != kNever) deadlines_.insert({deadline, id});
}

}  // namespace poppyscale::endpoint_distribution
