// One voter. Free of I/O and of any clock: messages and time in, answers and what is to be kept out.
//
// What it promises: to one member at a time, a lease is granted for the whole length from when it heard;
// never by a fence that is not over all that it has granted before; and nothing is said before it is kept.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lease/messages.hpp"

namespace poppyscale::lease {

class Voter {
  public:
    // What is wanted of the outside after an event.
    struct Wanted {
        std::vector<std::pair<MemberId, Answer>> answers;
        std::vector<std::pair<int, Recall>> recalls;     // to voters
        std::vector<std::pair<int, Recalled>> recalled;  // the same
        Records keep;                                    // to disk and synced; then `kept` with `ticket`
        std::uint64_t ticket = 0;
    };

    // forgetting: it does not know what it granted, and votes for nobody. voting: it does.
    enum class State : std::uint8_t { forgetting, voting };

    // `memory`: what was on its disk, if it says that it ever voted; nothing for a new one, or one that lost
    // it.
    Voter(const Terms& terms, int self, Nanos now, const std::optional<Records>& memory);

    void heard(Nanos now, MemberId from, const Ask& ask);
    void heard(Nanos now, int voter, const Recall&);
    void heard(Nanos now, int voter, const Recalled& said);
    void kept(Nanos now, std::uint64_t ticket);
    // Once after the events of a moment, and by `next`.
    Wanted settle(Nanos now);
    Nanos next() const;

    State state() const { return state_; }
    // Fences may have fallen: too many had lost their memory at once to tell.
    bool mayHaveFallen() const { return mayHaveFallen_; }
    // By whom a lease is held here as far as this one knows, and for how long; for people.
    struct Shown {
        Fence fence;
        Nanos left;
    };
    std::map<LeaseId, Shown> shown(Nanos now) const;
    // All that matters of it, times beside `now`: for who explores states.
    std::string image(Nanos now) const;

  private:
    struct Grant {
        Record record;
        Nanos until = 0;  // of a holder's grant; past: free
        MemberId reserved = 0;
        Nanos reservedUntil = 0;
        std::set<MemberId> waits;  // asked and were refused: told when it is let go
    };
    Answer answer(Nanos now, MemberId from, const Ask& ask);
    void settleMemory(Nanos now);

    Terms terms_;
    int self_;
    State state_;
    bool mayHaveFallen_ = false;
    Nanos quarantinedUntil_ = 0, recallAt_ = 0;
    std::map<int, bool> recalledBy_;  // whether it remembers
    std::map<LeaseId, Grant> grants_;
    Wanted wanted_;
    // Answers that wait for the disk, each with the ticket that it needs.
    struct Waiting {
        std::uint64_t ticket;
        MemberId to;
        Answer answer;
    };
    std::vector<Waiting> waiting_;
    std::uint64_t ticket_ = 0, kept_ = 0;
};

}  // namespace poppyscale::lease
