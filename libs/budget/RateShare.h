#ifndef LYCHEE_BUDGET_RATESHARE_H
#define LYCHEE_BUDGET_RATESHARE_H

#include "budget/EpochShare.h"
#include "budget/TokenBucket.h"

namespace lychee::budget {

/// The total of a rate budget over all hosts: a rate and a burst.
struct RateTotal {
  /// Millionths of a request per second.
  std::int64_t MicroRequestsPerSecond_ = 0;
  /// In tokens. \see TokensPerRequest
  std::int64_t Burst_ = 0;

  bool operator==(const RateTotal &) const = default;

  /// \param RatePerSecond,Burst  in requests, not negative.
  static RateTotal fromRequests(double RatePerSecond, double Burst) noexcept;
};

/// The result of spending tokens.
enum class SpendResult {
  Granted,
  /// The share has too few tokens; peers may have some, or time will refill it.
  Insufficient,
  /// No valid lease, or no share yet: nothing may be spent.
  NoShare,
};

/// One host's share of a customer's rate and burst. In any period, all hosts
/// together admit at most the rate times the period plus the burst. This holds
/// because at each moment the capacities of all buckets add up to at most the
/// burst and their rates to at most the rate (\see EpochShare), and because
/// tokens leave the donor's bucket before they enter the receiver's. There is
/// no refund: a token returned after the bucket has refilled would admit one
/// request more than the burst in a period that begins after it was first
/// spent. Not thread-safe. \see RateBudgets, DemandEstimator
class RateShare {
public:
  RateShare(std::string Budget, base::HostId Self, const RateTotal &Total,
            base::TimePoint Now);

  /// Sets a changed total; the share's parts stay the same.
  void setTotal(const RateTotal &Total, base::TimePoint Now) noexcept;

  bool enterEpoch(std::uint64_t Epoch, const ShareAmount &Allotment,
                  base::TimePoint LeaseUntil, base::TimePoint Now) noexcept;
  void settle(std::uint64_t Epoch, base::TimePoint Now) noexcept;
  void renewLease(std::uint64_t Epoch, base::TimePoint Until,
                  base::TimePoint Now) noexcept;

  /// Spends \p Cost tokens, all or none.
  /// \param Now  read after any wait, immediately before this call.
  SpendResult spend(std::int64_t Cost, base::TimePoint Now) noexcept;

  /// Subtracts parts and tokens from this share for \p Receiver.
  /// \see EpochShare::donate
  std::optional<Transfer> donate(const base::HostId &Receiver,
                                 const ShareAmount &Wanted, std::int64_t Tokens,
                                 base::TimePoint Now);
  bool accept(const Transfer &Received, base::TimePoint Now);

  /// \returns the number of tokens; 0 without a usable share.
  std::int64_t level(base::TimePoint Now) noexcept;
  base::Duration timeUntil(std::int64_t Cost, base::TimePoint Now) noexcept;

  const EpochShare &share() const noexcept { return Share_; }
  const RateTotal &total() const noexcept { return Total_; }

  /// \returns \p Held parts of \p Amount, rounded down.
  static std::int64_t portion(std::int64_t Amount, Parts Held) noexcept;

private:
  void applyLimits(base::TimePoint Now) noexcept;

  EpochShare Share_;
  RateTotal Total_;
  TokenBucket Bucket_;
};

} // namespace lychee::budget

#endif
