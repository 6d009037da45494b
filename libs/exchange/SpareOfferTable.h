#ifndef LYCHEE_EXCHANGE_SPAREOFFERTABLE_H
#define LYCHEE_EXCHANGE_SPAREOFFERTABLE_H

#include "base/Id.h"
#include "base/Random.h"
#include "base/Time.h"
#include "budget/RateBudgets.h"

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lychee::exchange {

/// What peers said they could spare of each budget, and so whom to ask. An
/// offer is used once: a host that was asked has given what it could, and a
/// second ask before its next report would find nothing. Thread-safe, no I/O.
/// \see budget::ExchangePolicy for how much
class SpareOfferTable {
public:
  /// A host whose report would say nothing new repeats it every four seconds;
  /// one that missed two is not heard, and its offer not trusted.
  static constexpr base::Duration OfferLife = std::chrono::seconds(10);

  SpareOfferTable() = default;
  SpareOfferTable(const SpareOfferTable &) = delete;
  SpareOfferTable &operator=(const SpareOfferTable &) = delete;

  /// \p Peer's newest report; replaces what it said before.
  void update(const base::HostId &Peer,
              std::span<const budget::SpareOffer> Offers, base::TimePoint Now);

  /// Sets who may be asked at all.
  void setPeers(std::span<const base::HostId> Peers);

  /// \returns whom to ask, best first, and takes their offers out. One donor
  /// where the rate is to grow; up to DonorsAtOnce where requests wait for
  /// tokens, drawn among all peers where too few have offered: the host that
  /// the callers have just left has told of nothing to spare yet.
  std::vector<base::HostId> takeDonors(const budget::ShareRequest &Asked,
                                       base::TimePoint Now,
                                       base::Random &Random);

  /// Asked at once while requests wait. Measured with a customer at 80% of its
  /// rate whose callers move each 10 s: refused 1.10% with one donor among
  /// those that offered, 0.80%, 0.50% and 0.36% with one, two and three and
  /// the draw (lychee-bench-shares).
  static constexpr std::size_t DonorsAtOnce = 3;

private:
  struct Offer {
    budget::SpareOffer Spare_;
    base::TimePoint HeardAt_;
  };

  std::optional<base::HostId> takeBest(const budget::ShareRequest &Asked,
                                       base::TimePoint Now);

  mutable std::mutex Lock_;
  std::vector<base::HostId> Peers_;
  /// By budget, then by peer.
  std::map<std::string, std::map<base::HostId, Offer>, std::less<>> Offers_;
};

} // namespace lychee::exchange

#endif
