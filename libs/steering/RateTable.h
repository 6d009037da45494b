#ifndef LYCHEE_STEERING_RATETABLE_H
#define LYCHEE_STEERING_RATETABLE_H

#include "settings/Intent.h"

#include <array>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace lychee::steering {

/// This host's part of each customer's rate and burst, as token buckets in
/// shards by customer, each shard under its own lock.
///
/// Load pattern: one customer sends several times its rate. Without the check
/// its requests take the slots that others paid for.
class RateTable {
public:
  RateTable() = default;
  RateTable(const RateTable &) = delete;
  RateTable &operator=(const RateTable &) = delete;

  /// Takes over rates and bursts; tokens that stand are kept, up to the burst.
  void applyIntent(const settings::Intent &Intent, base::TimePoint Now);

  void setShare(const base::CustomerId &Customer, double Share,
                base::TimePoint Now);
  void setDefaultShare(double Share, base::TimePoint Now);

  /// Takes one token. \returns nothing where it was there, else the time after
  /// which one will be.
  std::optional<base::Duration> take(const base::CustomerId &Customer,
                                     base::TimePoint Now);

private:
  static constexpr std::size_t ShardCount = 16;
  /// A customer without any rate is told to come back after this.
  static constexpr base::Duration LongestRetryAfter = std::chrono::seconds(60);

  struct Bucket {
    double RatePerSecond_ = 0;
    double Burst_ = 0;
    std::optional<double> Share_;
    double Tokens_ = 0;
    base::TimePoint FilledAt_;
  };
  struct Shard {
    std::mutex Lock_;
    std::unordered_map<base::CustomerId, Bucket> Buckets_;
    double DefaultShare_ = 1;
  };

  static double shareOf(const Shard &Owner, const Bucket &Filled) noexcept;
  static void fill(const Shard &Owner, Bucket &Filled, base::TimePoint Now);
  Shard &shardOf(const base::CustomerId &Customer) noexcept;

  std::array<Shard, ShardCount> Shards_;
};

} // namespace lychee::steering

#endif
