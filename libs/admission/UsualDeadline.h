#ifndef LYCHEE_ADMISSION_USUALDEADLINE_H
#define LYCHEE_ADMISSION_USUALDEADLINE_H

#include "base/Time.h"

#include <cstdint>

namespace lychee::admission {

/// Learns the time that callers of a rule usually allow for their requests,
/// and tells by it whether a request is a retry.
///
/// Load pattern: callers that were refused retry among many new requests, and
/// nothing in a retry marks it; state for each caller would grow with their
/// number. But callers of one program state the same time for each first
/// attempt, and for a retry what is left of it.
///
/// The usual time is a majority vote in which an equal value counts twice, so
/// that it is found where more than a third of all requests state it: callers
/// retry once, so at least half are first attempts. Where callers' times vary,
/// no value gets a majority, and all requests count as new.
class UsualDeadline {
public:
  /// Times that differ by less are equal; callers state whole milliseconds.
  static constexpr base::Duration Tolerance = std::chrono::milliseconds(5);
  /// A retry that waited as told comes at least this long after the first
  /// attempt. \see ReturnSchedule::MinWait
  static constexpr base::Duration MinElapsed = std::chrono::milliseconds(50);
  /// Callers wait for a third of their time at most; the answers' transmission
  /// takes a little more.
  static constexpr double MinShareLeft = 0.6;
  /// Votes from which on a value counts as usual, and the most that it may
  /// have: a new value replaces it after some hundred requests.
  static constexpr std::int32_t MinVotes = 8;
  static constexpr std::int32_t MaxVotes = 64;

  /// Records a request. \param Left  time that its caller states.
  void record(base::Duration Left) noexcept;

  /// \returns whether the time left is that of a retry that waited.
  bool isRetry(base::Duration Left) const noexcept;

private:
  base::Duration Usual_{};
  std::int32_t Votes_ = 0;
};

} // namespace lychee::admission

#endif
