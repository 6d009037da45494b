#include "live/ActiveIntent.h"

#include "base/Hash.h"

#include <algorithm>

namespace lychee::live {

namespace {

/// A host that cannot tell whether a key holds may know better this soon.
constexpr base::Duration StaleKeyRetry = std::chrono::milliseconds(300);
/// Of a key's hash, enough to tell a deployment's keys apart.
constexpr std::size_t ShownDigits = 16;

} // namespace

ActiveIntent::Snapshot
ActiveIntent::snapshotOf(std::shared_ptr<const Intent> From) {
  Snapshot Made;
  for (std::size_t Index = 0; Index < From->Routes_.size(); ++Index)
    Made.ByHost_[From->Routes_[Index].Host_].push_back(Index);
  for (auto &[Host, Rules] : Made.ByHost_)
    std::stable_sort(Rules.begin(), Rules.end(),
                     [&From](std::size_t Left, std::size_t Right) {
                       return From->Routes_[Left].PathPrefix_.size() >
                              From->Routes_[Right].PathPrefix_.size();
                     });
  for (std::size_t Index = 0; Index < From->Customers_.size(); ++Index)
    for (const std::string &Key : From->Customers_[Index].Keys_) {
      const base::KeyId Id(base::sha256Hex(Key).substr(0, ShownDigits));
      Made.ByKey_.emplace(Key, KeyHolder{Index, Id});
      Made.ById_.emplace(Id.name(), Index);
    }
  Made.Intent_ = std::move(From);
  return Made;
}

bool ActiveIntent::offer(std::shared_ptr<const Intent> Fresh) {
  Snapshot Made = snapshotOf(std::move(Fresh));
  const std::lock_guard Guard(Lock_);
  if (Current_.Intent_ && Made.Intent_->Version_ <= Current_.Intent_->Version_)
    return false;
  Current_ = std::move(Made);
  Divisions_.clear();
  return true;
}

void ActiveIntent::confirm(base::TimePoint Moment) {
  const std::lock_guard Guard(Lock_);
  if (!Confirmed_ || Moment > *Confirmed_)
    Confirmed_ = Moment;
}

std::shared_ptr<const Intent> ActiveIntent::current() const {
  const std::lock_guard Guard(Lock_);
  return Current_.Intent_;
}

bool ActiveIntent::isTrusted(base::TimePoint Now) const {
  const std::optional<base::Duration> Known = age(Now);
  return Known && *Known < KeyTrust_;
}

std::optional<base::Duration> ActiveIntent::age(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  if (!Confirmed_ || !Current_.Intent_)
    return std::nullopt;
  return Now - *Confirmed_;
}

const base::ServiceId &ActiveIntent::divide(const RouteRule &Rule) {
  if (Rule.Services_.size() == 1)
    return Rule.Services_.front().Service_;
  std::vector<std::int64_t> &Credit = Divisions_[Rule.Name_].Credit_;
  Credit.resize(Rule.Services_.size());
  std::int64_t Sum = 0;
  for (std::size_t Index = 0; Index < Credit.size(); ++Index) {
    Credit[Index] += Rule.Services_[Index].Weight_;
    Sum += Rule.Services_[Index].Weight_;
  }
  const auto Chosen = std::max_element(Credit.begin(), Credit.end());
  *Chosen -= Sum;
  return Rule.Services_[static_cast<std::size_t>(Chosen - Credit.begin())]
      .Service_;
}

std::optional<gateway::Route>
ActiveIntent::route(const gateway::RouteQuery &Query) {
  const std::lock_guard Guard(Lock_);
  const auto Host = Current_.ByHost_.find(std::string(Query.HostName_));
  if (Host == Current_.ByHost_.end())
    return std::nullopt;
  for (const std::size_t Index : Host->second) {
    const RouteRule &Rule = Current_.Intent_->Routes_[Index];
    if (!Query.Path_.starts_with(Rule.PathPrefix_))
      continue;
    gateway::Route Found;
    Found.Service_ = divide(Rule);
    Found.Deadline_ = Rule.Timeout_;
    Found.Timeout_ = Rule.Timeout_;
    Found.Idempotent_ = Rule.Idempotent_;
    Found.SettingsVersion_ = Current_.Intent_->Version_;
    Found.Name_ = Rule.Name_;
    Found.Public_ = Rule.Public_ || Current_.Intent_->Customers_.empty();
    Found.Objective_ = Rule.Objective_;
    Found.MaximumSends_ = Rule.MaximumSends_;
    Found.Priority_ = Rule.Priority_;
    Found.ByObject_ = Rule.ByObject_;
    Found.Homes_ = Rule.Homes_;
    return Found;
  }
  return std::nullopt;
}

gateway::Identity ActiveIntent::check(std::string_view Presented,
                                      base::TimePoint Now) {
  const bool Trusted = isTrusted(Now);
  const std::lock_guard Guard(Lock_);
  gateway::Identity Found;
  if (!Current_.Intent_ || !Trusted) {
    Found.Refusal_ = steering::Refusal::KeysStale;
    Found.RetryAfter_ = StaleKeyRetry;
    return Found;
  }
  Found.SettingsVersion_ = Current_.Intent_->Version_;
  const auto Holder = Current_.ByKey_.find(std::string(Presented));
  if (Presented.empty() || Holder == Current_.ByKey_.end())
    return Found;
  const CustomerRule &Customer =
      Current_.Intent_->Customers_[Holder->second.Customer_];
  Found.Refusal_ = steering::Refusal::None;
  Found.Customer_ = Customer.Id_;
  Found.Key_ = Holder->second.Id_;
  Found.Priority_ = Customer.Priority_;
  Found.Homes_ = Customer.Homes_;
  return Found;
}

steering::Refusal ActiveIntent::recheck(const gateway::Identity &Found,
                                        base::TimePoint Now) {
  if (!isTrusted(Now))
    return steering::Refusal::KeysStale;
  const std::lock_guard Guard(Lock_);
  const auto Holder = Current_.ById_.find(Found.Key_.name());
  const bool Holds =
      Holder != Current_.ById_.end() &&
      Current_.Intent_->Customers_[Holder->second].Id_ == Found.Customer_;
  return Holds ? steering::Refusal::None : steering::Refusal::KeyWithdrawn;
}

} // namespace lychee::live
