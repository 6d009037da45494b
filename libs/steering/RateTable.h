#ifndef LYCHEE_STEERING_RATETABLE_H
#define LYCHEE_STEERING_RATETABLE_H

#include "settings/Intent.h"

#include <array>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace lychee::steering {

/// This host's share of each customer's rate and burst, as token buckets
/// sharded by customer, with one lock per shard.
///
/// Load pattern: one customer sends several times its rate. Without this check
/// its requests take the slots that other customers paid for.
class RateTable {
public:
  RateTable() = default;
  RateTable(const RateTable &) = delete;
  RateTable &operator=(const RateTable &) = delete;

  /// Applies rates and bursts; existing tokens are kept, up to the burst.
  void applyIntent(const settings::Intent &Intent, base::TimePoint Now);

  void setShare(const base::CustomerId &Customer, double Share,
                base::TimePoint Now);
  void setDefaultShare(double Share, base::TimePoint Now);

  /// Takes one token. \returns nothing where one was available, else the time
  /// until one is.
  std::optional<base::Duration> take(const base::CustomerId &Customer,
                                     base::TimePoint Now);

private:
  static constexpr std::size_t ShardCount = 16;
  /// Upper bound of the retry time, and the retry time of a customer without
  /// any rate.
  static constexpr base::Duration MaxRetryAfter = std::chrono::seconds(60);

  struct Bucket {
    double RatePerSecond_ = 0;
    double Burst_ = 0;
    std::optional<double> Share_;
    double Tokens_ = 0;
    base::TimePoint RefilledAt_;
  };
  struct Shard {
    std::mutex Lock_;
    std::unordered_map<base::CustomerId, Bucket> Buckets_;
    double DefaultShare_ = 1;
  };

  static double shareOf(const Shard &Owner,
                        const Bucket &CustomerBucket) noexcept;
  static void refill(const Shard &Owner, Bucket &CustomerBucket,
                     base::TimePoint Now);
  Shard &shardOf(const base::CustomerId &Customer) noexcept;

  std::array<Shard, ShardCount> Shards_;
};

} // namespace lychee::steering

#endif
