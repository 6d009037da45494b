#include "placement/PeerLoads.h"

#include <algorithm>

namespace lychee::placement {

void PeerLoads::setPeers(std::span<const base::HostId> Peers) {
  std::map<base::HostId, PeerReport> Kept;
  for (const base::HostId &Peer : Peers) {
    const auto Known = Reports_.find(Peer);
    if (Known == Reports_.end()) {
      Kept.try_emplace(Peer);
      continue;
    }
    Kept.emplace(Peer, std::move(Known->second));
    Reports_.erase(Known);
  }
  for (auto &[Peer, Removed] : Reports_)
    subtract(Removed);
  Reports_ = std::move(Kept);
}

void PeerLoads::update(const base::HostId &Peer,
                       std::span<const InFlight> Counts, base::TimePoint Now) {
  const auto Known = Reports_.find(Peer);
  if (Known == Reports_.end())
    return;
  PeerReport &Report = Known->second;
  const base::Duration SinceLast = Now - Report.ReceivedAt_;
  subtract(Report);
  Report.Counts_.assign(Counts.begin(), Counts.end());
  Report.ReceivedAt_ = Now;
  Report.IsCounted_ = true;
  ++ReportingPeers_;
  ReceivedAtSum_ += toMicroseconds(Now);
  double Sum = 0;
  for (const InFlight &Entry : Report.Counts_) {
    if (Entry.Target_ >= Sums_.size())
      Sums_.resize(Entry.Target_ + 1);
    Sums_[Entry.Target_] += Entry.Count_;
    Total_ += Entry.Count_;
    Sum += Entry.Count_;
  }
  Report.Smoothed_ = smoothed(Report.Smoothed_, Sum, SinceLast);
}

void PeerLoads::addWeights(double Mean,
                           std::vector<HostWeight> &Weights) const {
  // No host falls below a quarter of the mean: its first requests after an idle
  // period need home slots too.
  static constexpr double MinWeight = 0.25;
  for (const auto &[Peer, Report] : Reports_)
    Weights.push_back({Peer, std::max(MinWeight, Report.Smoothed_ / Mean)});
}

double PeerLoads::smoothedTotal() const noexcept {
  double Sum = 0;
  for (const auto &[Peer, Report] : Reports_)
    Sum += Report.Smoothed_;
  return Sum;
}

double PeerLoads::smoothed(double Average, double Count,
                           base::Duration Time) noexcept {
  // Home slots follow changes of where callers send, not single requests.
  static constexpr double TimeConstantSeconds = 2;
  const double Weight = base::toSeconds(Time);
  return Average + (Count - Average) * Weight / (Weight + TimeConstantSeconds);
}

void PeerLoads::tick(base::TimePoint Now) {
  for (auto &[Peer, Report] : Reports_)
    if (Report.IsCounted_ && Now - Report.ReceivedAt_ > ReportTimeout)
      subtract(Report);
}

base::Duration PeerLoads::meanAge(base::TimePoint Now) const noexcept {
  if (ReportingPeers_ == 0)
    return base::Duration::max();
  const base::TimePoint Mean{ReceivedAtSum_ / ReportingPeers_};
  return std::max(base::Duration::zero(), Now - Mean);
}

void PeerLoads::subtract(PeerReport &Report) noexcept {
  if (!Report.IsCounted_)
    return;
  Report.IsCounted_ = false;
  --ReportingPeers_;
  ReceivedAtSum_ -= toMicroseconds(Report.ReceivedAt_);
  for (const InFlight &Entry : Report.Counts_) {
    Sums_[Entry.Target_] -= Entry.Count_;
    Total_ -= Entry.Count_;
  }
  Report.Counts_.clear();
}

} // namespace lychee::placement
