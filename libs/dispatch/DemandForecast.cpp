#include "dispatch/DemandForecast.h"

#include <algorithm>
#include <cmath>

namespace lychee::dispatch {

bool DemandForecast::isJump(double Value, base::TimePoint Now) const {
  const Sample &Last = Samples_.back();
  const double Allowed =
      JumpChange + JumpChangePerSecond * base::toSeconds(Now - Last.Time_);
  return std::abs(Value - Last.Value_) > Allowed * std::max(Value, Last.Value_);
}

void DemandForecast::record(double Value, base::TimePoint Now) {
  if (!Samples_.empty() && Value == Samples_.back().Value_)
    return;
  if (!Samples_.empty() &&
      (Now - Samples_.back().Time_ > GapTime || isJump(Value, Now))) {
    Samples_.clear();
    Trials_.clear();
  }
  Samples_.push_back({Now, Value});
  while (Now - Samples_.front().Time_ > SlopeWindow)
    Samples_.pop_front();
  evaluateTrials(Now);
  const double Change = slopePerSecond() * base::toSeconds(TrialLead);
  if (Change != 0)
    Trials_.push_back({Now + TrialLead, Value, Change});
}

void DemandForecast::evaluateTrials(base::TimePoint Now) {
  const double Elapsed = base::toSeconds(Now - EvaluatedAt_.value_or(Now));
  const double Kept = std::exp(-Elapsed / base::toSeconds(TrialDecayTime));
  EvaluatedAt_ = Now;
  Agreement_ *= Kept;
  Predicted_ *= Kept;
  const double Value = Samples_.back().Value_;
  while (!Trials_.empty() && Trials_.front().DueAt_ <= Now) {
    const Trial &Due = Trials_.front();
    const double Scale = std::max(Value, Due.From_);
    const double Predicted = Due.PredictedChange_ / Scale;
    Agreement_ += Predicted * (Value - Due.From_) / Scale;
    Predicted_ += Predicted * Predicted;
    Trials_.pop_front();
  }
}

double DemandForecast::slopePerSecond() const {
  if (Samples_.size() < MinSamples ||
      Samples_.back().Time_ - Samples_.front().Time_ < MinSlopeTime)
    return 0;
  const auto Count = static_cast<double>(Samples_.size());
  double MeanTime = 0;
  double MeanValue = 0;
  const auto SecondsOf = [this](const Sample &Entry) {
    return base::toSeconds(Entry.Time_ - Samples_.front().Time_);
  };
  for (const Sample &Entry : Samples_) {
    MeanTime += SecondsOf(Entry) / Count;
    MeanValue += Entry.Value_ / Count;
  }
  double Products = 0;
  double Squares = 0;
  for (const Sample &Entry : Samples_) {
    const double Offset = SecondsOf(Entry) - MeanTime;
    Products += Offset * (Entry.Value_ - MeanValue);
    Squares += Offset * Offset;
  }
  return Products / Squares;
}

double DemandForecast::gain() const {
  constexpr double Weight = AssumedTrials * AssumedChange * AssumedChange;
  return std::clamp((Agreement_ + AssumedGain * Weight) / (Predicted_ + Weight),
                    0.0, 1.0);
}

double DemandForecast::forecast(base::Duration Lag, base::TimePoint Now) const {
  if (Samples_.empty())
    return 0;
  const Sample &Last = Samples_.back();
  const base::Duration Age = Now - Last.Time_;
  if (Age > GapTime)
    return Last.Value_;
  const double Lead = base::toSeconds(std::min(Lag + Age, MaxLead));
  const double Bound = MaxChange * Last.Value_;
  return Last.Value_ +
         std::clamp(gain() * slopePerSecond() * Lead, -Bound, Bound);
}

} // namespace lychee::dispatch
