#include "scenario/EventQueue.h"

namespace lychee::scenario {

void EventQueue::runUntil(base::TimePoint End) {
  while (!Entries_.empty() && Entries_.top().When_ <= End) {
    // The queue hands out const entries only; a copy of the action costs less
    // than the decision that it runs.
    const Entry Next = Entries_.top();
    Entries_.pop();
    Now_ = Next.When_;
    Next.Run_();
  }
  Now_ = End;
}

} // namespace lychee::scenario
