#include "placement/PeerLoads.h"

#include <algorithm>

namespace lychee::placement {

void PeerLoads::setPeers(std::span<const base::HostId> Peers) {
  std::map<base::HostId, Row> Kept;
  for (const base::HostId &Peer : Peers) {
    const auto Known = Rows_.find(Peer);
    if (Known == Rows_.end()) {
      Kept.try_emplace(Peer);
      continue;
    }
    Kept.emplace(Peer, std::move(Known->second));
    Rows_.erase(Known);
  }
  for (auto &[Peer, Gone] : Rows_)
    withdraw(Gone);
  Rows_ = std::move(Kept);
}

void PeerLoads::heard(const base::HostId &Peer,
                      std::span<const InFlight> Counts, base::TimePoint Now) {
  const auto Known = Rows_.find(Peer);
  if (Known == Rows_.end())
    return;
  Row &Line = Known->second;
  const base::Duration Since = Now - Line.At_;
  withdraw(Line);
  Line.Counts_.assign(Counts.begin(), Counts.end());
  Line.At_ = Now;
  Line.Heard_ = true;
  ++Heard_;
  Times_ += sinceStart(Now);
  double Sum = 0;
  for (const InFlight &Each : Line.Counts_) {
    if (Each.Target_ >= Sums_.size())
      Sums_.resize(Each.Target_ + 1);
    Sums_[Each.Target_] += Each.Count_;
    Total_ += Each.Count_;
    Sum += Each.Count_;
  }
  Line.Smoothed_ = smoothed(Line.Smoothed_, Sum, Since);
}

void PeerLoads::addWeights(double Mean,
                           std::vector<HostWeight> &Weights) const {
  // No host falls below a quarter of the mean: its first requests after a
  // quiet time need a home too.
  static constexpr double Least = 0.25;
  for (const auto &[Peer, Line] : Rows_)
    Weights.push_back({Peer, std::max(Least, Line.Smoothed_ / Mean)});
}

double PeerLoads::smoothedTotal() const noexcept {
  double Sum = 0;
  for (const auto &[Peer, Line] : Rows_)
    Sum += Line.Smoothed_;
  return Sum;
}

double PeerLoads::smoothed(double Old, double Count,
                           base::Duration Time) noexcept {
  // Homes are to follow where callers go, not single requests.
  static constexpr double Memory = 2; // seconds
  const double Weight = base::toSeconds(Time);
  return Old + (Count - Old) * Weight / (Weight + Memory);
}

void PeerLoads::tick(base::TimePoint Now) {
  for (auto &[Peer, Line] : Rows_)
    if (Line.Heard_ && Now - Line.At_ > Silence)
      withdraw(Line);
}

base::Duration PeerLoads::age(base::TimePoint Now) const noexcept {
  if (Heard_ == 0)
    return base::Duration::max();
  const base::TimePoint Mean{Times_ / Heard_};
  return std::max(base::Duration::zero(), Now - Mean);
}

void PeerLoads::withdraw(Row &Old) noexcept {
  if (!Old.Heard_)
    return;
  Old.Heard_ = false;
  --Heard_;
  Times_ -= sinceStart(Old.At_);
  for (const InFlight &Each : Old.Counts_) {
    Sums_[Each.Target_] -= Each.Count_;
    Total_ -= Each.Count_;
  }
  Old.Counts_.clear();
}

} // namespace lychee::placement
