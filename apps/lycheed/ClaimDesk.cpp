#include "lycheed/ClaimDesk.h"

#include <utility>

namespace lychee::daemon {

using retrying::ClaimOutcome;
using Kind = gateway::ClaimAnswer::Kind;

namespace {

/// About the time in which a partition finds its next owner.
constexpr base::Duration NoOwnerRetryAfter = std::chrono::seconds(2);
/// A send under way ends, or is known to have been cut, within its deadline.
constexpr base::Duration HeldRetryAfter = std::chrono::seconds(5);

retrying::ClaimKey keyOf(const gateway::ClaimRequest &Request) {
  return retrying::ClaimKey::of(Request.Customer_, Request.IdempotencyKey_);
}

gateway::ClaimAnswer answerOf(const retrying::ClaimResult &Verdict) {
  gateway::ClaimAnswer Made;
  switch (Verdict.Outcome_) {
  case ClaimOutcome::Granted:
    Made.Kind_ = Kind::Granted;
    return Made;
  case ClaimOutcome::AlreadyRun:
    Made.Kind_ = Kind::AlreadyRun;
    Made.Status_ = Verdict.Status_;
    return Made;
  case ClaimOutcome::MayHaveRun:
  case ClaimOutcome::KeyReused:
    Made.Kind_ = Kind::HeldElsewhere;
    Made.RetryAfter_ = HeldRetryAfter;
    return Made;
  case ClaimOutcome::Pending:
  case ClaimOutcome::Full:
  case ClaimOutcome::NotOwner:
  case ClaimOutcome::StoreUnavailable:
    Made.RetryAfter_ = NoOwnerRetryAfter;
    return Made;
  }
  return Made;
}

retrying::Ran ranOf(gateway::ClaimEnd End) noexcept {
  switch (End) {
  case gateway::ClaimEnd::NotRun:
    return retrying::Ran::No;
  case gateway::ClaimEnd::Answered:
    return retrying::Ran::Yes;
  case gateway::ClaimEnd::Unknown:
    return retrying::Ran::Maybe;
  }
  return retrying::Ran::Maybe;
}

} // namespace

void ClaimDesk::acquire(const gateway::ClaimRequest &Asked,
                        base::TimePoint /*Now*/, Answered Done) {
  Claims_.claim(keyOf(Asked), Asked.Fingerprint_,
                [Told = std::move(Done)](const retrying::ClaimResult &Verdict) {
                  Told(answerOf(Verdict));
                });
}

void ClaimDesk::settle(const gateway::ClaimRequest &Granted,
                       gateway::ClaimEnd End, int Status,
                       base::TimePoint /*Now*/) {
  Claims_.finish(keyOf(Granted), ranOf(End),
                 static_cast<std::uint16_t>(Status));
}

} // namespace lychee::daemon
