#include "retrying/HedgingPolicy.h"

#include <algorithm>

namespace lychee::retrying {

namespace {

using Action = HedgeDecision::Action;

/// Factor on the silence before a hedge where the connection is new. A new
/// connection shows that the network path works, so that the silence is due to
/// the target, and a hedge would only add to its load.
constexpr int NewConnectionFactor = 2;

} // namespace

HedgeDecision HedgingPolicy::decide(const PendingSend &Send,
                                    base::TimePoint Now) noexcept {
  if (!Send.Idempotent_)
    return {Action::Never, {}, "not-idempotent"};
  if (Send.ResponseStarted_)
    return {Action::Never, {}, "answer-begun"};
  if (Send.AlreadyHedged_)
    return {Action::Never, {}, "hedged-before"};

  const int Factor = Send.ReusedConnection_ ? 1 : NewConnectionFactor;
  const base::Duration Silence =
      std::max(MinSilence, Send.MeanExecutionTime_ * SilenceFactor) * Factor;
  const base::TimePoint Due = Send.Started_ + Silence;
  if (Due + Send.MeanExecutionTime_ > Send.Deadline_)
    return {Action::Never, {}, "no-time-left"};
  if (Now < Due)
    return {Action::Wait, Due, "not-yet-silent"};
  if (Now + Send.MeanExecutionTime_ > Send.Deadline_)
    return {Action::Never, {}, "no-time-left"};
  return {Action::SendHedge, {}, "silent"};
}

} // namespace lychee::retrying
