#include "members/EntryPolicy.h"

#include <algorithm>
#include <functional>

namespace lychee::members {

namespace {

using Filter = std::function<bool(const HostCard &)>;

void addIf(const Filter &Wanted, const HostCard &Card,
           std::vector<std::string> &Into) {
  if (Wanted(Card))
    Into.push_back(Card.Callers_);
}

bool serves(const HostView &Each) {
  return Each.Alive_ && Each.Ready_ && !Each.Leaving_;
}

std::vector<std::string> serving(const Filter &Wanted, const HostCard &Self,
                                 const OwnState &Own,
                                 std::span<const HostView> Others) {
  std::vector<std::string> Found;
  if (Own.Ready_ && !Own.Leaving_ && !Own.CutOff_)
    addIf(Wanted, Self, Found);
  for (const HostView &Each : Others)
    if (serves(Each))
      addIf(Wanted, Each.Card_, Found);
  return Found;
}

/// When nobody is known to be ready, a host that is alive may be soon; and
/// where this host is the one that was cut off, the others were well.
std::vector<std::string> hopeful(const HostCard &Self, const OwnState &Own,
                                 std::span<const HostView> Others) {
  std::vector<std::string> Found;
  for (const HostView &Each : Others)
    if (!Each.Leaving_ && (Each.Alive_ || Own.CutOff_))
      Found.push_back(Each.Card_.Callers_);
  if (!Own.Leaving_ && !Own.CutOff_)
    Found.push_back(Self.Callers_);
  return Found;
}

} // namespace

std::vector<std::string> chooseEntries(const EntryQuery &Asked,
                                       const HostCard &Self,
                                       const OwnState &Own,
                                       std::span<const HostView> Others) {
  const Filter InRegion = [&Asked](const HostCard &Card) {
    return Card.Region_ == Asked.Region_;
  };
  const Filter AtHome = [&Asked](const HostCard &Card) {
    return std::find(Asked.Homes_.begin(), Asked.Homes_.end(), Card.Region_) !=
           Asked.Homes_.end();
  };
  const Filter Anywhere = [](const HostCard &) { return true; };
  for (const Filter &Wanted : {InRegion, AtHome, Anywhere}) {
    std::vector<std::string> Found = serving(Wanted, Self, Own, Others);
    if (!Found.empty())
      return Found;
  }
  return hopeful(Self, Own, Others);
}

} // namespace lychee::members
