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
  for (const budget::SpareOffer &Each : Offers)
    Offers_[Each.Budget_][Peer] = {Each, Now};
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
SpareOfferTable::takeDonors(const budget::ShareRequest &Asked,
                            base::TimePoint Now, base::Random &Random) {
  const std::scoped_lock Guard(Lock_);
  const bool IsShort = Asked.Tokens_ > 0;
  const std::size_t Most = IsShort ? DonorsAtOnce : 1;
  std::vector<base::HostId> Donors;
  while (Donors.size() < Most) {
    const auto Best = takeBest(Asked, Now);
    if (!Best)
      break;
    Donors.push_back(*Best);
  }
  for (std::size_t Draw = Donors.size();
       IsShort && Draw < Most && !Peers_.empty(); ++Draw) {
    const base::HostId &Drawn = Peers_[base::drawBelow(
        Random, static_cast<std::uint32_t>(Peers_.size()))];
    if (std::find(Donors.begin(), Donors.end(), Drawn) == Donors.end())
      Donors.push_back(Drawn);
  }
  return Donors;
}

std::optional<base::HostId>
SpareOfferTable::takeBest(const budget::ShareRequest &Asked,
                          base::TimePoint Now) {
  const auto Found = Offers_.find(Asked.Budget_);
  if (Found == Offers_.end())
    return std::nullopt;
  std::map<base::HostId, Offer> &ByPeer = Found->second;
  std::erase_if(ByPeer, [&](const auto &Entry) {
    return Entry.second.HeardAt_ + OfferLife < Now;
  });
  // What is wanted first: tokens while requests wait for them, else rate. One
  // that can spare both is worth more than one with more of either.
  const auto Worth = [&](const auto &Entry) {
    const budget::SpareOffer &Spare = Entry.second.Spare_;
    return std::tuple(std::min(Spare.Tokens_, Asked.Tokens_),
                      std::min(Spare.Rate_, Asked.Rate_), Spare.Rate_);
  };
  const auto Best = std::max_element(ByPeer.begin(), ByPeer.end(),
                                     [&](const auto &Left, const auto &Right) {
                                       return Worth(Left) < Worth(Right);
                                     });
  if (Best == ByPeer.end())
    return std::nullopt;
  base::HostId Donor = Best->first;
  ByPeer.erase(Best);
  return Donor;
}

} // namespace lychee::exchange
