#include "dispatch/DispatchSteering.h"

#include <algorithm>
#include <utility>

/// How a request waits for a token of its customer's rate that another host
/// keeps.
namespace lychee::dispatch {

using steering::Decision;
using steering::Refusal;

namespace {

/// Callers that come back sooner would find the same bucket.
constexpr base::Duration LeastRateWait = std::chrono::milliseconds(100);

} // namespace

Decision DispatchSteering::refuseOverRate(std::uint64_t Ticket,
                                          base::Duration Wait) {
  Flights_.erase(Ticket);
  return refuse(Refusal::RateLimited, std::max(Wait, LeastRateWait), false);
}

Decision DispatchSteering::awaitToken(std::uint64_t Ticket, TokenWait Wanted,
                                      const std::string &Holder,
                                      base::TimePoint Now) {
  Parts_.AskToken_(Holder, Ticket, Wanted.Customer_);
  Wanted.Until_ = Now + TokenPatience;
  Decision Made;
  Made.Action_ = Decision::Action::Wait;
  Made.Ticket_ = Ticket;
  Made.Reason_ = "token";
  // Twice: the holder, and who takes its place.
  Made.WaitUntil_ = Now + TokenPatience * 2;
  Made.SettingsVersion_ = Intent_ ? Intent_->Version_ : 0;
  TokenWaits_[Ticket] = std::move(Wanted);
  return Made;
}

Decision DispatchSteering::endTokenWait(std::uint64_t Ticket,
                                        std::optional<base::Duration> Wait,
                                        base::TimePoint Now) {
  TokenWaits_.erase(Ticket);
  const auto Found = Flights_.find(Ticket);
  if (Found == Flights_.end())
    return {};
  return Wait ? refuseOverRate(Ticket, *Wait)
              : admit(Ticket, Found->second, Now);
}

std::optional<base::Duration>
DispatchSteering::grantToken(const base::CustomerId &Customer,
                             base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  return Rates_.takeFor(Customer, Now);
}

void DispatchSteering::handleTokenResponse(
    std::uint64_t Ticket, std::optional<base::Duration> Wait,
    base::TimePoint Now, std::vector<steering::Wakeup> &Woken) {
  const std::lock_guard Guard(Lock_);
  const auto Found = TokenWaits_.find(Ticket);
  if (Found == TokenWaits_.end())
    return;
  // Who is asked in the keeper's place has few tokens; the keeper itself may
  // still grant one.
  if (Wait && std::exchange(Found->second.AsksBoth_, false)) {
    Found->second.Denied_ = Wait;
    return;
  }
  Woken.push_back({Ticket, endTokenWait(Ticket, Wait, Now)});
}

/// A holder that does not answer in time is dead, cut off or waits for its
/// processor. The next in line is asked; where that one does not answer either,
/// this host is the one in trouble, and goes by its own part alone.
void DispatchSteering::tick(base::TimePoint Now,
                            std::vector<steering::Wakeup> &Woken) {
  const std::lock_guard Guard(Lock_);
  std::vector<std::uint64_t> Given;
  for (auto &[Ticket, Each] : TokenWaits_) {
    if (Now < Each.Until_)
      continue;
    if (Each.Next_.empty()) {
      Given.push_back(Ticket);
      continue;
    }
    Parts_.AskToken_(std::exchange(Each.Next_, {}), Ticket, Each.Customer_);
    Each.Until_ = Now + TokenPatience;
    Each.AsksBoth_ = true;
  }
  for (const std::uint64_t Ticket : Given) {
    const TokenWait &Each = TokenWaits_[Ticket];
    const auto Wait =
        Each.Denied_ ? Each.Denied_ : Rates_.takeAlone(Each.Customer_, Now);
    Woken.push_back({Ticket, endTokenWait(Ticket, Wait, Now)});
  }
}

} // namespace lychee::dispatch
