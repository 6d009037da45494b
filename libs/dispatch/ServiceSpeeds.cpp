#include "dispatch/ServiceSpeeds.h"

#include <algorithm>
#include <cmath>

namespace lychee::dispatch {

namespace {

/// Weight of one report in the mean factor: about the last hundred count, as
/// only one in seven is of a slow target.
constexpr double UsualWeight = 0.01;
/// Weight of one pair of reports in the errors: about the last two hundred
/// count, some thirty of them with a change of speed.
constexpr double ErrorWeight = 0.005;
/// Bound of a report in what is learned, as a multiple of the mean, so that one
/// faulty report does not count for many.
constexpr double MaxLearnedMultiple = 4;
/// Reports further apart tell nothing of how long a statement holds.
constexpr base::Duration MaxPairAge = std::chrono::seconds(10);

double decayTo(double Usual, double Factor, double Seconds, double HalfLife) {
  return Usual + (Factor - Usual) * std::exp2(-Seconds / HalfLife);
}

} // namespace

void ServiceSpeeds::record(TargetSpeed &Target, std::optional<double> Factor,
                           base::TimePoint Now) noexcept {
  const std::optional<double> Previous = Target.factor();
  const base::Duration Age = Target.age(Now);
  Target.record(Factor, Now);
  if (!Factor)
    return;
  IsStated_ = true;
  const double Bound = Usual_ * MaxLearnedMultiple;
  const double Learned = std::min(*Factor, Bound);
  if (Previous && Age <= MaxPairAge) {
    const double Before = std::min(*Previous, Bound);
    for (std::size_t Index = 0; Index < HalfLives.size(); ++Index) {
      const double Error =
          Learned -
          decayTo(Usual_, Before, base::toSeconds(Age), HalfLives[Index]);
      Errors_[Index] += ErrorWeight * (Error * Error - Errors_[Index]);
    }
    const auto Smallest = std::min_element(Errors_.begin(), Errors_.end());
    // A difference within the noise of rounding changes nothing.
    if (*Smallest < Errors_[Best_] * 0.999)
      Best_ = static_cast<std::size_t>(Smallest - Errors_.begin());
  }
  Usual_ += UsualWeight * (Learned - Usual_);
}

base::Duration ServiceSpeeds::halfLife() const noexcept {
  return base::fromSeconds(HalfLives[Best_]);
}

double ServiceSpeeds::decayed(double Factor,
                              base::Duration Age) const noexcept {
  return decayTo(Usual_, Factor, std::max(0.0, base::toSeconds(Age)),
                 HalfLives[Best_]);
}

double ServiceSpeeds::expected(const TargetSpeed &Target,
                               base::TimePoint Now) const noexcept {
  if (!IsStated_)
    return 1;
  const std::optional<double> Stated = Target.factor();
  if (Stated)
    return decayed(*Stated, Target.age(Now));
  return Target.hasReported() ? 1 : Usual_;
}

double ServiceSpeeds::ofRun(double AtStart, const TargetSpeed &Target,
                            base::Duration Took) const noexcept {
  const std::optional<double> Stated = Target.factor();
  if (!IsStated_ || !Stated)
    return 1;
  return (AtStart + decayed(*Stated, Took / 2)) / 2;
}

} // namespace lychee::dispatch
