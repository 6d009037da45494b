#ifndef LYCHEE_GATEWAY_STOPWINDOW_H
#define LYCHEE_GATEWAY_STOPWINDOW_H

#include "base/Time.h"

#include <optional>

namespace lychee::gateway {

/// The time that a stop takes at most, and which work it still begins.
///
/// Load it answers: callers that go on using connections and look-ups of before
/// the stop. Work that is not over when the stop is gets lost; work that is not
/// begun is at another host after one round trip, at the price of an attempt.
/// So work begins that is over in time at the latest. Work that may take longer
/// than a whole stop would be turned away from the first moment on, when
/// callers have not heard of the stop; it begins early where it is expected to
/// end.
/// \see StopSequence
class StopWindow {
public:
  StopWindow(base::TimePoint Begin, base::Duration Length) noexcept
      : Begin_(Begin), Middle_(Begin + Length / 2), End_(Begin + Length) {}

  /// \param Deadline  when the work ends at the latest.
  /// \param Expected  how long it is expected to take; nothing: not known.
  /// \returns whether to begin it.
  bool mayBegin(base::TimePoint Deadline,
                std::optional<base::Duration> Expected,
                base::TimePoint Now) const noexcept;

  base::TimePoint end() const noexcept { return End_; }

private:
  base::TimePoint Begin_;
  /// Until then callers may not have heard of the stop.
  base::TimePoint Middle_;
  base::TimePoint End_;
};

} // namespace lychee::gateway

#endif
