#ifndef LYCHEE_BUDGET_SHAREAMOUNT_H
#define LYCHEE_BUDGET_SHAREAMOUNT_H

#include <algorithm>
#include <cstdint>

namespace lychee::budget {

/// Parts of a total, as whole numbers so that they add up exactly.
/// A share is a fraction and not an amount on purpose: when operators change a
/// customer's rate, hosts learn of it one after another, and a transfer that
/// crosses the change would otherwise be scaled once by the donor and again by
/// the receiver, and create budget.
using Parts = std::int64_t;

/// The parts that make the whole of a total: fine enough that one part of a
/// million requests a second is under one request in eleven days.
inline constexpr Parts TotalParts = Parts(1) << 40;

/// How much of a total's rate and of its capacity (a burst, or slots) one
/// holder has.
struct ShareAmount {
  Parts Rate_ = 0;
  Parts Capacity_ = 0;

  bool operator==(const ShareAmount &) const = default;

  constexpr bool isNothing() const noexcept {
    return Rate_ <= 0 && Capacity_ <= 0;
  }

  constexpr ShareAmount plus(const ShareAmount &Other) const noexcept {
    return {Rate_ + Other.Rate_, Capacity_ + Other.Capacity_};
  }

  constexpr ShareAmount minus(const ShareAmount &Other) const noexcept {
    return {Rate_ - Other.Rate_, Capacity_ - Other.Capacity_};
  }

  /// \returns the smaller of each component.
  constexpr ShareAmount least(const ShareAmount &Other) const noexcept {
    return {std::min(Rate_, Other.Rate_), std::min(Capacity_, Other.Capacity_)};
  }
};

/// \returns the equal share of each of \p Holders; what does not divide is
/// left out, so the sum never exceeds the whole.
constexpr ShareAmount equalShare(std::uint32_t Holders) noexcept {
  if (Holders == 0)
    return {};
  return {TotalParts / Holders, TotalParts / Holders};
}

} // namespace lychee::budget

#endif
