#include "dispatch/DispatchSteering.h"

#include <algorithm>
#include <utility>

/// Requests that wait for a token of their customer's rate which another host
/// owns.
namespace lychee::dispatch {

using steering::Decision;
using steering::Refusal;

namespace {

/// Callers that come back sooner would find the same bucket.
constexpr base::Duration MinRateRetryAfter = std::chrono::milliseconds(100);

} // namespace

Decision DispatchSteering::refuseRateLimited(std::uint64_t Ticket,
                                             base::Duration Wait) {
  InFlight_.erase(Ticket);
  return refuse(Refusal::RateLimited, std::max(Wait, MinRateRetryAfter), false);
}

Decision DispatchSteering::awaitToken(std::uint64_t Ticket, TokenWait Pending,
                                      const std::string &Owner,
                                      base::TimePoint Now) {
  Callbacks_.RequestToken_(Owner, Ticket, Pending.Customer_);
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
  TokenWaits_.erase(Ticket);
  const auto Found = InFlight_.find(Ticket);
  if (Found == InFlight_.end())
    return {};
  return Wait ? refuseRateLimited(Ticket, *Wait)
              : admit(Ticket, Found->second, Now);
}

std::optional<base::Duration>
DispatchSteering::grantToken(const base::CustomerId &Customer,
                             base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  return RateLimiter_.takeForPeer(Customer, Now);
}

void DispatchSteering::handleTokenResponse(
    std::uint64_t Ticket, std::optional<base::Duration> Wait,
    base::TimePoint Now, std::vector<steering::Wakeup> &Woken) {
  const std::lock_guard Guard(Lock_);
  const auto Found = TokenWaits_.find(Ticket);
  if (Found == TokenWaits_.end())
    return;
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
    if (Pending.BackupOwner_.empty()) {
      TimedOut.push_back(Ticket);
      continue;
    }
    Callbacks_.RequestToken_(std::exchange(Pending.BackupOwner_, {}), Ticket,
                             Pending.Customer_);
    Pending.TimeoutAt_ = Now + TokenTimeout;
    Pending.AwaitsBoth_ = true;
  }
  for (const std::uint64_t Ticket : TimedOut) {
    const TokenWait &Pending = TokenWaits_[Ticket];
    const auto Wait = Pending.DeniedWait_
                          ? Pending.DeniedWait_
                          : RateLimiter_.takeFallback(Pending.Customer_, Now);
    Woken.push_back({Ticket, endTokenWait(Ticket, Wait, Now)});
  }
}

} // namespace lychee::dispatch
