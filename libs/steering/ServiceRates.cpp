// Requests that wait for tokens of their customer's rate.
//
// Load pattern: a burst within a customer's limits reaches the hosts unevenly.
// The share of one host is used up while other hosts have tokens, which take a
// request and a response to move. Without the wait these requests are refused
// although the customer is within its rate (docs/measurements/bench.md).
#include "steering/ServiceSteering.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lychee::steering {

namespace {

/// A request interval of the rate budgets (50 ms) plus a round trip between
/// regions (40 ms): after this the peers have no tokens either.
constexpr base::Duration MaxRateWait = std::chrono::milliseconds(100);
/// Maximum number of requests of one customer that wait for tokens at one host:
/// the arrivals at a share of 160 requests per second within the wait. Further
/// requests of a customer far above its rate are refused at once.
constexpr std::ptrdiff_t MaxRateWaiting = 16;

} // namespace

bool ServiceSteering::mayWaitForRate(const Request &NewRequest) const {
  if (!Context_.RecheckRate_)
    return false;
  return std::ranges::count_if(RateWaiting_, [&](std::uint64_t Ticket) {
           return Pending_.at(Ticket).Request_.Customer_ ==
                  NewRequest.Customer_;
         }) < MaxRateWaiting;
}

Decision ServiceSteering::waitForRate(std::uint64_t Ticket,
                                      PendingRequest &Pending,
                                      base::TimePoint Now) {
  Pending.RateUntil_ = std::min(Now + MaxRateWait, Pending.Request_.Deadline_);
  Pending.IsWaiting_ = true;
  RateWaiting_.push_back(Ticket);
  Decision Result;
  Result.Action_ = Decision::Action::Wait;
  Result.Ticket_ = Ticket;
  Result.Reason_ = "rate-share-short";
  Result.WaitUntil_ = Pending.Request_.Deadline_;
  Result.SettingsVersion_ = Version_;
  return Result;
}

void ServiceSteering::resumeRateWaiting(base::TimePoint Now,
                                        std::vector<Wakeup> &Wakeups) {
  std::set<base::CustomerId> OutOfTokens;
  for (const std::uint64_t Ticket : std::exchange(RateWaiting_, {})) {
    PendingRequest &Pending = Pending_.at(Ticket);
    admission::RateCheck Rate{false, {}};
    // The oldest request of a customer goes first; the others wait behind it.
    if (!OutOfTokens.contains(Pending.Request_.Customer_))
      Rate = Context_.RecheckRate_(Pending.Request_.Customer_, Now);
    if (!Rate.Allowed_ && Now < Pending.RateUntil_) {
      OutOfTokens.insert(Pending.Request_.Customer_);
      RateWaiting_.push_back(Ticket);
      continue;
    }
    Pending.IsWaiting_ = false;
    const Decision Result = admit(Ticket, Pending, Rate, Now);
    if (Result.Action_ == Decision::Action::Wait)
      continue;
    Wakeups.push_back({Ticket, Result});
    if (Result.Action_ == Decision::Action::Refuse)
      Pending_.erase(Ticket);
  }
}

} // namespace lychee::steering
