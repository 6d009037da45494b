#include "fleet/Directory.h"

namespace lychee::fleet {

std::size_t Directory::hostCount() const noexcept {
  std::size_t Count = 0;
  for (const auto &[Id, Entry] : Zones_)
    Count += Entry.Members_.size();
  return Count;
}

const Member *Directory::find(const base::HostId &Host) const noexcept {
  for (const auto &[Id, Entry] : Zones_)
    for (const Member &Listed : Entry.Members_)
      if (Listed.Host_ == Host)
        return &Listed;
  return nullptr;
}

std::optional<Directory> Directory::withZone(const ZoneRecord &Record) const {
  const auto Found = Zones_.find(Record.Zone_);
  const bool IsKnown = Found != Zones_.end();
  const bool SameHosts =
      IsKnown && Found->second.Generation_ >= Record.Generation_;
  if (SameHosts && Found->second.Relay_ == Record.Relay_)
    return std::nullopt;
  Directory Next = *this;
  Zone &Changed = Next.Zones_[Record.Zone_];
  Changed.Relay_ = Record.Relay_;
  if (!SameHosts) {
    Changed.Generation_ = Record.Generation_;
    Changed.Members_ = Record.Members_;
    // The directory lists the hosts only. Heartbeat state changes all the time
    // and is cleared.
    for (Member &Entry : Changed.Members_) {
      Entry.Sequence_ = 0;
      Entry.KnownGeneration_ = 0;
    }
    ++Next.Epoch_;
  }
  return Next;
}

} // namespace lychee::fleet
