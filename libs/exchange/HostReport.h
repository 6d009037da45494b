#ifndef LYCHEE_EXCHANGE_HOSTREPORT_H
#define LYCHEE_EXCHANGE_HOSTREPORT_H

#include "budget/BudgetBook.h"
#include "retrying/CrashSuspects.h"
#include "steering/SlotMessages.h"

#include <cstdint>
#include <vector>

namespace lychee::exchange {

/// What a host tells its peers of itself, again and again: lost, late or
/// doubled it does no harm, as the next one says all of it anew.
struct HostReport {
  steering::HostRound Round_;
  std::vector<budget::SpareOffer> Offers_;
  std::vector<retrying::CrashEvidence> Evidence_;
  /// The newest membership epoch that the host stands in with all it uses.
  std::uint64_t Entered_ = 0;
};

} // namespace lychee::exchange

#endif
