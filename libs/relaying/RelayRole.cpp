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
      Ranked.push_back(
          {Each.StoreTrouble_ || isPassedOver(Each.Card_.Address_, Now),
           base::stableHash(Each.Card_.Host_.name()), Each.Card_.Address_});
  std::sort(Ranked.begin(), Ranked.end(), goesBefore);
  RegionHosts_ = Ranked.size();
  const auto Own =
      std::find_if(Ranked.begin(), Ranked.end(), [this](const Candidate &Each) {
        return Each.Address_ == Self_.Address_;
      });
  Rank_ = static_cast<std::size_t>(Own - Ranked.begin());
  Chosen_ = Own != Ranked.end() && Rank_ < AskersPerRegion;
  Ranked.resize(std::min(Ranked.size(), AskersPerRegion));
  Askers_.clear();
  for (Candidate &Each : Ranked)
    if (Each.Address_ != Self_.Address_)
      Askers_.push_back(std::move(Each.Address_));
  noteAskers(Now);
}

/// Whoever was passed over is given another chance once its trouble may be
/// over.
void RelayRole::noteAskers(base::TimePoint Now) {
  for (const std::string &Each : Askers_)
    Asked_.try_emplace(Each, Asker{Now});
  std::erase_if(Asked_, [this, Now](const auto &Each) {
    const bool IsAsked =
        std::find(Askers_.begin(), Askers_.end(), Each.first) != Askers_.end();
    return !IsAsked && Now - Each.second.Contact_ >= TroubleMemory;
  });
}

bool RelayRole::isPassedOver(const std::string &Address,
                             base::TimePoint Now) const {
  const auto Found = Asked_.find(Address);
  return Found != Asked_.end() &&
         Now - Found->second.Contact_ >= Pace_.PassOver_;
}

void RelayRole::noteAnswer(const std::string &Address,
                           std::optional<base::TimePoint> Contact,
                           base::TimePoint Now) {
  Answered_ = Now;
  if (!Contact)
    return;
  Contact_ = std::max(Contact_.value_or(*Contact), *Contact);
  if (const auto Found = Asked_.find(Address); Found != Asked_.end())
    Found->second.Contact_ = std::max(Found->second.Contact_, *Contact);
}

double RelayRole::spread(base::TimePoint Now) const noexcept {
  const bool Answered = Answered_ && Now - *Answered_ < Silence;
  if (Chosen_ || !Answered)
    return 1;
  return std::max(1.0, static_cast<double>(RegionHosts_) / AskersPerRegion);
}

base::Duration RelayRole::patience() const noexcept {
  const double Place =
      static_cast<double>(Rank_) /
      static_cast<double>(std::max<std::size_t>(1, RegionHosts_));
  return Pace_.Ask_ +
         base::fromSeconds(base::toSeconds(Pace_.AskSpread_) * Place);
}

bool RelayRole::mustAsk(base::TimePoint Now) const noexcept {
  const bool Answered = Answered_ && Now - *Answered_ < Silence;
  return Chosen_ || !Answered || !Contact_ || Now - *Contact_ >= patience();
}

} // namespace lychee::relaying
