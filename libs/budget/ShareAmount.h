#ifndef LYCHEE_BUDGET_SHAREAMOUNT_H
#define LYCHEE_BUDGET_SHAREAMOUNT_H

#include <algorithm>
#include <cstdint>

namespace lychee::budget {

/// Parts of a total, as integers so that they add up exactly. A share is a
/// fraction of the total and not an absolute amount, because hosts receive a
/// changed rate one after another: a transfer that crosses the change would
/// otherwise be scaled by the donor and again by the receiver, and create
/// budget.
using Parts = std::int64_t;

/// Number of parts in a total. Fine enough that one part of a million requests
/// per second is less than one request in eleven days.
inline constexpr Parts TotalParts = Parts(1) << 40;

/// A holder's share of a total's rate and of its capacity (a burst, or slots).
struct ShareAmount {
  Parts Rate_ = 0;
  Parts Capacity_ = 0;

  bool operator==(const ShareAmount &) const = default;

  constexpr bool isEmpty() const noexcept {
    return Rate_ <= 0 && Capacity_ <= 0;
  }

  constexpr ShareAmount plus(const ShareAmount &Other) const noexcept {
    return {Rate_ + Other.Rate_, Capacity_ + Other.Capacity_};
  }

  constexpr ShareAmount minus(const ShareAmount &Other) const noexcept {
    return {Rate_ - Other.Rate_, Capacity_ - Other.Capacity_};
  }

  /// \returns the component-wise minimum.
  constexpr ShareAmount least(const ShareAmount &Other) const noexcept {
    return {std::min(Rate_, Other.Rate_), std::min(Capacity_, Other.Capacity_)};
  }
};

/// \returns the equal share of each of \p Holders, rounded down so that the sum
/// never exceeds the total.
constexpr ShareAmount equalShare(std::uint32_t Holders) noexcept {
  if (Holders == 0)
    return {};
  return {TotalParts / Holders, TotalParts / Holders};
}

} // namespace lychee::budget

#endif
