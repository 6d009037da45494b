#include "budget/RateShare.h"

#include "base/WideInteger.h"

#include <utility>

namespace lychee::budget {

namespace {

/// Margin for clock drift, in millionths: buckets fill by this much less than
/// the host's share of the rate. Quartz clocks of servers stay within 100 parts
/// per million of true time, and a corrected clock is slewed by at most 500.
/// Without the margin, ten hosts whose clocks run fast would admit more than
/// the rate.
constexpr std::int64_t DriftMargin = 500;
constexpr std::int64_t Million = 1'000'000;

} // namespace

RateTotal RateTotal::fromRequests(double RatePerSecond, double Burst) noexcept {
  RateTotal Total;
  Total.MicroRequestsPerSecond_ =
      static_cast<std::int64_t>(RatePerSecond * static_cast<double>(Million));
  Total.Burst_ =
      static_cast<std::int64_t>(Burst * static_cast<double>(TokensPerRequest));
  return Total;
}

RateShare::RateShare(std::string Budget, base::HostId Self,
                     const RateTotal &Total, base::TimePoint Now)
    : Share_(std::move(Budget), std::move(Self)), Total_(Total), Bucket_(Now) {}

std::int64_t RateShare::portion(std::int64_t Amount, Parts Held) noexcept {
  const base::Int128 Product = static_cast<base::Int128>(Amount) * Held;
  return static_cast<std::int64_t>(Product / TotalParts);
}

void RateShare::applyLimits(base::TimePoint Now) noexcept {
  const ShareAmount Held = Share_.usable(Now);
  const std::int64_t Rate = portion(Total_.MicroRequestsPerSecond_, Held.Rate_);
  const std::int64_t Margin = (Rate * DriftMargin + Million - 1) / Million;
  Bucket_.setLimits(Rate - Margin, portion(Total_.Burst_, Held.Capacity_), Now);
}

void RateShare::setTotal(const RateTotal &Total, base::TimePoint Now) noexcept {
  if (Total == Total_)
    return;
  Total_ = Total;
  applyLimits(Now);
}

bool RateShare::enterEpoch(std::uint64_t Epoch, const ShareAmount &Allotment,
                           base::TimePoint LeaseUntil,
                           base::TimePoint Now) noexcept {
  if (!Share_.enterEpoch(Epoch, Allotment, LeaseUntil, Now))
    return false;
  // No parts are kept across an expired lease, so that the limits drop all
  // tokens as well.
  applyLimits(Now);
  return true;
}

void RateShare::settle(std::uint64_t Epoch, base::TimePoint Now) noexcept {
  Share_.settle(Epoch);
  applyLimits(Now);
}

void RateShare::renewLease(std::uint64_t Epoch, base::TimePoint Until,
                           base::TimePoint Now) noexcept {
  const bool LeaseWasValid = Now < Share_.leaseUntil();
  Share_.renewLease(Epoch, Until);
  // Limits that were set while the lease was expired are those of an empty
  // share.
  if (!LeaseWasValid)
    applyLimits(Now);
}

SpendResult RateShare::spend(std::int64_t Cost, base::TimePoint Now) noexcept {
  if (Share_.usable(Now).isEmpty())
    return SpendResult::NoShare;
  return Bucket_.take(Cost, Now) ? SpendResult::Granted
                                 : SpendResult::Insufficient;
}

std::optional<Transfer> RateShare::donate(const base::HostId &Receiver,
                                          const ShareAmount &Wanted,
                                          std::int64_t Tokens,
                                          base::TimePoint Now) {
  std::optional<Transfer> Made = Share_.donate(Receiver, Wanted, Now);
  if (!Made)
    return std::nullopt;
  // No more tokens than the donated capacity can hold, so that the tokens of
  // all buckets stay within the burst while the message is in transit.
  const std::int64_t Most = portion(Total_.Burst_, Made->Amount_.Capacity_);
  Made->Tokens_ = Bucket_.takeUpTo(std::min(Tokens, Most), Now);
  applyLimits(Now);
  return Made;
}

bool RateShare::accept(const Transfer &Received, base::TimePoint Now) {
  if (!Share_.accept(Received, Now))
    return false;
  applyLimits(Now);
  Bucket_.add(Received.Tokens_, Now);
  return true;
}

std::int64_t RateShare::level(base::TimePoint Now) noexcept {
  return Share_.usable(Now).isEmpty() ? 0 : Bucket_.level(Now);
}

base::Duration RateShare::timeUntil(std::int64_t Cost,
                                    base::TimePoint Now) noexcept {
  if (Share_.usable(Now).isEmpty())
    return base::Duration::max();
  return Bucket_.timeUntil(Cost, Now);
}

} // namespace lychee::budget
