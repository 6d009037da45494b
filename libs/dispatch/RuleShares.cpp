#include "dispatch/RuleShares.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lychee::dispatch {

void RuleShares::recordRequest(std::string_view Name, double RunSeconds,
                               double InitialShare) {
  auto Found = Rules_.find(Name);
  if (Found == Rules_.end()) {
    if (Rules_.size() >= MaxRules)
      return;
    Found = Rules_.emplace(Name, Rule()).first;
    Found->second.Share_ = Found->second.Aim_ = InitialShare;
  }
  Found->second.Requests_ += 1;
  Found->second.Seconds_ += RunSeconds;
}

void RuleShares::decay(base::TimePoint Now) {
  const double Elapsed = base::toSeconds(Now - DecayedAt_.value_or(Now));
  const double Kept = std::exp(-Elapsed / base::toSeconds(DecayTime));
  DecayedAt_ = Now;
  for (auto &[Name, Entry] : Rules_) {
    Entry.Requests_ *= Kept;
    Entry.Seconds_ *= Kept;
  }
  std::erase_if(Rules_, [](const auto &Entry) {
    return Entry.second.Requests_ < MinRequests || Entry.second.Seconds_ <= 0;
  });
}

void RuleShares::computeRatios() {
  double Requests = 0;
  double Seconds = 0;
  for (const auto &[Name, Entry] : Rules_) {
    Requests += Entry.Requests_;
    Seconds += Entry.Seconds_;
  }
  for (auto &[Name, Entry] : Rules_)
    Entry.Ratio_ =
        std::clamp((Entry.Seconds_ / Entry.Requests_) / (Seconds / Requests),
                   MinRatio, MaxRatio);
}

/// Rules whose share reaches 1 leave the rest of the work to the others, so a
/// factor is computed for these until none of them exceeds 1.
double RuleShares::factorFor(double Share) const {
  std::set<std::string_view> Full;
  for (;;) {
    double Missing = 0;
    double Weighted = 0;
    for (const auto &[Name, Entry] : Rules_) {
      const bool IsFull = Full.contains(Name);
      Missing += Entry.Seconds_ * (IsFull ? Share - 1 : Share);
      Weighted += IsFull ? 0 : Entry.Seconds_ * Entry.Ratio_;
    }
    if (Weighted <= 0)
      return 1 / MinRatio;
    const double Factor = std::max(0.0, Missing / Weighted);
    const std::size_t Before = Full.size();
    for (const auto &[Name, Entry] : Rules_)
      if (Factor * Entry.Ratio_ >= 1)
        Full.insert(Name);
    if (Full.size() == Before)
      return Factor;
  }
}

void RuleShares::aimAt(double Share, base::TimePoint Now) {
  decay(Now);
  computeRatios();
  const double Factor = factorFor(Share);
  for (auto &[Name, Entry] : Rules_)
    Entry.Aim_ = std::min(1.0, Factor * Entry.Ratio_);
}

double RuleShares::distance() const {
  double Requests = 0;
  double Moved = 0;
  for (const auto &[Name, Entry] : Rules_) {
    Requests += Entry.Requests_;
    Moved += Entry.IsNew_
                 ? 0
                 : Entry.Requests_ * std::abs(Entry.Aim_ - Entry.Share_);
  }
  return Requests > 0 ? Moved / Requests : 0;
}

void RuleShares::advance(double Part) {
  for (auto &[Name, Entry] : Rules_) {
    Entry.Share_ += (Entry.IsNew_ ? 1 : Part) * (Entry.Aim_ - Entry.Share_);
    Entry.IsNew_ = false;
  }
}

std::optional<double> RuleShares::meanShare() const {
  double Seconds = 0;
  double Leaving = 0;
  for (const auto &[Name, Entry] : Rules_) {
    Seconds += Entry.Seconds_;
    Leaving += Entry.Seconds_ * Entry.Share_;
  }
  return Seconds > 0 ? std::optional(Leaving / Seconds) : std::nullopt;
}

std::optional<double> RuleShares::shareOf(std::string_view Name) const {
  const auto Found = Rules_.find(Name);
  if (Found == Rules_.end())
    return std::nullopt;
  return Found->second.Share_;
}

} // namespace lychee::dispatch
