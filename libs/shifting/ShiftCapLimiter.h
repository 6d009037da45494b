#ifndef LYCHEE_SHIFTING_SHIFTCAPLIMITER_H
#define LYCHEE_SHIFTING_SHIFTCAPLIMITER_H

#include <algorithm>

namespace lychee::shifting {

/// Keeps the moved share of requests below a cap, counted request by request,
/// as a token bucket.
///
/// Load pattern: a hash moves a share of the callers, but one of the moved
/// callers sends a tenth of all requests. The share of moved callers is kept,
/// yet the share of moved requests exceeds the cap. Here each request adds the
/// cap's fraction of a token and each move takes one token: since the start,
/// moved requests never exceed the cap times all requests, and in any time
/// window they exceed it by at most MaxTokens. As this holds for each host, it
/// holds for the sum of all hosts without communication between them.
///
/// Not thread-safe: part of its ShiftRunner.
class ShiftCapLimiter {
public:
  /// Maximum number of saved tokens: lets a caller's short burst through, and
  /// is too small to show in a second's traffic (some hundred requests).
  static constexpr double MaxTokens = 10;

  /// Adds the tokens of one request that the plan could move.
  void addRequest(double Cap) noexcept {
    Tokens_ = std::min(MaxTokens, Tokens_ + Cap);
  }

  bool mayMove() const noexcept { return Tokens_ >= 1; }
  void takeMove() noexcept { Tokens_ -= 1; }

private:
  double Tokens_ = 0;
};

} // namespace lychee::shifting

#endif
