#include "live/EvacuationRegistry.h"

#include <vector>

namespace lychee::live {

void EvacuationRegistry::change(const base::ZoneId &Zone, bool Evacuated,
                                base::TimePoint Now) {
  Doubted_.erase(Zone);
  if (Evacuated) {
    LiftedAt_.erase(Zone);
    Changed_ = Zones_.insert(Zone).second || Changed_;
    return;
  }
  if (Zones_.erase(Zone) == 0)
    return;
  LiftedAt_[Zone] = Now;
  Changed_ = true;
}

bool EvacuationRegistry::set(const base::ZoneId &Zone, bool Evacuated,
                             bool Restored, base::TimePoint Now) {
  const bool IsKnownOtherwise =
      Evacuated ? LiftedAt_.contains(Zone) : Zones_.contains(Zone);
  if (!Restored || !IsKnownOtherwise) {
    change(Zone, Evacuated, Now);
    return false;
  }
  Doubted_[Zone] = {Evacuated, Now + DoubtTime};
  return true;
}

void EvacuationRegistry::noteRestore(base::TimePoint Now) {
  for (auto &[Zone, Entry] : Doubted_)
    Entry.CountsAt_ = Now + DoubtTime;
}

void EvacuationRegistry::expire(base::TimePoint Now) {
  std::vector<std::pair<base::ZoneId, bool>> Due;
  for (const auto &[Zone, Entry] : Doubted_)
    if (Entry.CountsAt_ <= Now)
      Due.emplace_back(Zone, Entry.Evacuated_);
  for (const auto &[Zone, Evacuated] : Due)
    change(Zone, Evacuated, Now);
  std::erase_if(LiftedAt_, [Now](const auto &Item) {
    return Now - Item.second > LiftedMemory;
  });
}

} // namespace lychee::live
