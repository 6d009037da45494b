#include "dispatch/DispatchSteering.h"

#include <algorithm>

/// When refused callers are told to retry, and which requests are retries.
namespace lychee::dispatch {

using steering::Decision;
using steering::Refusal;

namespace {

/// Share of its time left for which a caller waits at most. Callers wait for a
/// third; the refusal's transmission takes some of it.
constexpr double MaxWaitShare = 0.3;
/// Time that a retry takes beyond its wait: the refusal's transmission, a new
/// connection, and waits for processors. Callers are 1 ms away as a rule.
constexpr base::Duration RetryTransit = std::chrono::milliseconds(20);
/// Wait told by hosts that use the rate's old rule, as they own no tokens.
constexpr base::Duration MinUnpacedWait = std::chrono::milliseconds(100);

/// \returns what a caller is told whose turn does not come in time: nothing, so
/// that it does not retry in vain. The alternative is the longest time for
/// which it waits, \p Latest.
base::Duration waitWithoutTurn(base::Duration /*Latest*/) noexcept {
  return base::Duration::zero();
}

} // namespace

void DispatchSteering::recognizeRetry(const steering::Request &Arrived,
                                      InFlightRequest &Request) {
  Request.Priority_ = Arrived.Priority_;
  Request.CallerGivesUpAt_ = Arrived.StatedTime_ > base::Duration::zero()
                                 ? Arrived.ArrivedAt_ + Arrived.StatedTime_
                                 : Arrived.Deadline_;
  if (!Settings_.Bounds_.Features_.PacedReturns_ || Request.IsForwarded_ ||
      Arrived.StatedTime_ <= base::Duration::zero())
    return;
  admission::UsualDeadline &Usual = UsualDeadlines_[Request.Rule_];
  Request.IsRetry_ = Usual.isRetry(Arrived.StatedTime_);
  Usual.record(Arrived.StatedTime_);
}

std::optional<members::ReturnTerms>
DispatchSteering::returnTerms(const InFlightRequest &Request,
                              base::TimePoint Now) {
  if (!Settings_.Bounds_.Features_.PacedReturns_)
    return std::nullopt;
  const base::Duration Left = Request.CallerGivesUpAt_ - Now;
  const base::Duration Run =
      base::fromSeconds(executionTimesOf(Request).meanSeconds());
  const base::Duration Latest = std::min(
      base::fromSeconds(base::toSeconds(Left) * MaxWaitShare), Left - Run);
  const base::Duration InTime =
      Request.ObjectiveAt_ < Request.Deadline_
          ? Request.ObjectiveAt_ - Now - Run - RetryTransit
          : Latest;
  return members::ReturnTerms{Request.IsRetry_, InTime, Latest};
}

DispatchSteering::ReturnTurn
DispatchSteering::reserveReturn(const InFlightRequest &Request,
                                base::TimePoint Now) {
  const auto Terms = returnTerms(Request, Now);
  if (!Terms)
    return {};
  ServiceReturns &Returns =
      serviceState(Request.Service_).Returns_[Request.Priority_];
  const admission::ReturnWindow Window{Terms->InTime_, Terms->Latest_};
  const double PerSecond = Returns.Placed_.perSecond(Now);
  // Callers retry once, so one that did needs no position.
  const auto Position =
      Terms->IsRetry_ ? Returns.Schedule_.find(Window, PerSecond, {}, Now)
                      : Returns.Schedule_.book(Window, PerSecond, {}, Now);
  ReturnTurn Result;
  Result.Info_ = steering::ReturnInfo{Terms->IsRetry_, std::nullopt};
  Result.Wait_ = Position ? Position->Wait_ : waitWithoutTurn(Terms->Latest_);
  if (Position)
    Result.Info_->Ahead_ = Position->Ahead_;
  return Result;
}

void DispatchSteering::claimReturn(InFlightRequest &Request,
                                   base::TimePoint Now) {
  if (Request.IsRetry_)
    Request.IsDueRetry_ = serviceState(Request.Service_)
                              .Returns_[Request.Priority_]
                              .Schedule_.claim(Now);
}

void DispatchSteering::recordPlacement(const InFlightRequest &Request,
                                       base::TimePoint Now) {
  if (Settings_.Bounds_.Features_.PacedReturns_ && Request.Sends_ == 1)
    serviceState(Request.Service_)
        .Returns_[Request.Priority_]
        .Placed_.add(1, Now);
}

Decision DispatchSteering::refuseRateLimited(std::uint64_t Ticket,
                                             base::Duration Wait,
                                             std::optional<std::uint32_t> Ahead,
                                             base::TimePoint Now) {
  const auto Found = InFlight_.find(Ticket);
  const bool IsRetry = Found->second.IsRetry_;
  const auto Terms = returnTerms(Found->second, Now);
  InFlight_.erase(Found);
  if (!Terms)
    return refuse(Refusal::RateLimited, std::max(Wait, MinUnpacedWait), false);
  const bool HasTurn = Wait > base::Duration::zero();
  Decision Refused =
      refuse(Refusal::RateLimited,
             HasTurn ? Wait : waitWithoutTurn(Terms->Latest_), false);
  Refused.Return_ =
      steering::ReturnInfo{IsRetry, HasTurn ? Ahead : std::nullopt};
  return Refused;
}

std::optional<base::Duration>
DispatchSteering::takeCustomerToken(const members::TokenRequest &Wanted,
                                    base::TimePoint Now) {
  const bool Paces = Settings_.Bounds_.Features_.PacedReturns_;
  const auto Wait = RateLimiter_.takeForPeer(
      Wanted.Customer_, Now, Paces ? Wanted.Return_ : std::nullopt);
  // In whole milliseconds, a shorter wait would read as none in time.
  return Wait && Paces && !Wanted.Return_
             ? std::optional(std::max(*Wait, MinUnpacedWait))
             : Wait;
}

std::optional<base::Duration>
DispatchSteering::takeFallbackToken(const base::CustomerId &Customer,
                                    base::TimePoint Now) {
  const auto Wait = RateLimiter_.takeFallback(Customer, Now);
  return Wait ? std::optional(std::max(*Wait, MinUnpacedWait)) : std::nullopt;
}

} // namespace lychee::dispatch
