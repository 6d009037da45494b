#include "fleet/ZoneRecordPlanner.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

bool byHost(const Member &Left, const Member &Right) {
  return Left.Host_ < Right.Host_;
}

/// \returns true if \p Left was sent before \p Right. Incarnations rise with
/// the starts of a host.
bool isOlder(const Member &Left, const Member &Right) {
  if (Left.Incarnation_ != Right.Incarnation_)
    return Left.Incarnation_ < Right.Incarnation_;
  return Left.Sequence_ < Right.Sequence_;
}

/// \returns true if both list the same hosts in the same incarnations, with the
/// same hosts leaving.
bool sameHosts(const std::vector<Member> &Left,
               const std::vector<Member> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const Member &One, const Member &Other) {
                      return One.Host_ == Other.Host_ &&
                             One.Incarnation_ == Other.Incarnation_ &&
                             One.Leaving_ == Other.Leaving_;
                    });
}

} // namespace

ZoneRecordPlanner::ZoneRecordPlanner(const LeaseTiming &Timing,
                                     base::ZoneId Zone, Member Self,
                                     base::TimePoint Now)
    : Timing_(Timing), Zone_(std::move(Zone)), Self_(std::move(Self)),
      Started_(Now), RecordChangedAt_(Now) {}

void ZoneRecordPlanner::observe(const ZoneRecord &Record, std::uint64_t Version,
                                base::TimePoint Now) {
  if (Version <= Version_)
    return;
  for (const Member &Entry : Record.Members_) {
    const Member *Before = Record_.find(Entry.Host_);
    if (!Before || Before->Sequence_ != Entry.Sequence_ ||
        Before->Incarnation_ != Entry.Incarnation_)
      RenewedAt_[Entry.Host_] = Now;
  }
  // Heartbeats received before a host's removal must not admit it again.
  for (const Member &Entry : Record_.Members_)
    if (!Record.find(Entry.Host_))
      Heartbeats_.erase(Entry.Host_);
  Record_ = Record;
  Version_ = Version;
  RecordChangedAt_ = Now;
  PendingRemovals_.clear();
  const auto NotListed = [this](const auto &Entry) {
    return Record_.find(Entry.first) == nullptr;
  };
  std::erase_if(RenewedAt_, NotListed);
  std::erase_if(PledgedUntil_, NotListed);
  std::erase_if(Departed_, [this](const base::HostId &Host) {
    return Record_.find(Host) == nullptr;
  });
}

void ZoneRecordPlanner::receiveHeartbeat(const Member &From,
                                         base::TimePoint Now) {
  if (From.Host_ == Self_.Host_) {
    Self_.Sequence_ = std::max(Self_.Sequence_, From.Sequence_);
    Self_.KnownGeneration_ = Record_.Generation_;
    Self_.Leaving_ = From.Leaving_;
    return;
  }
  ReceivedHeartbeat &Last = Heartbeats_[From.Host_];
  if (!isOlder(From, Last.Member_))
    Last = {From, Now};
}

void ZoneRecordPlanner::handleLeave(const base::HostId &Host) {
  Departed_.insert(Host);
  Heartbeats_.erase(Host);
}

void ZoneRecordPlanner::handlePlatformRemoval(const base::HostId &Host) {
  if (Host != Self_.Host_ && Record_.find(Host))
    handleLeave(Host);
}

bool ZoneRecordPlanner::grantPledge(const base::HostId &Host,
                                    base::TimePoint Now) {
  // Before its restart this host may have begun a write that is still in
  // progress. A record with the new incarnation shows that every such write has
  // lost.
  const Member *Own = Record_.find(Self_.Host_);
  if (!Own || Own->Incarnation_ != Self_.Incarnation_)
    return false;
  if (!Record_.find(Host) || PendingRemovals_.contains(Host))
    return false;
  base::TimePoint &Expiry = PledgedUntil_[Host];
  Expiry = std::max(Expiry, Now + Timing_.observerDuration(Timing_.Ttl_));
  return true;
}

bool ZoneRecordPlanner::isExpiryProven(const Member &Listed,
                                       base::TimePoint Now) const {
  const Member *Own = Record_.find(Self_.Host_);
  if (!Own || Listed.KnownGeneration_ < Own->AdmissionGeneration_)
    return false;
  const auto Renewed = RenewedAt_.find(Listed.Host_);
  if (Renewed == RenewedAt_.end() ||
      Now - Renewed->second < Timing_.observerDuration(Timing_.Ttl_))
    return false;
  const auto Pledged = PledgedUntil_.find(Listed.Host_);
  return Pledged == PledgedUntil_.end() || Now >= Pledged->second;
}

bool ZoneRecordPlanner::mustRemove(const Member &Listed,
                                   base::TimePoint Now) const {
  if (Listed.Host_ == Self_.Host_)
    return false;
  if (Departed_.contains(Listed.Host_))
    return true;
  // A newer heartbeat has arrived; the next record renews the lease.
  if (hasNewerHeartbeat(Listed))
    return false;
  return isExpiryProven(Listed, Now);
}

