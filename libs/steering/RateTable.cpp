#include "steering/RateTable.h"

#include <algorithm>

namespace lychee::steering {

double RateTable::shareOf(const Shard &Owner,
                          const Bucket &CustomerBucket) noexcept {
  return CustomerBucket.Share_.value_or(Owner.DefaultShare_);
}

void RateTable::refill(const Shard &Owner, Bucket &CustomerBucket,
                       base::TimePoint Now) {
  const double Share = shareOf(Owner, CustomerBucket);
  const double Gained =
      base::toSeconds(
          std::max(Now - CustomerBucket.RefilledAt_, base::Duration(0))) *
      CustomerBucket.RatePerSecond_ * Share;
  CustomerBucket.Tokens_ =
      std::min(CustomerBucket.Tokens_ + Gained, CustomerBucket.Burst_ * Share);
  CustomerBucket.RefilledAt_ = std::max(CustomerBucket.RefilledAt_, Now);
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
    const auto [Found, IsNew] = Owner.Buckets_.try_emplace(Id);
    Bucket &CustomerBucket = Found->second;
    if (IsNew)
      CustomerBucket.RefilledAt_ = Now;
    refill(Owner, CustomerBucket, Now);
    CustomerBucket.RatePerSecond_ = Customer.RatePerSecond_;
    CustomerBucket.Burst_ = Customer.Burst_;
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
  const auto Found = Owner.Buckets_.find(Customer);
  if (Found == Owner.Buckets_.end())
    return;
  refill(Owner, Found->second, Now);
  Found->second.Share_ = Share;
  refill(Owner, Found->second, Now);
}

void RateTable::setDefaultShare(double Share, base::TimePoint Now) {
  for (Shard &Owner : Shards_) {
    const std::scoped_lock Guard(Owner.Lock_);
    for (auto &[Id, CustomerBucket] : Owner.Buckets_)
      refill(Owner, CustomerBucket, Now);
    Owner.DefaultShare_ = Share;
    for (auto &[Id, CustomerBucket] : Owner.Buckets_)
      refill(Owner, CustomerBucket, Now);
  }
}

std::optional<base::Duration> RateTable::take(const base::CustomerId &Customer,
                                              base::TimePoint Now) {
  Shard &Owner = shardOf(Customer);
  const std::scoped_lock Guard(Owner.Lock_);
  const auto Found = Owner.Buckets_.find(Customer);
  if (Found == Owner.Buckets_.end())
    return MaxRetryAfter;
  Bucket &CustomerBucket = Found->second;
  refill(Owner, CustomerBucket, Now);
  if (CustomerBucket.Tokens_ >= 1) {
    CustomerBucket.Tokens_ -= 1;
    return std::nullopt;
  }
  const double Rate =
      CustomerBucket.RatePerSecond_ * shareOf(Owner, CustomerBucket);
  if (Rate <= 0)
    return MaxRetryAfter;
  return std::min(base::fromSeconds((1 - CustomerBucket.Tokens_) / Rate),
                  MaxRetryAfter);
}

} // namespace lychee::steering
