#ifndef LYCHEE_RETRYING_RETRYBUDGET_H
#define LYCHEE_RETRYING_RETRYBUDGET_H

#include "base/Time.h"

#include <cmath>
#include <cstdint>

namespace lychee::retrying {

/// Limits retries and hedges to a fraction of the sends that succeeded.
///
/// Load pattern: targets fail or shed because they are overloaded. Without a
/// budget each request becomes as many sends as it may be retried, and the
/// overload sustains itself after its cause has gone. With a fraction of the
/// successes, retries decrease together with the successes.
///
/// Use one budget for the host and one for each target, and take a token from
/// both or from neither: the host's budget limits the total, and a target's
/// budget keeps a recovering target from consuming all retries of the host.
/// \see spendBoth
///
/// Not thread-safe: the owner guards it by its shard's lock.
class RetryBudget {
public:
  struct Limits {
    /// Tokens gained per success. At 0.1 a full outage adds at most a tenth to
    /// the load; 0.2 is the usual upper end in the field.
    double TokensPerSuccess_ = 0.1;
    /// Tokens gained per second without any success, so that a service with
    /// little traffic can retry its first failure.
    double TokensPerSecond_ = 1;
    /// Upper bound of the saved tokens. It covers the requests that one lost
    /// target can hold (4 slots) with a margin, and is spent within one outage.
    double MaxTokens_ = 10;
  };

  RetryBudget() noexcept : RetryBudget(Limits()) {}
  explicit RetryBudget(const Limits &Config) noexcept
      : Limits_(Config), Tokens_(inMicrotokens(Config.MaxTokens_)) {}

  void recordSuccess() noexcept { addTokens(Limits_.TokensPerSuccess_); }

  /// Takes one token. \returns false if there is none.
  bool spend(base::TimePoint Now) noexcept;

  /// Takes one token from each budget. \returns false, and takes none, if
  /// either budget has no token.
  static bool spendBoth(RetryBudget &Host, RetryBudget &Target,
                        base::TimePoint Now) noexcept;

private:
  void addTokens(double Amount) noexcept;
  void refill(base::TimePoint Now) noexcept;

  /// Tokens are counted in integers, because ten tenths in floating point add
  /// up to less than one.
  static std::int64_t inMicrotokens(double Tokens) noexcept {
    return std::llround(Tokens * static_cast<double>(OneToken));
  }

  /// One token in microtokens.
  static constexpr std::int64_t OneToken = 1'000'000;

  Limits Limits_;
  std::int64_t Tokens_;
  base::TimePoint LastRefill_;
};

} // namespace lychee::retrying

#endif
