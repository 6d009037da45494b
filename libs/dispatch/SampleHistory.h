#ifndef LYCHEE_DISPATCH_SAMPLEHISTORY_H
#define LYCHEE_DISPATCH_SAMPLEHISTORY_H

#include "base/Time.h"

#include <array>
#include <cstddef>

namespace lychee::dispatch {

/// Recent samples of a value, to read it as it was some time ago. Used to
/// compare a value of this host with values of other hosts that arrive with a
/// delay.
class SampleHistory {
public:
  /// Number of samples kept; at one sample every 250 ms, they cover 1.5 s.
  static constexpr std::size_t Capacity = 6;

  void record(double Value, base::TimePoint Now) noexcept {
    Newest_ = (Newest_ + 1) % Capacity;
    Samples_[Newest_] = {Now, Value};
  }

  /// \returns the last value recorded at \p Moment or before, else the oldest
  /// that is kept; 0 where none was recorded by then.
  double valueAt(base::TimePoint Moment) const noexcept {
    double Oldest = 0;
    for (std::size_t Back = 0; Back < Capacity; ++Back) {
      const Sample &Entry = Samples_[(Newest_ + Capacity - Back) % Capacity];
      Oldest = Entry.Value_;
      if (Entry.Time_ <= Moment)
        break;
    }
    return Oldest;
  }

private:
  struct Sample {
    base::TimePoint Time_;
    double Value_ = 0;
  };

  std::array<Sample, Capacity> Samples_{};
  std::size_t Newest_ = 0;
};

} // namespace lychee::dispatch

#endif
