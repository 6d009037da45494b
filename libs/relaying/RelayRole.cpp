#include "relaying/RelayRole.h"

#include "base/Hash.h"

#include <algorithm>

namespace lychee::relaying {

/// Hosts without trouble first. Where all have it, the same few go on asking.
bool RelayRole::goesBefore(const Candidate &Left,
                           const Candidate &Right) noexcept {
  if (Left.InTrouble_ != Right.InTrouble_)
    return !Left.InTrouble_;
  return Left.Hash_ > Right.Hash_;
}

void RelayRole::update(std::span<const members::HostView> Others,
                       bool OwnLeaving, base::TimePoint Now) {
  passOver(Now);
  std::vector<Candidate> Ranked;
  if (!OwnLeaving)
    Ranked.push_back({isInTrouble(Now), base::stableHash(Self_.Host_.name()),
                      Self_.Address_});
  for (const members::HostView &Each : Others)
    if (Each.Alive_ && !Each.Leaving_ &&
        Each.Descriptor_.Region_ == Self_.Region_)
      Ranked.push_back(
          {Each.StoreTrouble_ || isPassedOver(Each.Descriptor_.Address_),
           base::stableHash(Each.Descriptor_.Host_.name()),
           Each.Descriptor_.Address_});
  std::sort(Ranked.begin(), Ranked.end(), goesBefore);
  RegionHosts_ = Ranked.size();
  const auto Own =
      std::find_if(Ranked.begin(), Ranked.end(), [this](const Candidate &Each) {
        return Each.Address_ == Self_.Address_;
      });
  Rank_ = static_cast<std::size_t>(Own - Ranked.begin());
  const std::size_t Count = askersFor(Ranked.size());
  Chosen_ = Own != Ranked.end() && Rank_ < Count;
  Ranked.resize(std::min(Ranked.size(), Count));
  pickAskers(Ranked);
  noteAskers(Now);
}

/// Hosts begin at different places, so that all that ask the store have as many
/// others to answer.
void RelayRole::pickAskers(std::span<const Candidate> Ranked) {
  Askers_.clear();
  if (Ranked.empty())
    return;
  const std::size_t Begin = base::stableHash(Self_.Address_) % Ranked.size();
  for (std::size_t Step = 0;
       Step < Ranked.size() && Askers_.size() < AskedByEach; ++Step) {
    const Candidate &Each = Ranked[(Begin + Step) % Ranked.size()];
    if (Each.Address_ != Self_.Address_)
      Askers_.push_back(Each.Address_);
  }
}

/// Whoever was passed over is given another chance once its trouble may be
/// over.
void RelayRole::noteAskers(base::TimePoint Now) {
  for (const std::string &Each : Askers_)
    Asked_.try_emplace(Each, Asker{Now, std::nullopt, std::nullopt, Now});
  // One that is asked again later is asked anew.
  std::erase_if(Asked_, [this](const auto &Each) {
    const bool IsAsked =
        std::find(Askers_.begin(), Askers_.end(), Each.first) != Askers_.end();
    return !IsAsked && !Each.second.PassedOverAt_;
  });
}

bool RelayRole::takeTurn(const std::string &Address, base::TimePoint Now) {
  const auto Found = Asked_.find(Address);
  if (Found == Asked_.end())
    return false;
  Asker &Whom = Found->second;
  const bool IsNew =
      Whom.Contact_ <= Whom.Since_ && Now - Whom.Since_ < AskedAnewFor;
  const base::Duration Every = IsNew ? AskAnewEvery : AskEvery;
  // Half a turn early is in time; timers fire late.
  if (Whom.AskedAt_ && Now - *Whom.AskedAt_ < Every - AskAnewEvery / 2)
    return false;
  Whom.AskedAt_ = Now;
  return true;
}

void RelayRole::passOver(base::TimePoint Now) {
  for (auto &[Address, Each] : Asked_)
    if (!Each.PassedOverAt_ && Now - Each.Contact_ >= Pace_.PassOver_)
      Each.PassedOverAt_ = Now;
  std::erase_if(Asked_, [Now](const auto &Each) {
    const auto &At = Each.second.PassedOverAt_;
    return At && Now - *At >= TroubleMemory;
  });
}

bool RelayRole::isPassedOver(const std::string &Address) const {
  const auto Found = Asked_.find(Address);
  return Found != Asked_.end() && Found->second.PassedOverAt_;
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

double RelayRole::backoffFactor(base::TimePoint Now) const noexcept {
  const bool Answered = Answered_ && Now - *Answered_ < Silence;
  if (Chosen_ || !Answered)
    return 1;
  return std::max(1.0, static_cast<double>(RegionHosts_) /
                           static_cast<double>(askersFor(RegionHosts_)));
}

base::Duration RelayRole::patience() const noexcept {
  const double Place =
      static_cast<double>(Rank_) /
      static_cast<double>(std::max<std::size_t>(1, RegionHosts_));
  return Pace_.Ask_ +
         base::fromSeconds(base::toSeconds(Pace_.AskSpread_) * Place);
}

bool RelayRole::mustReadStore(base::TimePoint Now) const noexcept {
  const bool Answered = Answered_ && Now - *Answered_ < Silence;
  return Chosen_ || !Answered || !Contact_ || Now - *Contact_ >= patience();
}

} // namespace lychee::relaying
