#include "members/EntryPolicy.h"

#include "base/Hash.h"

#include <algorithm>
#include <functional>
#include <set>

namespace lychee::members {

namespace {

using Filter = std::function<bool(const HostDescriptor &)>;
using Cards = std::vector<const HostDescriptor *>;

bool serves(const HostView &Each) {
  return Each.Alive_ && Each.Ready_ && !Each.Leaving_;
}

Cards serving(const Filter &Wanted, const HostDescriptor &Self,
              const LocalHostState &Own, std::span<const HostView> Others) {
  Cards Found;
  if (Own.Ready_ && !Own.Leaving_ && !Own.CutOff_ && Wanted(Self))
    Found.push_back(&Self);
  for (const HostView &Each : Others)
    if (serves(Each) && Wanted(Each.Descriptor_))
      Found.push_back(&Each.Descriptor_);
  return Found;
}

/// When nobody is known to be ready, a host that is alive may be soon; and
/// where this host is the one that was cut off, the others were well.
Cards hopeful(const HostDescriptor &Self, const LocalHostState &Own,
              std::span<const HostView> Others) {
  Cards Found;
  for (const HostView &Each : Others)
    if (!Each.Leaving_ && (Each.Alive_ || Own.CutOff_))
      Found.push_back(&Each.Descriptor_);
  if (!Own.Leaving_ && !Own.CutOff_)
    Found.push_back(&Self);
  return Found;
}

/// The same order at all hosts, and another one for each name.
void sortByHash(Cards &All, std::string_view Name) {
  const std::uint64_t Matter = base::stableHash(Name);
  std::sort(All.begin(), All.end(),
            [Matter](const HostDescriptor *Left, const HostDescriptor *Right) {
              return base::stableHash(Left->Host_.name(), Matter) <
                     base::stableHash(Right->Host_.name(), Matter);
            });
}

/// Where there are more hosts than a caller takes: a stretch of all hosts in
/// one order. Zones begin at even distances, so that together they cover all
/// hosts as evenly as they can; where that is not all, the hosts that answer
/// begin at different places, too.
Cards stretchOf(Cards All, const EntryQuery &Asked,
                const HostDescriptor &Self) {
  if (All.size() <= Asked.MaxEntries_)
    return All;
  sortByHash(All, Asked.Name_);
  std::set<base::ZoneId> Zones = {Asked.Zone_};
  for (const HostDescriptor *Each : All)
    Zones.insert(Each->Zone_);
  const auto Place = static_cast<std::size_t>(
      std::distance(Zones.begin(), Zones.find(Asked.Zone_)));
  const std::size_t Covered = Zones.size() * Asked.MaxEntries_;
  const std::size_t Turns = (All.size() + Covered - 1) / Covered;
  const std::size_t Turn = base::stableHash(Self.Host_.name()) % Turns;
  const std::size_t Begin =
      (Place * Turns + Turn) * All.size() / (Zones.size() * Turns);
  std::rotate(All.begin(), All.begin() + static_cast<std::ptrdiff_t>(Begin),
              All.end());
  All.resize(Asked.MaxEntries_);
  return All;
}

std::vector<std::string> callersOf(const Cards &All) {
  std::vector<std::string> Found;
  for (const HostDescriptor *Each : All)
    Found.push_back(Each->CallerAddress_);
  return Found;
}

} // namespace

std::vector<std::string> chooseEntries(const EntryQuery &Asked,
                                       const HostDescriptor &Self,
                                       const LocalHostState &Own,
                                       std::span<const HostView> Others) {
  const Filter InRegion = [&Asked](const HostDescriptor &Card) {
    return Card.Region_ == Asked.Region_;
  };
  const Filter AtHome = [&Asked](const HostDescriptor &Card) {
    return std::find(Asked.Homes_.begin(), Asked.Homes_.end(), Card.Region_) !=
           Asked.Homes_.end();
  };
  const Filter Anywhere = [](const HostDescriptor &) { return true; };
  for (const Filter &Wanted : {InRegion, AtHome, Anywhere}) {
    const Cards Found = serving(Wanted, Self, Own, Others);
    if (!Found.empty())
      return callersOf(stretchOf(Found, Asked, Self));
  }
  return callersOf(stretchOf(hopeful(Self, Own, Others), Asked, Self));
}

} // namespace lychee::members
