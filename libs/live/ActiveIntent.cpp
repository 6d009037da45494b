#include "live/ActiveIntent.h"

#include "base/Hash.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace lychee::live {

namespace {

/// A host that cannot tell whether a key is valid may know better after this
/// time.
constexpr base::Duration StaleKeyRetry = std::chrono::milliseconds(300);
/// Until operators have written settings that can be read.
constexpr base::Duration UnreadableRetry = std::chrono::seconds(1);
/// Number of hash digits, enough to distinguish a deployment's keys.
constexpr std::size_t KeyIdDigits = 16;

/// Rules with a longer prefix go first, and first of all one whose prefix
/// cannot be read: any request of its host may be its own.
std::size_t rankOf(const RouteRule &Rule) {
  return !Rule.Readable_ && Rule.PathPrefix_.empty()
             ? std::numeric_limits<std::size_t>::max()
             : Rule.PathPrefix_.size();
}

/// \returns the factor with which a rule's weights can be summed up: weights
/// of any size that a number may have only state proportions.
double weightScaleOf(const RouteRule &Rule) {
  constexpr double MaxWeight = 1e15;
  double Largest = 0;
  for (const WeightedService &Part : Rule.Services_)
    Largest = std::max(Largest, Part.Weight_);
  return Largest > MaxWeight ? 1 / Largest : 1;
}

} // namespace

void ActiveIntent::addKey(Snapshot &Into, const std::string &Key,
                          std::optional<std::size_t> Customer) {
  const base::KeyId Id(base::sha256Hex(Key).substr(0, KeyIdDigits));
  Into.ByKey_.emplace(Key, KeyHolder{Customer, Id});
  Into.ById_.emplace(Id.name(), Customer);
}

ActiveIntent::Snapshot
ActiveIntent::makeSnapshot(std::shared_ptr<const Intent> Source) {
  Snapshot Result;
  for (std::size_t Index = 0; Index < Source->Routes_.size(); ++Index)
    Result.ByHost_[Source->Routes_[Index].Host_].push_back(Index);
  for (auto &[Host, Rules] : Result.ByHost_)
    std::stable_sort(Rules.begin(), Rules.end(),
                     [&Source](std::size_t Left, std::size_t Right) {
                       return rankOf(Source->Routes_[Left]) >
                              rankOf(Source->Routes_[Right]);
                     });
  for (std::size_t Index = 0; Index < Source->Customers_.size(); ++Index)
    for (const std::string &Key : Source->Customers_[Index].Keys_)
      addKey(Result, Key, Index);
  for (const std::string &Key : Source->UnreadableCustomersKeys_)
    addKey(Result, Key, std::nullopt);
  Result.Intent_ = std::move(Source);
  return Result;
}

bool ActiveIntent::offer(std::shared_ptr<const Intent> Candidate,
                         base::TimePoint Now) {
  Snapshot Result = makeSnapshot(std::move(Candidate));
  const std::lock_guard Guard(Lock_);
  Unreadable_ = false;
  const std::uint64_t Known = Current_.Intent_ ? Current_.Intent_->Version_ : 0;
  AheadSince_ =
      Result.Intent_->Version_ < Known ? std::optional(Now) : std::nullopt;
  if (Current_.Intent_ && Result.Intent_->Version_ <= Known)
    return false;
  Current_ = std::move(Result);
  Balancers_.clear();
  return true;
}

std::optional<std::uint64_t>
ActiveIntent::versionAheadOfStore(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  if (!AheadSince_ || Now - *AheadSince_ >= AnnouncementTime)
    return std::nullopt;
  return Current_.Intent_->Version_;
}

void ActiveIntent::noteAnnouncedVersion(std::uint64_t Version,
                                        base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  if (Version < AnnouncedVersion_ && Now - AnnouncedAt_ < AnnouncementMemory)
    return;
  AnnouncedVersion_ = Version;
  AnnouncedAt_ = Now;
}

void ActiveIntent::noteUnreadable() {
  const std::lock_guard Guard(Lock_);
  Unreadable_ = true;
}

void ActiveIntent::confirm(base::TimePoint Time) {
  const std::lock_guard Guard(Lock_);
  if (Unreadable_)
    return;
  if (!ConfirmedAt_ || Time > *ConfirmedAt_)
    ConfirmedAt_ = Time;
}

