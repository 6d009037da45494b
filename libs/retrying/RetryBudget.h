#ifndef LYCHEE_RETRYING_RETRYBUDGET_H
#define LYCHEE_RETRYING_RETRYBUDGET_H

#include "base/Time.h"

#include <cmath>
#include <cstdint>

namespace lychee::retrying {

/// Bounds second sends to a fraction of the sends that succeeded.
///
/// Load pattern: targets fail or shed because they are overloaded. Without a
/// budget each request becomes up to as many sends as there are retries, and
/// the overload keeps itself up after its cause has gone. With a fraction of
/// successes, second sends fade just as successes do.
///
/// Use one for the host and one for each target, and spend from both or from
/// neither: the host's bounds the sum, the target's keeps one recovering
/// target from taking every second send of the host. \see spendBoth
///
/// Not thread-safe: the owner guards it by its shard's lock.
class RetryBudget {
public:
  struct Limits {
    /// Second sends earned by one success. At 0.1 a full outage adds at most
    /// a tenth to the load; 0.2 is the usual upper end in the field.
    double EarnedBySuccess_ = 0.1;
    /// Second sends allowed each second without any success, so that a quiet
    /// service can retry its first failure.
    double EarnedEachSecond_ = 1;
    /// Most that can be saved up: covers the requests that one lost target
    /// can hold (4 slots) with some over, and is spent within one outage.
    double Most_ = 10;
  };

  RetryBudget() noexcept : RetryBudget(Limits()) {}
  explicit RetryBudget(const Limits &Set) noexcept
      : Limits_(Set), Tokens_(inMicrotokens(Set.Most_)) {}

  void recordSuccess() noexcept { earn(Limits_.EarnedBySuccess_); }

  /// \returns true and takes one token where there is one.
  bool spend(base::TimePoint Now) noexcept;

  /// Takes one token from each, or none where either has none.
  static bool spendBoth(RetryBudget &Host, RetryBudget &Target,
                        base::TimePoint Now) noexcept;

private:
  void earn(double Amount) noexcept;
  void refill(base::TimePoint Now) noexcept;

  /// Whole numbers: ten tenths in floating point are less than one.
  static std::int64_t inMicrotokens(double Tokens) noexcept {
    return std::llround(Tokens * static_cast<double>(OneToken));
  }

  static constexpr std::int64_t OneToken = 1'000'000;

  Limits Limits_;
  std::int64_t Tokens_;
  base::TimePoint Refilled_;
};

} // namespace lychee::retrying

#endif
