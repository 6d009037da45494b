#ifndef LYCHEE_SHIFTING_CAPMETER_H
#define LYCHEE_SHIFTING_CAPMETER_H

#include <algorithm>

namespace lychee::shifting {

/// Keeps the moved part of a stream of requests below a cap, request by
/// request.
///
/// Load pattern: a hash moves a share of the callers, but one of the moved
/// callers sends a tenth of all requests. The share of callers is kept and the
/// cap on the traffic broken. Here each request earns the cap's part of one
/// move, and a move costs one: since the start, moved requests never exceed
/// cap times all requests, and in any window at most by Most more. As it holds
/// for each host by itself, it holds for their sum without a word between
/// them.
///
/// Not thread-safe: part of its ShiftRunner.
class CapMeter {
public:
  /// Moves that can be saved up: lets a caller's short run of requests through
  /// and is too few to be seen in a second's traffic (some hundred requests).
  static constexpr double Most = 10;

  /// A request came that the plan could move.
  void count(double Cap) noexcept { Earned_ = std::min(Most, Earned_ + Cap); }

  bool mayMove() const noexcept { return Earned_ >= 1; }
  void moved() noexcept { Earned_ -= 1; }

private:
  double Earned_ = 0;
};

} // namespace lychee::shifting

#endif
