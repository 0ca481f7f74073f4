#include "policy/admission_queue.hpp"

namespace poppyscale::policy {

bool AdmissionQueue::isBefore(const Entry& a, const Entry& b) {
    if (a.request->isOverQuota() != b.request->isOverQuota()) return b.request->isOverQuota();
    return a.priority > b.priority;
}

void AdmissionQueue::beginEstimates(bool isOverloaded, Nanos successInterval) {
    isOverloaded_ = isOverloaded;
    successInterval_ = successInterval;
    positionInQueue_ = 0;
}

bool AdmissionQueue::hasTimeToWait(Nanos timeLeft) {
    if (!isOverloaded_) return true;
    ++positionInQueue_;
    return positionInQueue_ * successInterval_ < timeLeft / 2;
}

}  // namespace poppyscale::policy
