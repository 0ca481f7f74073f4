#include "testbed/emulator/server_model.hpp"

#include <algorithm>
#include <utility>

namespace poppyscale::testbed {

bool ServerModel::removeQueued(std::uint64_t job) {
    return std::erase_if(queue_, [&](const Job& queued) { return queued.id == job; }) > 0;
}

std::vector<ServerModel::StartedJob> ServerModel::startJobs(Nanos now, double pace) {
    std::vector<StartedJob> started;
    while (running_ < static_cast<int>(shape_.cores) && !queue_.empty()) {
        const Job job = queue_.front();
        queue_.pop_front();
        ++running_;
        const double queueFill = static_cast<double>(queue_.size()) / std::max(shape_.queueLimit, 1);
        const double work =
            (job.work + std::exchange(handshakeWork_, 0)) * (1 + shape_.queueSlowdown * queueFill);
        started.push_back({job.id, now + static_cast<Nanos>(work / (shape_.speed * std::max(pace, 1e-6)))});
    }
    return started;
}

void ServerModel::clear() {
    running_ = 0;
    handshakeWork_ = 0;
    queue_.clear();
}

void WorkWindow::add(Nanos now, double work) {
    arrivals_.push_back({now, work});
    sum_ += work;
}

double WorkWindow::sum(Nanos now) {
    while (!arrivals_.empty() && arrivals_.front().at <= now - span_) {
        sum_ -= arrivals_.front().work;
        arrivals_.pop_front();
    }
    return arrivals_.empty() ? sum_ = 0 : sum_;
}

bool CacheContents::touch(const std::string& key) {
    const auto it = positions_.find(key);
    if (it == positions_.end()) return false;
    recency_.splice(recency_.begin(), recency_, it->second);
    return true;
}

void CacheContents::insert(const std::string& key) {
    if (touch(key)) return;
    recency_.push_front(key);
    positions_[key] = recency_.begin();
    if (recency_.size() > maxKeys_) erase(std::string(recency_.back()));
}

void CacheContents::erase(const std::string& key) {
    const auto it = positions_.find(key);
    if (it == positions_.end()) return;
    recency_.erase(it->second);
    positions_.erase(it);
}

void CacheContents::clear() {
    recency_.clear();
    positions_.clear();
}

bool IdempotencyRecords::recordIfNew(Nanos now, const std::string& key, Nanos until) {
    while (!order_.empty() && order_.front().until <= now) {
        const auto it = until_.find(order_.front().key);
        if (it != until_.end() && it->second <= now) until_.erase(it);
        order_.pop_front();
    }
    const auto [it, isNew] = until_.try_emplace(key, until);
    if (isNew) order_.push_back({until, key});
    return isNew;
}

double capacityFractionAt(Nanos now, Nanos startedAt, double initialFraction, Nanos rampDuration) {
    if (startedAt == 0 || rampDuration <= 0) return 1;
    const double progress = static_cast<double>(now - startedAt) / static_cast<double>(rampDuration);
    return std::clamp(initialFraction + (1 - initialFraction) * progress, initialFraction, 1.0);
}

}  // namespace poppyscale::testbed
