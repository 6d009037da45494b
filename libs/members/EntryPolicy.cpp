#include "members/EntryPolicy.h"

#include "base/Hash.h"

#include <algorithm>
#include <functional>
#include <set>

namespace lychee::members {

namespace {

using Filter = std::function<bool(const HostDescriptor &)>;
using Descriptors = std::vector<const HostDescriptor *>;

bool isServing(const HostView &Host) {
  return Host.Alive_ && Host.Ready_ && !Host.Leaving_;
}

/// Drops the hosts that reach no targets, while enough remain.
Descriptors preferReaching(Descriptors All, Descriptors Reaching) {
  return Reaching.size() * 2 >= All.size() ? std::move(Reaching)
                                           : std::move(All);
}

Descriptors servingHosts(const Filter &Matches, const HostDescriptor &Self,
                         const LocalHostState &Local,
                         std::span<const HostView> Others) {
  Descriptors Found;
  Descriptors Reaching;
  const auto Add = [&](const HostDescriptor &Host, bool TargetsUnreached) {
    Found.push_back(&Host);
    if (!TargetsUnreached)
      Reaching.push_back(&Host);
  };
  if (Local.Ready_ && !Local.Leaving_ && !Local.CutOff_ && Matches(Self))
    Add(Self, Local.TargetsUnreached_);
  for (const HostView &Host : Others)
    if (isServing(Host) && Matches(Host.Descriptor_))
      Add(Host.Descriptor_, Host.TargetsUnreached_);
  return preferReaching(std::move(Found), std::move(Reaching));
}

/// Used if no host is known to be ready: a live host may become ready soon, and
/// if this host is the isolated one, the others were fine when last seen.
Descriptors fallbackHosts(const HostDescriptor &Self,
                          const LocalHostState &Local,
                          std::span<const HostView> Others) {
  Descriptors Found;
  for (const HostView &Host : Others)
    if (!Host.Leaving_ && (Host.Alive_ || Local.CutOff_))
      Found.push_back(&Host.Descriptor_);
  if (!Local.Leaving_ && !Local.CutOff_)
    Found.push_back(&Self);
  return Found;
}

/// Sorts by a hash that is the same on all hosts and differs between names.
void sortByHash(Descriptors &All, std::string_view Name) {
  const std::uint64_t Seed = base::stableHash(Name);
  std::sort(All.begin(), All.end(),
            [Seed](const HostDescriptor *Left, const HostDescriptor *Right) {
              return base::stableHash(Left->Host_.name(), Seed) <
                     base::stableHash(Right->Host_.name(), Seed);
            });
}

/// Deterministic subsetting: if there are more hosts than a caller takes,
/// selects a contiguous range of all hosts in hash order. The ranges of
/// different zones begin at equal distances, so that together they cover the
/// hosts as evenly as possible. If they cannot cover all hosts, answering hosts
/// also begin at different offsets.
Descriptors subsetFor(Descriptors All, const EntryQuery &Query,
                      const HostDescriptor &Self) {
  if (All.size() <= Query.MaxEntries_)
    return All;
  sortByHash(All, Query.Name_);
  std::set<base::ZoneId> Zones = {Query.Zone_};
  for (const HostDescriptor *Host : All)
    Zones.insert(Host->Zone_);
  const auto ZoneIndex = static_cast<std::size_t>(
      std::distance(Zones.begin(), Zones.find(Query.Zone_)));
  const std::size_t Covered = Zones.size() * Query.MaxEntries_;
  const std::size_t Rotations = (All.size() + Covered - 1) / Covered;
  const std::size_t Rotation = base::stableHash(Self.Host_.name()) % Rotations;
  const std::size_t First = (ZoneIndex * Rotations + Rotation) * All.size() /
                            (Zones.size() * Rotations);
  std::rotate(All.begin(), All.begin() + static_cast<std::ptrdiff_t>(First),
              All.end());
  All.resize(Query.MaxEntries_);
  return All;
}

std::vector<std::string> callerAddresses(const Descriptors &All) {
  std::vector<std::string> Found;
  for (const HostDescriptor *Host : All)
    Found.push_back(Host->CallerAddress_);
  return Found;
}

} // namespace

std::vector<std::string> chooseEntries(const EntryQuery &Query,
                                       const HostDescriptor &Self,
                                       const LocalHostState &Local,
                                       std::span<const HostView> Others) {
  const Filter InRegion = [&Query](const HostDescriptor &Host) {
    return Host.Region_ == Query.Region_;
  };
  const Filter InHomeRegion = [&Query](const HostDescriptor &Host) {
    return std::find(Query.Homes_.begin(), Query.Homes_.end(), Host.Region_) !=
           Query.Homes_.end();
  };
  const Filter Anywhere = [](const HostDescriptor &) { return true; };
  for (const Filter &Matches : {InRegion, InHomeRegion, Anywhere}) {
    const Descriptors Found = servingHosts(Matches, Self, Local, Others);
    if (!Found.empty())
      return callerAddresses(subsetFor(Found, Query, Self));
  }
  return callerAddresses(
      subsetFor(fallbackHosts(Self, Local, Others), Query, Self));
}

} // namespace lychee::members
