#include "fleet/ZoneRecordPlanner.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

bool byHost(const Member &Left, const Member &Right) {
  return Left.Host_ < Right.Host_;
}

/// \returns true where \p Left was sent before \p Right. Incarnations rise with
/// the starts of a host.
bool isOlder(const Member &Left, const Member &Right) {
  if (Left.Incarnation_ != Right.Incarnation_)
    return Left.Incarnation_ < Right.Incarnation_;
  return Left.Sequence_ < Right.Sequence_;
}

/// \returns true where both name the same hosts, in the same incarnations.
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

ZoneRecordPlanner::ZoneRecordPlanner(const LeaseTiming &Terms,
                                     base::ZoneId Zone, Member Self,
                                     base::TimePoint Now)
    : Terms_(Terms), Zone_(std::move(Zone)), Self_(std::move(Self)),
      Started_(Now), ChangedAt_(Now) {}

void ZoneRecordPlanner::observe(const ZoneRecord &Seen, std::uint64_t Version,
                                base::TimePoint Now) {
  if (Version <= Version_)
    return;
  for (const Member &Each : Seen.Members_) {
    const Member *Before = Record_.find(Each.Host_);
    if (!Before || Before->Sequence_ != Each.Sequence_ ||
        Before->Incarnation_ != Each.Incarnation_)
      RenewedAt_[Each.Host_] = Now;
  }
  // What was heard of a host before its removal must not bring it back.
  for (const Member &Each : Record_.Members_)
    if (!Seen.find(Each.Host_))
      Heard_.erase(Each.Host_);
  Record_ = Seen;
  Version_ = Version;
  ChangedAt_ = Now;
  Removing_.clear();
  const auto NotListed = [this](const auto &Entry) {
    return Record_.find(Entry.first) == nullptr;
  };
  std::erase_if(RenewedAt_, NotListed);
  std::erase_if(PledgedUntil_, NotListed);
  std::erase_if(Gone_, [this](const base::HostId &Host) {
    return Record_.find(Host) == nullptr;
  });
}

void ZoneRecordPlanner::hear(const Member &From, base::TimePoint Now) {
  if (From.Host_ == Self_.Host_) {
    Self_.Sequence_ = std::max(Self_.Sequence_, From.Sequence_);
    Self_.KnownGeneration_ = Record_.Generation_;
    Self_.Leaving_ = From.Leaving_;
    return;
  }
  Heard &Known = Heard_[From.Host_];
  if (!isOlder(From, Known.Member_))
    Known = {From, Now};
}

void ZoneRecordPlanner::leave(const base::HostId &Host) {
  Gone_.insert(Host);
  Heard_.erase(Host);
}

void ZoneRecordPlanner::platformGone(const base::HostId &Host) {
  if (Host != Self_.Host_ && Record_.find(Host))
    leave(Host);
}

bool ZoneRecordPlanner::pledge(const base::HostId &Host, base::TimePoint Now) {
  // Before its restart this host may have begun a write that is still on its
  // way; a record that holds the new incarnation has outrun every such write.
  const Member *Own = Record_.find(Self_.Host_);
  if (!Own || Own->Incarnation_ != Self_.Incarnation_)
    return false;
  if (!Record_.find(Host) || Removing_.contains(Host))
    return false;
  base::TimePoint &Until = PledgedUntil_[Host];
  Until = std::max(Until, Now + Terms_.lengthened(Terms_.Ttl_));
  return true;
}

bool ZoneRecordPlanner::silenceIsProof(const Member &Listed,
                                       base::TimePoint Now) const {
  const Member *Own = Record_.find(Self_.Host_);
  if (!Own || Listed.KnownGeneration_ < Own->AdmissionGeneration_)
    return false;
  const auto Renewed = RenewedAt_.find(Listed.Host_);
  if (Renewed == RenewedAt_.end() ||
      Now - Renewed->second < Terms_.lengthened(Terms_.Ttl_))
    return false;
  const auto Pledged = PledgedUntil_.find(Listed.Host_);
  return Pledged == PledgedUntil_.end() || Now >= Pledged->second;
}

bool ZoneRecordPlanner::mustGo(const Member &Listed,
                               base::TimePoint Now) const {
  if (Listed.Host_ == Self_.Host_)
    return false;
  if (Gone_.contains(Listed.Host_))
    return true;
  // Heard again since: the next record renews it.
  if (heardSince(Listed))
    return false;
  return silenceIsProof(Listed, Now);
}

bool ZoneRecordPlanner::heardSince(const Member &Listed) const {
  const auto Found = Heard_.find(Listed.Host_);
  return Found != Heard_.end() && isOlder(Listed, Found->second.Member_);
}

