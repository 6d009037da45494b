#ifndef LYCHEE_BUDGET_RATESHARE_H
#define LYCHEE_BUDGET_RATESHARE_H

#include "budget/EpochShare.h"
#include "budget/TokenBucket.h"

namespace lychee::budget {

/// A total of requests: so many a second, and so many at once.
struct RateTotal {
  /// Millionths of a request a second.
  std::int64_t MicroRequestsPerSecond_ = 0;
  /// Tokens, see TokensPerRequest.
  std::int64_t Burst_ = 0;

  bool operator==(const RateTotal &) const = default;

  /// \param RatePerSecond,Burst  in requests, not negative.
  static RateTotal fromRequests(double RatePerSecond, double Burst) noexcept;
};

/// How a request for tokens ended.
enum class SpendResult {
  Granted,
  /// The share is empty; peers may have some, or time will fill it.
  Short,
  /// No lease, or a share not yet given: nothing may be spent.
  NoShare,
};

/// One host's share of a customer's rate and burst. What all hosts let in
/// between any two moments is at most the rate times the time between, plus
/// the burst. It holds since at each moment the buckets' bounds add up to at
/// most the burst and their rates to at most the rate (\see EpochShare), and
/// tokens move between buckets donor first. There is no refund: a token given
/// back after the bucket has refilled would let one more through than the
/// burst, in a window that begins after the first spending.
/// Not thread-safe. \see RateBudgets, DemandEstimator
class RateShare {
public:
  RateShare(std::string Budget, base::HostId Self, const RateTotal &Total,
            base::TimePoint Now);

  /// Operators changed the total; the share's parts stay as they are.
  void setTotal(const RateTotal &Total, base::TimePoint Now) noexcept;

  bool enterEpoch(std::uint64_t Epoch, const ShareAmount &Allotment,
                  base::TimePoint LeaseUntil, base::TimePoint Now) noexcept;
  void settle(std::uint64_t Epoch, base::TimePoint Now) noexcept;
  void renewLease(std::uint64_t Epoch, base::TimePoint Until,
                  base::TimePoint Now) noexcept;

  /// Spends \p Cost tokens.
  /// \param Now  read after any wait, right before this call.
  SpendResult spend(std::int64_t Cost, base::TimePoint Now) noexcept;

  /// Takes parts and tokens off this share for \p Receiver.
  std::optional<Transfer> donate(const base::HostId &Receiver,
                                 const ShareAmount &Wanted, std::int64_t Tokens,
                                 base::TimePoint Now);
  bool accept(const Transfer &Received, base::TimePoint Now);

  /// \returns tokens there are now.
  std::int64_t level(base::TimePoint Now) noexcept;
  base::Duration timeUntil(std::int64_t Cost, base::TimePoint Now) noexcept;

  const EpochShare &share() const noexcept { return Share_; }
  const RateTotal &total() const noexcept { return Total_; }

  /// \returns the part of \p Amount that \p Held of the whole makes, rounded
  /// down.
  static std::int64_t portion(std::int64_t Amount, Parts Held) noexcept;

private:
  void applyLimits(base::TimePoint Now) noexcept;

  EpochShare Share_;
  RateTotal Total_;
  TokenBucket Bucket_;
};

} // namespace lychee::budget

#endif
