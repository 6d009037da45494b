#include "budget/EpochSettlement.h"

namespace lychee::budget {

void EpochSettlement::begin(std::uint64_t Epoch,
                            std::span<const base::HostId> Members) {
  if (Epoch <= Epoch_)
    return;
  // The members of the previous epoch, whether it had settled or not. A new
  // member holds no parts, so that it need not acknowledge.
  Open_.insert(Members_.begin(), Members_.end());
  Epoch_ = Epoch;
  Members_ = std::set<base::HostId>(Members.begin(), Members.end());
}

void EpochSettlement::acknowledge(const base::HostId &Host,
                                  std::uint64_t Epoch) {
  if (Epoch == Epoch_)
    Open_.erase(Host);
}

void EpochSettlement::recordLeaseEnd(const base::HostId &Host) {
  Open_.erase(Host);
}

} // namespace lychee::budget