bool ZoneRecordPlanner::leaseIsOver(const base::HostId &Host,
                                    base::TimePoint Now) const {
  const Member *Listed = Record_.find(Host);
  return !Listed || mustGo(*Listed, Now);
}

std::vector<Member> ZoneRecordPlanner::admitted(base::TimePoint Now) const {
  std::vector<Member> New;
  for (const auto &[Host, Known] : Heard_)
    if (!Record_.find(Host) && Now - Known.At_ < Terms_.RelayTimeout_)
      New.push_back(Known.Member_);
  if (!Record_.find(Self_.Host_))
    New.push_back(Self_);
  return New;
}

ZoneRecord ZoneRecordPlanner::renewed(base::TimePoint Now) const {
  ZoneRecord Next;
  Next.Zone_ = Zone_;
  Next.Relay_ = Record_.Relay_;
  Next.Generation_ = Record_.Generation_;
  for (const Member &Listed : Record_.Members_) {
    if (mustGo(Listed, Now))
      continue;
    Member Kept = Listed;
    if (Listed.Host_ == Self_.Host_)
      Kept = Self_;
    else if (heardSince(Listed))
      Kept = Heard_.at(Listed.Host_).Member_;
    const bool Restarted = Kept.Incarnation_ != Listed.Incarnation_;
    Kept.AdmissionGeneration_ =
        Restarted ? Record_.Generation_ + 1 : Listed.AdmissionGeneration_;
    if (!Restarted) {
      Kept.Sequence_ = std::max(Kept.Sequence_, Listed.Sequence_);
      Kept.KnownGeneration_ =
          std::max(Kept.KnownGeneration_, Listed.KnownGeneration_);
    }
    Next.Members_.push_back(std::move(Kept));
  }
  for (Member &New : admitted(Now)) {
    New.AdmissionGeneration_ = Record_.Generation_ + 1;
    Next.Members_.push_back(std::move(New));
  }
  std::sort(Next.Members_.begin(), Next.Members_.end(), byHost);
  if (!sameHosts(Next.Members_, Record_.Members_))
    ++Next.Generation_;
  return Next;
}

std::optional<RecordPlan>
ZoneRecordPlanner::planAsStranger(base::TimePoint Now) const {
  // A relay that is there admits this host sooner than this.
  const bool Waited = Now - Started_ >= 2 * Terms_.RenewalInterval_;
  if (!Record_.Members_.empty() && !Waited)
    return std::nullopt;
  RecordPlan Plan{renewed(Now), Version_, "join"};
  if (Record_.Members_.empty())
    Plan.Next_.Relay_ = Self_.Host_;
  return Plan;
}

base::Duration ZoneRecordPlanner::takeoverWait() const {
  // The standby goes first, each further member a renewal later, so that they
  // do not all write at once; the store's version decides between any two.
  int Rank = 0;
  for (const Member &Each : Record_.Members_) {
    if (Each.Host_ == Self_.Host_)
      break;
    if (Each.Host_ != Record_.Relay_)
      ++Rank;
  }
  return Terms_.RelayTimeout_ + Rank * Terms_.RenewalInterval_;
}

bool ZoneRecordPlanner::isStandby() const {
  return isMember() && !isRelay() && takeoverWait() == Terms_.RelayTimeout_;
}

bool ZoneRecordPlanner::acknowledges(const ZoneRecord &Next) const {
  for (const Member &Each : Next.Members_) {
    const Member *Listed = Record_.find(Each.Host_);
    if (Listed && Listed->KnownGeneration_ < Record_.Generation_ &&
        Each.KnownGeneration_ >= Record_.Generation_)
      return true;
  }
  return false;
}

std::optional<RecordPlan> ZoneRecordPlanner::plan(base::TimePoint Now) const {
  if (!isMember())
    return planAsStranger(Now);
  const base::Duration Quiet = Now - ChangedAt_;
  if (!isRelay()) {
    if (Quiet < takeoverWait())
      return std::nullopt;
    RecordPlan Plan{renewed(Now), Version_, "takeover"};
    Plan.Next_.Relay_ = Self_.Host_;
    return Plan;
  }
  RecordPlan Plan{renewed(Now), Version_, "renew"};
  if (Plan.Next_.Generation_ != Record_.Generation_)
    Plan.Reason_ = "change";
  else if (acknowledges(Plan.Next_))
    Plan.Reason_ = "acknowledge";
  else if (Quiet < Terms_.RenewalInterval_)
    return std::nullopt;
  return Plan;
}

void ZoneRecordPlanner::begin(const RecordPlan &Plan) {
  for (const Member &Each : Record_.Members_)
    if (!Plan.Next_.find(Each.Host_))
      Removing_.insert(Each.Host_);
}

} // namespace lychee::fleet
