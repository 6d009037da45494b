// Requests that wait for tokens of their customer's rate.
//
// Load pattern: a burst inside a customer's burst, whose requests come to hosts
// unevenly. One host's share is used up while others have tokens, which takes
// an ask and an answer to move. Without the wait, these are refused although
// the customer is inside its rate (docs/measurements/bench.md, round 6).
#include "steering/ServiceSteering.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lychee::steering {

namespace {

/// An ask interval of RateBudgets (50 ms) and a round trip between regions
/// (40 ms): after this, the peers have no tokens either.
constexpr base::Duration LongestRateWait = std::chrono::milliseconds(100);
/// Requests of one customer that wait so at one host: what a share of 160
/// requests a second brings within the wait. The rest of a customer far above
/// its rate is refused at once.
constexpr std::ptrdiff_t MostRateWaiting = 16;

} // namespace

bool ServiceSteering::mayWaitForRate(const Request &Arrived) const {
  if (!Context_.RecheckRate_)
    return false;
  return std::ranges::count_if(RateWaiting_, [&](std::uint64_t Ticket) {
           return Pending_.at(Ticket).Request_.Customer_ == Arrived.Customer_;
         }) < MostRateWaiting;
}

Decision ServiceSteering::holdForRate(std::uint64_t Ticket, Pending &Wanted,
                                      base::TimePoint Now) {
  Wanted.RateUntil_ =
      std::min(Now + LongestRateWait, Wanted.Request_.Deadline_);
  Wanted.Waits_ = true;
  RateWaiting_.push_back(Ticket);
  Decision Taken;
  Taken.Action_ = Decision::Action::Wait;
  Taken.Ticket_ = Ticket;
  Taken.Reason_ = "rate-share-short";
  Taken.WaitUntil_ = Wanted.Request_.Deadline_;
  Taken.SettingsVersion_ = Version_;
  return Taken;
}

void ServiceSteering::letRateWaitingGo(base::TimePoint Now,
                                       std::vector<Wakeup> &Woken) {
  std::set<base::CustomerId> Short;
  for (const std::uint64_t Ticket : std::exchange(RateWaiting_, {})) {
    Pending &Wanted = Pending_.at(Ticket);
    admission::RateCheck Rate{false, {}};
    // Of one customer the oldest goes first; the others wait behind it.
    if (!Short.contains(Wanted.Request_.Customer_))
      Rate = Context_.RecheckRate_(Wanted.Request_.Customer_, Now);
    if (!Rate.Allowed_ && Now < Wanted.RateUntil_) {
      Short.insert(Wanted.Request_.Customer_);
      RateWaiting_.push_back(Ticket);
      continue;
    }
    Wanted.Waits_ = false;
    const Decision Taken = enter(Ticket, Wanted, Rate, Now);
    if (Taken.Action_ == Decision::Action::Wait)
      continue;
    Woken.push_back({Ticket, Taken});
    if (Taken.Action_ == Decision::Action::Refuse)
      Pending_.erase(Ticket);
  }
}

} // namespace lychee::steering
