#include "members/RegionBook.h"

#include "base/Hash.h"

namespace lychee::members {

std::uint64_t speakerRank(const base::HostId &Host) noexcept {
  // Another order than those of other duties.
  constexpr std::uint64_t Matter = 0x7370656b;
  return base::stableHash(Host.name(), Matter);
}

bool RegionBook::follows(const Region &Known, const RegionUpdate &Said,
                         base::TimePoint Now) {
  if (Now - Known.HeardAt_ >= SpeakerPatience)
    return true;
  // A host that has just started takes itself for a speaker, until it hears
  // those that come before it.
  if (Known.Speaker_ != Said.Speaker_)
    return speakerRank(Said.Speaker_) > speakerRank(Known.Speaker_);
  // Datagrams come twice, by both hosts that pass them on, and late.
  if (Known.Start_ != Said.Start_)
    return Known.Start_ < Said.Start_;
  return Known.Sequence_ < Said.Sequence_;
}

bool RegionBook::heard(const RegionUpdate &Said, base::TimePoint Now) {
  const auto [Found, New] = Known_.try_emplace(Said.Region_);
  Region &Known = Found->second;
  if (!New && !follows(Known, Said, Now))
    return false;
  Known.Speaker_ = Said.Speaker_;
  Known.Start_ = Said.Start_;
  Known.Sequence_ = Said.Sequence_;
  Known.HeardAt_ = Now;
  take(Said.Summary_, Known, Now);
  return true;
}

void RegionBook::take(const RegionSummary &Told, Region &Into,
                      base::TimePoint Now) {
  for (const HostLine &Each : Told.Hosts_)
    Into.Hosts_[Each.Card_.Host_] = {Each, Now};
  for (const CustomerDemand &Each : Told.Demands_)
    Into.Demands_[Each.Customer_] = {Each.RequestsPerSecond_, Now};
  Into.Loads_ = Told.Loads_;
  const auto IsOld = [Now](const auto &Each) {
    return Now - Each.second.second >= RememberedFor;
  };
  std::erase_if(Into.Hosts_, IsOld);
  std::erase_if(Into.Demands_, IsOld);
}

std::vector<RegionView> RegionBook::regions(base::Duration ReservedFor,
                                            base::TimePoint Now) const {
  std::vector<RegionView> All;
  for (const auto &[Id, Each] : Known_) {
    RegionView View;
    View.Region_ = Id;
    View.Alive_ = Now - Each.HeardAt_ < AliveFor;
    View.HoldsShare_ = Now - Each.HeardAt_ < ReservedFor;
    for (const auto &[Customer, Told] : Each.Demands_)
      View.Demands_.push_back({Customer, Told.first});
    View.Loads_ = Each.Loads_;
    All.push_back(std::move(View));
  }
  return All;
}

std::vector<FarHost> RegionBook::hosts(base::Duration ReservedFor,
                                       base::TimePoint Now) const {
  std::vector<FarHost> All;
  for (const auto &[Id, Each] : Known_) {
    const bool Alive = Now - Each.HeardAt_ < AliveFor;
    const bool Holds = Now - Each.HeardAt_ < ReservedFor;
    for (const auto &[Host, Told] : Each.Hosts_)
      All.push_back(
          {Told.first, Alive && !Told.first.Gone_, Holds && !Told.first.Gone_});
  }
  return All;
}

} // namespace lychee::members