std::shared_ptr<const Intent> ActiveIntent::current() const {
  const std::lock_guard Guard(Lock_);
  return Current_.Intent_;
}

bool ActiveIntent::isTrusted(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  if (!ConfirmedAt_ || !Current_.Intent_)
    return false;
  const bool IsOutdated = Current_.Intent_->Version_ < AnnouncedVersion_ &&
                          Now - AnnouncedAt_ < AnnouncementMemory;
  return !IsOutdated && Now - *ConfirmedAt_ < KeyTrust_;
}

std::optional<base::Duration> ActiveIntent::age(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  if (!ConfirmedAt_ || !Current_.Intent_)
    return std::nullopt;
  return Now - *ConfirmedAt_;
}

const base::ServiceId &ActiveIntent::pickService(const RouteRule &Rule) {
  if (Rule.Services_.size() == 1)
    return Rule.Services_.front().Service_;
  std::vector<double> &Credit = Balancers_[Rule.Name_].Credit_;
  Credit.resize(Rule.Services_.size());
  const double Scale = weightScaleOf(Rule);
  double Sum = 0;
  for (std::size_t Index = 0; Index < Credit.size(); ++Index) {
    const double Gain = Rule.Services_[Index].Weight_ * Scale;
    Credit[Index] += Gain;
    Sum += Gain;
  }
  const auto Chosen = std::max_element(Credit.begin(), Credit.end());
  *Chosen -= Sum;
  return Rule.Services_[static_cast<std::size_t>(Chosen - Credit.begin())]
      .Service_;
}

std::uint64_t ActiveIntent::settingsVersion() const {
  const std::lock_guard Guard(Lock_);
  return Current_.Intent_ ? Current_.Intent_->Version_ : 0;
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
    Found.Readable_ = Rule.Readable_;
    Found.RetryAfter_ =
        Rule.Readable_ ? base::Duration::zero() : UnreadableRetry;
    Found.Name_ = Rule.Name_;
    Found.SettingsVersion_ = Current_.Intent_->Version_;
    if (!Rule.Readable_)
      return Found;
    Found.Service_ = pickService(Rule);
    Found.Deadline_ = Rule.Timeout_;
    Found.Timeout_ = Rule.Timeout_;
    Found.Idempotent_ = Rule.Idempotent_;
    Found.Public_ = Rule.Public_ || !Current_.Intent_->NeedsKeys_;
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
  if (Presented.empty())
    return Found;
  const auto Holder = Current_.ByKey_.find(std::string(Presented));
  const bool IsKnown = Holder != Current_.ByKey_.end();
  const std::optional<std::size_t> Owner =
      IsKnown ? Holder->second.Customer_ : std::nullopt;
  if (!Owner && (IsKnown || Current_.Intent_->HasUnreadableKeys_)) {
    Found.Refusal_ = steering::Refusal::SettingsUnreadable;
    Found.RetryAfter_ = UnreadableRetry;
  }
  if (!Owner)
    return Found;
  const CustomerRule &Customer = Current_.Intent_->Customers_[*Owner];
  Found.Refusal_ = steering::Refusal::None;
  Found.Customer_ = Customer.Id_;
  Found.Key_ = Holder->second.Id_;
  Found.Priority_ = Customer.Priority_;
  Found.Homes_ = Customer.Homes_;
  return Found;
}

steering::Refusal ActiveIntent::recheck(const gateway::Identity &Presented,
                                        base::TimePoint Now) {
  if (!isTrusted(Now))
    return steering::Refusal::KeysStale;
  const std::lock_guard Guard(Lock_);
  const auto Holder = Current_.ById_.find(Presented.Key_.name());
  const bool IsKnown = Holder != Current_.ById_.end();
  const std::optional<std::size_t> Owner =
      IsKnown ? Holder->second : std::nullopt;
  if (!Owner)
    return IsKnown || Current_.Intent_->HasUnreadableKeys_
               ? steering::Refusal::SettingsUnreadable
               : steering::Refusal::KeyWithdrawn;
  const CustomerRule &Customer = Current_.Intent_->Customers_[*Owner];
  return Customer.Id_ == Presented.Customer_ ? steering::Refusal::None
                                             : steering::Refusal::KeyWithdrawn;
}

} // namespace lychee::live
