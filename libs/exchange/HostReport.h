#ifndef LYCHEE_EXCHANGE_HOSTREPORT_H
#define LYCHEE_EXCHANGE_HOSTREPORT_H

#include "budget/RateBudgets.h"
#include "retrying/CrashSuspects.h"
#include "steering/SlotMessages.h"

#include <cstdint>
#include <vector>

namespace lychee::exchange {

/// What a host reports to its peers, periodically. Lost, late or duplicate
/// reports do no harm, as each one contains the complete state.
struct HostReport {
  steering::HostLoadUpdate LoadUpdate_;
  std::vector<budget::SpareOffer> Offers_;
  std::vector<retrying::CrashEvidence> Evidence_;
  /// The newest membership epoch that the host has entered with everything it
  /// uses.
  std::uint64_t EnteredEpoch_ = 0;
};

/// \returns a hash of what peers would act on. Of two reports with the same
/// hash one may be omitted: a share that grew by a hundredth changes no peer's
/// choice of a donor, while sending each such change would cost a message to
/// every peer.
std::uint64_t significanceHash(const HostReport &Report);

} // namespace lychee::exchange

#endif
