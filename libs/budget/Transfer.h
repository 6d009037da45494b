#ifndef LYCHEE_BUDGET_TRANSFER_H
#define LYCHEE_BUDGET_TRANSFER_H

#include "base/Id.h"
#include "budget/ShareAmount.h"

#include <cstdint>
#include <string>

namespace lychee::budget {

/// Parts of one budget on their way from a donor, which has already taken them
/// off its own share, to a receiver, which has not yet added them. Lost, they
/// stay lost until the next epoch; they can never be counted twice.
struct Transfer {
  std::string Budget_;
  /// The membership epoch in which both ends must stand.
  std::uint64_t Epoch_ = 0;
  base::HostId Donor_;
  base::HostId Receiver_;
  /// Rises with each transfer that the donor makes of this budget.
  std::uint64_t Sequence_ = 0;
  ShareAmount Amount_;
  /// Tokens that go along, in billionths of a request.
  std::int64_t Tokens_ = 0;
};

/// A host's wish for parts of a peer's share.
struct ShareRequest {
  std::string Budget_;
  std::uint64_t Epoch_ = 0;
  base::HostId Requester_;
  /// Wanted rate, as parts of the total.
  Parts Rate_ = 0;
  /// Wanted tokens, in billionths of a request.
  std::int64_t Tokens_ = 0;
};

} // namespace lychee::budget

#endif
