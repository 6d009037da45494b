#include "exchange/SpareOfferTable.h"

#include <algorithm>
#include <utility>

namespace lychee::exchange {

void SpareOfferTable::update(const base::HostId &Peer,
                             std::span<const budget::SpareOffer> Offers,
                             base::TimePoint Now) {
  const std::scoped_lock Guard(Lock_);
  for (auto &[Budget, ByPeer] : Offers_)
    ByPeer.erase(Peer);
  for (const budget::SpareOffer &Offered : Offers)
    Offers_[Offered.Budget_][Peer] = {Offered, Now};
}

void SpareOfferTable::setPeers(std::span<const base::HostId> Peers) {
  const std::scoped_lock Guard(Lock_);
  Peers_.assign(Peers.begin(), Peers.end());
  for (auto &[Budget, ByPeer] : Offers_)
    std::erase_if(ByPeer, [&](const auto &Entry) {
      return std::find(Peers_.begin(), Peers_.end(), Entry.first) ==
             Peers_.end();
    });
}

std::vector<base::HostId>
SpareOfferTable::takeDonors(const budget::ShareRequest &Request,
                            base::TimePoint Now, base::Random &Random) {
  const std::scoped_lock Guard(Lock_);
  const bool NeedsTokens = Request.Tokens_ > 0;
  const std::size_t MaxCount = NeedsTokens ? MaxDonors : 1;
  std::vector<base::HostId> Donors;
  while (Donors.size() < MaxCount) {
    const auto Best = takeBestOffer(Request, Now);
    if (!Best)
      break;
    Donors.push_back(*Best);
  }
  for (std::size_t Count = Donors.size();
       NeedsTokens && Count < MaxCount && !Peers_.empty(); ++Count) {
    const base::HostId &Candidate = Peers_[base::drawBelow(
        Random, static_cast<std::uint32_t>(Peers_.size()))];
    if (std::find(Donors.begin(), Donors.end(), Candidate) == Donors.end())
      Donors.push_back(Candidate);
  }
  return Donors;
}

std::optional<base::HostId>
SpareOfferTable::takeBestOffer(const budget::ShareRequest &Request,
                               base::TimePoint Now) {
  const auto Found = Offers_.find(Request.Budget_);
  if (Found == Offers_.end())
    return std::nullopt;
  std::map<base::HostId, Offer> &ByPeer = Found->second;
  std::erase_if(ByPeer, [&](const auto &Entry) {
    return Entry.second.ReceivedAt_ + OfferTtl < Now;
  });
  // Ranks by the part of the request that a peer can cover: tokens first while
  // requests wait for them, then rate. A peer that covers both ranks above one
  // that offers more of either than requested.
  const auto Rank = [&](const auto &Entry) {
    const budget::SpareOffer &Spare = Entry.second.Spare_;
    return std::tuple(std::min(Spare.Tokens_, Request.Tokens_),
                      std::min(Spare.Rate_, Request.Rate_), Spare.Rate_);
  };
  const auto Best = std::max_element(ByPeer.begin(), ByPeer.end(),
                                     [&](const auto &Left, const auto &Right) {
                                       return Rank(Left) < Rank(Right);
                                     });
  if (Best == ByPeer.end())
    return std::nullopt;
  base::HostId Donor = Best->first;
  ByPeer.erase(Best);
  return Donor;
}

} // namespace lychee::exchange
