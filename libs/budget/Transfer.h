#ifndef LYCHEE_BUDGET_TRANSFER_H
#define LYCHEE_BUDGET_TRANSFER_H

#include "base/Id.h"
#include "budget/ShareAmount.h"

#include <cstdint>
#include <string>

namespace lychee::budget {

/// Parts of one budget in transit from a donor, which has already subtracted
/// them from its share, to a receiver, which has not yet added them. The parts
/// of a lost transfer are unusable until the next epoch; they are never counted
/// twice.
struct Transfer {
  std::string Budget_;
  /// The membership epoch that both hosts must be in.
  std::uint64_t Epoch_ = 0;
  base::HostId Donor_;
  base::HostId Receiver_;
  /// Incremented by the donor for each transfer of this budget.
  std::uint64_t Sequence_ = 0;
  ShareAmount Amount_;
  /// Tokens that are transferred as well, in billionths of a request.
  std::int64_t Tokens_ = 0;
};

/// A host's request for parts of a peer's share.
struct ShareRequest {
  std::string Budget_;
  std::uint64_t Epoch_ = 0;
  base::HostId Requester_;
  /// Requested rate, as parts of the total.
  Parts Rate_ = 0;
  /// Requested tokens, in billionths of a request.
  std::int64_t Tokens_ = 0;
};

} // namespace lychee::budget

#endif
