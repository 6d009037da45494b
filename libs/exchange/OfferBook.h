#ifndef LYCHEE_EXCHANGE_OFFERBOOK_H
#define LYCHEE_EXCHANGE_OFFERBOOK_H

#include "base/Id.h"
#include "base/Time.h"
#include "budget/BudgetBook.h"

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>

namespace lychee::exchange {

/// What peers said they could spare of each budget, and so whom to ask. An
/// offer is used once: a host that was asked has given what it could, and a
/// second ask before its next report would find nothing. Thread-safe, no I/O.
/// \see budget::ExchangePolicy for how much
class OfferBook {
public:
  /// A report this old says little: a quiet customer may have become busy.
  static constexpr base::Duration OfferLife = std::chrono::seconds(3);

  OfferBook() = default;
  OfferBook(const OfferBook &) = delete;
  OfferBook &operator=(const OfferBook &) = delete;

  /// \p Peer's newest report; replaces what it said before.
  void heard(const base::HostId &Peer,
             std::span<const budget::SpareOffer> Offers, base::TimePoint Now);

  void forget(const base::HostId &Peer);

  /// \returns whom to ask, and takes its offer out; nothing where no peer has
  /// any to spare.
  std::optional<base::HostId> takeDonor(const budget::Ask &Asked,
                                        base::TimePoint Now);

private:
  struct Offer {
    budget::SpareOffer Spare_;
    base::TimePoint HeardAt_;
  };

  mutable std::mutex Lock_;
  /// By budget, then by peer.
  std::map<std::string, std::map<base::HostId, Offer>, std::less<>> Offers_;
};

} // namespace lychee::exchange

#endif
