#ifndef LYCHEE_ADMISSION_WORKESTIMATE_H
#define LYCHEE_ADMISSION_WORKESTIMATE_H

#include "base/Time.h"

#include <algorithm>

namespace lychee::admission {

/// The mean of the recently measured slot times of a service's requests.
///
/// Not thread-safe: part of its owner.
class WorkEstimate {
public:
  explicit WorkEstimate(base::Duration Initial) noexcept : Mean_(Initial) {}

  /// Adds a sample with weight 1/64. Requests of very different length are
  /// mixed, and a mean that followed the last few would cause refusals after a
  /// single long one.
  void add(base::Duration Took) noexcept {
    static constexpr int Samples = 64;
    Mean_ += (Took - Mean_) / Samples;
    Mean_ = std::max(Mean_, MinMean);
  }

  base::Duration mean() const noexcept { return Mean_; }

private:
  /// Prevents a division by zero.
  static constexpr base::Duration MinMean = std::chrono::microseconds(1);

  base::Duration Mean_;
};

} // namespace lychee::admission

#endif
