#ifndef LYCHEE_DISPATCH_DELAYEDAMOUNT_H
#define LYCHEE_DISPATCH_DELAYEDAMOUNT_H

#include "base/Time.h"

#include <array>
#include <cstddef>

namespace lychee::dispatch {

/// An amount as it was some time ago, for a value that is to be compared with
/// others that are heard late.
class DelayedAmount {
public:
  /// Amounts that are remembered; taken every 250 ms, those of 1.5 s.
  static constexpr std::size_t Remembered = 6;

  void set(double Amount, base::TimePoint Now) noexcept {
    Newest_ = (Newest_ + 1) % Remembered;
    Samples_[Newest_] = {Now, Amount};
  }

  /// \returns the last amount that was set at \p Moment or before, else the
  /// oldest that is remembered; 0 where none was set by then.
  double at(base::TimePoint Moment) const noexcept {
    double Oldest = 0;
    for (std::size_t Back = 0; Back < Remembered; ++Back) {
      const Sample &Each = Samples_[(Newest_ + Remembered - Back) % Remembered];
      Oldest = Each.Amount_;
      if (Each.At_ <= Moment)
        break;
    }
    return Oldest;
  }

private:
  struct Sample {
    base::TimePoint At_;
    double Amount_ = 0;
  };

  std::array<Sample, Remembered> Samples_{};
  std::size_t Newest_ = 0;
};

} // namespace lychee::dispatch

#endif
