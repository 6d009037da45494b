#ifndef LYCHEE_DISPATCH_TARGETSPEED_H
#define LYCHEE_DISPATCH_TARGETSPEED_H

#include "base/Time.h"

#include <optional>

namespace lychee::dispatch {

/// What a target last stated of its speed: how long work takes there, as a
/// multiple of the usual time. What to expect of it now depends on how fast
/// speeds change in its service. \see ServiceSpeeds
class TargetSpeed {
public:
  /// Takes a load report. \param Factor  empty: the target states none.
  void record(std::optional<double> Factor, base::TimePoint Now) noexcept {
    Factor_ = Factor;
    ReportedAt_ = Now;
  }

  bool hasReported() const noexcept { return ReportedAt_ != base::TimePoint(); }
  /// \returns the factor last stated; empty where the last report has none.
  const std::optional<double> &factor() const noexcept { return Factor_; }
  /// \returns the time since the last report.
  base::Duration age(base::TimePoint Now) const noexcept {
    return Now - ReportedAt_;
  }

private:
  std::optional<double> Factor_;
  base::TimePoint ReportedAt_;
};

} // namespace lychee::dispatch

#endif
