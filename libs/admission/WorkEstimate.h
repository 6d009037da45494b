#ifndef LYCHEE_ADMISSION_WORKESTIMATE_H
#define LYCHEE_ADMISSION_WORKESTIMATE_H

#include "base/Time.h"

#include <algorithm>

namespace lychee::admission {

/// The mean slot time of a service's requests, as measured of late.
///
/// Not thread-safe: part of its owner.
class WorkEstimate {
public:
  explicit WorkEstimate(base::Duration First) noexcept : Mean_(First) {}

  /// One sample moves the mean by 1/64: work of very different length comes
  /// mixed, and a mean that follows the last few would refuse for one long one.
  void add(base::Duration Took) noexcept {
    static constexpr int Samples = 64;
    Mean_ += (Took - Mean_) / Samples;
    Mean_ = std::max(Mean_, Shortest);
  }

  base::Duration mean() const noexcept { return Mean_; }

private:
  /// Keeps divisions by the mean defined.
  static constexpr base::Duration Shortest = std::chrono::microseconds(1);

  base::Duration Mean_;
};

} // namespace lychee::admission

#endif
