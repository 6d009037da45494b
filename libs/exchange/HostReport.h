#ifndef LYCHEE_EXCHANGE_HOSTREPORT_H
#define LYCHEE_EXCHANGE_HOSTREPORT_H

#include "budget/RateBudgets.h"
#include "retrying/CrashSuspects.h"
#include "steering/SlotMessages.h"

#include <cstdint>
#include <vector>

namespace lychee::exchange {

/// What a host tells its peers of itself, again and again: lost, late or
/// doubled it does no harm, as the next one says all of it anew.
struct HostReport {
  steering::HostLoadUpdate Round_;
  std::vector<budget::SpareOffer> Offers_;
  std::vector<retrying::CrashEvidence> Evidence_;
  /// The newest membership epoch that the host stands in with all it uses.
  std::uint64_t Entered_ = 0;
};

/// \returns a hash of what peers would act on. Two reports of the same hash
/// need not both be sent: a share that grew by a hundredth changes nobody's
/// choice of whom to ask, while its every change would cost a message to each
/// peer.
std::uint64_t significanceOf(const HostReport &Report);

} // namespace lychee::exchange

#endif
