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

/// The rate and tokens that peers have offered of each budget; selects the
/// donors for a request. An offer is used once: a host that got a request has
/// given what it could, and a second request before its next report would find
/// nothing. Thread-safe, no I/O. \see budget::ExchangePolicy for the amounts
class SpareOfferTable {
public:
  /// Age at which an offer expires. A host whose report has no significant
  /// changes repeats it every four seconds; once two were missed, the offer is
  /// not trusted any more.
  static constexpr base::Duration OfferTtl = std::chrono::seconds(10);

  SpareOfferTable() = default;
  SpareOfferTable(const SpareOfferTable &) = delete;
  SpareOfferTable &operator=(const SpareOfferTable &) = delete;

  /// Takes the offers of \p Peer's newest report, which replace its earlier
  /// ones.
  void update(const base::HostId &Peer,
              std::span<const budget::SpareOffer> Offers, base::TimePoint Now);

  /// Sets the peers that may be selected as donors.
  void setPeers(std::span<const base::HostId> Peers);

  /// \returns the donors for a request, best first, and removes their offers.
  /// One donor if only the rate is to grow; up to MaxDonors if requests wait
  /// for tokens, filled up with randomly chosen peers where too few have
  /// offered, because the host that the callers have just left has not offered
  /// anything yet.
  std::vector<base::HostId> takeDonors(const budget::ShareRequest &Request,
                                       base::TimePoint Now,
                                       base::Random &Random);

  /// Donors that are contacted at once while requests wait. With a customer at
  /// 80% of its rate whose callers move to another host every 10 s, 1.10% of
  /// requests were refused with one donor among those that offered, and 0.80%,
  /// 0.50% and 0.36% with one, two and three donors including random peers
  /// (lychee-bench-shares).
  static constexpr std::size_t MaxDonors = 3;

private:
  struct Offer {
    budget::SpareOffer Spare_;
    base::TimePoint ReceivedAt_;
  };

  std::optional<base::HostId> takeBestOffer(const budget::ShareRequest &Request,
                                            base::TimePoint Now);

  mutable std::mutex Lock_;
  std::vector<base::HostId> Peers_;
  /// By budget, then by peer.
  std::map<std::string, std::map<base::HostId, Offer>, std::less<>> Offers_;
};

} // namespace lychee::exchange

#endif
