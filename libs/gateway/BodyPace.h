#ifndef LYCHEE_GATEWAY_BODYPACE_H
#define LYCHEE_GATEWAY_BODYPACE_H

#include "base/Time.h"

#include <cstddef>

namespace lychee::gateway {

/// How long a body is waited for. Answers the load of callers that begin bodies
/// and do not go on: while what a body keeps from others is scarce, one that
/// makes no progress for a second, or is slower than 16 KiB a second, is ended.
/// \see BodyMemory
struct BodyPace {
  /// How long a body may make no progress.
  static constexpr base::Duration ScarcePatience = std::chrono::seconds(1);
  static constexpr double ScarceBytesPerSecond = 16 * 1024;

  /// Others need what the body keeps.
  bool IsScarce_ = false;

  /// \returns whether a body of which \p Received bytes came within \p Elapsed
  /// may go on.
  bool mayGoOn(std::size_t Received, base::Duration Elapsed) const noexcept;

  /// \returns until when a body that last made progress at \p Since may be
  /// waited for at \p Now, before this is asked again; \p Now or earlier: no
  /// longer.
  base::TimePoint waitLimit(base::TimePoint Since, base::Duration Usual,
                            base::TimePoint Now) const noexcept;
};

} // namespace lychee::gateway

#endif
