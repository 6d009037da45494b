#include "steering/RateTable.h"

#include <algorithm>

namespace lychee::steering {

double RateTable::shareOf(const Shard &Owner, const Bucket &Filled) noexcept {
  return Filled.Share_.value_or(Owner.DefaultShare_);
}

void RateTable::fill(const Shard &Owner, Bucket &Filled, base::TimePoint Now) {
  const double Share = shareOf(Owner, Filled);
  const double Gained =
      base::toSeconds(std::max(Now - Filled.FilledAt_, base::Duration(0))) *
      Filled.RatePerSecond_ * Share;
  Filled.Tokens_ = std::min(Filled.Tokens_ + Gained, Filled.Burst_ * Share);
  Filled.FilledAt_ = std::max(Filled.FilledAt_, Now);
}

RateTable::Shard &
RateTable::shardOf(const base::CustomerId &Customer) noexcept {
  return Shards_[std::hash<base::CustomerId>()(Customer) % ShardCount];
}

void RateTable::applyIntent(const settings::Intent &Intent,
                            base::TimePoint Now) {
  for (const auto &[Id, Customer] : Intent.Customers_) {
    Shard &Owner = shardOf(Id);
    const std::scoped_lock Guard(Owner.Lock_);
    const auto [Place, IsNew] = Owner.Buckets_.try_emplace(Id);
    Bucket &Changed = Place->second;
    if (IsNew)
      Changed.FilledAt_ = Now;
    fill(Owner, Changed, Now);
    Changed.RatePerSecond_ = Customer.RatePerSecond_;
    Changed.Burst_ = Customer.Burst_;
  }
  for (Shard &Owner : Shards_) {
    const std::scoped_lock Guard(Owner.Lock_);
    std::erase_if(Owner.Buckets_, [&](const auto &Entry) {
      return !Intent.Customers_.contains(Entry.first);
    });
  }
}

void RateTable::setShare(const base::CustomerId &Customer, double Share,
                         base::TimePoint Now) {
  Shard &Owner = shardOf(Customer);
  const std::scoped_lock Guard(Owner.Lock_);
  const auto Place = Owner.Buckets_.find(Customer);
  if (Place == Owner.Buckets_.end())
    return;
  fill(Owner, Place->second, Now);
  Place->second.Share_ = Share;
  fill(Owner, Place->second, Now);
}

void RateTable::setDefaultShare(double Share, base::TimePoint Now) {
  for (Shard &Owner : Shards_) {
    const std::scoped_lock Guard(Owner.Lock_);
    for (auto &[Id, Filled] : Owner.Buckets_)
      fill(Owner, Filled, Now);
    Owner.DefaultShare_ = Share;
    for (auto &[Id, Filled] : Owner.Buckets_)
      fill(Owner, Filled, Now);
  }
}

std::optional<base::Duration> RateTable::take(const base::CustomerId &Customer,
                                              base::TimePoint Now) {
  Shard &Owner = shardOf(Customer);
  const std::scoped_lock Guard(Owner.Lock_);
  const auto Place = Owner.Buckets_.find(Customer);
  if (Place == Owner.Buckets_.end())
    return LongestRetryAfter;
  Bucket &Filled = Place->second;
  fill(Owner, Filled, Now);
  if (Filled.Tokens_ >= 1) {
    Filled.Tokens_ -= 1;
    return std::nullopt;
  }
  const double Rate = Filled.RatePerSecond_ * shareOf(Owner, Filled);
  if (Rate <= 0)
    return LongestRetryAfter;
  return std::min(base::fromSeconds((1 - Filled.Tokens_) / Rate),
                  LongestRetryAfter);
}

} // namespace lychee::steering
