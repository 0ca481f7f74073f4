// The sessions of a listener for operators.
#pragma once

#include <list>
#include <memory>
#include <utility>

namespace poppyscale::control {

// Owns sessions in the order in which they were added. A session stays at its address until it is removed.
template <class Session>
class SessionList {
  public:
    Session& add(std::unique_ptr<Session> session) {
        sessions_.push_back(std::move(session));
        return *sessions_.back();
    }
    // Destroys `session`; does nothing when it is not in the list.
    void remove(const Session& session) {
        sessions_.remove_if([&](const auto& candidate) { return candidate.get() == &session; });
    }
    void removeOldest() { sessions_.pop_front(); }
    std::size_t size() const { return sessions_.size(); }

  private:
    std::list<std::unique_ptr<Session>> sessions_;
};

}  // namespace poppyscale::control
