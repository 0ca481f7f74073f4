#include "testbed/emulator/server_model.hpp"

#include <algorithm>
#include <utility>

namespace poppyscale::testbed {

bool ServerModel::withdraw(std::uint64_t job) {
    return std::erase_if(waiting_, [&](const Job& j) { return j.id == job; }) > 0;
}

std::vector<ServerModel::Begun> ServerModel::begin(Nanos now, double pace) {
    std::vector<Begun> begun;
    while (running_ < static_cast<int>(shape_.cores) && !waiting_.empty()) {
        const Job job = waiting_.front();
        waiting_.pop_front();
        ++running_;
        const double ahead = static_cast<double>(waiting_.size()) / std::max(shape_.queue, 1);
        const double work = (job.work + std::exchange(debt_, 0)) * (1 + shape_.thrash * ahead);
        begun.push_back({job.id, now + static_cast<Nanos>(work / (shape_.speed * std::max(pace, 1e-6)))});
    }
    return begun;
}

void ServerModel::clear() {
    running_ = 0;
    debt_ = 0;
    waiting_.clear();
}

void WorkWindow::add(Nanos now, double work) {
    pieces_.push_back({now, work});
    sum_ += work;
}

double WorkWindow::sum(Nanos now) {
    while (!pieces_.empty() && pieces_.front().at <= now - span_) {
        sum_ -= pieces_.front().work;
        pieces_.pop_front();
    }
    return pieces_.empty() ? sum_ = 0 : sum_;
}

bool CacheContents::touch(const std::string& key) {
    const auto it = at_.find(key);
    if (it == at_.end()) return false;
    order_.splice(order_.begin(), order_, it->second);
    return true;
}

void CacheContents::put(const std::string& key) {
    if (touch(key)) return;
    order_.push_front(key);
    at_[key] = order_.begin();
    if (order_.size() > most_) drop(std::string(order_.back()));
}

void CacheContents::drop(const std::string& key) {
    const auto it = at_.find(key);
    if (it == at_.end()) return;
    order_.erase(it->second);
    at_.erase(it);
}

void CacheContents::clear() {
    order_.clear();
    at_.clear();
}

bool IdempotencyRecords::enter(Nanos now, const std::string& mark, Nanos until) {
    while (!order_.empty() && order_.front().until <= now) {
        const auto it = until_.find(order_.front().name);
        if (it != until_.end() && it->second <= now) until_.erase(it);
        order_.pop_front();
    }
    const auto [it, fresh] = until_.try_emplace(mark, until);
    if (fresh) order_.push_back({until, mark});
    return fresh;
}

double paceOf(Nanos now, Nanos startedAt, double share, Nanos ramp) {
    if (startedAt == 0 || ramp <= 0) return 1;
    const double part = static_cast<double>(now - startedAt) / static_cast<double>(ramp);
    return std::clamp(share + (1 - share) * part, share, 1.0);
}

}  // namespace poppyscale::testbed
