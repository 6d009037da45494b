#include "dispatch/DispatchSteering.h"

#include <algorithm>
#include <utility>

/// Requests that wait for a token, of their customer's rate or of their
/// target's, which another host owns.
namespace lychee::dispatch {

using steering::Decision;

namespace {

/// An owner that does not respond is not asked for a target's tokens again for
/// this long.
constexpr base::Duration SilentOwnerPause = std::chrono::milliseconds(500);

/// A request may ask several times, so its ticket alone would let a late
/// response to an earlier question pass for the last one's.
constexpr unsigned RoundShift = 56;

std::uint64_t tokenNumber(std::uint64_t Ticket, std::uint64_t Round) noexcept {
  return Ticket | (Round << RoundShift);
}

std::uint64_t ticketOf(std::uint64_t Number) noexcept {
  return Number & ((std::uint64_t{1} << RoundShift) - 1);
}

} // namespace

Decision DispatchSteering::awaitToken(std::uint64_t Ticket,
                                      const base::CustomerId &Customer,
                                      const RateLimitDecision &Verdict,
                                      base::TimePoint Now) {
  TokenWait Pending;
  Pending.Customer_ = Customer;
  Pending.Owner_ = Verdict.Owner_;
  Pending.BackupOwner_ = Verdict.BackupOwner_;
  Pending.Number_ = tokenNumber(Ticket, 0);
  Callbacks_.RequestToken_(
      Verdict.Owner_, Pending.Number_,
      {Customer, std::nullopt, returnTerms(InFlight_[Ticket], Now)});
  Pending.TimeoutAt_ = Now + TokenTimeout;
  Decision Result;
  Result.Action_ = Decision::Action::Wait;
  Result.Ticket_ = Ticket;
  Result.Reason_ = "token";
  // Twice: for the owner, and for the backup owner.
  Result.WaitUntil_ = Now + TokenTimeout * 2;
  Result.SettingsVersion_ = Intent_ ? Intent_->Version_ : 0;
  TokenWaits_[Ticket] = std::move(Pending);
  return Result;
}

Decision DispatchSteering::endTokenWait(std::uint64_t Ticket,
                                        std::optional<base::Duration> Wait,
                                        base::TimePoint Now) {
  const std::string Owner = TokenWaits_[Ticket].Owner_;
  TokenWaits_.erase(Ticket);
  const auto Found = InFlight_.find(Ticket);
  if (Found == InFlight_.end())
    return {};
  if (Wait)
    return refuseRateLimited(Ticket, *Wait, std::nullopt, Now);
  Found->second.TokenGranter_ = Owner;
  return admit(Ticket, Found->second, Now);
}

Decision DispatchSteering::awaitTargetToken(std::uint64_t Ticket,
                                            InFlightRequest &Request,
                                            const TargetState &Target,
                                            const std::string &Owner,
                                            base::TimePoint Now) {
  ++Request.TokenRequests_;
  TokenWait Pending;
  Pending.Target_ = Target.Record_.Id_;
  Pending.Number_ = tokenNumber(Ticket, Request.TokenRequests_);
  Pending.TimeoutAt_ = Now + TokenTimeout;
  Callbacks_.RequestToken_(
      Owner, Pending.Number_,
      {{}, Target.Stated_->rate().report(Target.StartKey_, Now)});
  Decision Result;
  Result.Action_ = Decision::Action::Wait;
  Result.Ticket_ = Ticket;
  Result.Target_ = Target.Record_.Id_;
  Result.Region_ = Target.Region_;
  Result.Reason_ = "target-token";
  Result.WaitUntil_ = Pending.TimeoutAt_;
  Result.SettingsVersion_ = Intent_ ? Intent_->Version_ : 0;
  TokenWaits_[Ticket] = std::move(Pending);
  return Result;
}

Decision
DispatchSteering::endTargetTokenWait(std::uint64_t Ticket,
                                     std::optional<base::Duration> DeniedFor,
                                     base::TimePoint Now) {
  const base::TargetId Awaited = TokenWaits_[Ticket].Target_;
  TokenWaits_.erase(Ticket);
  const auto Found = InFlight_.find(Ticket);
  if (Found == InFlight_.end())
    return {};
  InFlightRequest &Request = Found->second;
  TargetState *Target = findTarget(serviceState(Request.Service_), Awaited);
  if (!DeniedFor)
    Request.GrantedTarget_ = Awaited;
  else if (Target != nullptr && Target->Stated_)
    Target->Stated_->rate().recordDenial(Now + *DeniedFor);
  return send(Ticket, Request, TokenSource::AnyHost, Now);
}

std::optional<base::Duration>
DispatchSteering::grantToken(const members::TokenRequest &Wanted,
                             base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  if (Wanted.Target_)
    return grantTargetToken(*Wanted.Target_, Now);
  return takeCustomerToken(Wanted, Now);
}

void DispatchSteering::takeBackToken(const base::CustomerId &Customer) {
  const std::lock_guard Guard(Lock_);
  RateLimiter_.refund(Customer);
}

void DispatchSteering::handleTokenResponse(
    std::uint64_t Number, std::optional<base::Duration> Wait,
    base::TimePoint Now, std::vector<steering::Wakeup> &Woken) {
  const std::lock_guard Guard(Lock_);
  const std::uint64_t Ticket = ticketOf(Number);
  const auto Found = TokenWaits_.find(Ticket);
  if (Found == TokenWaits_.end() || Found->second.Number_ != Number)
    return;
  if (!Found->second.Target_.empty()) {
    Woken.push_back({Ticket, endTargetTokenWait(Ticket, Wait, Now)});
    return;
  }
  // The backup owner has few tokens; the owner itself may still grant one.
  if (Wait && std::exchange(Found->second.AwaitsBoth_, false)) {
    Found->second.DeniedWait_ = Wait;
    return;
  }
  Woken.push_back({Ticket, endTokenWait(Ticket, Wait, Now)});
}

/// An owner that does not respond in time is dead, cut off or waiting for its
/// processor, and the backup owner is asked. Where that one does not respond
/// either, the problem is at this host, which falls back to its own share.
void DispatchSteering::tick(base::TimePoint Now,
                            std::vector<steering::Wakeup> &Woken) {
  const std::lock_guard Guard(Lock_);
  std::vector<std::uint64_t> TimedOut;
  for (auto &[Ticket, Pending] : TokenWaits_) {
    if (Now < Pending.TimeoutAt_)
      continue;
    Pending.Owner_.clear();
    if (Pending.BackupOwner_.empty()) {
      TimedOut.push_back(Ticket);
      continue;
    }
    Callbacks_.RequestToken_(std::exchange(Pending.BackupOwner_, {}),
                             Pending.Number_, {Pending.Customer_});
    Pending.TimeoutAt_ = Now + TokenTimeout;
    Pending.AwaitsBoth_ = true;
  }
  for (const std::uint64_t Ticket : TimedOut) {
    const TokenWait &Pending = TokenWaits_[Ticket];
    if (!Pending.Target_.empty()) {
      Woken.push_back(
          {Ticket, endTargetTokenWait(Ticket, SilentOwnerPause, Now)});
      continue;
    }
    const auto Wait = Pending.DeniedWait_
                          ? Pending.DeniedWait_
                          : takeFallbackToken(Pending.Customer_, Now);
    Woken.push_back({Ticket, endTokenWait(Ticket, Wait, Now)});
  }
}

} // namespace lychee::dispatch
