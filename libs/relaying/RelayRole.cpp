#include "relaying/RelayRole.h"

#include "base/Hash.h"

#include <algorithm>

namespace lychee::relaying {

namespace {

/// One host of the region, as a candidate for asking the store.
struct Candidate {
  bool InTrouble_ = false;
  std::uint64_t Hash_ = 0;
  std::string Address_;
};

/// Hosts without trouble first. Where all have it, the same few go on asking.
bool goesBefore(const Candidate &Left, const Candidate &Right) {
  if (Left.InTrouble_ != Right.InTrouble_)
    return !Left.InTrouble_;
  return Left.Hash_ > Right.Hash_;
}

} // namespace

void RelayRole::update(std::span<const members::HostView> Others,
                       bool OwnLeaving, base::TimePoint Now) {
  std::vector<Candidate> Ranked;
  if (!OwnLeaving)
    Ranked.push_back({isInTrouble(Now), base::stableHash(Self_.Host_.name()),
                      Self_.Address_});
  for (const members::HostView &Each : Others)
    if (Each.Alive_ && !Each.Leaving_ && Each.Card_.Region_ == Self_.Region_)
      Ranked.push_back({Each.StoreTrouble_,
                        base::stableHash(Each.Card_.Host_.name()),
                        Each.Card_.Address_});
  std::sort(Ranked.begin(), Ranked.end(), goesBefore);
  RegionHosts_ = Ranked.size();
  Ranked.resize(std::min(Ranked.size(), AskersPerRegion));
  Chosen_ = false;
  Askers_.clear();
  for (Candidate &Each : Ranked)
    if (Each.Address_ == Self_.Address_)
      Chosen_ = true;
    else
      Askers_.push_back(std::move(Each.Address_));
}

void RelayRole::noteAnswer(bool Sound, base::TimePoint Now) noexcept {
  Answered_ = Now;
  if (Sound)
    Sound_ = Now;
}

double RelayRole::spread(base::TimePoint Now) const noexcept {
  const bool Answered = Answered_ && Now - *Answered_ < Silence;
  if (Chosen_ || !Answered)
    return 1;
  return std::max(1.0, static_cast<double>(RegionHosts_) / AskersPerRegion);
}

bool RelayRole::mustAsk(base::TimePoint Now) const noexcept {
  if (Chosen_)
    return true;
  const bool Answered = Answered_ && Now - *Answered_ < Silence;
  const base::Duration Patience = Answered ? TroublePatience : Silence;
  return !Sound_ || Now - *Sound_ >= Patience;
}

} // namespace lychee::relaying
