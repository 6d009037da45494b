#include "exchange/OfferBook.h"

#include <algorithm>
#include <utility>

namespace lychee::exchange {

void OfferBook::heard(const base::HostId &Peer,
                      std::span<const budget::SpareOffer> Offers,
                      base::TimePoint Now) {
  const std::scoped_lock Guard(Lock_);
  for (auto &[Budget, ByPeer] : Offers_)
    ByPeer.erase(Peer);
  for (const budget::SpareOffer &Each : Offers)
    Offers_[Each.Budget_][Peer] = {Each, Now};
}

void OfferBook::forget(const base::HostId &Peer) {
  const std::scoped_lock Guard(Lock_);
  for (auto &[Budget, ByPeer] : Offers_)
    ByPeer.erase(Peer);
}

std::optional<base::HostId> OfferBook::takeDonor(const budget::Ask &Asked,
                                                 base::TimePoint Now) {
  const std::scoped_lock Guard(Lock_);
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
  const base::HostId Donor = Best->first;
  ByPeer.erase(Best);
  return Donor;
}

} // namespace lychee::exchange
