#include "members/HostBook.h"

#include "base/Hash.h"

#include <algorithm>

namespace lychee::members {

void HostBook::take(const Heartbeat &Said, Heartbeat &Into) {
  Heartbeat Next = Said;
  const bool SameStart = Into.From_.Start_ == Said.From_.Start_;
  if (!Said.IsWhole_ && SameStart) {
    Next.Demands_ = std::move(Into.Demands_);
    for (const CustomerDemand &Told : Said.Demands_) {
      std::erase_if(Next.Demands_, [&Told](const CustomerDemand &Each) {
        return Each.Customer_ == Told.Customer_;
      });
      Next.Demands_.push_back(Told);
    }
  }
  // Not every heartbeat names the hosts that are heard.
  if (Next.Hears_.empty() && SameStart)
    Next.Hears_ = std::move(Into.Hears_);
  Into = std::move(Next);
}

bool HostBook::heard(const Heartbeat &Said, base::TimePoint Now) {
  if (Said.From_.Host_ == Self_.Host_)
    return false;
  const std::lock_guard Guard(Lock_);
  const auto [Found, New] = Known_.try_emplace(Said.From_.Host_);
  Known &Stored = Found->second;
  const Heartbeat &Before = Stored.Last_;
  // Datagrams overtake each other, and one of an earlier start may come late.
  // After silence anything counts: the host's time of day may have gone back.
  if (!New && isAlive(Stored, Now) &&
      (Said.From_.Start_ < Before.From_.Start_ ||
       (Said.From_.Start_ == Before.From_.Start_ &&
        Said.Sequence_ <= Before.Sequence_)))
    return false;
  const bool Told = New || !isAlive(Stored, Now) ||
                    Before.Ready_ != Said.Ready_ ||
                    Before.Leaving_ != Said.Leaving_;
  take(Said, Stored.Last_);
  Stored.HeardAt_ = Now;
  return Told;
}

void HostBook::setListed(std::span<const std::string> Addresses) {
  const std::lock_guard Guard(Lock_);
  Listed_ = {Addresses.begin(), Addresses.end()};
}

void HostBook::addSeeds(std::span<const std::string> Addresses) {
  const std::lock_guard Guard(Lock_);
  Seeds_.insert(Addresses.begin(), Addresses.end());
}

std::vector<std::string> HostBook::recipients(bool AlsoFar,
                                              base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::set<std::string> All = Listed_;
  All.insert(Seeds_.begin(), Seeds_.end());
  for (const auto &[Host, Each] : Known_) {
    if (Now - Each.HeardAt_ < RememberedFor)
      All.insert(Each.Last_.From_.Address_);
    // Hosts that live ones hear are live, too, whatever the store says.
    if (isAlive(Each, Now))
      All.insert(Each.Last_.Hears_.begin(), Each.Last_.Hears_.end());
  }
  All.erase(Self_.Address_);
  if (!AlsoFar)
    for (const auto &[Host, Each] : Known_)
      if (isAlive(Each, Now) && Each.Last_.From_.Region_ != Self_.Region_)
        All.erase(Each.Last_.From_.Address_);
  return {All.begin(), All.end()};
}

std::vector<HostView> HostBook::others(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::vector<HostView> All;
  for (const auto &[Host, Each] : Known_)
    if (Now - Each.HeardAt_ < RememberedFor)
      All.push_back({Each.Last_.From_, Each.Last_.Ready_, Each.Last_.Leaving_,
                     isAlive(Each, Now), Now - Each.HeardAt_ < ReservedFor,
                     Each.Last_.StoreTrouble_, Each.Last_.Demands_,
                     Each.Last_.Loads_});
  return All;
}

bool HostBook::isAlive(const Known &Each, base::TimePoint Now) const noexcept {
  const bool IsNear = Each.Last_.From_.Region_ == Self_.Region_;
  return Now - Each.HeardAt_ < (IsNear ? AliveFor : FarAliveFor);
}

bool HostBook::isCutOff(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::size_t Lately = 0;
  std::size_t Alive = 0;
  for (const auto &[Host, Each] : Known_) {
    Lately += Now - Each.HeardAt_ < ReservedFor ? 1 : 0;
    Alive += isAlive(Each, Now) ? 1 : 0;
  }
  return Lately > 0 && Alive * 2 < Lately;
}

std::size_t HostBook::shareHolders(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  return 1 + static_cast<std::size_t>(std::count_if(
                 Known_.begin(), Known_.end(), [Now](const auto &Each) {
                   return Now - Each.second.HeardAt_ < ReservedFor;
                 }));
}

bool HostBook::isPickedFor(std::uint64_t Matter, base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  const std::uint64_t Own = base::stableHash(Self_.Host_.name(), Matter);
  return std::none_of(Known_.begin(), Known_.end(), [&](const auto &Each) {
    return isAlive(Each.second, Now) && Each.second.Last_.Ready_ &&
           !Each.second.Last_.Leaving_ &&
           base::stableHash(Each.first.name(), Matter) > Own;
  });
}

} // namespace lychee::members
