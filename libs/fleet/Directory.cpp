#include "fleet/Directory.h"

namespace lychee::fleet {

std::size_t Directory::hostCount() const noexcept {
  std::size_t Count = 0;
  for (const auto &[Id, Each] : Zones_)
    Count += Each.Members_.size();
  return Count;
}

const Member *Directory::find(const base::HostId &Host) const noexcept {
  for (const auto &[Id, Each] : Zones_)
    for (const Member &Listed : Each.Members_)
      if (Listed.Host_ == Host)
        return &Listed;
  return nullptr;
}

std::optional<Directory> Directory::with(const ZoneRecord &Record) const {
  const auto Found = Zones_.find(Record.Zone_);
  const bool Known = Found != Zones_.end();
  const bool SameHosts =
      Known && Found->second.Generation_ >= Record.Generation_;
  if (SameHosts && Found->second.Relay_ == Record.Relay_)
    return std::nullopt;
  Directory Next = *this;
  Zone &Changed = Next.Zones_[Record.Zone_];
  Changed.Relay_ = Record.Relay_;
  if (!SameHosts) {
    Changed.Generation_ = Record.Generation_;
    Changed.Members_ = Record.Members_;
    // Heartbeats change all the time; the directory says who is there.
    for (Member &Each : Changed.Members_) {
      Each.Sequence_ = 0;
      Each.KnownGeneration_ = 0;
    }
    ++Next.Epoch_;
  }
  return Next;
}

} // namespace lychee::fleet
