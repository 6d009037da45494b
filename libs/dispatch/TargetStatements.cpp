#include "dispatch/TargetStatements.h"

#include <algorithm>

namespace lychee::dispatch {

namespace {

/// Lowest status of an answer that is a failure of the target itself.
constexpr int MinServerError = 500;

} // namespace

TargetStatements::Change
TargetStatements::recordAnswer(const steering::AnswerHead &Head,
                               base::TimePoint Now) {
  Change Result;
  const steering::TargetStatement &Said = Head.Statement_;
  const bool EndsRate = !Head.NotRun_ && Head.Status_ < MinServerError;
  Result.Rate_ =
      Rate_.recordAnswer(Said.Rate_, EndsRate, Now - Head.Took_, Now);
  if (Said.Rest_.For_)
    Result.Rest_ = recordRest(*Said.Rest_.For_, Now);
  Result.Leaving_ = Said.Leaving_ && !isLeaving();
  if (Result.Leaving_) {
    LeavingSince_ = Now;
    LeavingAnnouncement_.begin(Now);
  }
  return Result;
}

/// Answers may arrive in another order than the target gave them, so the rest
/// that ends last holds.
bool TargetStatements::recordRest(base::Duration Rest,
                                  base::TimePoint Now) noexcept {
  const base::TimePoint Until = Now + Rest;
  if (Until <= std::max(RestUntil_, Now))
    return false;
  RestUntil_ = Until;
  return true;
}

bool TargetStatements::mergeLeaving(const members::TargetLeaving &Known,
                                    bool Relays, base::TimePoint Now) {
  if (isLeaving())
    return false;
  LeavingSince_ = Now - Known.Age_;
  if (Relays)
    LeavingAnnouncement_.relay(Now);
  return true;
}

members::TargetLeaving
TargetStatements::reportLeaving(std::uint64_t Target,
                                base::TimePoint Now) const {
  return {Target, Now - LeavingSince_.value_or(Now)};
}

} // namespace lychee::dispatch