bool ZoneRecordPlanner::hasNewerHeartbeat(const Member &Listed) const {
  const auto Found = Heartbeats_.find(Listed.Host_);
  return Found != Heartbeats_.end() && isOlder(Listed, Found->second.Member_);
}

bool ZoneRecordPlanner::isLeaseExpired(const base::HostId &Host,
                                       base::TimePoint Now) const {
  const Member *Listed = Record_.find(Host);
  return !Listed || mustRemove(*Listed, Now);
}

std::vector<Member> ZoneRecordPlanner::newMembers(base::TimePoint Now) const {
  std::vector<Member> Result;
  for (const auto &[Host, Heartbeat] : Heartbeats_)
    if (!Record_.find(Host) &&
        Now - Heartbeat.ReceivedAt_ < Timing_.RelayTimeout_)
      Result.push_back(Heartbeat.Member_);
  if (!Record_.find(Self_.Host_))
    Result.push_back(Self_);
  return Result;
}

ZoneRecord ZoneRecordPlanner::nextRecord(base::TimePoint Now) const {
  ZoneRecord Next;
  Next.Zone_ = Zone_;
  Next.Relay_ = Record_.Relay_;
  Next.Generation_ = Record_.Generation_;
  for (const Member &Listed : Record_.Members_) {
    if (mustRemove(Listed, Now))
      continue;
    Member Updated = Listed;
    if (Listed.Host_ == Self_.Host_)
      Updated = Self_;
    else if (hasNewerHeartbeat(Listed))
      Updated = Heartbeats_.at(Listed.Host_).Member_;
    const bool HasRestarted = Updated.Incarnation_ != Listed.Incarnation_;
    Updated.AdmissionGeneration_ =
        HasRestarted ? Record_.Generation_ + 1 : Listed.AdmissionGeneration_;
    if (!HasRestarted) {
      Updated.Sequence_ = std::max(Updated.Sequence_, Listed.Sequence_);
      Updated.KnownGeneration_ =
          std::max(Updated.KnownGeneration_, Listed.KnownGeneration_);
    }
    Next.Members_.push_back(std::move(Updated));
  }
  for (Member &Added : newMembers(Now)) {
    Added.AdmissionGeneration_ = Record_.Generation_ + 1;
    Next.Members_.push_back(std::move(Added));
  }
  std::sort(Next.Members_.begin(), Next.Members_.end(), byHost);
  if (!sameHosts(Next.Members_, Record_.Members_))
    ++Next.Generation_;
  return Next;
}

std::optional<RecordPlan>
ZoneRecordPlanner::planJoin(base::TimePoint Now) const {
  // A running relay admits this host sooner than this.
  const bool HasWaited = Now - Started_ >= 2 * Timing_.RenewalInterval_;
  if (!Record_.Members_.empty() && !HasWaited)
    return std::nullopt;
  RecordPlan Plan{nextRecord(Now), Version_, "join"};
  if (Record_.Members_.empty())
    Plan.Next_.Relay_ = Self_.Host_;
  return Plan;
}

base::Duration ZoneRecordPlanner::takeoverDelay() const {
  // The standby goes first and each further member one renewal interval later,
  // so that they do not all write at once. The store's version check decides
  // between any two.
  int Rank = 0;
  for (const Member &Entry : Record_.Members_) {
    if (Entry.Host_ == Self_.Host_)
      break;
    if (Entry.Host_ != Record_.Relay_)
      ++Rank;
  }
  return Timing_.RelayTimeout_ + Rank * Timing_.RenewalInterval_;
}

bool ZoneRecordPlanner::isStandby() const {
  return isMember() && !isRelay() && takeoverDelay() == Timing_.RelayTimeout_;
}

bool ZoneRecordPlanner::acknowledgesGeneration(const ZoneRecord &Next) const {
  for (const Member &Entry : Next.Members_) {
    const Member *Listed = Record_.find(Entry.Host_);
    if (Listed && Listed->KnownGeneration_ < Record_.Generation_ &&
        Entry.KnownGeneration_ >= Record_.Generation_)
      return true;
  }
  return false;
}

std::optional<RecordPlan> ZoneRecordPlanner::plan(base::TimePoint Now) const {
  if (!isMember())
    return planJoin(Now);
  const base::Duration SinceChange = Now - RecordChangedAt_;
  if (!isRelay()) {
    if (SinceChange < takeoverDelay())
      return std::nullopt;
    RecordPlan Plan{nextRecord(Now), Version_, "takeover"};
    Plan.Next_.Relay_ = Self_.Host_;
    return Plan;
  }
  RecordPlan Plan{nextRecord(Now), Version_, "renew"};
  if (Plan.Next_.Generation_ != Record_.Generation_)
    Plan.Reason_ = "change";
  else if (acknowledgesGeneration(Plan.Next_))
    Plan.Reason_ = "acknowledge";
  else if (SinceChange < Timing_.RenewalInterval_)
    return std::nullopt;
  return Plan;
}

void ZoneRecordPlanner::beginWrite(const RecordPlan &Plan) {
  for (const Member &Entry : Record_.Members_)
    if (!Plan.Next_.find(Entry.Host_))
      PendingRemovals_.insert(Entry.Host_);
}

} // namespace lychee::fleet
