#include "retrying/HedgeRule.h"

#include <algorithm>

namespace lychee::retrying {

namespace {

using Action = HedgeVerdict::Action;

/// A new connection proves the path: silence on it is the target's own, and a
/// second send would only add to its load. It waits this many times longer.
constexpr int NewConnectionFactor = 2;

} // namespace

HedgeVerdict HedgeRule::decide(const OpenSend &Send,
                               base::TimePoint Now) noexcept {
  if (!Send.Idempotent_)
    return {Action::Never, {}, "not-idempotent"};
  if (Send.AnswerBegun_)
    return {Action::Never, {}, "answer-begun"};
  if (Send.HedgedBefore_)
    return {Action::Never, {}, "hedged-before"};

  const int Factor = Send.ReusedConnection_ ? 1 : NewConnectionFactor;
  const base::Duration Silence =
      std::max(ShortestSilence, Send.OrdinaryWork_ * OrdinaryWorks) * Factor;
  const base::TimePoint Due = Send.Started_ + Silence;
  if (Due + Send.OrdinaryWork_ > Send.Deadline_)
    return {Action::Never, {}, "no-time-left"};
  if (Now < Due)
    return {Action::Wait, Due, "not-yet-silent"};
  if (Now + Send.OrdinaryWork_ > Send.Deadline_)
    return {Action::Never, {}, "no-time-left"};
  return {Action::SendSecond, {}, "silent"};
}

} // namespace lychee::retrying
