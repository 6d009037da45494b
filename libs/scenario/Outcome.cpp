#include "scenario/Outcome.h"

#include <algorithm>
#include <cmath>

namespace lychee::scenario {

std::uint64_t LoadOutcome::refused() const noexcept {
  std::uint64_t Sum = 0;
  for (const auto &[Reason, Count] : Refused_)
    Sum += Count;
  return Sum;
}

LoadOutcome Outcome::merged(const std::string &Label) const {
  LoadOutcome Sum;
  Sum.Label_ = Label;
  for (const LoadOutcome &Load : Loads_) {
    const bool Wanted =
        Label.empty() || Label == Load.Label_ || Label == Load.Customer_;
    if (!Wanted)
      continue;
    Sum.LatencyMilliseconds_.insert(Sum.LatencyMilliseconds_.end(),
                                    Load.LatencyMilliseconds_.begin(),
                                    Load.LatencyMilliseconds_.end());
    Sum.Asked_ += Load.Asked_;
    Sum.Conforming_ += Load.Conforming_;
    Sum.ConformingAnswered_ += Load.ConformingAnswered_;
    Sum.WronglyRefused_ += Load.WronglyRefused_;
    Sum.Lost_ += Load.Lost_;
    for (const auto &[Reason, Count] : Load.Refused_)
      Sum.Refused_[Reason] += Count;
  }
  return Sum;
}

double quantile(std::vector<double> Samples, double Share) {
  if (Samples.empty())
    return 0;
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Samples.size())));
  const auto Place = Samples.begin() +
                     static_cast<std::ptrdiff_t>(
                         std::clamp<std::size_t>(Rank, 1, Samples.size()) - 1);
  std::nth_element(Samples.begin(), Place, Samples.end());
  return *Place;
}

} // namespace lychee::scenario
